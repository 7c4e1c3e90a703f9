#ifndef SEQUOIASTAGE_NODE_EJECTION_KEEPER_P_H_
#define SEQUOIASTAGE_NODE_EJECTION_KEEPER_P_H_

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "config_feed_p.h"
#include "egress_p.h"
#include "group_report_p.h"
#include "sequoiastage/config/ejections.h"
#include "sequoiastage/membership/membership.h"

namespace sequoiastage {

// Latest health summary and load of an instance of a service with instances on
// this host.
struct Sibling {
  // As in InstanceUpdate.
  RunTag m_run;
  PeerSummary m_summary;
  InstanceLoad m_load;
};

using Siblings = std::map<std::pair<ServiceId, InstanceId>, Sibling>;

// True when the summary shows that this run of the instance works. That of an
// earlier run does not.
bool IsWorking(const Sibling& sibling, Incarnation run);

// Appends ejection grants and readmissions to the log as the local egress
// requires, and selects the ejections that this node enforces. Used on the
// control thread only.
class EjectionKeeper {
 public:
  EjectionKeeper(const Membership* membership, ConfigFeed* feed)
      : m_membership(membership), m_feed(feed) {}

  // Requests the ejections and readmissions that the reports call for, for each
  // instance at most once per kRequestInterval.
  void OnReports(const std::vector<InstanceReport>& reports,
                 const Siblings& siblings,
                 TimePoint now);

  // Must be called after a change of the members or the ejections.
  void Refresh();

  // True when this node enforces an ejection of this run of the instance.
  bool IsEjected(InstanceId instance, Incarnation incarnation) const;

 private:
  void RequestEjection(const InstanceReport& report, const Siblings& siblings);
  void RequestReadmission(const InstanceReport& report);
  RecordHeader MakeHeader(const char* kind, const InstanceReport& report);
  std::vector<InstanceStatus> CollectStatuses(ServiceId service,
                                              const Siblings& siblings) const;
  const std::string* FindServiceName(ServiceId service) const;

  const Membership* m_membership;
  ConfigFeed* m_feed;
  std::set<InstanceRun> m_enforced;
  std::map<InstanceId, TimePoint> m_last_requests;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_NODE_EJECTION_KEEPER_P_H_
