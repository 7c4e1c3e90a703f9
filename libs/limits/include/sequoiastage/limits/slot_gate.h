#ifndef SEQUOIASTAGE_LIMITS_SLOT_GATE_H_
#define SEQUOIASTAGE_LIMITS_SLOT_GATE_H_

#include <cstdint>
#include <limits>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "sequoiastage/base/ids.h"
#include "sequoiastage/base/strong.h"
#include "sequoiastage/base/time.h"
#include "sequoiastage/limits/fair_shares.h"
#include "sequoiastage/limits/rate_limiter.h"
#include "sequoiastage/limits/starvation_guard.h"

namespace sequoiastage {

/// Identifies a request within a SlotGate.
using Ticket = Strong<struct TicketTag, uint64_t>;

enum class AdmissionDecision : uint8_t {
  /// The request holds a slot. Start it now and call OnFinish() when it ends.
  kAdmitted,
  /// The request is queued; later GateChanges start or refuse it.
  kQueued,
  /// The request is not executed; respond immediately.
  kRefused,
};

struct SlotGateOptions {
  /// Maximum number of requests executed concurrently.
  uint32_t m_slots = 3;
  /// Maximum queue length, regardless of the expected wait.
  uint32_t m_max_queued = std::numeric_limits<uint32_t>::max();
  /// Expected queue wait that limits the queue length; for requests that state
  /// no bound of their own.
  Duration m_max_wait = std::chrono::milliseconds(300);
  /// Service time assumed before the first measurement.
  Duration m_initial_service_time = std::chrono::milliseconds(50);
  /// Weight (0 to 1) of the newest sample in the moving average.
  double m_service_time_weight = 0.1;
  FairSharesOptions m_fair_shares{};
  RateLimiterOptions m_rate_limiter{};
  StarvationGuardOptions m_starvation{};
};

/// Requests that left the queue.
struct GateChanges {
  /// Requests that hold a slot now and must be started.
  std::vector<Ticket> m_started;
  /// Requests that can't meet their deadline, have waited up to their bound or
  /// were displaced. They were never started; respond immediately.
  std::vector<Ticket> m_refused;
};

struct AdmissionResult {
  AdmissionDecision m_decision = AdmissionDecision::kRefused;
  Ticket m_ticket;
  /// Other requests that left the queue during this admission.
  GateChanges m_changes;
};

struct SlotGateStats {
  uint64_t m_admitted = 0;
  uint64_t m_queued = 0;
  uint64_t m_refused = 0;
  uint64_t m_displaced = 0;
  uint64_t m_expired = 0;
  uint64_t m_cancelled = 0;
  /// Started before more urgent requests because their account was starved.
  uint64_t m_boosted = 0;
};

/// Admission control for one instance: a concurrency limit with a short queue.
///
/// A request is queued only when the expected wait is short and the request can
/// finish before its deadline; the estimate is based on the measured service
/// time. A free slot goes to the client account with the least recent usage
/// relative to its weight. When the queue is full, a request of an account with
/// less usage displaces the newest request of the account with the most.
///
/// More urgent requests run before less urgent ones and displace them from a
/// full queue. Load pattern: requests of several urgency levels share the
/// instances of a service, and calls that running requests depend on must not
/// queue behind new requests.
///
/// Calls of running requests go before all new requests. They wait for as long
/// as their deadline allows, since a refused call ends the run that makes it.
/// Load pattern: a called service is at capacity, and new requests would take
/// the slots that the calls of running ones wait for.
///
/// With SetProtectsAccounts(), the requests of starved accounts count as the
/// most urgent new ones; see StarvationGuard.
///
/// A new request may state how long it waits at most. It is refused at once
/// when its expected wait is longer, and later when it has waited that long.
/// The queue is as long as the longest bound in it allows. Among equal requests
/// the one whose bound ends first starts first, so that those with long bounds
/// do not keep out those with short ones. Load pattern: demand above the
/// capacity for a few seconds. Requests with a long latency objective wait for
/// the end of the wave, those with a short one are refused early.
///
/// While a rate limit is set, a request also waits for a token of the
/// RateLimiter, and the queue holds what the rate allows within the same time.
class SlotGate {
 public:
  explicit SlotGate(const SlotGateOptions& options);

  /// Starts, queues or refuses a request. `weight`: relative share of the
  /// account when slots are scarce; a value <= 0 counts as 1. `urgency`: 0 is
  /// the most urgent. `is_call`: sent by a running request. `max_wait`: bound
  /// on the wait of a new request in the queue; empty: m_max_wait limits the
  /// queue length, and only the deadline the wait. Ignored for calls.
  AdmissionResult Admit(TimePoint now,
                        TimePoint deadline,
                        AccountId account,
                        double weight = 1,
                        uint8_t urgency = 0,
                        bool is_call = false,
                        std::optional<Duration> max_wait = std::nullopt);

  /// Whether starved accounts get precedence. Initially they don't.
  void SetProtectsAccounts(bool protects);

  /// Releases the slot of a request. `is_service_time_sample`: whether to
  /// include its duration in the service time; false after a cancellation or a
  /// refusal by the instance. Unknown tickets are ignored.
  GateChanges OnFinish(Ticket ticket,
                       TimePoint now,
                       bool is_service_time_sample = true);

