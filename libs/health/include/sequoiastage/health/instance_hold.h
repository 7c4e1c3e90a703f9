#ifndef SEQUOIASTAGE_HEALTH_INSTANCE_HOLD_H_
#define SEQUOIASTAGE_HEALTH_INSTANCE_HOLD_H_

#include <cstdint>
#include <set>

#include "sequoiastage/base/time.h"

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
  /// A request that runs for longer than this multiple of the average service
  /// time, and for longer than m_min_hang_time, counts as hanging.
  double m_hang_factor = 6;
  Duration m_min_hang_time = std::chrono::milliseconds(1500);
  /// Score at which server errors of the instance start a hold. Each success or
  /// server error first multiplies the score by m_error_decay; an error then
  /// adds 1.
  double m_error_limit = 1.6;
  double m_error_decay = 0.7;
};

/// Which requests an instance receives.
enum class HoldState : uint8_t {
  /// Receives all traffic.
  kInService,
  /// Receives no traffic.
  kHeld,
  /// The hold is over: receives one idempotent request at a time.
  kTrial,
};

/// Result of one request, as it counts for InstanceHold.
enum class RequestResult : uint8_t {
  kSuccess,
  /// A complete response with a server error. Another service may be the cause.
  kServerError,
  /// No complete response: reset, closed, truncated or corrupted.
  kBroken,
  /// No evidence about the instance: cancelled, or refused by it.
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
/// instance calls.
class InstanceHold {
 public:
  explicit InstanceHold(const InstanceHoldOptions& options = {})
      : m_options(options) {}

  HoldState StateAt(TimePoint now) const;

  /// Time until the hold ends; zero when the instance is not held. For a
  /// hanging request, whose end is unknown, m_initial_hold.
  Duration RemainingHold(TimePoint now) const;

  /// A request was handed to the instance.
  void OnStart(TimePoint now);

  /// The request ended. `started` is the time that was passed to OnStart() for
  /// it.
  void OnEnd(RequestResult result, TimePoint started, TimePoint now);

  /// Clears all state, for a new incarnation of the instance.
  void Reset();

  /// Number of holds since the relapses were last reset.
  uint32_t Relapses() const { return m_relapses; }

 private:
  void Hold(TimePoint now);
  bool IsHanging(TimePoint now) const;

  InstanceHoldOptions m_options;
  bool m_is_in_service = true;
  TimePoint m_held_until{};
  TimePoint m_in_service_since{};
  uint32_t m_relapses = 0;
  uint32_t m_trial_successes = 0;
  double m_error_score = 0;
  // Moving average over the successes; 0 before the first one.
  Duration m_service_time{};
  // Latest start among the successful requests.
  TimePoint m_latest_successful_start{};
  std::multiset<TimePoint> m_running;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_HEALTH_INSTANCE_HOLD_H_
