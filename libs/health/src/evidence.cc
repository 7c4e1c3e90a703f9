#include "sequoiastage/health/evidence.h"

#include <algorithm>
#include <cmath>

namespace sequoiastage {

namespace {

constexpr size_t kLevelCount = 4;

// Share of responses beyond each latency level.
constexpr std::array<double, kLevelCount> kHealthyBeyond = {0.05, 0.005, 0.0005,
                                                            0.00005};
constexpr std::array<double, kLevelCount> kFaultyBeyond = {0.6, 0.35, 0.2,
                                                           0.15};

constexpr double kP95Margin = 1.2;
constexpr double kP99Margin = 1.5;
constexpr int kLevelRatio = 2;
constexpr uint64_t kMinLatencySamples = 20;
constexpr double kMaxHealthyFailureShare = 0.98;

// Share of responses whose latency exceeds exactly `levels` levels.
double ShareBetween(const std::array<double, kLevelCount>& beyond,
                    size_t levels) {
  const double upper = levels == 0 ? 1 : beyond[levels - 1];
  const double lower = levels == kLevelCount ? 0 : beyond[levels];
  return upper - lower;
}

Duration Scale(Duration duration, double factor) {
  return Duration(
      static_cast<int64_t>(static_cast<double>(duration.count()) * factor));
}

std::array<Duration, kLevelCount> ComputeLevels(const JudgeOptions& options,
                                                const PeerBaseline& baseline) {
  if (baseline.m_latency_samples < kMinLatencySamples) {
    const Duration slow = options.m_default_slow_latency;
    return {slow, kLevelRatio * slow, kLevelRatio * kLevelRatio * slow,
            kLevelRatio * kLevelRatio * kLevelRatio * slow};
  }
  const Duration first =
      std::max({Scale(baseline.m_latency_p95, kP95Margin),
                Scale(baseline.m_latency_p50, options.m_min_slow_ratio),
                options.m_min_slow_latency});
  const Duration second = std::max(Scale(baseline.m_latency_p99, kP99Margin),
                                   Scale(first, kP99Margin));
  return {first, second, kLevelRatio * second,
          kLevelRatio * kLevelRatio * second};
}

}  // namespace

Evidence::Evidence(const JudgeOptions& options, const PeerBaseline& baseline)
    : m_levels(ComputeLevels(options, baseline)) {
  const double healthy =
      std::clamp(baseline.m_failure_share, options.m_healthy_failure_share,
                 kMaxHealthyFailureShare);
  const double faulty =
      healthy + options.m_faulty_failure_share * (1 - healthy);
  m_failure_evidence = std::log(faulty / healthy);
  m_success_evidence = std::log((1 - faulty) / (1 - healthy));
}

size_t Evidence::LevelsCrossed(Duration latency) const {
  size_t crossed = 0;
  while (crossed < kLevels && latency > m_levels[crossed]) {
    ++crossed;
  }
  return crossed;
}

double Evidence::LatencyEvidence(Duration latency) const {
  const size_t crossed = LevelsCrossed(latency);
  return std::log(ShareBetween(kFaultyBeyond, crossed) /
                  ShareBetween(kHealthyBeyond, crossed));
}

double Evidence::InFlightEvidence(Duration age) const {
  const size_t crossed = LevelsCrossed(age);
  if (crossed == 0) {
    return 0;
  }
  return std::log(kFaultyBeyond[crossed - 1] / kHealthyBeyond[crossed - 1]);
}

double EjectionThreshold(const JudgeOptions& options,
                         double outcomes_per_hour) {
  const double rate =
      std::max(options.m_min_outcomes_per_hour, outcomes_per_hour);
  return std::log(2 * options.m_false_ejection_hours * rate);
}

double SuspectThreshold(const JudgeOptions& options, double outcomes_per_hour) {
  return (1 - options.m_detection_weight) *
         EjectionThreshold(options, outcomes_per_hour);
}

}  // namespace sequoiastage
