#include "sequoiastage/limits/fair_shares.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace sequoiastage {

namespace {

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void FairShares::Add(AccountId account, Duration slot_time, TimePoint now) {
  Entry& entry = m_usage_by_account[account];
  entry.m_seconds = DecayedSeconds(entry, now) + Seconds(slot_time);
  entry.m_updated_at = now;
  if (m_usage_by_account.size() > m_options.m_max_accounts) {
    EvictLeastUsage(now);
  }
}

double FairShares::Usage(AccountId account, TimePoint now) const {
  const auto found = m_usage_by_account.find(account);
  return found == m_usage_by_account.end() ? 0
                                           : DecayedSeconds(found->second, now);
}

double FairShares::TotalUsage(TimePoint now) const {
  double sum = 0;
  for (const auto& [account, entry] : m_usage_by_account) {
    sum += DecayedSeconds(entry, now);
  }
  return sum;
}

double FairShares::DecayedSeconds(const Entry& entry, TimePoint now) const {
  const double half_lives =
      Seconds(now - entry.m_updated_at) / Seconds(m_options.m_half_life);
  return entry.m_seconds * std::exp2(-std::max(0.0, half_lives));
}

// Evicts the half of the accounts with the least usage.
void FairShares::EvictLeastUsage(TimePoint now) {
  std::vector<double> usages;
  usages.reserve(m_usage_by_account.size());
  for (const auto& [account, entry] : m_usage_by_account) {
    usages.push_back(DecayedSeconds(entry, now));
  }
  const auto middle =
      usages.begin() + static_cast<std::ptrdiff_t>(usages.size() / 2);
  std::nth_element(usages.begin(), middle, usages.end());
  const double limit = *middle;
  std::erase_if(m_usage_by_account, [&](const auto& item) {
    return DecayedSeconds(item.second, now) <= limit;
  });
}

}  // namespace sequoiastage
