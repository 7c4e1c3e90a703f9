#include "scenario.h"

namespace sequoiastage {

namespace {

using std::chrono::seconds;

constexpr Duration kFlapPhase = seconds(5);
constexpr Duration kColdStartTime = seconds(20);
constexpr Duration kColdStartProbeFailureTime = seconds(4);
constexpr Duration kOverloadPeriod = seconds(120);
constexpr Duration kOverloadTime = seconds(60);

Condition MakeFailingCondition(Scenario scenario, Duration since_fault) {
  switch (scenario) {
    case Scenario::kHang:
      return {.m_probe_failure_share = 1, .m_hangs = true};
    case Scenario::kErrors30:
      return {.m_error_share = 0.3};
    case Scenario::kErrors100:
      return {.m_error_share = 1};
    case Scenario::kSlow:
      return {.m_latency_factor = 5};
    case Scenario::kFlapping:
      if (since_fault / kFlapPhase % 2 == 0) {
        return {.m_error_share = 1, .m_probe_failure_share = 1};
      }
      return {};
    case Scenario::kTruncated:
      return {.m_error_share = 1, .m_truncates = true};
    default:
      return {};
  }
}

// Latency falls linearly from 6 times the normal value to the normal value.
Condition MakeColdCondition(Duration since_start) {
  const double remaining_share =
      1 - std::chrono::duration<double>(since_start) /
              std::chrono::duration<double>(kColdStartTime);
  return {.m_latency_factor = 1 + 5 * remaining_share,
          .m_shed_share = 0.2 * remaining_share,
          .m_probe_failure_share =
              since_start < kColdStartProbeFailureTime ? 1 : 0.001};
}

// All instances are slow, and shed and fail a share of the requests.
Condition MakeOverloadedCondition(Duration since_fault) {
  if (since_fault % kOverloadPeriod >= kOverloadTime) {
    return {};
  }
  return {.m_latency_factor = 2.5,
          .m_error_share = 0.1,
          .m_shed_share = 0.2,
          .m_probe_failure_share = 0.3};
}

}  // namespace

std::string_view ToString(Scenario scenario) {
  switch (scenario) {
    case Scenario::kHang:
      return "hang";
    case Scenario::kErrors30:
      return "30% errors";
    case Scenario::kErrors100:
      return "100% errors, probes good";
    case Scenario::kSlow:
      return "5x slow";
    case Scenario::kFlapping:
      return "flapping every 5 s";
    case Scenario::kTruncated:
      return "truncated answers";
    case Scenario::kHealthy:
      return "healthy";
    case Scenario::kBursts:
      return "healthy, error bursts";
    case Scenario::kColdStart:
      return "cold starts";
    case Scenario::kOverload:
      return "overload of all";
  }
  return "";
}

Condition MakeCondition(Scenario scenario,
                        size_t instance,
                        Duration since_fault,
                        bool in_burst) {
  if (in_burst) {
    return {.m_error_share = 0.7, .m_probe_failure_share = 0.7};
  }
  if (since_fault < Duration(0)) {
    return {};
  }
  if (scenario == Scenario::kOverload) {
    return MakeOverloadedCondition(since_fault);
  }
  if (scenario == Scenario::kColdStart && since_fault < kColdStartTime) {
    return MakeColdCondition(since_fault);
  }
  return instance == 0 ? MakeFailingCondition(scenario, since_fault)
                       : Condition{};
}

}  // namespace sequoiastage
