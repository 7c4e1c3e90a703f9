#include "detection.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

#include "path_cut.h"
#include "service_fake.h"

namespace sequoiastage {

namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};

enum class PolicyKind { kCautious, kFast, kProbes, kErrors };

constexpr PolicyKind kPolicies[] = {PolicyKind::kCautious, PolicyKind::kFast,
                                    PolicyKind::kProbes, PolicyKind::kErrors};

const char* ToString(PolicyKind policy) {
  switch (policy) {
    case PolicyKind::kCautious:
      return "Znojmo (1000 h)";
    case PolicyKind::kFast:
      return "Tasmania (10 h)";
    case PolicyKind::kProbes:
      return "naive: 3 probes";
    case PolicyKind::kErrors:
      return "naive: 5 errors";
  }
  return "";
}

ServiceStats RunOnce(PolicyKind policy,
                     const ServiceOptions& options,
                     double burst_weight) {
  const size_t instances = options.m_instances;
  switch (policy) {
    case PolicyKind::kCautious:
    case PolicyKind::kFast: {
      JudgeOptions judge = MakeJudgeOptions(
          policy == PolicyKind::kFast ? kFastPolicy : kCautiousPolicy);
      judge.m_burst_weight = burst_weight;
      return ServiceFake(options, JudgePolicy(instances, judge, kStart), kStart)
          .Run();
    }
    case PolicyKind::kProbes:
      return ServiceFake(options, ProbePolicy(instances), kStart).Run();
    case PolicyKind::kErrors:
      return ServiceFake(options, ErrorsPolicy(instances), kStart).Run();
  }
  return {};
}

ServiceOptions MakeServiceOptions(Scenario scenario,
                                  const DetectionOptions& options) {
  ServiceOptions service;
  service.m_scenario = scenario;
  service.m_seed = options.m_seed;
  service.m_requests_per_s =
      options.m_instance_rate * static_cast<double>(service.m_instances);
  return service;
}

// Mean, 99th percentile and maximum.
struct Spread {
  double m_mean = 0;
  double m_p99 = 0;
  double m_max = 0;
};

Spread ComputeSpread(std::vector<double> values) {
  if (values.empty()) {
    return {};
  }
  std::sort(values.begin(), values.end());
  double sum = 0;
  for (const double value : values) {
    sum += value;
  }
  const auto last = static_cast<double>(values.size() - 1);
  return {.m_mean = sum / static_cast<double>(values.size()),
          .m_p99 = values[static_cast<size_t>(std::ceil(0.99 * last))],
          .m_max = values.back()};
}

std::string FormatDetection(const std::vector<double>& seconds,
                            int never_count) {
  if (seconds.empty()) {
    return fmt::format("{:>22}", "never");
  }
  const Spread spread = ComputeSpread(seconds);
  return fmt::format("{:6.2f} {:6.2f} {:6.2f}{:>2}", spread.m_mean,
                     spread.m_p99, spread.m_max, never_count > 0 ? "!" : "");
}

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

void PrintFault(Scenario scenario,
                PolicyKind policy,
                const DetectionOptions& options) {
  std::vector<double> stopped;
  std::vector<double> withheld;
  std::vector<double> ejected;
  std::vector<double> reached;
  uint64_t false_ejections = 0;
  double hours = 0;
  for (int trial = 0; trial < options.m_trials; ++trial) {
    ServiceOptions service = MakeServiceOptions(scenario, options);
    service.m_seed = options.m_seed + static_cast<uint64_t>(trial);
    const ServiceStats stats = RunOnce(policy, service, options.m_burst_weight);
    if (stats.m_stopped) {
      stopped.push_back(ToSeconds(*stats.m_stopped));
    }
    if (stats.m_withheld) {
      withheld.push_back(ToSeconds(*stats.m_withheld));
    }
    if (stats.m_ejected) {
      ejected.push_back(ToSeconds(*stats.m_ejected));
    }
    reached.push_back(static_cast<double>(stats.m_reached));
    false_ejections += stats.m_false_ejections;
    hours += stats.m_healthy_hours;
  }
  const int never_stopped = options.m_trials - static_cast<int>(stopped.size());
  const int never_withheld =
      options.m_trials - static_cast<int>(withheld.size());
  const int never_ejected = options.m_trials - static_cast<int>(ejected.size());
  const Spread requests = ComputeSpread(reached);
  fmt::print("{:<25} {:<16} {} {} {} {:7.1f} {:6.0f} {:6} {:8.4f}\n",
             ToString(scenario), ToString(policy),
             FormatDetection(stopped, never_stopped),
             FormatDetection(withheld, never_withheld),
             FormatDetection(ejected, never_ejected), requests.m_mean,
             requests.m_p99, never_stopped,
             static_cast<double>(false_ejections) / hours);
}

void PrintHealthy(Scenario scenario,
                  PolicyKind policy,
                  const DetectionOptions& options) {
  ServiceOptions service = MakeServiceOptions(scenario, options);
  service.m_run_time = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::ratio<3600>>(
          options.m_healthy_hours / static_cast<double>(service.m_instances)));
  const ServiceStats stats = RunOnce(policy, service, options.m_burst_weight);
  fmt::print(
      "{:<25} {:<16} {:9.1f} {:10} {:12.5f} {:12.5f} {:9.4f}\n",
      ToString(scenario), ToString(policy), stats.m_healthy_hours,
      stats.m_false_ejections,
      static_cast<double>(stats.m_false_ejections) / stats.m_healthy_hours,
      static_cast<double>(stats.m_false_suspicions) / stats.m_healthy_hours,
      static_cast<double>(stats.m_refused) /
          static_cast<double>(stats.m_requests));
}

}  // namespace

void RunDetection(const DetectionOptions& options) {
  fmt::print(
      "One instance of 12 fails for 60 s, {} requests/s an instance, {} runs.\n"
      "stop: s until regular work stops; none: s until no work at all, by "
      "order\n"
      "or by ejection; eject: s until ejection;\n"
      "reached: requests that the failing instance received while failing;\n"
      "! never in some runs (left out of the mean); false/h: false ejections "
      "of\n"
      "the others in an instance-hour.\n\n",
      options.m_instance_rate, options.m_trials);
  fmt::print(
      "{:<25} {:<16} {:>6} {:>6} {:>8} {:>6} {:>6} {:>8} {:>6} {:>6} {:>8} "
      "{:>7} {:>6} {:>6} {:>8}\n",
      "scenario", "judge", "stop", "p99", "worst", "none", "p99", "worst",
      "eject", "p99", "worst", "reached", "p99", "missed", "false/h");
  for (const Scenario scenario : kFaultScenarios) {
    for (const PolicyKind policy : kPolicies) {
      PrintFault(scenario, policy, options);
    }
  }
  fmt::print("\n{:<25} {:<16} {:>9} {:>10} {:>12} {:>12} {:>9}\n",
             "no instance fails", "judge", "hours", "ejections", "ejections/h",
             "suspects/h", "refused");
  for (const Scenario scenario : kHealthyScenarios) {
    for (const PolicyKind policy : kPolicies) {
      PrintHealthy(scenario, policy, options);
    }
  }
  RunPathCut(options.m_seed, options.m_trials);
}

}  // namespace sequoiastage
