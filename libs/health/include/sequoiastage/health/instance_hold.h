#ifndef SEQUOIASTAGE_HEALTH_INSTANCE_HOLD_H_
#define SEQUOIASTAGE_HEALTH_INSTANCE_HOLD_H_

#include <cstdint>
#include <map>
#include <optional>

#include "sequoiastage/base/time.h"
#include "sequoiastage/health/hang_detector.h"

namespace sequoiastage {

struct InstanceHoldOptions {
  /// Duration of the hold after the first failure.
  Duration m_initial_hold = std::chrono::milliseconds(800);
  /// Each relapse doubles the hold up to this duration.
  Duration m_max_hold = std::chrono::seconds(2);
  /// Consecutive successes that end a trial.
  uint32_t m_successes_to_end_trial = 2;
  /// After this time in service, the next hold is m_initial_hold again.
  Duration m_relapse_ttl = std::chrono::seconds(10);
  HangDetectorOptions m_hang{};
  /// Score of the HangDetector at which non-idempotent requests go elsewhere.
  double m_doubt_limit = 2;
  /// Score of the HangDetector that starts a hold.
  double m_hang_limit = 3;
  /// The same while requests are queued for the instance: a hold then costs
  /// capacity that the service needs, and overload makes all requests late.
  double m_loaded_hang_limit = 6;
  /// Score at which server errors of the instance start a hold. Each success or
  /// server error first multiplies the score by m_error_decay; an error then
  /// adds 1.
  double m_error_limit = 1.6;
  double m_error_decay = 0.7;
  /// A trial request counts as a success once it has run for this multiple of
  /// the time after which the last request broke, and at least for
  /// m_min_survival. Acts only after SetCountsSurvival().
  double m_survival_multiple = 4;
  Duration m_min_survival = std::chrono::milliseconds(100);
};

/// Which requests an instance receives.
enum class HoldState : uint8_t {
  /// Receives all traffic.
  kInService,
  /// Receives no traffic.
  kHeld,
  /// The hold is over: receives one idempotent request at a time, or the next
  /// one as soon as those before it have outlived the fault.
  kTrial,
};

/// Result of one request, as it counts for InstanceHold.
enum class RequestResult : uint8_t {
  kSuccess,
  /// A complete response with a server error. Another service may be the cause.
  kServerError,
  /// No complete response: reset, closed, truncated or corrupted.
  kBroken,
  /// Cancelled or timed out; counts by how late it was.
  kUnanswered,
  /// No evidence about the instance: refused by it.
  kNoEvidence,
};

/// Decides from real traffic whether an instance receives requests.
///
/// It is made for partial failures: some instances break nearly all requests
/// for seconds while their health checks pass, then recover while others fail.
/// The first broken request holds the instance for a short time that doubles
/// with each relapse. Idempotent trial requests follow, one at a time, so that
/// other requests reach only instances that have succeeded since. Server errors
/// weigh less: a single one is usual, and its cause may be a service that the
/// instance calls. Requests that are late for their kind are judged by
/// HangDetector, in two steps: first non-idempotent requests go elsewhere, then
/// all of them.
///
/// Load pattern: requests take seconds, and a faulty instance breaks them
/// within milliseconds. Waiting for trial requests to complete would leave a
/// recovered instance unused for seconds while its service is short of
/// capacity. With SetCountsSurvival(), a trial request that outlives the break
/// is evidence enough.
class InstanceHold {
 public:
  explicit InstanceHold(const InstanceHoldOptions& options = {})
      : m_options(options), m_hang_detector(options.m_hang) {}

  /// Whether trial requests that outlive the fault count as successes.
  void SetCountsSurvival(bool counts) { m_counts_survival = counts; }

  HoldState StateAt(TimePoint now) const;

  /// Running trial requests that have outlived the fault, as of the last
  /// Update().
  uint32_t SurvivorCount() const;

  /// Whether non-idempotent requests should go to another instance.
  /// `has_queue`: requests are queued for the instance.
  bool IsDoubtful(TimePoint now, bool has_queue) const;

  /// Time until the hold ends; zero when the instance is not held.
  Duration RemainingHold(TimePoint now) const;

  /// Starts a hold when requests have become late enough, and ends a trial when
  /// enough requests have outlived the fault. Call it before each decision
  /// about a request.
  void Update(TimePoint now, bool has_queue);

  /// A request was handed to the instance. Returns its id for OnEnd().
  RunId OnStart(const RequestKind& kind, TimePoint now);

  void OnEnd(RunId run, RequestResult result, TimePoint now);

  /// Clears all state, for a new incarnation of the instance.
  void Reset();

  /// Number of holds since the relapses were last reset.
  uint32_t Relapses() const { return m_relapses; }

 private:
  struct Run {
    TimePoint m_started{};
    // A trial request that has outlived the fault.
    bool m_has_survived = false;
  };

  // `break_delay`: time after which a request broke; empty for another cause.
  void Hold(TimePoint now, std::optional<Duration> break_delay = {});
  void CountSurvivors(TimePoint now);
  void OnTrialSuccess(TimePoint now);

  InstanceHoldOptions m_options;
  bool m_is_in_service = true;
  TimePoint m_held_until{};
  TimePoint m_in_service_since{};
  uint32_t m_relapses = 0;
  uint32_t m_trial_successes = 0;
  bool m_counts_survival = false;
  // Time after which the request broke that started the last hold; empty when
  // the hold had another cause.
  std::optional<Duration> m_break_delay;
  double m_error_score = 0;
  HangDetector m_hang_detector;
  std::map<RunId, Run> m_running;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_HEALTH_INSTANCE_HOLD_H_
