#ifndef SEQUOIASTAGE_EXECUTION_OUTCOME_TRACKER_H_
#define SEQUOIASTAGE_EXECUTION_OUTCOME_TRACKER_H_

#include <cstdint>
#include <vector>

#include "sequoiastage/base/ids.h"
#include "sequoiastage/wire/messages.h"

namespace sequoiastage {

enum class NextStep : uint8_t {
  /// Nothing until the next event.
  kWait,
  /// Pick an instance, make an attempt, ask MaySend() and send it. Where there
  /// is no instance or no retry budget, call OnNoTarget().
  kSend,
  /// Ask the egress of m_attempt what became of it (QueryMessage).
  kQuery,
  /// Tell the caller m_outcome. Comes once.
  kFinish,
};

struct OutcomeStep {
  NextStep m_next = NextStep::kWait;
  /// With kQuery.
  AttemptId m_attempt;
  /// With kQuery: pause first, the last query brought nothing final.
  bool m_after_pause = false;
  /// With kFinish.
  RequestOutcome m_outcome = RequestOutcome::kUnknown;
};

struct OutcomeOptions {
  /// Idempotent: may be sent again even where it may have run.
  bool m_is_idempotent = false;
  uint32_t m_max_attempts = 3;
};

/// Decides, for one request at its ingress, what follows each event and which
/// outcome the caller is told.
///
/// - not-run only when no attempt was ever sent, or each one was proved not
///   started by its egress.
/// - Work that may not be repeated is never sent again unless each earlier
///   attempt was proved not started.
/// - At most one attempt is open at a time, and beside it at most one copy in
///   the whole life of an idempotent request; a whole answer to any attempt of
///   the request ends it.
///
/// Events of unknown attempts, and all after the end, change nothing.
/// Not thread-safe: one thread owns it.
class OutcomeTracker {
 public:
  explicit OutcomeTracker(const OutcomeOptions& options) : m_options(options) {}

  /// First step of a request.
  OutcomeStep Start() const;

  /// Asked directly before the first byte of an attempt is handed to a
  /// connection; on true it counts as sent. On false it must not be sent.
  bool MaySend(const AttemptId& attempt);

  /// As MaySend(), for a copy beside the one open attempt of an idempotent
  /// request. True once for a request at most. What follows the end of either
  /// waits for the other one.
  bool MaySendCopy(const AttemptId& attempt);

  /// The egress answered that it did not start the attempt and never will.
  OutcomeStep OnNotStarted(const AttemptId& attempt);

  /// The whole answer of the backend server is here.
  OutcomeStep OnAnswered(const AttemptId& attempt);

  /// It was started and ended without a whole answer, its whole answer is no
  /// longer kept, or the egress can't tell.
  OutcomeStep OnMayHaveRun(const AttemptId& attempt);

  /// The egress answered a query: still running.
  OutcomeStep OnRunning(const AttemptId& attempt);

  /// The connection that the attempt or a query about it was sent on broke, or
  /// the egress is held to be unreachable. Idempotent work is then tried
  /// elsewhere; for other work the egress is asked until the deadline. Where a
  /// newer incarnation of the egress is seen, call OnMayHaveRun() instead.
  OutcomeStep OnLinkBroken(const AttemptId& attempt);

  /// There is nothing to send to, or the retry budget is used up.
  OutcomeStep OnNoTarget();

  /// Shortly before the caller's deadline: have the open attempt cancelled if
  /// it has not started.
  OutcomeStep OnCancelTime();

  /// The caller's deadline.
  OutcomeStep OnDeadline();

  bool IsFinished() const { return m_is_finished; }
  uint32_t AttemptCount() const {
    return static_cast<uint32_t>(m_attempts.size());
  }

 private:
  enum class State : uint8_t { kOpen, kNotStarted, kMayHaveRun };

  struct Attempt {
    AttemptId m_id;
    State m_state = State::kOpen;
    bool m_was_queried = false;
  };

  Attempt* Find(const AttemptId& id);
  Attempt* FindOpen();
  bool HasState(State state) const;
  bool CanSendAgain() const;
  bool IsLastAttempt() const;
  OutcomeStep Close(const AttemptId& id, State state);
  OutcomeStep Finish(RequestOutcome outcome);
  OutcomeStep FinishUnanswered();

  OutcomeOptions m_options;
  std::vector<Attempt> m_attempts;
  bool m_has_copy = false;
  bool m_is_finished = false;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_EXECUTION_OUTCOME_TRACKER_H_
