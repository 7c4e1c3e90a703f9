#include "sequoiastage/health/instance_hold.h"

#include <algorithm>

namespace sequoiastage {

namespace {

// Limit of the doublings, whatever the options are: keeps the shift in range.
constexpr uint32_t kMaxDoublings = 10;

}  // namespace

HoldState InstanceHold::StateAt(TimePoint now) const {
  if (now < m_held_until) {
    return HoldState::kHeld;
  }
  return m_is_in_service ? HoldState::kInService : HoldState::kTrial;
}

bool InstanceHold::IsDoubtful(TimePoint now, bool has_queue) const {
  return StateAt(now) != HoldState::kInService ||
         (!has_queue && m_hang_detector.Score(now) >= m_options.m_doubt_limit);
}

Duration InstanceHold::RemainingHold(TimePoint now) const {
  return std::max(Duration{}, m_held_until - now);
}

void InstanceHold::Update(TimePoint now, bool has_queue) {
  const HoldState state = StateAt(now);
  double limit =
      has_queue ? m_options.m_loaded_hang_limit : m_options.m_hang_limit;
  if (state == HoldState::kTrial) {
    // The fault is recent, so less evidence is needed.
    limit = m_options.m_doubt_limit;
  }
  if (state != HoldState::kHeld && m_hang_detector.Score(now) >= limit) {
    Hold(now);
  } else if (state == HoldState::kTrial) {
    CountSurvivors(now);
  }
}

uint32_t InstanceHold::SurvivorCount() const {
  return static_cast<uint32_t>(std::count_if(
      m_running.begin(), m_running.end(),
      [](const auto& entry) { return entry.second.m_has_survived; }));
}

void InstanceHold::CountSurvivors(TimePoint now) {
  if (!m_counts_survival || !m_break_delay) {
    return;
  }
  const Duration survival =
      std::max(m_options.m_min_survival,
               std::chrono::duration_cast<Duration>(
                   *m_break_delay * m_options.m_survival_multiple));
  for (auto& [run, state] : m_running) {
    if (!state.m_has_survived && state.m_started >= m_held_until &&
        now - state.m_started >= survival) {
      state.m_has_survived = true;
      OnTrialSuccess(now);
    }
  }
}

void InstanceHold::OnTrialSuccess(TimePoint now) {
  if (!m_is_in_service &&
      ++m_trial_successes >= m_options.m_successes_to_end_trial) {
    m_is_in_service = true;
    m_in_service_since = now;
  }
}

RunId InstanceHold::OnStart(const RequestKind& kind, TimePoint now) {
  const RunId run = m_hang_detector.OnStart(kind, now);
  m_running[run] = {.m_started = now};
  return run;
}

void InstanceHold::OnEnd(RunId run, RequestResult result, TimePoint now) {
  const auto found = m_running.find(run);
  if (found == m_running.end()) {
    return;
  }
  const Run ended = found->second;
  m_running.erase(found);
  switch (result) {
    case RequestResult::kNoEvidence:
      m_hang_detector.OnDropped(run);
      return;
    case RequestResult::kUnanswered:
      m_hang_detector.OnUnanswered(run, now);
      return;
    case RequestResult::kBroken:
      m_hang_detector.OnDropped(run);
      Hold(now, now - ended.m_started);
      return;
    case RequestResult::kServerError:
      m_hang_detector.OnAnswered(run, false, now);
      m_error_score = m_error_score * m_options.m_error_decay + 1;
      if (m_error_score >= m_options.m_error_limit ||
          StateAt(now) == HoldState::kTrial) {
        Hold(now);
      }
      return;
    case RequestResult::kSuccess:
      break;
  }
  m_hang_detector.OnAnswered(run, true, now);
  m_error_score *= m_options.m_error_decay;
  // Only a request that began after the hold shows whether the fault is over.
  if (!ended.m_has_survived && ended.m_started >= m_held_until) {
    OnTrialSuccess(now);
  }
}

void InstanceHold::Hold(TimePoint now, std::optional<Duration> break_delay) {
  if (now < m_held_until) {
    return;  // The request began before the hold: one fault starts one hold.
  }
  if (m_is_in_service && now - m_in_service_since > m_options.m_relapse_ttl) {
    m_relapses = 0;
  }
  const auto doublings = std::min(m_relapses, kMaxDoublings);
  m_held_until = now + std::min(m_options.m_max_hold,
                                m_options.m_initial_hold * (1 << doublings));
  m_is_in_service = false;
  m_trial_successes = 0;
  m_break_delay = break_delay;
  for (auto& [run, state] : m_running) {
    state.m_has_survived = false;
  }
  m_error_score = 0;
  m_hang_detector.ClearScore();
  ++m_relapses;
}

void InstanceHold::Reset() {
  m_is_in_service = true;
  m_held_until = {};
  m_in_service_since = {};
  m_relapses = 0;
  m_trial_successes = 0;
  m_break_delay.reset();
  m_error_score = 0;
  m_running.clear();
  m_hang_detector.Reset();
}

}  // namespace sequoiastage
