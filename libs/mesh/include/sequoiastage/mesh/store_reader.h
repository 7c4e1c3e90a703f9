#ifndef SEQUOIASTAGE_MESH_STORE_READER_H_
#define SEQUOIASTAGE_MESH_STORE_READER_H_

#include <algorithm>
#include <array>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "sequoiastage/base/boot_clock.h"
#include "sequoiastage/logging/log_event.h"
#include "sequoiastage/mesh/event_loop.h"
#include "sequoiastage/mesh/platform.h"
#include "sequoiastage/mesh/relay_choice.h"

namespace sequoiastage {

struct StoreReaderOptions {
  /// Maximum wait of one long poll. Bounds the time until a node detects that
  /// it has lost access to the store.
  Duration m_config_wait = std::chrono::milliseconds(700);
  Duration m_member_wait = std::chrono::seconds(4);
  /// Pause after a read that returned records, so that records written in quick
  /// succession cost one read.
  Duration m_config_pause = std::chrono::milliseconds(150);
  Duration m_member_pause = std::chrono::milliseconds(300);
  /// Time since the last complete read for which a node that still receives a
  /// large configuration counts as up to date: others would read it no faster.
  Duration m_max_read_time = std::chrono::seconds(4);
  /// Pause after a configuration of more than this size.
  size_t m_large_bytes = size_t{16} << 10;
  Duration m_large_pause = std::chrono::milliseconds(600);
  /// Backoff after a failed call, doubled up to m_max_backoff.
  Duration m_min_backoff = std::chrono::milliseconds(250);
  Duration m_max_backoff = std::chrono::seconds(1);
  /// The same for a node that reads as a backup.
  Duration m_max_backup_backoff = std::chrono::seconds(4);
};

/// Local copy of the store: the newest record of each key, read from the store
/// or relayed by another node. Records with a lower position than the current
/// one of their key are ignored.
///
/// The store may restart from an older copy, in a new era. The reader then
/// reads the newest records again and keeps those that the copy lost. A record
/// keeps the position at which it was written: the copy may hold an outdated
/// record of a key, which must not replace the one that it lost.
template <PlatformStore Store>
class StoreReader {
 public:
  struct Handlers {
    /// Called for each record that is newer than the local copy. Returns
    /// whether the copy is to be replaced; otherwise the current value is kept
    /// at the position of the rejected record, and relayed from there.
    std::function<bool(const StoreRecord&)> m_on_record;
    /// Era in which the writer of the record wrote it.
    std::function<StoreEra(const StoreRecord&)> m_written_era;
    /// Called with the previous era when the first or a later era is noticed.
    std::function<void(std::optional<StoreEra>)> m_on_era;
  };

  StoreReader(asio::io_context& io,
              Store& store,
              const StoreReaderOptions& options,
              Handlers handlers)
      : m_store(store),
        m_options(options),
        m_handlers(std::move(handlers)),
        m_topics{Topic(io, StoreTopic::kConfig),
                 Topic(io, StoreTopic::kMembers)} {}

  /// Starts reading the topics of `scope`, or stops with kNone.
  void SetScope(ReadScope scope) {
    if (scope == m_scope) {
      return;
    }
    m_scope = scope;
    for (Topic& topic : m_topics) {
      const bool should_read =
          scope == ReadScope::kAll ||
          (scope == ReadScope::kBackup && topic.m_topic == StoreTopic::kConfig);
      if (should_read == topic.m_is_reading) {
        continue;
      }
      topic.m_is_reading = should_read;
      if (should_read) {
        Read(topic);
      } else {
        Stop(topic);
      }
    }
  }

  bool IsReading() const { return m_scope != ReadScope::kNone; }
  ReadScope Scope() const { return m_scope; }

  /// Applies a record that another node has read.
  void ApplyRelayed(const StoreRecord& record) {
    NoteEra(EraOf(record.m_position));
    ApplyRecord(record);
  }

  /// Notes the era of a response or a relayed record. Topics that were read in
  /// an earlier era are read anew.
  void NoteEra(StoreEra era) {
    if (m_era && era <= *m_era) {
      return;
    }
    const auto previous = std::exchange(m_era, era);
    for (Topic& topic : m_topics) {
      if (topic.m_has_snapshot && EraOf(topic.m_next) < era) {
        topic.m_has_snapshot = false;
        if (topic.m_is_reading) {
          m_store.StopReading(topic.m_topic);
          Read(topic);
        }
      }
    }
    m_handlers.m_on_era(previous);
  }

  /// Latest known era; empty before the first record or page.
  std::optional<StoreEra> Era() const { return m_era; }

  /// Removes a record from the local copy.
  void Forget(StoreTopic topic, const std::string& key) {
    TopicState(topic).m_newest.erase(key);
  }

