#ifndef SEQUOIASTAGE_LIMITS_RETRY_ALLOWANCE_H_
#define SEQUOIASTAGE_LIMITS_RETRY_ALLOWANCE_H_

#include <array>
#include <cstddef>
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
  /// and those downstream calls of retried requests that can't be recognized by
  /// their ids.
  double m_used_share = 0.65;
  /// The same while load is managed and calls are recognized by their ids, so
  /// that those of retried requests draw on the allowance too. The rest covers
  /// unevenly distributed load, nodes that know fewer instances than there are,
  /// and attempts that arrive after they were granted. Ids of calls are made in
  /// one way by all instances of a platform, so one recognized call shows that
  /// all can be recognized.
  double m_used_share_with_calls = 0.85;
  /// Share of the usable allowance that is available to new requests less
  /// urgent than another one.
  double m_less_urgent_share = 0.6;
  /// An account that has used its equal part is refused once this share of the
  /// usable allowance is consumed, unless no other account asks.
  double m_over_part_share = 0.8;
  /// Time for which the rest of the equal part of an account that asked for a
  /// retry is kept for it. An account that is short asks more often than this.
  Duration m_claim_period = std::chrono::seconds(1);
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
/// Load pattern: one client account retries far more than the others. While
/// load is managed, each account that asks gets an equal part of the budget
/// first, and more only while the others leave some of theirs. New requests
/// reserve nothing against calls of running requests, whose failure ends the
/// run that makes them.
///
/// Load pattern: a called service refuses half of its requests at random, and
/// requests make several calls, one after the other. A retry of the last call
/// saves the whole request; one of the first call is lost when a later call
/// fails. Calls may use only what more urgent calls of the window did not ask
/// for.
///
/// Load pattern: few requests fail, those of many accounts, and some of their
/// calls are retried. What fits into 0.8 of the budget is not refused because
/// of precedence or the parts of the accounts.
class RetryAllowance {
 public:
  explicit RetryAllowance(const RetryAllowanceOptions& options = {})
      : m_options(options) {}

  /// Sets the number of instances of the service; 0 when it is unknown, which
  /// leaves no share of the slack.
  void SetInstances(uint32_t instances) { m_instances = instances; }

  /// Call at the start of a process that may replace an earlier one. Retries of
  /// that one in the current window are unknown, so within it only a part of
  /// the slack becomes available, in proportion to the time that has passed:
  /// half of it, or a fifth while load is managed. Any number of restarts then
  /// stays within the budget.
  void OnRestart(TimePoint now) { m_restarted_at = now; }

  /// Records the first attempt of a request. `is_call`: sent by a running
  /// request; its urgency then limits nothing.
  void OnFirstAttempt(TimePoint now, uint8_t urgency = 0, bool is_call = false);

  /// Consumes one retry or hedged request from the allowance. Returns false
  /// when the allowance is exhausted. New requests less urgent than the first
  /// attempt of another one in the window are limited to `m_less_urgent_share`,
  /// and calls to what more urgent ones did not ask for in the window.
  bool TryAcquire(TimePoint now,
                  uint8_t urgency = 0,
                  ExtraAttempt kind = ExtraAttempt::kRetry);
  bool TryAcquire(TimePoint now, const ExtraAttemptRequest& request);

  /// Gives back what TryAcquire() granted at `granted_at`: the attempt did not
  /// reach the instance.
  void Return(TimePoint granted_at, const ExtraAttemptRequest& request);

  /// A request was recognized as a call of a running request. Every request
  /// with `m_is_call` counts as well.
  void OnRecognizedCall(TimePoint now) { m_recognized_call_at = now; }

  /// Whether load is managed: accounts share the allowance, and more of it is
  /// used while calls are recognized. Initially it isn't.
  void SetManagesLoad(bool manages);

  /// Number of accounts whose retries are counted.
  size_t AccountCount() const { return m_accounts.size(); }

 private:
  // Buckets of a window, and one more: a window that begins within a bucket
  // ends within the tenth one after it.
  static constexpr size_t kWindowBuckets = 10;
  static constexpr size_t kBuckets = kWindowBuckets + 1;
  // Lower urgencies count as the last one.
  static constexpr size_t kUrgencies = 8;

  // Extra attempts of calls of one urgency.
  struct CallUse {
    // Those granted, and those that the allowance had no room for.
    uint32_t m_asked = 0;
    uint32_t m_granted = 0;
  };

  struct Bucket {
    int64_t m_index = -1;
    uint32_t m_first_attempts = 0;
    uint32_t m_extra_attempts = 0;
    // Urgency of the most urgent first attempt other than of a call; 0 is the
    // highest.
    uint8_t m_urgency = UINT8_MAX;
    std::array<CallUse, kUrgencies> m_calls{};
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

  // Index of an urgency in Bucket::m_calls.
  static size_t LevelOf(uint8_t urgency);
  // Whether `usable` has room for a call of this level beside what more urgent
  // calls asked for in the window.
  static bool HasRoomForCall(const Bucket& window, double usable, size_t level);
  // Part of `usable` that is available to this new request.
  double AvailableToNewRequest(const Bucket& window,
                               double usable,
                               const ExtraAttemptRequest& request) const;
  // Counts a request that the allowance has no room for.
  void RecordAsk(TimePoint now, const ExtraAttemptRequest& request);
  // Records that the account asks. Null when it isn't counted, or accounts
  // don't share.
  AccountUse* FindAccount(TimePoint now, const ExtraAttemptRequest& request);
  // Whether an account may use another retry: of its equal part, or of what is
  // left of the others' parts. `is_call`: among accounts whose calls ask.
  bool MayUse(const AccountUse& account,
              double usable,
              double used,
              bool is_call,
              TimePoint now) const;
  double SlackShare(TimePoint now) const;
  // Extra attempts that may be used within the window.
  double Usable(const Bucket& window, TimePoint now) const;

  RetryAllowanceOptions m_options;
  bool m_manages_load = false;
  std::unordered_map<AccountId, AccountUse> m_accounts;
  uint32_t m_instances = 1;
  std::optional<TimePoint> m_restarted_at;
  std::optional<TimePoint> m_recognized_call_at;
  std::array<Bucket, kBuckets> m_buckets{};
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_LIMITS_RETRY_ALLOWANCE_H_
