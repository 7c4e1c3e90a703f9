#include "sequoiastage/execution/outcome_tracker.h"

#include <algorithm>

namespace sequoiastage {

TrackerDecision OutcomeTracker::Start() const {
  return {.m_next = TrackerAction::kSend, .m_attempt = {}};
}

bool OutcomeTracker::TryBeginAttempt(const AttemptId& attempt) {
  if (m_is_finished || Find(attempt) != nullptr || !CanSend()) {
    return false;
  }
  m_attempts.push_back({.m_id = attempt});
  return true;
}

bool OutcomeTracker::TryBeginHedge(const AttemptId& attempt) {
  if (m_is_finished || m_has_hedge || !m_options.m_is_idempotent ||
      HasReachedAttemptLimit() || Find(attempt) != nullptr ||
      FindOpen() == nullptr) {
    return false;
  }
  m_has_hedge = true;
  m_attempts.push_back({.m_id = attempt});
  return true;
}

TrackerDecision OutcomeTracker::OnNotStarted(const AttemptId& attempt) {
  return CloseAttempt(attempt, State::kNotStarted);
}

TrackerDecision OutcomeTracker::OnAnswered(const AttemptId& attempt) {
  if (m_is_finished || Find(attempt) == nullptr) {
    return {};
  }
  return Finish(RequestOutcome::kAnswered);
}

TrackerDecision OutcomeTracker::OnMaybeExecuted(const AttemptId& attempt) {
  return CloseAttempt(attempt, State::kMaybeExecuted);
}

TrackerDecision OutcomeTracker::OnRunning(const AttemptId& attempt) {
  const Attempt* found = Find(attempt);
  if (m_is_finished || found == nullptr || found->m_state != State::kOpen) {
    return {};
  }
  return {.m_next = TrackerAction::kQuery,
          .m_attempt = attempt,
          .m_after_delay = true};
}

TrackerDecision OutcomeTracker::OnLinkBroken(const AttemptId& attempt) {
  Attempt* found = Find(attempt);
  if (m_is_finished || found == nullptr || found->m_state != State::kOpen) {
    return {};
  }
  const bool was_queried = found->m_was_queried;
  if (m_options.m_is_idempotent && (was_queried || !HasReachedAttemptLimit())) {
    return CloseAttempt(attempt, State::kMaybeExecuted);
  }
  found->m_was_queried = true;
  return {.m_next = TrackerAction::kQuery,
          .m_attempt = attempt,
          .m_after_delay = was_queried};
}

TrackerDecision OutcomeTracker::OnNoTarget() {
  if (m_is_finished || FindOpen() != nullptr) {
    return {};
  }
  return FinishUnanswered();
}

TrackerDecision OutcomeTracker::OnCancelTime() {
  Attempt* open = FindOpen();
  if (m_is_finished || open == nullptr) {
    return {};
  }
  open->m_was_queried = true;
  return {.m_next = TrackerAction::kQuery, .m_attempt = open->m_id};
}

TrackerDecision OutcomeTracker::OnDeadline() {
  if (m_is_finished) {
    return {};
  }
  return FinishUnanswered();
}

OutcomeTracker::Attempt* OutcomeTracker::Find(const AttemptId& id) {
  const auto found =
      std::find_if(m_attempts.begin(), m_attempts.end(),
                   [&id](const Attempt& a) { return a.m_id == id; });
  return found == m_attempts.end() ? nullptr : &*found;
}

OutcomeTracker::Attempt* OutcomeTracker::FindOpen() {
  const auto found =
      std::find_if(m_attempts.begin(), m_attempts.end(),
                   [](const Attempt& a) { return a.m_state == State::kOpen; });
  return found == m_attempts.end() ? nullptr : &*found;
}

bool OutcomeTracker::HasState(State state) const {
  return std::any_of(m_attempts.begin(), m_attempts.end(),
                     [state](const Attempt& a) { return a.m_state == state; });
}

bool OutcomeTracker::CanSend() const {
  if (HasState(State::kOpen)) {
    return false;
  }
  if (!m_options.m_is_idempotent && HasState(State::kMaybeExecuted)) {
    return false;
  }
  return !HasReachedAttemptLimit();
}

bool OutcomeTracker::HasReachedAttemptLimit() const {
  return m_attempts.size() >= m_options.m_max_attempts;
}

TrackerDecision OutcomeTracker::CloseAttempt(const AttemptId& id, State state) {
  Attempt* attempt = Find(id);
  if (m_is_finished || attempt == nullptr || attempt->m_state != State::kOpen) {
    return {};
  }
  attempt->m_state = state;
  if (HasState(State::kOpen)) {
    return {};
  }
  if (CanSend()) {
    return {.m_next = TrackerAction::kSend, .m_attempt = {}};
  }
  return FinishUnanswered();
}

TrackerDecision OutcomeTracker::Finish(RequestOutcome outcome) {
  m_is_finished = true;
  return {
      .m_next = TrackerAction::kFinish, .m_attempt = {}, .m_outcome = outcome};
}

TrackerDecision OutcomeTracker::FinishUnanswered() {
  const bool maybe_executed =
      HasState(State::kOpen) || HasState(State::kMaybeExecuted);
  return Finish(maybe_executed ? RequestOutcome::kUnknown
                               : RequestOutcome::kNotRun);
}

}  // namespace sequoiastage
