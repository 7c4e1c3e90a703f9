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
  /// Longest wait of one read for a change. Bounds how long a node does not
  /// notice that it is cut off from the store.
  Duration m_config_wait = std::chrono::milliseconds(700);
  Duration m_member_wait = std::chrono::seconds(4);
  /// Pause after a read that brought records, so that records written one after
  /// the other cost one read.
  Duration m_config_pause = std::chrono::milliseconds(150);
  Duration m_member_pause = std::chrono::milliseconds(300);
  /// After a configuration of this size the newest one is read after a pause,
  /// instead of every one that was written meanwhile.
  size_t m_large_bytes = size_t{16} << 10;
  Duration m_large_pause = std::chrono::milliseconds(600);
  /// Pause after a failed call, doubled up to the longest.
  Duration m_first_retry = std::chrono::milliseconds(250);
  Duration m_longest_retry = std::chrono::seconds(1);
};

/// What the store holds, as far as this node knows: the newest record of each
/// key, read from the store or passed on by another node. Records only go
/// forward by their offset.
template <PlatformStore Store>
class StoreReader {
 public:
  /// `on_record` is called for each record that is new here.
  StoreReader(asio::io_context& io,
              Store& store,
              const StoreReaderOptions& options,
              std::function<void(const StoreRecord&)> on_record)
      : m_store(store),
        m_options(options),
        m_on_record(std::move(on_record)),
        m_topics{Topic(io, StoreTopic::kConfig),
                 Topic(io, StoreTopic::kMembers)} {}

  /// Reads from now on until Stop().
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
      ++topic.m_turn;
      topic.m_timer.cancel();
      m_store.StopFollowing(topic.m_topic);
    }
  }

  bool IsReading() const { return m_is_reading; }

  /// A record that another node has read.
  void OnRelayed(const StoreRecord& record) { Take(record); }

  /// Since this node read the configuration topic successfully.
  Duration Age(TimePoint now) const { return now - m_topics[0].m_read_at; }

  /// Whether both topics have been read at least once, here or elsewhere.
  bool HasRead() const {
    return m_topics[0].m_is_known && m_topics[1].m_is_known;
  }

  void MarkKnown() {
    m_topics[0].m_is_known = true;
    m_topics[1].m_is_known = true;
  }

  LogOffset Next(StoreTopic topic) const { return At(topic).m_next; }

  /// Newest records at or after these offsets.
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
    // Of the next record to read.
    LogOffset m_next;
    // The newest records were read; changes after them are followed.
    bool m_has_base = false;
    bool m_is_known = false;
    bool m_is_failing = false;
    uint32_t m_failures = 0;
    // A call in flight of an earlier turn is ignored.
    uint64_t m_turn = 0;
    TimePoint m_read_at{};
    std::map<std::string, StoreRecord> m_newest;
    asio::steady_timer m_timer;
  };

  const Topic& At(StoreTopic topic) const {
    return m_topics[static_cast<size_t>(topic)];
  }
  Topic& At(StoreTopic topic) { return m_topics[static_cast<size_t>(topic)]; }

  void Read(Topic& topic) {
    const uint64_t turn = ++topic.m_turn;
    auto handler = [this, &topic, turn](StoreResult result) {
      if (turn == topic.m_turn && m_is_reading) {
        OnResult(topic, std::move(result));
      }
    };
    if (!topic.m_has_base) {
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
      topic.m_has_base = false;
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
    topic.m_is_known = true;
    topic.m_read_at = BootNow();
    const bool was_following = std::exchange(topic.m_has_base, true);
    topic.m_next = std::max(topic.m_next, result.m_page->m_next);
    const bool has_records = !result.m_page->m_records.empty();
    for (const StoreRecord& record : result.m_page->m_records) {
      Take(record);
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
      // Others may follow it closely, and only the newest counts.
      topic.m_has_base = false;
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
    constexpr uint32_t kMaxDoublings = 5;
    const auto doublings = std::min(topic.m_failures++, kMaxDoublings);
    ReadAfter(topic, std::min(m_options.m_longest_retry,
                              m_options.m_first_retry * (1 << doublings)));
  }

  void ReadAfter(Topic& topic, Duration pause) {
    topic.m_timer.expires_after(pause);
    topic.m_timer.async_wait(
        [this, &topic, turn = topic.m_turn](const asio::error_code& error) {
          if (!error && turn == topic.m_turn && m_is_reading) {
            Read(topic);
          }
        });
  }

  void Take(const StoreRecord& record) {
    Topic& topic = At(record.m_topic);
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
