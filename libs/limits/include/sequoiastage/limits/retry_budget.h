#ifndef SEQUOIASTAGE_LIMITS_RETRY_BUDGET_H_
#define SEQUOIASTAGE_LIMITS_RETRY_BUDGET_H_

#include "sequoiastage/base/time.h"

namespace sequoiastage {

struct RetryBudgetOptions {
  /// Retries per first attempt.
  double m_share = 0.1;
  /// Retries per second that are allowed regardless of the request rate.
  double m_min_retries_per_s = 1;
  /// Maximum number of accumulated retries.
  double m_max_tokens = 10;
};

/// Token bucket that limits the retries of one service to a share of its
/// requests, so that retries can't amplify an overload. Starts full.
class RetryBudget {
 public:
  RetryBudget(const RetryBudgetOptions& options, TimePoint now)
      : m_options(options), m_tokens(options.m_max_tokens), m_latest(now) {}

  /// Records the first attempt of a request.
  void OnRequest(TimePoint now);

  /// Consumes one retry. Returns false when the budget is exhausted.
  bool TryRetry(TimePoint now);

  double Tokens() const { return m_tokens; }

 private:
  void Refill(TimePoint now);

  RetryBudgetOptions m_options;
  double m_tokens;
  TimePoint m_latest;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_LIMITS_RETRY_BUDGET_H_
