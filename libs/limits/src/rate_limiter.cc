#include "sequoiastage/limits/rate_limiter.h"

#include <algorithm>

namespace sequoiastage {

namespace {

// Part of a token that rounding may cost.
constexpr double kRounding = 1e-6;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void RateLimiter::SetRate(std::optional<RequestRate> rate, TimePoint now) {
  const bool was_limited = m_rate.has_value();
  const double tokens = TokensAt(now);
  m_rate = rate;
  if (m_rate) {
    m_rate = std::max(*m_rate, m_options.m_min_rate);
  }
  m_tokens = was_limited ? tokens : 1;
  m_updated_at = now;
  m_tokens = TokensAt(now);  // Applies the bucket size of the new rate.
}

double RateLimiter::TokensAt(TimePoint now) const {
  if (!m_rate) {
    return 0;
  }
  const double rate = m_rate->Get();
  const double size = std::max(1.0, rate * Seconds(m_options.m_burst));
  return std::min(size, m_tokens + rate * Seconds(now - m_updated_at));
}

Duration RateLimiter::WaitTime(TimePoint now, size_t requests_ahead) const {
  if (!m_rate) {
    return Duration{};
  }
  const double missing =
      1 + static_cast<double>(requests_ahead) - TokensAt(now);
  if (missing <= kRounding) {
    return Duration{};
  }
  return std::chrono::ceil<Duration>(
      std::chrono::duration<double>(missing / m_rate->Get()));
}

void RateLimiter::OnStart(TimePoint now) {
  if (!m_rate) {
    return;
  }
  m_tokens = TokensAt(now) - 1;
  m_updated_at = now;
}

}  // namespace sequoiastage
