#ifndef SEQUOIASTAGE_MEMBERSHIP_GROUP_EXCHANGE_P_H_
#define SEQUOIASTAGE_MEMBERSHIP_GROUP_EXCHANGE_P_H_

#include <cstdint>
#include <map>
#include <vector>

#include "member_table_p.h"
#include "outbox_p.h"

namespace sequoiastage {

/// Sends the reports of this node's services to the other nodes that host them,
/// spread evenly over the interval.
class GroupExchange {
 public:
  GroupExchange(NodeId self, Duration interval, uint32_t bytes_per_second);

  void SetReport(ServiceId service, std::vector<uint8_t> bytes);
  void Receive(NodeId from, const GroupReportMessage& message);
  std::vector<GroupReport> TakeReceived();

  /// Sends the reports that are due. Returns the number of reports sent.
  uint32_t OnTick(const MemberTable& table,
                  uint64_t change_count,
                  TimePoint now,
                  Outbox& outbox);

 private:
  struct Recipient {
    NodeId m_node;
    ServiceId m_service;

    friend auto operator<=>(const Recipient&, const Recipient&) = default;
  };

  void UpdateRecipients(const MemberTable& table);
  double ReportsPerSecond() const;

  NodeId m_self;
  Duration m_interval;
  uint32_t m_bytes_per_second;
  std::map<ServiceId, std::vector<uint8_t>> m_reports;
  std::vector<GroupReport> m_received;
  std::vector<Recipient> m_recipients;
  bool m_reports_changed = false;
  uint64_t m_recipients_change_count = 0;
  TimePoint m_recipients_updated_at;
  TimePoint m_last_tick;
  double m_due_reports = 0;
  /// Initialized differently on each node; otherwise nodes that start together
  /// would all report to the same node at the same time.
  std::size_t m_next_recipient;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MEMBERSHIP_GROUP_EXCHANGE_P_H_
