#ifndef SEQUOIASTAGE_HTTP_CONNECTION_LEDGER_P_H_
#define SEQUOIASTAGE_HTTP_CONNECTION_LEDGER_P_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "sequoiastage/base/ids.h"
#include "sequoiastage/base/time.h"

namespace sequoiastage {

using ConnectionNumber = Strong<struct ConnectionNumberTag, uint64_t>;

/// Decides which connection of a server is closed when others need the room.
///
/// Load pattern: many callers send requests and don't read the responses, so
/// that these fill the memory. The connection whose caller has taken nothing
/// for longest goes first; callers that read keep theirs.
///
/// Load pattern: callers open connections until the process has no descriptors
/// left. The connection that has had no request in progress for longest goes
/// first.
class ConnectionLedger {
 public:
  /// Responses of up to this size on a connection are never the reason to close
  /// it.
  static constexpr size_t kMinUnreadBytes = size_t{16} << 10;

  /// `now` counts as the last activity.
  void Add(ConnectionNumber connection, TimePoint now) {
    m_entries[connection] = {.m_active_at = now, .m_taken_at = now};
  }
  void Remove(ConnectionNumber connection) { m_entries.erase(connection); }

  /// The caller has sent a request, or was sent the last pending response.
  void SetBusy(ConnectionNumber connection, bool is_busy, TimePoint now) {
    Entry& entry = m_entries[connection];
    entry.m_is_busy = is_busy;
    entry.m_active_at = now;
  }

  /// Sets the bytes of responses that the caller has not read.
  void SetUnread(ConnectionNumber connection, size_t bytes, TimePoint now) {
    Entry& entry = m_entries[connection];
    if (entry.m_unread_bytes == 0) {
      entry.m_taken_at = now;
    }
    entry.m_unread_bytes = bytes;
  }

  /// The caller has read some bytes.
  void OnTaken(ConnectionNumber connection, TimePoint now) {
    m_entries[connection].m_taken_at = now;
  }

  size_t size() const { return m_entries.size(); }

  /// Empty when no connection has more than kMinUnreadBytes unread.
  std::optional<ConnectionNumber> StalestReader() const {
    return Oldest(
        [](const Entry& entry) {
          return entry.m_unread_bytes > kMinUnreadBytes;
        },
        &Entry::m_taken_at);
  }

  /// When the caller last took a part of what it is sent.
  TimePoint TakenAt(ConnectionNumber connection) const {
    return m_entries.at(connection).m_taken_at;
  }

  /// Empty when all connections have a request in progress.
  std::optional<ConnectionNumber> LongestWithoutRequest() const {
    return Oldest([](const Entry& entry) { return !entry.m_is_busy; },
                  &Entry::m_active_at);
  }

 private:
  struct Entry {
    TimePoint m_active_at{};
    TimePoint m_taken_at{};
    size_t m_unread_bytes = 0;
    bool m_is_busy = false;
  };

  template <class Predicate>
  std::optional<ConnectionNumber> Oldest(Predicate is_candidate,
                                         TimePoint Entry::*time) const {
    std::optional<ConnectionNumber> oldest;
    TimePoint oldest_time{};
    for (const auto& [connection, entry] : m_entries) {
      if (is_candidate(entry) && (!oldest || entry.*time < oldest_time)) {
        oldest = connection;
        oldest_time = entry.*time;
      }
    }
    return oldest;
  }

  std::unordered_map<ConnectionNumber, Entry> m_entries;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_HTTP_CONNECTION_LEDGER_P_H_
