#include "replication.h"

#include <fmt/format.h>

#include "overload_fake.h"

namespace sequoiastage {

namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr int kRuns = 5;
constexpr double kLoads[] = {0.3, 0.5, 0.8, 1, 2};
constexpr ReplicationMode kModes[] = {
    ReplicationMode::kNone, ReplicationMode::kAlways,
    ReplicationMode::kThreshold, ReplicationMode::kHedged};

const char* ToString(ReplicationMode mode) {
  switch (mode) {
    case ReplicationMode::kNone:
      return "none";
    case ReplicationMode::kAlways:
      return "always";
    case ReplicationMode::kThreshold:
      return "threshold";
    case ReplicationMode::kHedged:
      return "hedged";
  }
  return "";
}

double Percentile(std::vector<double> values, double share) {
  if (values.empty()) {
    return 0;
  }
  const auto nth =
      values.begin() + static_cast<std::ptrdiff_t>(
                           share * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), nth, values.end());
  return *nth;
}

double Ratio(uint64_t count, uint64_t total) {
  return static_cast<double>(count) / static_cast<double>(total);
}

OverloadStats RunOnce(const OverloadOptions& options) {
  return OverloadFake<SlotGate, RetryBudget, JudgePolicy>(
             options, RetryBudget({}, kStart),
             JudgePolicy(options.m_instances, MakeJudgeOptions(kFastPolicy),
                         kStart),
             kStart)
      .Run();
}

// Sums of kRuns runs with different seeds.
OverloadStats RunAllSeeds(OverloadOptions options) {
  OverloadStats sum;
  for (int run = 0; run < kRuns; ++run) {
    const OverloadStats stats = RunOnce(options);
    sum.m_requests += stats.m_requests;
    sum.m_good += stats.m_good;
    sum.m_critical_requests += stats.m_critical_requests;
    sum.m_critical_good += stats.m_critical_good;
    sum.m_executions += stats.m_executions;
    sum.m_good_seconds.insert(sum.m_good_seconds.end(),
                              stats.m_good_seconds.begin(),
                              stats.m_good_seconds.end());
    ++options.m_seed;
  }
  return sum;
}

void PrintRow(const char* gray, const OverloadOptions& options) {
  const OverloadStats stats = RunAllSeeds(options);
  fmt::print(
      "{:<10} {:>4.1f} {:<10} {:>8.4f} {:>9.4f} {:>6.2f} {:>7.3f} {:>7.3f} "
      "{:>7.3f}\n",
      gray, options.m_load, ToString(options.m_replication.m_mode),
      1 - Ratio(stats.m_good, stats.m_requests),
      1 - Ratio(stats.m_critical_good, stats.m_critical_requests),
      Ratio(stats.m_executions, stats.m_requests),
      Percentile(stats.m_good_seconds, 0.5),
      Percentile(stats.m_good_seconds, 0.99),
      Percentile(stats.m_good_seconds, 0.999));
}

}  // namespace

uint32_t CountReplicas(const ReplicationOptions& options,
                       double criticality,
                       double free_share) {
  if (options.m_mode == ReplicationMode::kAlways) {
    return 2;
  }
  if (options.m_mode != ReplicationMode::kThreshold ||
      free_share < options.m_min_free_share) {
    return 1;
  }
  const double threshold =
      criticality * (options.m_max_threshold - options.m_min_threshold) +
      options.m_min_threshold;
  uint32_t replicas = 1;
  double all_fail = options.m_failure_probability;
  while (replicas < options.m_max_replicas && 1 - all_fail < threshold) {
    ++replicas;
    all_fail *= options.m_failure_probability;
  }
  return replicas;
}

void RunReplication(uint64_t seed) {
  struct GrayCase {
    const char* m_name;
    std::vector<GrayFault> m_gray;
  };
  const std::vector<GrayCase> cases = {{"none", {}},
                                       {"1 hangs", {GrayFault::kHang}},
                                       {"1 is slow", {GrayFault::kSlow}}};
  fmt::print(
      "12 instances of 3 slots, 80% of the requests idempotent, 10 h setting,\n"
      "sums of {} runs.\n"
      "missed: requests without an answer in time, of all and of the third\n"
      "with criticality 1; runs: executions per request; latency in s.\n\n"
      "{:<10} {:>4} {:<10} {:>8} {:>9} {:>6} {:>7} {:>7} {:>7}\n",
      kRuns, "gray", "load", "copies", "missed", "critical", "runs", "p50",
      "p99", "p99.9");
  for (const GrayCase& gray : cases) {
    for (const double load : kLoads) {
      for (const ReplicationMode mode : kModes) {
        OverloadOptions options;
        options.m_load = load;
        options.m_gray = gray.m_gray;
        options.m_replication.m_mode = mode;
        options.m_seed = seed;
        PrintRow(gray.m_name, options);
      }
    }
  }
}

}  // namespace sequoiastage