  /// Removes a request from the queue. Returns false when it is not queued, for
  /// example because it is running.
  bool CancelQueued(Ticket ticket);

  /// Refuses queued requests that can't meet their deadline anymore or have
  /// waited up to their bound, and starts those that waited for the rate limit.
  GateChanges OnTick(TimePoint now);

  /// Time until OnTick() can start a queued request that waits for the rate
  /// limit alone, or refuses one whose wait is bounded; empty when there is
  /// neither.
  std::optional<Duration> TimeToTick(TimePoint now) const;

  /// Sets the rate at which requests may start; empty: not limited.
  GateChanges SetRate(std::optional<RequestRate> rate, TimePoint now);

  /// Sets the number of slots. Running requests keep their slots.
  GateChanges Resize(uint32_t slots, TimePoint now);

  /// Sets the maximum queue length and refuses the newest excess requests.
  GateChanges SetMaxQueued(uint32_t max_queued);

  std::optional<RequestRate> Rate() const { return m_rate.Rate(); }
  /// Whether requests are queued because no slot is free.
  bool IsWaitingForSlot() const { return !HasFreeSlot() && !m_queue.empty(); }

  uint32_t Slots() const { return m_options.m_slots; }
  size_t Running() const { return m_running.size(); }
  size_t Queued() const { return m_queue.size(); }
  size_t QueuedCalls() const;
  /// Maximum number of queued requests before new ones without a bound on their
  /// wait are refused.
  size_t QueueLimit() const { return QueueLimit(m_options.m_max_wait); }
  /// Number of accounts with precedence because they are starved.
  size_t StarvedAccounts() const { return m_starvation.StarvedCount(); }
  Duration ServiceTime() const { return m_service_time; }

  /// Expected time until a request of this urgency, if admitted now, starts.
  /// Zero when a slot is free and the rate is not limited or not used up.
  Duration ExpectedWait(TimePoint now,
                        uint8_t urgency = UINT8_MAX,
                        bool is_call = false) const;

  const SlotGateStats& Stats() const { return m_stats; }

 private:
  struct QueuedWork {
    Ticket m_ticket;
    AccountId m_account;
    double m_weight = 1;
    uint8_t m_urgency = 0;
    bool m_is_call = false;
    TimePoint m_deadline;
    // Bound on the wait, and its end; empty when it is not bounded.
    std::optional<Duration> m_max_wait;
    TimePoint m_wait_until = TimePoint::max();
  };

  // Order of service; the least goes first. Within a rank it is by account and
  // then by the end of the bound on the wait.
  using Rank = std::pair<bool, uint8_t>;

  struct RunningWork {
    AccountId m_account;
    TimePoint m_started;
  };

  bool HasFreeSlot() const { return m_running.size() < m_options.m_slots; }
  bool CanStart(TimePoint now) const {
    return HasFreeSlot() && m_rate.WaitTime(now) == Duration{};
  }
  static Rank RankOf(bool is_call, uint8_t urgency) {
    return {!is_call, urgency};
  }
  Rank RankOf(const QueuedWork& work, TimePoint now) const;
  void UpdateEqualShare(TimePoint now);
  size_t QueueLimit(Duration max_wait) const;
  // Longest bound on the wait of queued requests, at least `at_least`.
  Duration LongestBound(Duration at_least) const;
  bool HasRoom(const QueuedWork& arrival, Duration expected_wait) const;
  bool MakeRoom(const QueuedWork& arrival,
                Duration expected_wait,
                TimePoint now,
                GateChanges& changes);
  double WeightedUsage(const QueuedWork& work, TimePoint now) const;
  double WeightedDemand(const QueuedWork& work, TimePoint now) const;
  bool DisplaceLessUrgent(const QueuedWork& arrival,
                          TimePoint now,
                          GateChanges& changes);
  bool DisplaceLaterBound(const QueuedWork& arrival,
                          TimePoint now,
                          GateChanges& changes);
  bool DisplaceOtherAccount(const QueuedWork& arrival,
                            TimePoint now,
                            GateChanges& changes);
  // As ExpectedWait(); among requests of the same rank behind those whose bound
  // ends by `wait_until`.
  Duration ExpectedWait(TimePoint now, Rank rank, TimePoint wait_until) const;
  void Start(Ticket ticket, AccountId account, bool is_call, TimePoint now);
  void FillSlots(TimePoint now, GateChanges& changes);
  void RefuseExpired(TimePoint now, GateChanges& changes);

  SlotGateOptions m_options;
  FairShares m_shares;
  RateLimiter m_rate;
  StarvationGuard m_starvation;
  bool m_protects_accounts = false;
  // Recent slot time in seconds that each account would get if all that ask got
  // the same.
  double m_equal_share = 0;
  TimePoint m_equal_share_at{};
  Duration m_service_time;
  uint64_t m_next_ticket = 1;
  std::unordered_map<Ticket, RunningWork> m_running;
  std::vector<QueuedWork> m_queue;
  SlotGateStats m_stats;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_LIMITS_SLOT_GATE_H_
