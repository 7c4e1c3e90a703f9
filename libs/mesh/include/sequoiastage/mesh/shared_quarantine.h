#ifndef SEQUOIASTAGE_MESH_SHARED_QUARANTINE_H_
#define SEQUOIASTAGE_MESH_SHARED_QUARANTINE_H_

#include <functional>
#include <optional>
#include <utility>
#include <vector>

#include "sequoiastage/health/request_quarantine.h"
#include "sequoiastage/mesh/member_record.h"

namespace sequoiastage {

struct SharedQuarantineOptions {
  RequestQuarantineOptions m_quarantine{};
  /// A crash at another host, as told by its egress, is published here too when
  /// that node has not published it by then.
  Duration m_publish_timeout = std::chrono::milliseconds(1500);
  /// Maximum number of reports of each kind in one member record; the newest
  /// ones are kept.
  size_t m_max_published = 8;
};

/// RequestQuarantine of one node. The nodes share their reports through their
/// member records, which outlive the processes that wrote them.
class SharedQuarantine {
 public:
  /// `on_change` is called when the record of `self` has to be written again.
  SharedQuarantine(NodeId self,
                   const SharedQuarantineOptions& options,
                   std::function<void()> on_change)
      : m_self(self),
        m_options(options),
        m_quarantine(options.m_quarantine),
        m_on_change(std::move(on_change)) {}

  /// An instance crashed: that of this host, or one whose egress told so in the
  /// outcome of an attempt.
  void OnCrash(const CrashReport& report, WallTime now);

  /// A request got a complete response.
  void OnExecuted(RequestFingerprint request, WallTime now);

  /// Applies the reports in a member record; those of an earlier process of
  /// this node are published again.
  void OnMember(const MemberRecord& member, WallTime now);

  /// Publishes what other nodes should have published, and forgets reports that
  /// have expired. Call it periodically.
  void Tick(WallTime now);

  /// Adds the reports of this node to its member record.
  void AddTo(MemberRecord& self, WallTime now) const;

  /// Time until the quarantine of the request ends; empty when it has none.
  std::optional<Duration> TimeLeft(RequestFingerprint request, WallTime now) {
    return m_quarantine.TimeLeft(request, now);
  }

  /// True: no instance has crashed lately, and no request is in quarantine.
  bool IsEmpty() const { return m_quarantine.IsEmpty(); }

  const RequestQuarantine& Reports() const { return m_quarantine; }

 private:
  void Publish(const CrashReport& report);
  void Publish(const ExecutionReport& report);
  void LogNew(WallTime now);

  NodeId m_self;
  SharedQuarantineOptions m_options;
  RequestQuarantine m_quarantine;
  std::function<void()> m_on_change;
  std::vector<CrashReport> m_published_crashes;
  std::vector<ExecutionReport> m_published_executions;
  // Crashes at other hosts that their nodes have not published yet, with the
  // time at which this node learned of them.
  std::vector<std::pair<CrashReport, WallTime>> m_unpublished;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MESH_SHARED_QUARANTINE_H_
