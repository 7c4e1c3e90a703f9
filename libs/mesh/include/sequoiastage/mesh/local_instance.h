#ifndef SEQUOIASTAGE_MESH_LOCAL_INSTANCE_H_
#define SEQUOIASTAGE_MESH_LOCAL_INSTANCE_H_

#include <deque>
#include <optional>
#include <string>

#include "sequoiastage/base/time.h"
#include "sequoiastage/mesh/platform.h"

namespace sequoiastage {

/// Departure of an instance. It covers every incarnation of that name that had
/// started by m_start_time_ms.
struct InstanceDeparture {
  std::string m_name;
  uint64_t m_start_time_ms = 0;
  /// m_start_time_ms is the start time of the incarnation that left, not only
  /// an upper bound.
  bool m_is_exact = true;
  /// Otherwise: start time of the first incarnation that announced itself
  /// later, which is taken for the one that left.
  std::optional<uint64_t> m_heard_start_time_ms{};

  bool Covers(const InstanceAnnouncement& announcement) const {
    return announcement.m_name == m_name &&
           announcement.m_start_time_ms <= m_start_time_ms;
  }
};

/// Tracks which instance runs on this host, based on announcements that may be
/// late, duplicated, or sent by an earlier incarnation.
///
/// An incarnation with a later start time replaces an earlier one. An
/// incarnation that has left is not restored by its announcements, whether or
/// not this process had heard of it before. If the host's clock was set back,
/// an incarnation with an earlier start time is accepted after a while: when
/// the current one has sent no announcements for that time, or when it has gone
/// on announcing itself for that time under a name that has left.
class LocalInstance {
 public:
  /// Effect of an event.
  enum class Change : uint8_t {
    /// Nothing that has to be published.
    kNone,
    /// The active instance, its service, its address or its slots changed, it
    /// is leaving, or the latest departure changed.
    kChanged,
    /// Ignored: about another incarnation, or older than the latest
    /// announcement.
    kStale,
  };

  Change OnAnnounce(const InstanceAnnouncement& announcement, TimePoint now);

  /// `start_time_ms`: start of the incarnation that leaves; 0 when it did not
  /// state it. `now` is the time by the clock of the host, as are start times.
  Change OnDeregister(const std::string& name,
                      uint64_t start_time_ms,
                      WallTime now);

  /// The instance stated in a response that it is leaving. Irreversible for
  /// this incarnation, whatever it announces.
  Change OnLeaving(const InstanceIncarnation& instance);

  /// Restores the departure of an instance that an earlier process of this node
  /// has acknowledged. Returns kChanged when it ended the current instance.
  Change RestoreDeparture(const InstanceIncarnation& instance);

  /// The latest departure; null when there was none.
  const InstanceDeparture* LatestDeparture() const {
    return m_departures.empty() ? nullptr : &m_departures.back();
  }

  /// Another instance responded at the address of this one.
  Change OnMismatch(const InstanceIncarnation& instance);

  /// Instance that accepts requests; null when there is none or it is leaving.
  const InstanceAnnouncement* ActiveInstance() const;

 private:
  // An incarnation that announces itself under a name that has left, with an
  // earlier start time.
  struct Returning {
    std::string m_name;
    uint64_t m_start_time_ms = 0;
    uint64_t m_sequence = 0;
    TimePoint m_first_announced_at;
  };

  std::deque<InstanceDeparture>::iterator FindDeparture(
      const std::string& name);
  // Returns whether the departure was new.
  bool AddDeparture(InstanceDeparture departure);
  // Whether the announcement is of an incarnation that has left.
  bool HasLeft(const InstanceAnnouncement& announcement, TimePoint now);
  // Whether `instance` is the active instance.
  bool IsActive(const InstanceIncarnation& instance) const;
  // Ends the current incarnation.
  Change End();

  std::optional<InstanceAnnouncement> m_current;
  bool m_has_ended = false;
  TimePoint m_last_announced_at{};
  // The latest ones, oldest first; one for each name.
  std::deque<InstanceDeparture> m_departures;
  std::optional<Returning> m_returning;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MESH_LOCAL_INSTANCE_H_
