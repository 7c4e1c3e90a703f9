#include "group_exchange_p.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace sequoiastage {
namespace {

/// Size of the IP, UDP, datagram and message headers, in bytes.
constexpr double kReportOverheadBytes = 28 + 18 + 7;
/// Maximum number of reports buffered until the owner takes them.
constexpr std::size_t kMaxReceivedReports = 4096;

/// Minimum time between two updates of the recipients.
Duration RecipientUpdateInterval(std::size_t members) {
  return std::max<Duration>(std::chrono::milliseconds(500),
                            std::chrono::milliseconds(members));
}

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

GroupExchange::GroupExchange(NodeId self,
                             Duration interval,
                             uint32_t bytes_per_second)
    : m_self(self),
      m_interval(interval),
      m_bytes_per_second(bytes_per_second),
      m_next_recipient(std::hash<NodeId>()(self)) {}

void GroupExchange::SetReport(ServiceId service, std::vector<uint8_t> bytes) {
  m_reports_changed |= !m_reports.contains(service);
  m_reports[service] = std::move(bytes);
}

void GroupExchange::Receive(NodeId from, const GroupReportMessage& message) {
  if (m_received.size() < kMaxReceivedReports) {
    m_received.push_back({.m_from = from,
                          .m_service = message.m_service,
                          .m_bytes = message.m_bytes});
  }
}

std::vector<GroupReport> GroupExchange::TakeReceived() {
  return std::exchange(m_received, {});
}

uint32_t GroupExchange::OnTick(const MemberTable& table,
                               uint64_t change_count,
                               TimePoint now,
                               Outbox& outbox) {
  const double elapsed = std::min(Seconds(now - m_last_tick), 1.0);
  m_last_tick = now;
  if (m_reports.empty()) {
    return 0;
  }
  const bool is_update_due = now - m_recipients_updated_at >=
                             RecipientUpdateInterval(table.Records().size());
  if (m_reports_changed ||
      (m_recipients_change_count != change_count && is_update_due)) {
    m_reports_changed = false;
    m_recipients_change_count = change_count;
    m_recipients_updated_at = now;
    UpdateRecipients(table);
  }
  m_due_reports += elapsed * ReportsPerSecond();
  uint32_t sent = 0;
  for (; m_due_reports >= 1 && sent < m_recipients.size();
       m_due_reports -= 1, ++sent) {
    const Recipient& recipient =
        m_recipients[m_next_recipient++ % m_recipients.size()];
    outbox.Send(
        recipient.m_node,
        GroupReportMessage{.m_service = recipient.m_service,
                           .m_bytes = m_reports.at(recipient.m_service)});
  }
  return sent;
}

void GroupExchange::UpdateRecipients(const MemberTable& table) {
  m_recipients.clear();
  for (const MemberRecord& record : table.Records()) {
    const MemberEntry& entry = record.m_entry;
    if (entry.m_node == m_self || entry.m_state == HostState::kLeft) {
      continue;
    }
    for (const InstanceEntry& instance : entry.m_instances) {
      if (instance.m_state != InstanceState::kRemoved &&
          m_reports.contains(instance.m_service)) {
        m_recipients.push_back(
            {.m_node = entry.m_node, .m_service = instance.m_service});
      }
    }
  }
  std::sort(m_recipients.begin(), m_recipients.end());
  m_recipients.erase(std::unique(m_recipients.begin(), m_recipients.end()),
                     m_recipients.end());
  m_due_reports =
      std::min(m_due_reports, static_cast<double>(m_recipients.size()));
}

double GroupExchange::ReportsPerSecond() const {
  if (m_recipients.empty()) {
    return 0;
  }
  double bytes = 0;
  for (const auto& [service, report] : m_reports) {
    bytes += kReportOverheadBytes + static_cast<double>(report.size());
  }
  bytes /= static_cast<double>(m_reports.size());
  return std::min(
      static_cast<double>(m_recipients.size()) / Seconds(m_interval),
      m_bytes_per_second / bytes);
}

}  // namespace sequoiastage