  /// The newest configuration record before `next`, which a node that has
  /// reached `next` has too; null when it is not known.
  const StoreRecord* ConfigBefore(StorePosition next) const {
    const auto is_before = [next](const StoreRecord& record) {
      return NextPosition(record.m_position) == next;
    };
    for (const auto& [key, newest] : m_topics[0].m_newest) {
      if (is_before(newest.m_record)) {
        return &newest.m_record;
      }
    }
    const auto found = std::find_if(m_earlier_configs.begin(),
                                    m_earlier_configs.end(), is_before);
    return found == m_earlier_configs.end() ? nullptr : &*found;
  }

  /// Position of the newest record of `key`; empty when there is none.
  std::optional<StorePosition> PositionOf(StoreTopic topic,
                                          const std::string& key) const {
    const auto& newest = TopicState(topic).m_newest;
    const auto found = newest.find(key);
    return found == newest.end()
               ? std::nullopt
               : std::optional(found->second.m_record.m_position);
  }

  /// Time since this node last read the configuration topic successfully, or
  /// received a part of a response that it is still reading.
  Duration ConfigReadAge(TimePoint now) const {
    const Topic& topic = m_topics[0];
    const auto received_at = m_store.LastReceivedAt(topic.m_topic);
    return now - std::max(topic.m_read_at,
                          received_at && now - topic.m_read_at <
                                             m_options.m_max_read_time
                              ? *received_at
                              : TimePoint{});
  }

  /// Whether both topics have been loaded, by this node or through a relay.
  bool IsLoaded() const {
    return m_topics[0].m_is_loaded && m_topics[1].m_is_loaded;
  }

  void MarkLoaded() {
    m_topics[0].m_is_loaded = true;
    m_topics[1].m_is_loaded = true;
  }

  StorePosition Next(StoreTopic topic) const {
    return TopicState(topic).m_next;
  }

  /// Returns the newest records at or after the given positions.
  std::vector<StoreRecord> RecordsFrom(StorePosition config,
                                       StorePosition member) const {
    std::vector<StoreRecord> records;
    for (const Topic& topic : m_topics) {
      const StorePosition from =
          topic.m_topic == StoreTopic::kConfig ? config : member;
      for (const auto& [key, newest] : topic.m_newest) {
        const StorePosition position = newest.m_record.m_position;
        if (position >= from ||
            (newest.m_replaces_rejected && NextPosition(position) >= from)) {
          records.push_back(newest.m_record);
        }
      }
    }
    return records;
  }

 private:
  struct Newest {
    StoreRecord m_record;
    // The store has another record at this position, which was rejected. A node
    // that knows only that one asks for the positions above it.
    bool m_replaces_rejected = false;
  };

  struct Topic {
    Topic(asio::io_context& io, StoreTopic topic)
        : m_topic(topic), m_timer(io) {}

    StoreTopic m_topic;
    // Position of the next record to read.
    StorePosition m_next;
    // The newest records have been read; later changes are followed.
    bool m_has_snapshot = false;
    bool m_is_loaded = false;
    bool m_is_reading = false;
    bool m_is_failing = false;
    // The last read asked for offsets that the store does not have.
    bool m_was_compacted = false;
    uint32_t m_failures = 0;
    // Results of calls from an earlier generation are ignored.
    uint64_t m_generation = 0;
    TimePoint m_read_at{};
    std::map<std::string, Newest> m_newest;
    asio::steady_timer m_timer;
  };

  const Topic& TopicState(StoreTopic topic) const {
    return m_topics[static_cast<size_t>(topic)];
  }
  Topic& TopicState(StoreTopic topic) {
    return m_topics[static_cast<size_t>(topic)];
  }

  void Stop(Topic& topic) {
    ++topic.m_generation;
    topic.m_was_compacted = false;
    topic.m_timer.cancel();
    m_store.StopReading(topic.m_topic);
  }

  void Read(Topic& topic) {
    const uint64_t generation = ++topic.m_generation;
    auto handler = [this, &topic, generation](StoreResult result) {
      if (generation == topic.m_generation && topic.m_is_reading &&
          !RunGuarded("handle-read",
                      [&] { OnResult(topic, std::move(result)); })) {
        OnFailure(topic, "the result was not handled");
      }
    };
    if (!topic.m_has_snapshot) {
      m_store.ReadNewest(topic.m_topic, std::move(handler));
      return;
    }
    m_store.Follow(topic.m_topic, topic.m_next,
                   topic.m_topic == StoreTopic::kConfig
                       ? m_options.m_config_wait
                       : m_options.m_member_wait,
                   std::move(handler));
  }

