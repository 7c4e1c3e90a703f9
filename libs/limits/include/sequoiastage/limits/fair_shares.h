#ifndef SEQUOIASTAGE_LIMITS_FAIR_SHARES_H_
#define SEQUOIASTAGE_LIMITS_FAIR_SHARES_H_

#include <cstddef>
#include <unordered_map>

#include "sequoiastage/base/ids.h"
#include "sequoiastage/base/time.h"

namespace sequoiastage {

struct FairSharesOptions {
  /// Use of this age counts half.
  Duration m_half_life = std::chrono::seconds(10);
  /// Accounts remembered; beyond it those with least use are forgotten.
  size_t m_max_accounts = 1024;
};

/// Recent use of slots by caller account, decaying exponentially. The account
/// with the least use goes first when there is not enough for all.
class FairShares {
 public:
  explicit FairShares(const FairSharesOptions& options = {})
      : m_options(options) {}

  /// Counts slot time that `account` has used up to `now`.
  void Add(AccountId account, Duration slot_time, TimePoint now);

  /// Decayed slot time of `account` in seconds.
  double Use(AccountId account, TimePoint now) const;

  size_t AccountCount() const { return m_uses.size(); }

 private:
  struct Entry {
    double m_seconds = 0;
    TimePoint m_at;
  };

  double Decayed(const Entry& entry, TimePoint now) const;
  void ForgetSmallUses(TimePoint now);

  FairSharesOptions m_options;
  std::unordered_map<AccountId, Entry> m_uses;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_LIMITS_FAIR_SHARES_H_
