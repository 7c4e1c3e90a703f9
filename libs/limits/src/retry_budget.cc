#include "sequoiastage/limits/retry_budget.h"

#include <algorithm>

namespace sequoiastage {

void RetryBudget::OnRequest(TimePoint now) {
  Refill(now);
  m_tokens = std::min(m_options.m_max_tokens, m_tokens + m_options.m_share);
}

bool RetryBudget::TryRetry(TimePoint now) {
  Refill(now);
  if (m_tokens < 1) {
    return false;
  }
  m_tokens -= 1;
  return true;
}

void RetryBudget::Refill(TimePoint now) {
  if (now <= m_latest) {
    return;
  }
  const double seconds = std::chrono::duration<double>(now - m_latest).count();
  m_tokens = std::min(m_options.m_max_tokens,
                      m_tokens + seconds * m_options.m_min_retries_per_s);
  m_latest = now;
}

}  // namespace sequoiastage
