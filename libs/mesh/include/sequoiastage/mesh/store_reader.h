#ifndef SEQUOIASTAGE_MESH_STORE_READER_H_
#define SEQUOIASTAGE_MESH_STORE_READER_H_

#include <array>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "sequoiastage/base/boot_clock.h"
#include "sequoiastage/logging/log_event.h"
#include "sequoiastage/mesh/platform.h"

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
  /// After a configuration of more than this size the reader pauses and then
  /// reads only the newest one, instead of every version written meanwhile.
  size_t m_large_bytes = size_t{16} << 10;
  Duration m_large_pause = std::chrono::milliseconds(600);
  /// Backoff after a failed call, doubled up to m_max_backoff.
  Duration m_min_backoff = std::chrono::milliseconds(250);
  Duration m_max_backoff = std::chrono::seconds(1);
};

/// Local copy of the store: the newest record of each key, read from the store
/// or relayed by another node. Records with a lower or equal offset than the
/// current one of their key are ignored.
template <PlatformStore Store>
class StoreReader {
 public:
  /// `on_record` is called for each record that changes the local copy.
  StoreReader(asio::io_context& io,
              Store& store,
              const StoreReaderOptions& options,
              std::function<void(const StoreRecord&)> on_record)
      : m_store(store),
        m_options(options),
        m_on_record(std::move(on_record)),
        m_topics{Topic(io, StoreTopic::kConfig),
                 Topic(io, StoreTopic::kMembers)} {}

  /// Starts reading; continues until Stop().
  void Start() {
    if (m_is_reading) {
      return;
    }
    m_is_reading = true;
    for (Topic& topic : m_topics) {
      Read(topic);
    }
  }

  void Stop() {
    if (!m_is_reading) {
      return;
    }
    m_is_reading = false;
    for (Topic& topic : m_topics) {
      ++topic.m_generation;
      topic.m_timer.cancel();
      m_store.StopFollowing(topic.m_topic);
    }
  }

  bool IsReading() const { return m_is_reading; }

  /// Applies a record that another node has read.
  void ApplyRelayed(const StoreRecord& record) { ApplyRecord(record); }

  /// Time since this node last read the configuration topic successfully.
  Duration ConfigReadAge(TimePoint now) const {
    return now - m_topics[0].m_read_at;
  }

  /// Whether both topics have been loaded, by this node or through a relay.
  bool IsLoaded() const {
    return m_topics[0].m_is_loaded && m_topics[1].m_is_loaded;
  }

  void MarkLoaded() {
    m_topics[0].m_is_loaded = true;
    m_topics[1].m_is_loaded = true;
  }

  LogOffset NextOffset(StoreTopic topic) const {
    return TopicState(topic).m_next;
  }

  /// Returns the newest records at or after the given offsets.
  std::vector<StoreRecord> RecordsFrom(LogOffset config,
                                       LogOffset member) const {
    std::vector<StoreRecord> records;
    for (const Topic& topic : m_topics) {
      const LogOffset from =
          topic.m_topic == StoreTopic::kConfig ? config : member;
      for (const auto& [key, record] : topic.m_newest) {
        if (record.m_offset >= from) {
          records.push_back(record);
        }
      }
    }
    return records;
  }

 private:
  struct Topic {
    Topic(asio::io_context& io, StoreTopic topic)
        : m_topic(topic), m_timer(io) {}

    StoreTopic m_topic;
    // Offset of the next record to read.
    LogOffset m_next;
    // The newest records have been read; later changes are followed.
    bool m_has_snapshot = false;
    bool m_is_loaded = false;
    bool m_is_failing = false;
    uint32_t m_failures = 0;
    // Results of calls from an earlier generation are ignored.
    uint64_t m_generation = 0;
    TimePoint m_read_at{};
    std::map<std::string, StoreRecord> m_newest;
    asio::steady_timer m_timer;
  };

  const Topic& TopicState(StoreTopic topic) const {
    return m_topics[static_cast<size_t>(topic)];
  }
  Topic& TopicState(StoreTopic topic) {
    return m_topics[static_cast<size_t>(topic)];
  }

  void Read(Topic& topic) {
    const uint64_t generation = ++topic.m_generation;
    auto handler = [this, &topic, generation](StoreResult result) {
      if (generation == topic.m_generation && m_is_reading) {
        OnResult(topic, std::move(result));
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
      Read(topic);
      return;
    }
    if (!result.m_page) {
      OnFailure(topic, result.m_reason);
      return;
    }
    if (std::exchange(topic.m_is_failing, false)) {
      LogEvent(LogLevel::kInfo, "store_regained")
          .Add("topic", static_cast<int64_t>(topic.m_topic))
          .Add("failures", topic.m_failures);
    }
    topic.m_failures = 0;
    topic.m_is_loaded = true;
    topic.m_read_at = BootNow();
    const bool was_following = std::exchange(topic.m_has_snapshot, true);
    topic.m_next = std::max(topic.m_next, result.m_page->m_next);
    const bool has_records = !result.m_page->m_records.empty();
    for (const StoreRecord& record : result.m_page->m_records) {
      ApplyRecord(record);
    }
    if (!m_is_reading) {
      return;
    }
    size_t bytes = 0;
    for (const StoreRecord& record : result.m_page->m_records) {
      bytes += record.m_value.size();
    }
    if (topic.m_topic == StoreTopic::kConfig && was_following &&
        bytes > m_options.m_large_bytes) {
      // More versions may follow shortly, and only the newest one counts.
      topic.m_has_snapshot = false;
      ReadAfter(topic, m_options.m_large_pause);
      return;
    }
    if (!has_records) {
      Read(topic);
      return;
    }
    ReadAfter(topic, topic.m_topic == StoreTopic::kConfig
                         ? m_options.m_config_pause
                         : m_options.m_member_pause);
  }

  void OnFailure(Topic& topic, const std::string& reason) {
    if (!std::exchange(topic.m_is_failing, true)) {
      LogEvent(LogLevel::kWarn, "store_lost")
          .Add("topic", static_cast<int64_t>(topic.m_topic))
          .Add("reason", reason);
    }
    constexpr uint32_t kMaxBackoffDoublings = 5;
    const auto doublings = std::min(topic.m_failures++, kMaxBackoffDoublings);
    ReadAfter(topic, std::min(m_options.m_max_backoff,
                              m_options.m_min_backoff * (1 << doublings)));
  }

  void ReadAfter(Topic& topic, Duration pause) {
    topic.m_timer.expires_after(pause);
    topic.m_timer.async_wait([this, &topic, generation = topic.m_generation](
                                 const asio::error_code& error) {
      if (!error && generation == topic.m_generation && m_is_reading) {
        Read(topic);
      }
    });
  }

  void ApplyRecord(const StoreRecord& record) {
    Topic& topic = TopicState(record.m_topic);
    StoreRecord& newest = topic.m_newest[record.m_key];
    const bool is_new = newest.m_key.empty();
    if (!is_new && record.m_offset <= newest.m_offset) {
      return;
    }
    newest = record;
    topic.m_next = std::max(topic.m_next, LogOffset(record.m_offset.Get() + 1));
    m_on_record(record);
  }

  Store& m_store;
  StoreReaderOptions m_options;
  std::function<void(const StoreRecord&)> m_on_record;
  std::array<Topic, 2> m_topics;
  bool m_is_reading = false;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MESH_STORE_READER_H_
