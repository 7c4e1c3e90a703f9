#ifndef SEQUOIASTAGE_LIMITS_STARVATION_GUARD_H_
#define SEQUOIASTAGE_LIMITS_STARVATION_GUARD_H_

#include <cstddef>
#include <random>
#include <unordered_map>

#include "sequoiastage/base/ids.h"
#include "sequoiastage/base/time.h"

namespace sequoiastage {

struct StarvationGuardOptions {
  /// How often the requests of an account are served at least, relative to all
  /// requests. The requirement is 0.25; the rest covers requests that are
  /// refused although their account is starved, and short runs.
  double m_min_relative_service = 0.35;
  /// Requests that an account may be owed. Limits what it takes at once after a
  /// long shortage.
  double m_max_owed = 2;
  /// Half-life of the counts of all requests.
  Duration m_half_life = std::chrono::seconds(10);
  /// Maximum number of tracked accounts. When it is exceeded, the half that
  /// asked least recently is evicted.
  size_t m_max_accounts = 4096;
};

/// Finds the accounts that are served much more rarely than all. Each request
/// adds to what its account is owed, each served one reduces it; an account
/// that is owed a whole request is starved. Counting what is owed instead of
/// recent usage also works for accounts with one request a minute.
///
/// Load pattern: urgent accounts ask for more than the capacity, and a less
/// urgent account asks too. The starved accounts together get at most
/// m_min_relative_service of the capacity.
class StarvationGuard {
 public:
  explicit StarvationGuard(const StarvationGuardOptions& options = {})
      : m_options(options) {}

  /// A request of `account` asks for a slot.
  void OnAsked(AccountId account, TimePoint now);
  /// A request of `account` got a slot.
  void OnServed(AccountId account, TimePoint now);

  bool IsStarved(AccountId account) const;
  /// Number of starved accounts.
  size_t StarvedCount() const;

  /// Number of accounts that asked since `since`.
  size_t AccountsSince(TimePoint since) const;

  size_t AccountCount() const { return m_accounts.size(); }

 private:
  struct Entry {
    double m_owed = 0;
    TimePoint m_asked_at;
  };

  void Decay(TimePoint now);
  void EvictOldest();

  StarvationGuardOptions m_options;
  std::unordered_map<AccountId, Entry> m_accounts;
  // Exponentially decayed counts of all requests.
  double m_asked = 0;
  double m_served = 0;
  TimePoint m_latest{};
  // Draws what a new account is owed, so that accounts with few requests are
  // served as often as others on average. The sequence need not be secret.
  std::minstd_rand m_random;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_LIMITS_STARVATION_GUARD_H_
