#ifndef SEQUOIASTAGE_LIMITS_RATE_LIMITER_H_
#define SEQUOIASTAGE_LIMITS_RATE_LIMITER_H_

#include <cstddef>
#include <optional>

#include "sequoiastage/base/request_rate.h"
#include "sequoiastage/base/time.h"

namespace sequoiastage {

struct RateLimiterOptions {
  /// The bucket holds what the rate allows in this time, at least one request.
  Duration m_burst = std::chrono::seconds(1);
  /// Lowest rate in effect. The responses to these requests are the only way to
  /// learn that the limit was raised.
  RequestRate m_min_rate{0.25};
};

/// Token bucket that limits the requests to one instance to the rate that the
/// instance asks for.
///
/// Load pattern: an instance in trouble asks for a fraction of its usual load,
/// changes that rate from time to time, and gets requests from the callers of
/// all hosts. It belongs to the egress, through which all of them pass. A share
/// of the rate at each ingress would need to know how many of them send.
class RateLimiter {
 public:
  explicit RateLimiter(const RateLimiterOptions& options = {})
      : m_options(options) {}

  /// Sets the rate; empty: not limited. A limit that follows none starts with a
  /// single token, since the requests before it were not counted.
  void SetRate(std::optional<RequestRate> rate, TimePoint now);

  std::optional<RequestRate> Rate() const { return m_rate; }

  /// Time until a request may start after `requests_ahead` others; zero when
  /// the rate is not limited.
  Duration WaitTime(TimePoint now, size_t requests_ahead = 0) const;

  /// Takes a token for a request that starts.
  void OnStart(TimePoint now);

 private:
  double TokensAt(TimePoint now) const;

  RateLimiterOptions m_options;
  std::optional<RequestRate> m_rate;
  double m_tokens = 0;
  TimePoint m_updated_at{};
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_LIMITS_RATE_LIMITER_H_
