#include "sequoiastage/limits/account_quota.h"

#include <algorithm>
#include <cmath>

namespace sequoiastage {

namespace {

// Parts of the overage: a higher rate, a bucket that covers tokens on their way
// to an ingress and back, and share time that arrives late. Their sum is 1.
constexpr double kRatePart = 0.35;
constexpr double kDepthPart = 0.3;
constexpr double kLatePart = 0.35;
// Parts of the slack: the bucket, a higher rate, and whole tokens at nodes
// whose share is smaller. At the usual slack the rate part is one request in
// each window, which matters only for accounts with a small limit.
constexpr double kSlackDepthPart = 0.75;
constexpr double kSlackRatePart = 0.05;
constexpr double kHolderPart = 0.15;
// Without overage, messages still take some time.
constexpr Duration kMinShareAge = std::chrono::milliseconds(50);

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

AccountBudget BudgetOf(const AccountLimit& limit,
                       const AccountQuotaOptions& quota) {
  const double rate = limit.m_rate.Get();
  return {
      .m_rate = rate * (1 + kRatePart * quota.m_overage) +
                kSlackRatePart * quota.m_slack / Seconds(quota.m_window),
      .m_depth = limit.m_burst + kSlackDepthPart * quota.m_slack +
                 kDepthPart * quota.m_overage * rate * Seconds(quota.m_window)};
}

Duration MaxShareAge(const AccountQuotaOptions& quota) {
  return std::max(kMinShareAge,
                  std::chrono::duration_cast<Duration>(
                      quota.m_window * (kLatePart * quota.m_overage)));
}

uint32_t MinimumHolders(const AccountQuotaOptions& quota, uint32_t regions) {
  return std::max(
      1U, static_cast<uint32_t>(
              std::floor(kHolderPart * quota.m_slack / std::max(1U, regions))));
}

}  // namespace sequoiastage