  void OnResult(Topic& topic, StoreResult result) {
    if (result.m_is_compacted) {
      topic.m_has_snapshot = false;
      if (std::exchange(topic.m_was_compacted, true)) {
        OnFailure(topic, "offsets are missing again after a new snapshot");
      } else {
        Read(topic);
      }
      return;
    }
    if (!result.m_page) {
      OnFailure(topic, result.m_reason);
      return;
    }
    const StoreEra era = EraOf(result.m_page->m_next);
    if (era < EraOf(topic.m_next)) {
      OnFailure(topic, "response of an earlier era");
      return;
    }
    const uint64_t generation = topic.m_generation;
    NoteEra(era);
    if (topic.m_generation != generation) {
      return;  // The offsets before this page may have been assigned again.
    }
    if (std::exchange(topic.m_is_failing, false)) {
      LogEvent(LogLevel::kInfo, "store_regained")
          .Add("topic", static_cast<int64_t>(topic.m_topic))
          .Add("failures", topic.m_failures);
    }
    topic.m_failures = 0;
    topic.m_is_loaded = true;
    const bool has_more = result.m_page->m_has_more;
    if (!has_more) {
      topic.m_read_at = BootNow();
    }
    const bool was_following = std::exchange(topic.m_has_snapshot, true);
    topic.m_was_compacted &= !was_following;
    topic.m_next = result.m_page->m_next;
    const bool has_records = !result.m_page->m_records.empty();
    for (StoreRecord& record : result.m_page->m_records) {
      // One record that can't be handled must not keep back the others.
      RunGuarded("apply-record", [&] {
        const StoreEra written =
            std::min(m_handlers.m_written_era(record), era);
        record.m_position =
            MakeStorePosition(written, OffsetOf(record.m_position));
        ApplyRecord(record);
      });
    }
    if (!topic.m_is_reading) {
      return;
    }
    size_t bytes = 0;
    for (const StoreRecord& record : result.m_page->m_records) {
      bytes += record.m_value.size();
    }
    if (has_more && topic.m_topic == StoreTopic::kConfig && was_following) {
      // Only the newest one counts.
      topic.m_has_snapshot = false;
      Read(topic);
    } else if (!has_records) {
      Read(topic);
    } else if (topic.m_topic == StoreTopic::kMembers) {
      ReadAfter(topic, m_options.m_member_pause);
    } else {
      ReadAfter(topic, bytes > m_options.m_large_bytes
                           ? m_options.m_large_pause
                           : m_options.m_config_pause);
    }
  }

  void OnFailure(Topic& topic, const std::string& reason) {
    if (!std::exchange(topic.m_is_failing, true)) {
      LogEvent(LogLevel::kWarn, "store_lost")
          .Add("topic", static_cast<int64_t>(topic.m_topic))
          .Add("reason", reason);
    }
    constexpr uint32_t kMaxBackoffDoublings = 5;
    const auto doublings = std::min(topic.m_failures++, kMaxBackoffDoublings);
    ReadAfter(topic, std::min(m_scope == ReadScope::kBackup
                                  ? m_options.m_max_backup_backoff
                                  : m_options.m_max_backoff,
                              m_options.m_min_backoff * (1 << doublings)));
  }

  void ReadAfter(Topic& topic, Duration pause) {
    topic.m_timer.expires_after(pause);
    topic.m_timer.async_wait([this, &topic, generation = topic.m_generation](
                                 const asio::error_code& error) {
      if (!error && generation == topic.m_generation && topic.m_is_reading) {
        Read(topic);
      }
    });
  }

  void ApplyRecord(const StoreRecord& record) {
    Topic& topic = TopicState(record.m_topic);
    const auto found = topic.m_newest.find(record.m_key);
    const bool is_new = found == topic.m_newest.end();
    Newest next{.m_record = record};
    if (!is_new) {
      const StoreRecord& current = found->second.m_record;
      if (record.m_position < current.m_position ||
          (record.m_position == current.m_position &&
           record.m_value == current.m_value)) {
        return;
      }
      next.m_replaces_rejected = record.m_position == current.m_position;
    }
    topic.m_next = std::max(topic.m_next, NextPosition(record.m_position));
    // What this node fails to apply is passed on: another may be able to.
    bool replaces_current = true;
    RunGuarded("use-record",
               [&] { replaces_current = m_handlers.m_on_record(record); });
    if (!replaces_current && !is_new) {
      next.m_record.m_value = found->second.m_record.m_value;
      next.m_replaces_rejected = true;
    }
    if (!is_new && record.m_topic == StoreTopic::kConfig && IsReading()) {
      m_earlier_configs.push_back(std::move(found->second.m_record));
      if (m_earlier_configs.size() > kMaxEarlierConfigs) {
        m_earlier_configs.pop_front();
      }
    }
    topic.m_newest[record.m_key] = std::move(next);
  }

  Store& m_store;
  StoreReaderOptions m_options;
  Handlers m_handlers;
  std::array<Topic, 2> m_topics;
  // Configurations that subscribers of a relay may still have, oldest first.
  static constexpr size_t kMaxEarlierConfigs = 3;
  std::deque<StoreRecord> m_earlier_configs;
  std::optional<StoreEra> m_era;
  ReadScope m_scope = ReadScope::kNone;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MESH_STORE_READER_H_
