#ifndef SEQUOIASTAGE_LIMITS_RETRY_AFTER_H_
#define SEQUOIASTAGE_LIMITS_RETRY_AFTER_H_

#include <chrono>
#include <random>

#include "sequoiastage/base/time.h"

namespace sequoiastage {

struct RetryAfterOptions {
  std::chrono::seconds m_min{1};
  std::chrono::seconds m_max{60};
  /// Time over which the rates are measured.
  Duration m_window = std::chrono::seconds(10);
};

/// Tells refused callers when to come back. A request that is given up gets
/// its answer at once; only the value of the Retry-After header depends on the
/// load.
///
/// The refused work of the last window has to be done by the capacity that the
/// answered work leaves, so the callers are spread over that time.
class RetryAfter {
 public:
  explicit RetryAfter(const RetryAfterOptions& options, TimePoint now)
      : m_options(options), m_latest(now) {}

  void OnAnswered(TimePoint now);
  void OnRefused(TimePoint now);

  /// Value for the header, drawn from `random` between m_min and twice the
  /// expected time, so that callers refused together don't return together.
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
