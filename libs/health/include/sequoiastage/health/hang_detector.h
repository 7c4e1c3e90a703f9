#ifndef SEQUOIASTAGE_HEALTH_HANG_DETECTOR_H_
#define SEQUOIASTAGE_HEALTH_HANG_DETECTOR_H_

#include <compare>
#include <cstdint>
#include <map>

#include "sequoiastage/base/strong.h"
#include "sequoiastage/base/time.h"
#include "sequoiastage/health/latency_profile.h"

namespace sequoiastage {

/// Requests with the same objective, priority and idempotence are one kind:
/// routes that a new configuration adds share the profile of the others.
struct RequestKind {
  Duration m_objective = std::chrono::seconds(1);
  uint8_t m_urgency = 0;
  bool m_is_idempotent = false;

  friend auto operator<=>(const RequestKind&, const RequestKind&) = default;
};

/// Identifies a request that runs at the instance.
using RunId = Strong<struct RunIdTag, uint64_t>;

struct HangDetectorOptions {
  /// Assumed share of the requests that a hanging instance never answers.
  double m_hang_share = 0.75;
  /// Lowest probability that is assumed for a slow answer of a sound instance.
  double m_min_share_above = 1e-4;
  /// Evidence that each request needs before it counts. Requests are slow
  /// together when the instance is loaded or waits for another service.
  double m_tolerance = 0.5;
  /// Evidence of completed requests halves in this time.
  Duration m_half_life = std::chrono::seconds(2);
};

/// Estimates whether an instance leaves requests unanswered.
///
/// Load pattern: some instances leave most requests unanswered for seconds,
/// while health checks pass and some requests still succeed. Waiting for a
/// fixed timeout lets further requests hang meanwhile. The score sums the
/// logarithms (base 10) of the likelihood ratio "hangs" against "is sound" over
/// all requests at the instance, so several moderately late requests weigh as
/// much as a very late one. Each kind of request is compared with its own
/// service times. Completed requests are summed as in a CUSUM test: an answer
/// lowers the score, which is never below 0; a request that was cancelled or
/// timed out raises it by its lateness.
class HangDetector {
 public:
  explicit HangDetector(const HangDetectorOptions& options = {})
      : m_options(options) {}

  RunId OnStart(const RequestKind& kind, TimePoint now);

  /// The instance answered; `is_success` adds to the profile of service times.
  void OnAnswered(RunId run, bool is_success, TimePoint now);

  /// The request was cancelled or timed out before an answer.
  void OnUnanswered(RunId run, TimePoint now);

  /// The request ended without evidence.
  void OnDropped(RunId run) { m_runs.erase(run); }

  /// Logarithm of the likelihood ratio; 0 or above.
  double Score(TimePoint now) const;

  /// Requests that have started do not count from now on.
  void ClearScore();

  /// Clears all state. Ids of earlier requests remain unknown.
  void Reset();

 private:
  struct Run {
    RequestKind m_kind;
    TimePoint m_started;
    bool m_counts = true;
  };

  double Lateness(const Run& run, TimePoint now) const;
  double CompletedScore(TimePoint now) const;
  void AddCompleted(double change, TimePoint now);
  LatencyProfile& ProfileOf(const RequestKind& kind);

  HangDetectorOptions m_options;
  std::map<RequestKind, LatencyProfile> m_profiles;
  std::map<RunId, Run> m_runs;
  uint64_t m_next_run = 1;
  double m_completed_score = 0;
  TimePoint m_completed_at{};
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_HEALTH_HANG_DETECTOR_H_
