#include "sequoiastage/execution/outcome_tracker.h"

#include <algorithm>

namespace sequoiastage {

OutcomeStep OutcomeTracker::Start() const {
  return {.m_next = NextStep::kSend, .m_attempt = {}};
}

bool OutcomeTracker::MaySend(const AttemptId& attempt) {
  if (m_is_finished || Find(attempt) != nullptr || !CanSendAgain()) {
    return false;
  }
  m_attempts.push_back({.m_id = attempt});
  return true;
}

bool OutcomeTracker::MaySendCopy(const AttemptId& attempt) {
  if (m_is_finished || m_has_copy || !m_options.m_is_idempotent ||
      IsLastAttempt() || Find(attempt) != nullptr || FindOpen() == nullptr) {
    return false;
  }
  m_has_copy = true;
  m_attempts.push_back({.m_id = attempt});
  return true;
}

OutcomeStep OutcomeTracker::OnNotStarted(const AttemptId& attempt) {
  return Close(attempt, State::kNotStarted);
}

OutcomeStep OutcomeTracker::OnAnswered(const AttemptId& attempt) {
  if (m_is_finished || Find(attempt) == nullptr) {
    return {};
  }
  return Finish(RequestOutcome::kAnswered);
}

OutcomeStep OutcomeTracker::OnMayHaveRun(const AttemptId& attempt) {
  return Close(attempt, State::kMayHaveRun);
}

OutcomeStep OutcomeTracker::OnRunning(const AttemptId& attempt) {
  const Attempt* found = Find(attempt);
  if (m_is_finished || found == nullptr || found->m_state != State::kOpen) {
    return {};
  }
  return {
      .m_next = NextStep::kQuery, .m_attempt = attempt, .m_after_pause = true};
}

OutcomeStep OutcomeTracker::OnLinkBroken(const AttemptId& attempt) {
  Attempt* found = Find(attempt);
  if (m_is_finished || found == nullptr || found->m_state != State::kOpen) {
    return {};
  }
  const bool was_queried = found->m_was_queried;
  if (m_options.m_is_idempotent && (was_queried || !IsLastAttempt())) {
    return Close(attempt, State::kMayHaveRun);
  }
  found->m_was_queried = true;
  return {.m_next = NextStep::kQuery,
          .m_attempt = attempt,
          .m_after_pause = was_queried};
}

OutcomeStep OutcomeTracker::OnNoTarget() {
  if (m_is_finished || FindOpen() != nullptr) {
    return {};
  }
  return FinishUnanswered();
}

OutcomeStep OutcomeTracker::OnCancelTime() {
  Attempt* open = FindOpen();
  if (m_is_finished || open == nullptr) {
    return {};
  }
  open->m_was_queried = true;
  return {.m_next = NextStep::kQuery, .m_attempt = open->m_id};
}

OutcomeStep OutcomeTracker::OnDeadline() {
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

bool OutcomeTracker::CanSendAgain() const {
  if (HasState(State::kOpen)) {
    return false;
  }
  if (!m_options.m_is_idempotent && HasState(State::kMayHaveRun)) {
    return false;
  }
  return !IsLastAttempt();
}

bool OutcomeTracker::IsLastAttempt() const {
  return m_attempts.size() >= m_options.m_max_attempts;
}

OutcomeStep OutcomeTracker::Close(const AttemptId& id, State state) {
  Attempt* attempt = Find(id);
  if (m_is_finished || attempt == nullptr || attempt->m_state != State::kOpen) {
    return {};
  }
  attempt->m_state = state;
  if (HasState(State::kOpen)) {
    return {};
  }
  if (CanSendAgain()) {
    return {.m_next = NextStep::kSend, .m_attempt = {}};
  }
  return FinishUnanswered();
}

OutcomeStep OutcomeTracker::Finish(RequestOutcome outcome) {
  m_is_finished = true;
  return {.m_next = NextStep::kFinish, .m_attempt = {}, .m_outcome = outcome};
}

OutcomeStep OutcomeTracker::FinishUnanswered() {
  const bool may_have_run =
      HasState(State::kOpen) || HasState(State::kMayHaveRun);
  return Finish(may_have_run ? RequestOutcome::kUnknown
                             : RequestOutcome::kNotRun);
}

}  // namespace sequoiastage
