#ifndef SEQUOIASTAGE_MESH_LOCAL_INSTANCE_H_
#define SEQUOIASTAGE_MESH_LOCAL_INSTANCE_H_

#include <optional>
#include <string>

#include "sequoiastage/base/time.h"
#include "sequoiastage/mesh/platform.h"

namespace sequoiastage {

/// Tracks which instance runs on this host, based on announcements that may be
/// late, duplicated, or sent by an earlier incarnation.
///
/// An incarnation with a later start time replaces an earlier one. A
/// deregistered instance is not restored by announcements with the same start
/// time. If the host's clock was set back, an incarnation with an earlier start
/// time replaces the current one after that has sent no announcements for a
/// while.
class LocalInstance {
 public:
  /// Effect of an event.
  enum class Change : uint8_t {
    /// Nothing that has to be published.
    kNone,
    /// The active instance, its service, its address or its slots changed, or
    /// it is leaving.
    kChanged,
    /// Ignored: from an earlier incarnation or older than the latest
    /// announcement.
    kStale,
  };

  Change OnAnnounce(const InstanceAnnouncement& announcement, TimePoint now);

  /// Returns kChanged when `name` is the current instance.
  Change OnDeregister(const std::string& name);

  /// The instance stated in a response that it is leaving. Irreversible for
  /// this incarnation, whatever it announces.
  Change OnLeaving(const std::string& name, uint64_t start_time_ms);

  /// Restores the departure of an instance that an earlier process of this node
  /// has acknowledged. Returns kChanged when it ended the current instance.
  Change RestoreDeparture(const std::string& name, uint64_t start_time_ms);

  /// The current instance if it is leaving or has ended; otherwise null.
  const InstanceAnnouncement* Departed() const;

  /// Called when another instance responded at the address of the current one.
  Change OnMismatch();

  /// Instance that accepts requests; null when there is none or it is leaving.
  const InstanceAnnouncement* ActiveInstance() const;

 private:
  std::optional<InstanceAnnouncement> m_current;
  bool m_has_ended = false;
  TimePoint m_last_announced_at{};
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MESH_LOCAL_INSTANCE_H_
