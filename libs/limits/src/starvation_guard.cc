#include "sequoiastage/limits/starvation_guard.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace sequoiastage {

void StarvationGuard::OnAsked(AccountId account, TimePoint now) {
  Decay(now);
  m_asked += 1;
  const auto [item, is_new] = m_accounts.try_emplace(account);
  Entry& entry = item->second;
  if (is_new) {
    entry.m_owed = std::uniform_real_distribution<double>(0, 1)(m_random);
  }
  entry.m_owed = std::min(
      m_options.m_max_owed,
      entry.m_owed + m_options.m_min_relative_service *
                         std::min(1.0, m_served / std::max(1.0, m_asked)));
  entry.m_asked_at = now;
  if (m_accounts.size() > m_options.m_max_accounts) {
    EvictOldest();
  }
}

void StarvationGuard::OnServed(AccountId account, TimePoint now) {
  Decay(now);
  m_served += 1;
  const auto found = m_accounts.find(account);
  if (found != m_accounts.end()) {
    found->second.m_owed = std::max(0.0, found->second.m_owed - 1);
  }
}

bool StarvationGuard::IsStarved(AccountId account) const {
  const auto found = m_accounts.find(account);
  return found != m_accounts.end() && found->second.m_owed >= 1;
}

size_t StarvationGuard::StarvedCount() const {
  return static_cast<size_t>(
      std::count_if(m_accounts.begin(), m_accounts.end(),
                    [](const auto& item) { return item.second.m_owed >= 1; }));
}

size_t StarvationGuard::AccountsSince(TimePoint since) const {
  return static_cast<size_t>(std::count_if(
      m_accounts.begin(), m_accounts.end(),
      [since](const auto& item) { return item.second.m_asked_at >= since; }));
}

void StarvationGuard::Decay(TimePoint now) {
  if (now <= m_latest) {
    return;
  }
  const double factor =
      std::exp2(-std::chrono::duration<double>(now - m_latest) /
                std::chrono::duration<double>(m_options.m_half_life));
  m_asked *= factor;
  m_served *= factor;
  m_latest = now;
}

void StarvationGuard::EvictOldest() {
  std::vector<TimePoint> times;
  times.reserve(m_accounts.size());
  for (const auto& [account, entry] : m_accounts) {
    times.push_back(entry.m_asked_at);
  }
  const auto middle =
      times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
  std::nth_element(times.begin(), middle, times.end());
  std::erase_if(m_accounts, [limit = *middle](const auto& item) {
    return item.second.m_asked_at <= limit;
  });
}

}  // namespace sequoiastage
