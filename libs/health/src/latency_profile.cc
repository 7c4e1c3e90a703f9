#include "sequoiastage/health/latency_profile.h"

#include <cmath>
#include <utility>

namespace sequoiastage {

namespace {

// Parameters of the distribution that is assumed before there are samples.
constexpr double kPriorMedian = 0.22;  // As a fraction of the objective.
constexpr double kPriorSigma = 0.7;
// Number of samples that outweigh the prior.
constexpr double kPriorSamples = 12;
constexpr uint64_t kSamplesPerGeneration = 250;

double PriorShareAbove(Duration elapsed, Duration objective) {
  if (elapsed <= Duration{}) {
    return 1;
  }
  const double ratio = std::chrono::duration<double>(elapsed) /
                       std::chrono::duration<double>(objective);
  return std::erfc(std::log(ratio / kPriorMedian) /
                   (kPriorSigma * std::sqrt(2.0))) /
         2;
}

}  // namespace

void LatencyProfile::Add(Duration latency) {
  m_current.Add(latency);
  if (m_current.Total() >= kSamplesPerGeneration) {
    m_previous = std::exchange(m_current, {});
  }
}

double LatencyProfile::ShareAbove(Duration elapsed) const {
  return (kPriorSamples * PriorShareAbove(elapsed, m_objective) +
          m_current.CountAbove(elapsed) + m_previous.CountAbove(elapsed)) /
         (kPriorSamples +
          static_cast<double>(m_current.Total() + m_previous.Total()));
}

}  // namespace sequoiastage
