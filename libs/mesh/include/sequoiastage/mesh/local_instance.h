#ifndef SEQUOIASTAGE_MESH_LOCAL_INSTANCE_H_
#define SEQUOIASTAGE_MESH_LOCAL_INSTANCE_H_

#include <optional>
#include <string>

#include "sequoiastage/base/time.h"
#include "sequoiastage/mesh/platform.h"

namespace sequoiastage {

/// Which instance runs on this host, from announcements that may be late, come
/// twice, or stem from an earlier run.
///
/// A newer run, by the time of its start, replaces an older one. An instance
/// that has deregistered does not return under the same start. Where the clock
/// was set back, a run that seems older replaces one that has been silent.
class LocalInstance {
 public:
  /// What an announcement changed.
  enum class Change : uint8_t {
    /// Nothing, or nothing that others need to know.
    kNone,
    /// Another run, or it leaves, or its service or slots are others.
    kChanged,
    /// Of an earlier run, or overtaken by a later announcement.
    kStale,
  };

  Change OnAnnounce(const InstanceAnnouncement& announcement, TimePoint now);

  /// kChanged when `name` was the current one.
  Change OnDeregister(const std::string& name);

  /// The instance at its address turned out to be another one.
  Change OnMismatch();

  /// The instance that takes work; null when there is none or it leaves.
  const InstanceAnnouncement* InService() const;

 private:
  std::optional<InstanceAnnouncement> m_current;
  bool m_has_ended = false;
  TimePoint m_heard_at{};
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MESH_LOCAL_INSTANCE_H_
