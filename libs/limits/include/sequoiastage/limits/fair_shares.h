#ifndef SEQUOIASTAGE_LIMITS_FAIR_SHARES_H_
#define SEQUOIASTAGE_LIMITS_FAIR_SHARES_H_

#include <cstddef>
#include <unordered_map>

#include "sequoiastage/base/ids.h"
#include "sequoiastage/base/time.h"

namespace sequoiastage {

struct FairSharesOptions {
  /// Half-life of recorded usage.
  Duration m_half_life = std::chrono::seconds(10);
  /// Maximum number of tracked accounts. When it is exceeded, the half with the
  /// least usage is evicted.
  size_t m_max_accounts = 1024;
};

/// Recent slot usage per client account, with exponential decay. When slots are
/// scarce, work of the account with the least usage is served first.
class FairShares {
 public:
  explicit FairShares(const FairSharesOptions& options = {})
      : m_options(options) {}

  /// Adds slot time that `account` has consumed up to `now`.
  void Add(AccountId account, Duration slot_time, TimePoint now);

  /// Decayed slot time of `account` in seconds; 0 for an untracked account.
  double Usage(AccountId account, TimePoint now) const;

  /// Decayed slot time of all tracked accounts in seconds.
  double TotalUsage(TimePoint now) const;

  size_t AccountCount() const { return m_usage_by_account.size(); }

 private:
  struct Entry {
    double m_seconds = 0;
    TimePoint m_updated_at;
  };

  double DecayedSeconds(const Entry& entry, TimePoint now) const;
  void EvictLeastUsage(TimePoint now);

  FairSharesOptions m_options;
  std::unordered_map<AccountId, Entry> m_usage_by_account;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_LIMITS_FAIR_SHARES_H_
