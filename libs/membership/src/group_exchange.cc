#include "group_exchange_p.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace sequoiastage {
namespace {

/// IP, UDP and datagram header and part header, in bytes.
constexpr double kReportOverheadBytes = 28 + 18 + 7;
/// Reports kept until the owner takes them.
constexpr std::size_t kMaxReceivedReports = 4096;

/// Least time between two searches for peers.
Duration SearchInterval(std::size_t members) {
  return std::max<Duration>(std::chrono::milliseconds(500),
                            std::chrono::milliseconds(members));
}

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

GroupExchange::GroupExchange(NodeId own,
                             Duration interval,
                             uint32_t bytes_per_second)
    : m_own(own),
      m_interval(interval),
      m_bytes_per_second(bytes_per_second),
      m_next(std::hash<NodeId>()(own)) {}

void GroupExchange::SetReport(ServiceId service, std::vector<uint8_t> bytes) {
  m_reports_changed |= !m_reports.contains(service);
  m_reports[service] = std::move(bytes);
}

void GroupExchange::Receive(NodeId from, const GroupPart& part) {
  if (m_received.size() < kMaxReceivedReports) {
    m_received.push_back(
        {.m_from = from, .m_service = part.m_service, .m_bytes = part.m_bytes});
  }
}

std::vector<GroupReport> GroupExchange::Take() {
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
  const bool is_search_due =
      now - m_pairs_found_at >= SearchInterval(table.Records().size());
  if (m_reports_changed ||
      (m_pairs_change_count != change_count && is_search_due)) {
    m_reports_changed = false;
    m_pairs_change_count = change_count;
    m_pairs_found_at = now;
    FindPairs(table);
  }
  m_due += elapsed * PairsPerSecond();
  uint32_t sent = 0;
  for (; m_due >= 1 && sent < m_pairs.size(); m_due -= 1, ++sent) {
    const Pair& pair = m_pairs[m_next++ % m_pairs.size()];
    outbox.Send(pair.m_node,
                GroupPart{.m_service = pair.m_service,
                          .m_bytes = m_reports.at(pair.m_service)});
  }
  return sent;
}

void GroupExchange::FindPairs(const MemberTable& table) {
  m_pairs.clear();
  for (const MemberRecord& record : table.Records()) {
    const MemberEntry& entry = record.m_entry;
    if (entry.m_node == m_own || entry.m_state == HostState::kLeft) {
      continue;
    }
    for (const InstanceEntry& instance : entry.m_instances) {
      if (instance.m_state != InstanceState::kGone &&
          m_reports.contains(instance.m_service)) {
        m_pairs.push_back(
            {.m_node = entry.m_node, .m_service = instance.m_service});
      }
    }
  }
  std::sort(m_pairs.begin(), m_pairs.end());
  m_pairs.erase(std::unique(m_pairs.begin(), m_pairs.end()), m_pairs.end());
  m_due = std::min(m_due, static_cast<double>(m_pairs.size()));
}

double GroupExchange::PairsPerSecond() const {
  if (m_pairs.empty()) {
    return 0;
  }
  double bytes = 0;
  for (const auto& [service, report] : m_reports) {
    bytes += kReportOverheadBytes + static_cast<double>(report.size());
  }
  bytes /= static_cast<double>(m_reports.size());
  return std::min(static_cast<double>(m_pairs.size()) / Seconds(m_interval),
                  m_bytes_per_second / bytes);
}

}  // namespace sequoiastage
