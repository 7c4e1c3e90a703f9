#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <fmt/format.h>

#include <cstdint>
#include <string>

#include "detection.h"
#include "overload.h"
#include "replication.h"

ABSL_FLAG(uint64_t, seed, 1, "seed of all random numbers");
ABSL_FLAG(std::string, mode, "detection", "detection, overload or replication");
ABSL_FLAG(int, trials, 100, "runs of each fault scenario");
ABSL_FLAG(double, rate, 5, "requests per second and instance");
ABSL_FLAG(double, burst_weight, 0.5, "weight of failures inside a burst");
ABSL_FLAG(double, hours, 30, "instance-hours of each healthy scenario");

namespace {

constexpr int kUsageError = 2;

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "Measures the decision code on a fake service in virtual time.");
  absl::ParseCommandLine(argc, argv);
  const uint64_t seed = absl::GetFlag(FLAGS_seed);
  const std::string mode = absl::GetFlag(FLAGS_mode);
  if (mode == "detection") {
    sequoiastage::RunDetection(
        {.m_seed = seed,
         .m_trials = absl::GetFlag(FLAGS_trials),
         .m_healthy_hours = absl::GetFlag(FLAGS_hours),
         .m_instance_rate = absl::GetFlag(FLAGS_rate),
         .m_burst_weight = absl::GetFlag(FLAGS_burst_weight)});
    return 0;
  }
  if (mode == "overload") {
    sequoiastage::RunOverload(seed);
    return 0;
  }
  if (mode == "replication") {
    sequoiastage::RunReplication(seed);
    return 0;
  }
  fmt::print(stderr, "decision_bench: unknown --mode={}\n", mode);
  return kUsageError;
}
