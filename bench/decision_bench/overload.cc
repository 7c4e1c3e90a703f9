#include "overload.h"

#include <fmt/format.h>

#include "naive_limits.h"
#include "overload_fake.h"

namespace sequoiastage {

namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr double kLoads[] = {0.5, 1, 2, 4};

struct GrayCase {
  const char* m_name;
  std::vector<GrayFault> m_gray;
};

std::vector<GrayCase> MakeGrayCases() {
  return {{"none", {}},
          {"1 hangs", {GrayFault::kHang}},
          {"1 fails fast", {GrayFault::kFastErrors}},
          {"3: hang, fast, slow",
           {GrayFault::kHang, GrayFault::kFastErrors, GrayFault::kSlow}}};
}

OverloadStats RunProduction(const OverloadOptions& options,
                            const EjectionPolicy& policy) {
  return OverloadFake<SlotGate, RetryBudget, JudgePolicy>(
             options, RetryBudget({}, kStart),
             JudgePolicy(options.m_instances, MakeJudgeOptions(policy), kStart),
             kStart)
      .Run();
}

OverloadStats RunNaive(const OverloadOptions& options) {
  return OverloadFake<FifoGate, UnlimitedRetries, ErrorsPolicy>(
             options, UnlimitedRetries(), ErrorsPolicy(options.m_instances),
             kStart)
      .Run();
}

double Percentile99(std::vector<double> values) {
  if (values.empty()) {
    return 0;
  }
  const auto nth =
      values.begin() + static_cast<std::ptrdiff_t>(0.99 * (values.size() - 1));
  std::nth_element(values.begin(), nth, values.end());
  return *nth;
}

double Ratio(uint64_t count, uint64_t total) {
  return static_cast<double>(count) / static_cast<double>(total);
}

void PrintRow(const char* gray,
              const char* version,
              const OverloadOptions& options,
              const OverloadStats& stats) {
  const double seconds =
      std::chrono::duration<double>(options.m_run_time).count();
  const double goodput =
      static_cast<double>(stats.m_good) / seconds / options.Capacity();
  fmt::print(
      "{:<20} {:>4.1f} {:<16} {:>8.3f} {:>9.3f} {:>10.3f} {:>8.2f} {:>8.2f} "
      "{:>9.2f}\n",
      gray, options.m_load, version, goodput,
      Ratio(stats.m_good, stats.m_requests),
      Ratio(stats.m_small_good, stats.m_small_requests),
      Ratio(stats.m_executions, stats.m_requests),
      Percentile99(stats.m_good_seconds),
      Percentile99(stats.m_refused_seconds));
}

}  // namespace

void RunOverload(uint64_t seed) {
  fmt::print(
      "12 instances of 3 slots, 150 ms mean, deadline 2 s, 60 s measured.\n"
      "goodput: answered in time, of the capacity of all 36 slots; served: of\n"
      "all requests; small: of the account with 5% of the requests; runs:\n"
      "executions per request; p99 and refused: s from arrival to the "
      "answer,\n"
      "and to the final refusal.\n\n"
      "{:<20} {:>4} {:<16} {:>8} {:>9} {:>10} {:>8} {:>8} {:>9}\n",
      "gray instances", "load", "version", "goodput", "served", "small", "runs",
      "p99", "refused");
  for (const GrayCase& gray : MakeGrayCases()) {
    for (const double load : kLoads) {
      OverloadOptions options;
      options.m_load = load;
      options.m_gray = gray.m_gray;
      options.m_seed = seed;
      PrintRow(gray.m_name, "Znojmo (1000 h)", options,
               RunProduction(options, kCautiousPolicy));
      PrintRow(gray.m_name, "Tasmania (10 h)", options,
               RunProduction(options, kFastPolicy));
      PrintRow(gray.m_name, "naive", options, RunNaive(options));
    }
  }
}

}  // namespace sequoiastage
