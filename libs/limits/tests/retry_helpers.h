#ifndef SEQUOIASTAGE_LIMITS_TESTS_RETRY_HELPERS_H_
#define SEQUOIASTAGE_LIMITS_TESTS_RETRY_HELPERS_H_

#include <algorithm>
#include <cstdint>
#include <vector>

#include "sequoiastage/limits/retry_allowance.h"

namespace sequoiastage {

// Number of extra attempts granted until the first refusal.
inline int AcquireAll(RetryAllowance& allowance,
                      TimePoint now,
                      const ExtraAttemptRequest& request = {}) {
  int count = 0;
  while (allowance.TryAcquire(now, request)) {
    ++count;
  }
  return count;
}

// Egresses of all instances of a service.
inline std::vector<RetryAllowance> MakeFleet(
    uint32_t instances,
    const RetryAllowanceOptions& options = {},
    bool manages_load = false) {
  std::vector<RetryAllowance> fleet(instances, RetryAllowance(options));
  for (RetryAllowance& allowance : fleet) {
    allowance.SetInstances(instances);
    allowance.SetManagesLoad(manages_load);
  }
  return fleet;
}

// Returns by how many the retries in any window of 10 s exceed the budget of
// the service at most. Both lists are in order.
inline double ExcessOverBudget(const RetryAllowanceOptions& options,
                               const std::vector<TimePoint>& first_attempts,
                               const std::vector<TimePoint>& retries) {
  const auto count_in_window = [](const std::vector<TimePoint>& times,
                                  TimePoint begin) {
    return static_cast<double>(
        std::lower_bound(times.begin(), times.end(),
                         begin + std::chrono::seconds(10)) -
        std::lower_bound(times.begin(), times.end(), begin));
  };
  double excess = -options.m_service_slack;
  for (const TimePoint begin : retries) {
    excess = std::max(
        excess, count_in_window(retries, begin) -
                    options.m_ratio * count_in_window(first_attempts, begin) -
                    options.m_service_slack);
  }
  return excess;
}

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_LIMITS_TESTS_RETRY_HELPERS_H_
