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
  Entry& entry = m_uses[account];
  entry.m_seconds = Decayed(entry, now) + Seconds(slot_time);
  entry.m_at = now;
  if (m_uses.size() > m_options.m_max_accounts) {
    ForgetSmallUses(now);
  }
}

double FairShares::Use(AccountId account, TimePoint now) const {
  const auto found = m_uses.find(account);
  return found == m_uses.end() ? 0 : Decayed(found->second, now);
}

double FairShares::Decayed(const Entry& entry, TimePoint now) const {
  const double half_lives =
      Seconds(now - entry.m_at) / Seconds(m_options.m_half_life);
  return entry.m_seconds * std::exp2(-std::max(0.0, half_lives));
}

// Drops the half of the accounts with the least use.
void FairShares::ForgetSmallUses(TimePoint now) {
  std::vector<double> uses;
  uses.reserve(m_uses.size());
  for (const auto& [account, entry] : m_uses) {
    uses.push_back(Decayed(entry, now));
  }
  const auto middle =
      uses.begin() + static_cast<std::ptrdiff_t>(uses.size() / 2);
  std::nth_element(uses.begin(), middle, uses.end());
  const double limit = *middle;
  std::erase_if(m_uses, [&](const auto& item) {
    return Decayed(item.second, now) <= limit;
  });
}

}  // namespace sequoiastage
