#ifndef SEQUOIASTAGE_LIMITS_RETRY_BUDGET_H_
#define SEQUOIASTAGE_LIMITS_RETRY_BUDGET_H_

#include "sequoiastage/base/time.h"

namespace sequoiastage {

struct RetryBudgetOptions {
  /// Retries for each first attempt.
  double m_share = 0.1;
  /// Retries a second that are allowed whatever the number of requests.
  double m_min_retries_per_s = 1;
  /// Most retries that can be saved up.
  double m_max_tokens = 10;
};

/// Bounds the retries of one service to a share of its requests, so that
/// retries can't multiply an overload. Starts with a full budget.
class RetryBudget {
 public:
  RetryBudget(const RetryBudgetOptions& options, TimePoint now)
      : m_options(options), m_tokens(options.m_max_tokens), m_latest(now) {}

  /// A first attempt is made.
  void OnRequest(TimePoint now);

  /// Takes one retry from the budget; false when it is used up.
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
