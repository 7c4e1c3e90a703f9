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

  /// Whether no topic is behind `other`.
  bool Reaches(const RelayPositions& other) const {
    return m_config >= other.m_config && m_member >= other.m_member;
  }

  friend auto operator<=>(const RelayPositions&,
                          const RelayPositions&) = default;
};

/// What a relay has passed on to one subscriber.
///
/// Load pattern: a relay follows the store, but the task that passes changes on
/// fails. If it reported the age of its own copy, its subscribers would neither
/// read the store nor change their relay. The age that it reports is therefore
/// that of what it has passed on.
///
/// Load pattern: large changes follow each other faster than the link takes
/// them. If each was queued behind the one before, subscribers would fall
/// further behind with every change. A subscriber that confirms what it has
/// received is sent nothing until it does, and then everything newer at once.
class RelayFeed {
 public:
  /// Minimum time between two messages with changes.
  static constexpr Duration kMinSpacing = std::chrono::milliseconds(700);

  RelayFeed() = default;
  /// `next`: what the subscriber asked for.
  explicit RelayFeed(const RelayPositions& next) : m_next(next) {}

  const RelayPositions& Next() const { return m_next; }

  /// Whether the subscriber has not confirmed the last message with changes.
  bool IsAwaiting() const { return m_awaited.has_value(); }

  /// Whether a message with changes is to be sent, given the end of the relay's
  /// copy: the first one immediately, those that follow shortly after together.
  bool IsDue(const RelayPositions& end, TimePoint now) const {
    return IsBehind(end) && !m_awaited &&
           (!m_sent_at || now - *m_sent_at > kMinSpacing);
  }

  /// Age to report to the subscriber. `copy_age`: that of the relay's copy.
  Duration Age(const RelayPositions& end, Duration copy_age, TimePoint now) {
    if (!IsBehind(end) && !m_awaited) {
      m_behind_since.reset();
      return copy_age;
    }
    m_behind_since = m_behind_since.value_or(now);
    return std::max(copy_age, now - *m_behind_since);
  }

  /// Called when everything up to `end` was passed on. `last`: the positions
  /// after the last records among that, empty when there were none. `confirms`:
  /// the subscriber calls for OnConfirmed() when it has them.
  void OnSent(const RelayPositions& end,
              const std::optional<RelayPositions>& last,
              bool confirms,
              TimePoint now) {
    m_next = end;
    m_sent_at = last ? now : m_sent_at;
    m_awaited = confirms ? last : std::nullopt;
    m_behind_since =
        m_awaited ? m_behind_since.value_or(now) : std::optional<TimePoint>();
  }

  /// Called when the subscriber states the positions that it has reached. What
  /// it lacks of the last message is sent again.
  void OnConfirmed(const RelayPositions& reached) {
    if (m_awaited && !reached.Reaches(*m_awaited)) {
      m_next = reached;
    }
    m_awaited.reset();
    m_behind_since.reset();
  }

 private:
  bool IsBehind(const RelayPositions& end) const {
    return !m_next.Reaches(end);
  }

  RelayPositions m_next;
  // Positions that the subscriber reaches with the message in transit; empty
  // when there is none.
  std::optional<RelayPositions> m_awaited;
  std::optional<TimePoint> m_sent_at;
  // Since when the subscriber has lacked something, as far as this is known.
  std::optional<TimePoint> m_behind_since;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MESH_RELAY_FEED_H_
