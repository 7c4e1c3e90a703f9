#ifndef SEQUOIASTAGE_LIMITS_RETRY_AFTER_H_
#define SEQUOIASTAGE_LIMITS_RETRY_AFTER_H_

#include <chrono>
#include <random>

#include "sequoiastage/base/time.h"

namespace sequoiastage {

struct RetryAfterOptions {
  std::chrono::seconds m_min{1};
  std::chrono::seconds m_max{60};
  /// Time constant of the rate measurement.
  Duration m_window = std::chrono::seconds(10);
};

/// Computes Retry-After values for refused requests. A refusal is sent
/// immediately; only the value of the header depends on the load.
///
/// The expected time is the number of recently refused requests divided by the
/// rate of answered requests, so that retries are spread over the time that is
/// needed to execute the refused work.
class RetryAfter {
 public:
  explicit RetryAfter(const RetryAfterOptions& options, TimePoint now)
      : m_options(options), m_latest(now) {}

  void OnAnswered(TimePoint now);
  void OnRefused(TimePoint now);

  /// Random header value between `m_min` and twice the expected time, at most
  /// `m_max`, so that callers refused together don't retry together.
  std::chrono::seconds Draw(TimePoint now, std::mt19937_64& random);

 private:
  void Decay(TimePoint now);

  RetryAfterOptions m_options;
  TimePoint m_latest;
  // Exponentially decayed counts.
  double m_answered = 0;
  double m_refused = 0;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_LIMITS_RETRY_AFTER_H_
