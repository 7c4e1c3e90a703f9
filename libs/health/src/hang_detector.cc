#include "sequoiastage/health/hang_detector.h"

#include <algorithm>
#include <cmath>

namespace sequoiastage {

namespace {

// Kinds are few; the limit bounds the memory when the configuration has routes
// with many different objectives.
constexpr size_t kMaxProfiles = 64;

}  // namespace

RunId HangDetector::OnStart(const RequestKind& kind, TimePoint now) {
  const RunId run(m_next_run++);
  m_runs.emplace(run, Run{.m_kind = kind, .m_started = now});
  return run;
}

void HangDetector::OnAnswered(RunId run, bool is_success, TimePoint now) {
  const auto found = m_runs.find(run);
  if (found == m_runs.end()) {
    return;
  }
  if (is_success) {
    ProfileOf(found->second.m_kind).Add(now - found->second.m_started);
  }
  if (found->second.m_counts) {
    AddCompleted(std::log10(1 - m_options.m_hang_share), now);
  }
  m_runs.erase(found);
}

void HangDetector::OnUnanswered(RunId run, TimePoint now) {
  const auto found = m_runs.find(run);
  if (found == m_runs.end()) {
    return;
  }
  AddCompleted(Lateness(found->second, now), now);
  m_runs.erase(found);
}

double HangDetector::Score(TimePoint now) const {
  double score = CompletedScore(now);
  for (const auto& [id, run] : m_runs) {
    score += Lateness(run, now);
  }
  return score;
}

void HangDetector::ClearScore() {
  m_completed_score = 0;
  for (auto& [id, run] : m_runs) {
    run.m_counts = false;
  }
}

void HangDetector::Reset() {
  m_profiles.clear();
  m_runs.clear();
  m_completed_score = 0;
}

double HangDetector::Lateness(const Run& run, TimePoint now) const {
  if (!run.m_counts) {
    return 0;
  }
  const auto profile = m_profiles.find(run.m_kind);
  const Duration elapsed = now - run.m_started;
  const double above =
      std::max(m_options.m_min_share_above,
               profile == m_profiles.end()
                   ? LatencyProfile(run.m_kind.m_objective).ShareAbove(elapsed)
                   : profile->second.ShareAbove(elapsed));
  const double ratio =
      (m_options.m_hang_share + (1 - m_options.m_hang_share) * above) / above;
  return std::max(0.0, std::log10(ratio) - m_options.m_tolerance);
}

double HangDetector::CompletedScore(TimePoint now) const {
  const double half_lives =
      std::chrono::duration<double>(now - m_completed_at) /
      std::chrono::duration<double>(m_options.m_half_life);
  return m_completed_score * std::exp2(-std::max(0.0, half_lives));
}

void HangDetector::AddCompleted(double change, TimePoint now) {
  m_completed_score = std::max(0.0, CompletedScore(now) + change);
  m_completed_at = now;
}

LatencyProfile& HangDetector::ProfileOf(const RequestKind& kind) {
  const auto found = m_profiles.find(kind);
  if (found == m_profiles.end() && m_profiles.size() >= kMaxProfiles) {
    m_profiles.erase(m_profiles.begin());
  }
  return m_profiles.try_emplace(kind, kind.m_objective).first->second;
}

}  // namespace sequoiastage
