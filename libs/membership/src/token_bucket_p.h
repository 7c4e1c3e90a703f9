#ifndef SEQUOIASTAGE_MEMBERSHIP_TOKEN_BUCKET_P_H_
#define SEQUOIASTAGE_MEMBERSHIP_TOKEN_BUCKET_P_H_

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "sequoiastage/base/time.h"

namespace sequoiastage {

/// Limits bytes per second; allows bursts of up to two seconds' worth.
class TokenBucket {
 public:
  TokenBucket(uint32_t bytes_per_second, TimePoint now)
      : m_rate(bytes_per_second),
        m_tokens(2.0 * bytes_per_second),
        m_refilled_at(now) {}

  /// The token count can drop below zero by one datagram.
  bool HasTokens(TimePoint now) {
    const double seconds =
        std::chrono::duration<double>(now - m_refilled_at).count();
    m_refilled_at = now;
    m_tokens = std::min(m_tokens + seconds * m_rate, 2.0 * m_rate);
    return m_tokens > 0;
  }
  void Spend(std::size_t bytes) { m_tokens -= static_cast<double>(bytes); }

 private:
  double m_rate;
  double m_tokens;
  TimePoint m_refilled_at;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MEMBERSHIP_TOKEN_BUCKET_P_H_
