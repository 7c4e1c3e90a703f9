#ifndef SEQUOIASTAGE_MESH_RELAY_FEED_H_
#define SEQUOIASTAGE_MESH_RELAY_FEED_H_

#include <algorithm>
#include <optional>

#include "sequoiastage/base/store_position.h"
#include "sequoiastage/base/time.h"

namespace sequoiastage {

/// Positions of the next record of each topic of the store.
struct RelayPositions {
  StorePosition m_config;
  StorePosition m_member;
};

/// What a relay has passed on to one subscriber.
///
/// Load pattern: a relay follows the store, but the task that passes changes on
/// fails. If it reported the age of its own copy, its subscribers would neither
/// read the store nor change their relay. The age that it reports is therefore
/// that of what it has passed on.
class RelayFeed {
 public:
  /// Minimum time between two messages with changes.
  static constexpr Duration kMinSpacing = std::chrono::milliseconds(700);

  RelayFeed() = default;
  /// `next`: what the subscriber asked for.
  explicit RelayFeed(const RelayPositions& next) : m_next(next) {}

  const RelayPositions& Next() const { return m_next; }

  /// Whether a message with changes is to be sent, given the end of the relay's
  /// copy: the first one immediately, those that follow shortly after together.
  bool IsDue(const RelayPositions& end, TimePoint now) const {
    return IsBehind(end) && (!m_sent_at || now - *m_sent_at > kMinSpacing);
  }

  /// Age to report to the subscriber. `copy_age`: that of the relay's copy.
  Duration Age(const RelayPositions& end, Duration copy_age, TimePoint now) {
    if (!IsBehind(end)) {
      m_behind_since.reset();
      return copy_age;
    }
    m_behind_since = m_behind_since.value_or(now);
    return std::max(copy_age, now - *m_behind_since);
  }

  /// Called when everything up to `end` was passed on.
  void OnSent(const RelayPositions& end, TimePoint now) {
    m_next = end;
    m_sent_at = now;
    m_behind_since.reset();
  }

 private:
  bool IsBehind(const RelayPositions& end) const {
    return m_next.m_config < end.m_config || m_next.m_member < end.m_member;
  }

  RelayPositions m_next;
  std::optional<TimePoint> m_sent_at;
  // When Age() first found changes that have not been passed on.
  std::optional<TimePoint> m_behind_since;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MESH_RELAY_FEED_H_
