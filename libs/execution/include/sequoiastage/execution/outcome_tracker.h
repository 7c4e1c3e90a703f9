#ifndef SEQUOIASTAGE_EXECUTION_OUTCOME_TRACKER_H_
#define SEQUOIASTAGE_EXECUTION_OUTCOME_TRACKER_H_

#include <cstdint>
#include <vector>

#include "sequoiastage/base/ids.h"
#include "sequoiastage/wire/messages.h"

namespace sequoiastage {

/// Next action of the ingress for a request.
enum class TrackerAction : uint8_t {
  /// Wait for the next event.
  kWait,
  /// Select an instance, create an attempt, call TryBeginAttempt() and send it.
  /// Without an instance or retry budget, call OnNoTarget().
  kSend,
  /// Query the egress of m_attempt for its state (QueryMessage).
  kQuery,
  /// Report m_outcome to the caller. Occurs once.
  kFinish,
};

/// Decision of OutcomeTracker.
struct TrackerDecision {
  TrackerAction m_next = TrackerAction::kWait;
  /// Set with kQuery.
  AttemptId m_attempt;
  /// With kQuery: wait first, since the last query gave no final state.
  bool m_after_delay = false;
  /// Set with kFinish.
  RequestOutcome m_outcome = RequestOutcome::kUnknown;
};

struct OutcomeOptions {
  /// An idempotent request is retried even when an attempt may have been
  /// executed.
  bool m_is_idempotent = false;
  uint32_t m_max_attempts = 3;
};

/// Decides, for one request at its ingress, the next action after each event
/// and the outcome that is reported to the caller.
///
/// - The outcome is not-run only when no attempt was ever sent, or each one was
///   proved not started by its egress.
/// - A non-idempotent request is retried only when each earlier attempt was
///   proved not started.
/// - At most one attempt is open at a time, plus at most one hedge in the
///   lifetime of an idempotent request; a complete response to any attempt of
///   the request ends it.
///
/// Events of unknown attempts, and all events after the end, have no effect.
/// Not thread-safe.
class OutcomeTracker {
 public:
  explicit OutcomeTracker(const OutcomeOptions& options) : m_options(options) {}

  /// First action of a request.
  TrackerDecision Start() const;

  /// Call directly before the first byte of an attempt is written to a
  /// connection. True if the attempt counts as sent from now on; false if it
  /// must not be sent.
  bool TryBeginAttempt(const AttemptId& attempt);

  /// As TryBeginAttempt(), for a hedge of the open attempt of an idempotent
  /// request. True at most once per request. When one of the two ends without a
  /// complete response, the decision is deferred until the other one ends.
  bool TryBeginHedge(const AttemptId& attempt);

  /// The egress reported that it did not start the attempt and never will.
  TrackerDecision OnNotStarted(const AttemptId& attempt);

  /// The complete response of the backend server was received.
  TrackerDecision OnAnswered(const AttemptId& attempt);

  /// The attempt may have been executed: it ended without a complete response,
  /// its response is no longer stored, or its state at the egress is unknown.
  TrackerDecision OnMaybeExecuted(const AttemptId& attempt);

  /// The egress replied to a query that the attempt is still running.
  TrackerDecision OnRunning(const AttemptId& attempt);

  /// The connection on which the attempt or a query about it was sent broke, or
  /// the egress is considered unreachable. An idempotent request is then
  /// retried at another instance; for other requests the egress is queried
  /// until the deadline. When a newer incarnation of the egress has been seen,
  /// call OnMaybeExecuted() instead.
  TrackerDecision OnLinkBroken(const AttemptId& attempt);

  /// No instance is available, or the retry budget is exhausted.
  TrackerDecision OnNoTarget();

  /// Shortly before the caller's deadline. Returns kQuery for the open attempt,
  /// so that its egress cancels it if it has not started.
  TrackerDecision OnCancelTime();

  /// The caller's deadline has passed.
  TrackerDecision OnDeadline();

  bool IsFinished() const { return m_is_finished; }
  uint32_t AttemptCount() const {
    return static_cast<uint32_t>(m_attempts.size());
  }

 private:
  enum class State : uint8_t { kOpen, kNotStarted, kMaybeExecuted };

  struct Attempt {
    AttemptId m_id;
    State m_state = State::kOpen;
    bool m_was_queried = false;
  };

  Attempt* Find(const AttemptId& id);
  Attempt* FindOpen();
  bool HasState(State state) const;
  bool CanSend() const;
  bool HasReachedAttemptLimit() const;
  TrackerDecision CloseAttempt(const AttemptId& id, State state);
  TrackerDecision Finish(RequestOutcome outcome);
  TrackerDecision FinishUnanswered();

  OutcomeOptions m_options;
  std::vector<Attempt> m_attempts;
  bool m_has_hedge = false;
  bool m_is_finished = false;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_EXECUTION_OUTCOME_TRACKER_H_
