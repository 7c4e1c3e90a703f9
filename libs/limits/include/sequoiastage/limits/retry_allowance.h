#ifndef SEQUOIASTAGE_LIMITS_RETRY_ALLOWANCE_H_
#define SEQUOIASTAGE_LIMITS_RETRY_ALLOWANCE_H_

#include <array>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "sequoiastage/base/ids.h"
#include "sequoiastage/base/time.h"

namespace sequoiastage {

struct RetryAllowanceOptions {
  /// Retries allowed per first attempt in the window.
  double m_ratio = 0.2;
  /// Retries allowed in the window for the whole service in addition to
  /// `m_ratio`, divided evenly among its instances.
  double m_service_slack = 60;
  Duration m_window = std::chrono::seconds(10);
  /// Usable share of the allowance. The rest covers unevenly distributed load
  /// and those downstream calls of retried requests that can't be recognised by
  /// their ids.
  double m_used_share = 0.65;
  /// Share of the usable allowance that is available to less urgent requests.
  double m_less_urgent_share = 0.6;
  /// Hedged requests are refused once this share of the usable allowance is
  /// consumed, by either kind. The rest is reserved for retries after failures.
  double m_max_hedge_share = 0.7;
  /// Maximum number of accounts whose retries are counted.
  size_t m_max_accounts = 256;
};

/// Kind of an attempt that follows the first attempt of a request.
enum class ExtraAttempt : uint8_t {
  /// An earlier attempt failed or was refused by the instance.
  kRetry,
  /// An earlier attempt is slow and still running.
  kHedge,
};

/// Request that asks for a retry or hedge.
struct ExtraAttemptRequest {
  uint8_t m_urgency = 0;
  ExtraAttempt m_kind = ExtraAttempt::kRetry;
  /// Sent by a running request.
  bool m_is_call = false;
  AccountId m_account{};
};

/// Limits the retries and hedged requests that reach one instance. Each egress
/// gets an equal share of the service's slack, so the service stays within its
/// fleet-wide retry budget without coordination between nodes.
///
/// Load pattern: many instances fail at once and every ingress retries its
/// requests. An egress observes all requests to its instance, and a refused
/// request does not consume the budget. While the budget is short, the most
/// urgent requests, on which other work depends, are retried first.
///
/// Load pattern: a service is at capacity, so that many requests are slow, and
/// some of its instances refuse or fail requests. Hedged requests would exhaust
/// the budget, add load, and leave nothing for retries after failures;
/// therefore they are limited to a small share of the budget.
///
/// Load pattern: one client account retries far more than the others. With
/// SetSharesByAccount(), an account gets at most an equal part of the budget
/// while others ask for retries, and calls of running requests, whose failure
/// ends the run that makes them, may use the whole budget.
///
/// Load pattern: a called service refuses half of its requests at random, and
/// requests make several calls, one after the other. A retry of the last call
/// saves the whole request; one of the first call is lost when a later call
/// fails. Calls that are less urgent than another call that asks for a retry
/// are limited to `m_less_urgent_share`.
class RetryAllowance {
 public:
  explicit RetryAllowance(const RetryAllowanceOptions& options = {})
      : m_options(options) {}

  /// Sets the number of instances of the service; 0 when it is unknown, which
  /// leaves no share of the slack.
  void SetInstances(uint32_t instances) { m_instances = instances; }

  /// Call at the start of a process that may replace an earlier one. Retries of
  /// that one in the current window are unknown, so within it at most half of
  /// the slack becomes available, in proportion to the time that has passed.
  /// Any number of restarts then stays within the budget.
  void OnRestart(TimePoint now) { m_restarted_at = now; }

  /// Records the first attempt of a request. `is_call`: sent by a running
  /// request; its urgency then limits nothing.
  void OnFirstAttempt(TimePoint now, uint8_t urgency = 0, bool is_call = false);

  /// Consumes one retry or hedged request from the allowance. Returns false
  /// when the allowance is exhausted. Limited to `m_less_urgent_share` are new
  /// requests less urgent than the first attempt of another one in the window,
  /// and calls less urgent than another one that asked in the window.
  bool TryAcquire(TimePoint now,
                  uint8_t urgency = 0,
                  ExtraAttempt kind = ExtraAttempt::kRetry);
  bool TryAcquire(TimePoint now, const ExtraAttemptRequest& request);

  /// Whether the accounts share the allowance. Initially they don't.
  void SetSharesByAccount(bool shares) { m_shares_by_account = shares; }

  /// Number of accounts whose retries are counted.
  size_t AccountCount() const { return m_accounts.size(); }

 private:
  static constexpr size_t kBuckets = 10;

  struct Bucket {
    int64_t m_index = -1;
    uint32_t m_first_attempts = 0;
    uint32_t m_extra_attempts = 0;
    // Urgency of the most urgent first attempt other than of a call; 0 is the
    // highest.
    uint8_t m_urgency = UINT8_MAX;
    // Urgency of the most urgent call that asked for an extra attempt.
    uint8_t m_call_urgency = UINT8_MAX;
  };

  Bucket& BucketAt(TimePoint now);
  Bucket SumWindow(TimePoint now) const;
  int64_t BucketIndex(TimePoint now) const;

  // Extra attempts that an account used since the start of a window, and when
  // it last asked for one.
  struct AccountUse {
    double m_used = 0;
    TimePoint m_window_start;
    TimePoint m_asked_at;
    std::optional<TimePoint> m_call_asked_at;
  };

  // Records that the account asks. Null when it isn't counted.
  AccountUse* FindAccount(TimePoint now, const ExtraAttemptRequest& request);
  // Number of accounts that asked within the window; for a call, those whose
  // calls asked.
  size_t AskingAccounts(TimePoint now, bool is_call) const;
  double SlackShare(TimePoint now) const;

  RetryAllowanceOptions m_options;
  bool m_shares_by_account = false;
  std::unordered_map<AccountId, AccountUse> m_accounts;
  uint32_t m_instances = 1;
  std::optional<TimePoint> m_restarted_at;
  std::array<Bucket, kBuckets> m_buckets{};
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_LIMITS_RETRY_ALLOWANCE_H_
