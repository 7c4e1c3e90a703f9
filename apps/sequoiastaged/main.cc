/// sequoiastaged: the proxy daemon, one process on each backend server host.
///
/// Exit codes: 0 clean shutdown, 1 the node failed to start or requests were
/// interrupted at shutdown, 2 invalid command line or settings.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <string>
#include <string_view>

#include "sequoiastage/base/process_memory.h"
#include "sequoiastage/base/signal_block.h"
#include "sequoiastage/logging/log_event.h"
#include "sequoiastage/node/node.h"
#include "sequoiastage/settings/node_settings.h"

ABSL_FLAG(std::string, settings, "", "Settings file of this node (JSON).");
ABSL_FLAG(bool, check, false, "Check the settings and exit.");
ABSL_FLAG(bool, verbose, false, "Also log debug events.");

namespace {

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

constexpr const char* kUsage =
    "One node of the sequoiastage proxy fleet.\n"
    "\n"
    "  sequoiastaged --settings=FILE [--check] [--verbose]\n"
    "  sequoiastaged --version | --help\n"
    "\n"
    "SIGTERM shuts down without interrupting a request in flight.\n";

bool HasArgument(int argc, char** argv, std::string_view name) {
  return std::any_of(argv + 1, argv + argc, [name](std::string_view argument) {
    return argument == name;
  });
}

int RunNode(const sequoiastage::NodeSettings& settings,
            sequoiastage::SignalBlock& block) {
  sequoiastage::InitLogging(absl::GetFlag(FLAGS_verbose)
                                ? sequoiastage::LogLevel::kDebug
                                : sequoiastage::LogLevel::kInfo);
  sequoiastage::Incarnation superseded_by;
  while (true) {
    sequoiastage::Node node(settings, superseded_by);
    if (!node.Start()) {
      std::fprintf(stderr, "sequoiastaged: %s\n", node.LastReason().c_str());
      return kExitFailed;
    }
    block.Release();
    const bool is_clean_shutdown = node.Run();
    if (!node.SupersededBy()) {
      return is_clean_shutdown ? 0 : kExitFailed;
    }
    superseded_by = *node.SupersededBy();
  }
}

}  // namespace

int main(int argc, char** argv) {
  sequoiastage::SignalBlock block({SIGTERM, SIGINT});
  std::signal(SIGPIPE, SIG_IGN);
  sequoiastage::ReturnLargeBuffers();
  absl::SetProgramUsageMessage(kUsage);
  absl::FlagsUsageConfig usage;
  usage.version_string = [] {
    return std::string("sequoiastaged ") + SEQUOIASTAGE_VERSION + "\n";
  };
  absl::SetFlagsUsageConfig(usage);
  if (HasArgument(argc, argv, "--help")) {
    std::fputs(kUsage, stdout);
    return 0;
  }
  if (absl::ParseCommandLine(argc, argv).size() > 1 ||
      absl::GetFlag(FLAGS_settings).empty()) {
    std::fputs(kUsage, stderr);
    return kExitUsage;
  }
  sequoiastage::Findings findings;
  const auto settings =
      sequoiastage::LoadNodeSettings(absl::GetFlag(FLAGS_settings), &findings);
  if (!settings) {
    std::fputs(findings.ToText().c_str(), stderr);
    return kExitUsage;
  }
  if (absl::GetFlag(FLAGS_check)) {
    std::puts("settings: valid");
    return 0;
  }
  return RunNode(*settings, block);
}
