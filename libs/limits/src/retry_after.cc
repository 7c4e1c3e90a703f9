#include "sequoiastage/limits/retry_after.h"

#include <algorithm>
#include <cmath>

namespace sequoiastage {

namespace {

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void RetryAfter::OnAnswered(TimePoint now) {
  Decay(now);
  m_answered += 1;
}

void RetryAfter::OnRefused(TimePoint now) {
  Decay(now);
  m_refused += 1;
}

std::chrono::seconds RetryAfter::Draw(TimePoint now, std::mt19937_64& random) {
  Decay(now);
  const double min = static_cast<double>(m_options.m_min.count());
  const double max = static_cast<double>(m_options.m_max.count());
  const double answered_per_s =
      std::max(1.0, m_answered) / Seconds(m_options.m_window);
  const double expected = m_refused / answered_per_s;
  const double upper = std::clamp(2 * expected, min, max);
  std::uniform_real_distribution<double> distribution(min, upper);
  return std::chrono::seconds(
      static_cast<int64_t>(std::ceil(distribution(random))));
}

void RetryAfter::Decay(TimePoint now) {
  if (now <= m_latest) {
    return;
  }
  const double factor =
      std::exp(-Seconds(now - m_latest) / Seconds(m_options.m_window));
  m_answered *= factor;
  m_refused *= factor;
  m_latest = now;
}

}  // namespace sequoiastage
