#ifndef SEQUOIASTAGE_NODE_EJECTION_KEEPER_P_H_
#define SEQUOIASTAGE_NODE_EJECTION_KEEPER_P_H_

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "config_feed_p.h"
#include "egress_p.h"
#include "sequoiastage/config/ejections.h"
#include "sequoiastage/membership/membership.h"

namespace sequoiastage {

// The newest that is known of an instance of an own service.
struct Sibling {
  PeerSummary m_summary;
  InstanceLoad m_load;
};

using Siblings = std::map<std::pair<ServiceId, InstanceId>, Sibling>;

// Turns verdicts of the own egress into ejection grants and readmissions on the
// log, and says which ejections this node heeds. Owned by the control thread.
class EjectionKeeper {
 public:
  EjectionKeeper(const Membership* membership, ConfigFeed* feed)
      : m_membership(membership), m_feed(feed) {}

  // Asks for what the judges of the own instances want, each at most once in
  // kAskInterval.
  void OnReports(const std::vector<InstanceReport>& reports,
                 const Siblings& siblings,
                 TimePoint now);

  // To be called when members or ejections have changed.
  void Refresh();

  // Whether the run gets no work at this node.
  bool IsEjected(InstanceId instance, Incarnation incarnation) const;

 private:
  void AskForEjection(const InstanceReport& report, const Siblings& siblings);
  void AskForReadmission(const InstanceReport& report);
  RecordHeader MakeHeader(const char* kind, const InstanceReport& report);
  std::vector<InstanceStatus> StatusesOf(ServiceId service,
                                         const Siblings& siblings) const;
  const std::string* NameOf(ServiceId service) const;

  const Membership* m_membership;
  ConfigFeed* m_feed;
  std::set<InstanceRun> m_heeded;
  std::map<InstanceId, TimePoint> m_asked;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_NODE_EJECTION_KEEPER_P_H_
