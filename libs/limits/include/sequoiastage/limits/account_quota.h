#ifndef SEQUOIASTAGE_LIMITS_ACCOUNT_QUOTA_H_
#define SEQUOIASTAGE_LIMITS_ACCOUNT_QUOTA_H_

#include "sequoiastage/base/time.h"
#include "sequoiastage/config/traffic_config.h"

namespace sequoiastage {

/// Tolerance of the rate limits of client accounts over all nodes: in any
/// window at most (rate x window + burst) x (1 + overage) + slack requests of
/// an account run.
struct AccountQuotaOptions {
  Duration m_window = std::chrono::seconds(5);
  double m_overage = 0.1;
  /// Requests.
  double m_slack = 20;
};

/// How the tolerance is spent. At 0.9 of a limit of 2 per second with Poisson
/// arrivals, a bucket of rate and burst alone rejects one request in twelve, so
/// most of the tolerance serves to reject less below the limit.
struct AccountBudget {
  /// Tokens per second of all nodes together.
  double m_rate = 0;
  /// Largest number of unused tokens of all nodes together.
  double m_depth = 0;
};

AccountBudget BudgetOf(const AccountLimit& limit,
                       const AccountQuotaOptions& quota);

/// Bound on the age of share time when it reaches a coordinator. Older time is
/// void, so that messages that were held back together cannot add it all to one
/// window.
Duration MaxShareAge(const AccountQuotaOptions& quota);

/// Number of nodes of one region that may hold a whole token although their
/// share of the depth is smaller.
uint32_t MinimumHolders(const AccountQuotaOptions& quota, uint32_t regions);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_LIMITS_ACCOUNT_QUOTA_H_
