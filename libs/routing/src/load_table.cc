#include "sequoiastage/routing/load_table.h"

#include <algorithm>
#include <cmath>

namespace sequoiastage {

void LoadTable::OnSent(InstanceId instance, TimePoint now) {
  Entry& entry = m_entries[instance];
  ++entry.m_own_in_flight;
  entry.m_last_used_at = now;
}

void LoadTable::OnEnded(InstanceId instance, TimePoint now) {
  Entry& entry = m_entries[instance];
  if (entry.m_own_in_flight > 0) {
    --entry.m_own_in_flight;
  }
  entry.m_last_used_at = now;
}

void LoadTable::OnReport(InstanceId instance,
                         const LoadReport& report,
                         TimePoint now) {
  Entry& entry = m_entries[instance];
  entry.m_report = report;
  entry.m_reported_at = now;
  entry.m_own_in_flight_at_report = entry.m_own_in_flight;
  entry.m_last_used_at = now;
}

LoadEstimate LoadTable::Estimate(InstanceId instance, TimePoint now) const {
  const auto found = m_entries.find(instance);
  if (found == m_entries.end()) {
    return {};
  }
  const Entry& entry = found->second;
  LoadEstimate estimate{.m_load = static_cast<double>(entry.m_own_in_flight),
                        .m_own_in_flight = entry.m_own_in_flight};
  if (!entry.m_reported_at) {
    return estimate;
  }
  const Duration age = now - *entry.m_reported_at;
  estimate.m_age = age;
  const double half_lives = static_cast<double>(age.count()) /
                            static_cast<double>(m_options.m_half_life.count());
  // This node's share of the reported load is known exactly; only the load of
  // other nodes decays.
  const int reported = entry.m_report.m_in_use + entry.m_report.m_queued;
  const int others =
      std::max(reported - static_cast<int>(entry.m_own_in_flight_at_report), 0);
  estimate.m_load += others * std::exp2(-half_lives);
  if (age <= m_options.m_max_report_age) {
    estimate.m_suspect = entry.m_report.m_suspect;
    estimate.m_best_sibling = entry.m_report.m_best_sibling;
  }
  return estimate;
}

void LoadTable::Sweep(TimePoint now) {
  std::erase_if(m_entries, [&](const auto& item) {
    const Entry& entry = item.second;
    return entry.m_own_in_flight == 0 &&
           now - entry.m_last_used_at > m_options.m_entry_lifetime;
  });
}

}  // namespace sequoiastage
