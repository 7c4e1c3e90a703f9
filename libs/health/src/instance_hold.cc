#include "sequoiastage/health/instance_hold.h"

#include <algorithm>

namespace sequoiastage {

namespace {

// The newest service time has 1 / kServiceTimeWeight of the moving average.
constexpr int kServiceTimeWeight = 8;
// Limit of the doublings, whatever the options are: keeps the shift in range.
constexpr uint32_t kMaxDoublings = 10;

}  // namespace

HoldState InstanceHold::StateAt(TimePoint now) const {
  if (now < m_held_until) {
    return HoldState::kHeld;
  }
  if (!m_is_in_service) {
    return HoldState::kTrial;
  }
  return IsHanging(now) ? HoldState::kHeld : HoldState::kInService;
}

Duration InstanceHold::RemainingHold(TimePoint now) const {
  if (now < m_held_until) {
    return m_held_until - now;
  }
  return m_is_in_service && IsHanging(now) ? m_options.m_initial_hold
                                           : Duration{};
}

bool InstanceHold::IsHanging(TimePoint now) const {
  if (m_running.empty() || *m_running.begin() <= m_latest_successful_start) {
    return false;
  }
  const auto usual = std::chrono::duration_cast<Duration>(
      m_service_time * m_options.m_hang_factor);
  return now - *m_running.begin() > std::max(m_options.m_min_hang_time, usual);
}

void InstanceHold::OnStart(TimePoint now) {
  m_running.insert(now);
}

void InstanceHold::OnEnd(RequestResult result,
                         TimePoint started,
                         TimePoint now) {
  if (const auto it = m_running.find(started); it != m_running.end()) {
    m_running.erase(it);
  }
  switch (result) {
    case RequestResult::kNoEvidence:
      return;
    case RequestResult::kBroken:
      Hold(now);
      return;
    case RequestResult::kServerError:
      m_error_score = m_error_score * m_options.m_error_decay + 1;
      if (m_error_score >= m_options.m_error_limit ||
          StateAt(now) == HoldState::kTrial) {
        Hold(now);
      }
      return;
    case RequestResult::kSuccess:
      break;
  }
  m_error_score *= m_options.m_error_decay;
  m_latest_successful_start = std::max(m_latest_successful_start, started);
  const Duration service_time = now - started;
  m_service_time = m_service_time == Duration{}
                       ? service_time
                       : m_service_time + (service_time - m_service_time) /
                                              kServiceTimeWeight;
  // Only a request that began after the hold shows whether the fault is over.
  if (m_is_in_service || started < m_held_until) {
    return;
  }
  if (++m_trial_successes >= m_options.m_successes_to_end_trial) {
    m_is_in_service = true;
    m_in_service_since = now;
  }
}

void InstanceHold::Hold(TimePoint now) {
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
  m_error_score = 0;
  ++m_relapses;
}

void InstanceHold::Reset() {
  *this = InstanceHold(m_options);
}

}  // namespace sequoiastage
