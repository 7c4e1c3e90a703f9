#include "sequoiastage/routing/wait_budget.h"

#include <algorithm>

namespace sequoiastage {

WaitBudget::WaitBudget(const WaitBudgetOptions& options, Duration objective)
    : m_left(std::max(options.m_min,
                      std::chrono::duration_cast<Duration>(
                          objective * options.m_fraction))) {}

void WaitBudget::StartWaiting(TimePoint now) {
  m_waits_since = m_waits_since.value_or(now);
}

void WaitBudget::StopWaiting(TimePoint now) {
  m_left = Left(now);
  m_waits_since.reset();
}

Duration WaitBudget::Left(TimePoint now) const {
  const Duration waited = m_waits_since ? now - *m_waits_since : Duration{};
  return std::max(Duration{}, m_left - waited);
}

}  // namespace sequoiastage
