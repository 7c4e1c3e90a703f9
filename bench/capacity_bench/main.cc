#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdio>
#include <string>

#include "sections.h"

ABSL_FLAG(uint64_t, seed, 1, "Seed of all random choices.");
ABSL_FLAG(
    std::string,
    section,
    "all",
    "What to measure: all, fleets, groups, domains, versions, members, config, "
    "replay, routing, quarantine, accounts or connections.");

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "Measures how state, traffic and processor time grow with the size of "
      "the fleet.");
  absl::ParseCommandLine(argc, argv);
  const uint64_t seed = absl::GetFlag(FLAGS_seed);
  const std::string section = absl::GetFlag(FLAGS_section);
  const bool is_all = section == "all";
  bool is_known = is_all;
  const auto run = [&](const char* name, void (*measure)(uint64_t)) {
    if (is_all || section == name) {
      is_known = true;
      measure(seed);
    }
  };
  run("members", sequoiastage::MeasureMemberState);
  run("config", sequoiastage::MeasureConfig);
  run("replay", sequoiastage::MeasureReplay);
  run("routing", sequoiastage::MeasureRouting);
  run("accounts", sequoiastage::MeasureAccountTable);
  run("quarantine", sequoiastage::MeasureQuarantine);
  run("versions", sequoiastage::MeasureVersions);
  run("connections", sequoiastage::MeasureConnections);
  run("fleets", sequoiastage::MeasureFleets);
  run("groups", sequoiastage::MeasureGroups);
  run("domains", sequoiastage::MeasureDomains);
  if (!is_known) {
    std::fprintf(stderr, "unknown section \"%s\"\n", section.c_str());
    return 2;
  }
  return 0;
}
