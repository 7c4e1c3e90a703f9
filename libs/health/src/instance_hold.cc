#include "sequoiastage/health/instance_hold.h"

#include <algorithm>

namespace sequoiastage {

namespace {

// Weight of the newest service time in the moving average.
constexpr int kServiceTimeWeight = 8;
// The hold stops doubling here, whatever the options say.
constexpr uint32_t kMaxDoublings = 10;

}  // namespace

HoldState InstanceHold::StateAt(TimePoint now) const {
  if (now < m_held_until) {
    return HoldState::kHeld;
  }
  if (!m_is_open) {
    return HoldState::kTrial;
  }
  return IsSilent(now) ? HoldState::kHeld : HoldState::kOpen;
}

Duration InstanceHold::HoldLeft(TimePoint now) const {
  if (now < m_held_until) {
    return m_held_until - now;
  }
  return m_is_open && IsSilent(now) ? m_options.m_first_hold : Duration{};
}

bool InstanceHold::IsSilent(TimePoint now) const {
  if (m_running.empty() || *m_running.begin() <= m_latest_good_start) {
    return false;
  }
  const auto usual = std::chrono::duration_cast<Duration>(
      m_service_time * m_options.m_silence_factor);
  return now - *m_running.begin() > std::max(m_options.m_min_silence, usual);
}

void InstanceHold::OnStart(TimePoint now) {
  m_running.insert(now);
}

void InstanceHold::OnEnd(WorkEnd end, TimePoint started, TimePoint now) {
  if (const auto it = m_running.find(started); it != m_running.end()) {
    m_running.erase(it);
  }
  switch (end) {
    case WorkEnd::kNoEvidence:
      return;
    case WorkEnd::kBroken:
      Hold(now);
      return;
    case WorkEnd::kServerError:
      m_error_score = m_error_score * m_options.m_error_decay + 1;
      if (m_error_score >= m_options.m_error_limit ||
          StateAt(now) == HoldState::kTrial) {
        Hold(now);
      }
      return;
    case WorkEnd::kSuccess:
      break;
  }
  m_error_score *= m_options.m_error_decay;
  m_latest_good_start = std::max(m_latest_good_start, started);
  const Duration took = now - started;
  m_service_time =
      m_service_time == Duration{}
          ? took
          : m_service_time + (took - m_service_time) / kServiceTimeWeight;
  // Only work that began after the hold tells whether the failure is over.
  if (m_is_open || started < m_held_until) {
    return;
  }
  if (++m_trial_successes >= m_options.m_successes_to_open) {
    m_is_open = true;
    m_opened_at = now;
  }
}

void InstanceHold::Hold(TimePoint now) {
  if (now < m_held_until) {
    return;  // Work that began before the hold; one failure, one hold.
  }
  if (m_is_open && now - m_opened_at > m_options.m_forget_after) {
    m_relapses = 0;
  }
  const auto doublings = std::min(m_relapses, kMaxDoublings);
  m_held_until = now + std::min(m_options.m_longest_hold,
                                m_options.m_first_hold * (1 << doublings));
  m_is_open = false;
  m_trial_successes = 0;
  m_error_score = 0;
  ++m_relapses;
}

void InstanceHold::Reset() {
  *this = InstanceHold(m_options);
}

}  // namespace sequoiastage
