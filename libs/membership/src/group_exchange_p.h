#ifndef SEQUOIASTAGE_MEMBERSHIP_GROUP_EXCHANGE_P_H_
#define SEQUOIASTAGE_MEMBERSHIP_GROUP_EXCHANGE_P_H_

#include <cstdint>
#include <map>
#include <vector>

#include "member_table_p.h"
#include "outbox_p.h"

namespace sequoiastage {

/// Sends the reports of this node's services to the other nodes that host them,
/// evenly over the interval.
class GroupExchange {
 public:
  GroupExchange(NodeId own, Duration interval, uint32_t bytes_per_second);

  void SetReport(ServiceId service, std::vector<uint8_t> bytes);
  void Receive(NodeId from, const GroupPart& part);
  std::vector<GroupReport> Take();

  /// Sends what is due. Returns the number of reports sent.
  uint32_t OnTick(const MemberTable& table,
                  uint64_t change_count,
                  TimePoint now,
                  Outbox& outbox);

 private:
  struct Pair {
    NodeId m_node;
    ServiceId m_service;

    friend auto operator<=>(const Pair&, const Pair&) = default;
  };

  void FindPairs(const MemberTable& table);
  double PairsPerSecond() const;

  NodeId m_own;
  Duration m_interval;
  uint32_t m_bytes_per_second;
  std::map<ServiceId, std::vector<uint8_t>> m_reports;
  std::vector<GroupReport> m_received;
  std::vector<Pair> m_pairs;
  bool m_reports_changed = false;
  uint64_t m_pairs_change_count = 0;
  TimePoint m_pairs_found_at;
  TimePoint m_last_tick;
  double m_due = 0;
  /// Starts elsewhere at each node: else nodes that start together would all
  /// report to the same one at a time.
  std::size_t m_next;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MEMBERSHIP_GROUP_EXCHANGE_P_H_
