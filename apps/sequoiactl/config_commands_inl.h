#ifndef SEQUOIASTAGE_SEQUOIACTL_CONFIG_COMMANDS_INL_H_
#define SEQUOIASTAGE_SEQUOIACTL_CONFIG_COMMANDS_INL_H_

#include <ostream>
#include <string>

#include "config_commands.h"

namespace sequoiastage {

inline constexpr Duration kRolloutPollInterval = std::chrono::milliseconds(200);
inline constexpr Duration kPublishRetryInterval = std::chrono::seconds(1);
inline constexpr int kHttpStatusOk = 200;
inline constexpr int kHttpStatusUnavailable = 503;
inline constexpr int kHttpStatusUnknown = 504;

template <AdminApi Api, CommandClock Clock>
ExitCode WaitForRollout(Api& api,
                        Clock& clock,
                        uint64_t version,
                        Duration wait,
                        const CommandOutput& output) {
  const std::string number = std::to_string(version);
  const TimePoint end = clock.Now() + wait;
  RolloutCount last_printed;
  while (true) {
    const ApiResponse response = api.Get("/v1/config/status?version=" + number);
    const auto count = ReadRolloutCount(response);
    const bool has_changed =
        count && (count->m_in_force != last_printed.m_in_force ||
                  count->m_nodes != last_printed.m_nodes);
    if (has_changed) {
      last_printed = *count;
      *output.m_err << "version " << number << ": in force on "
                    << last_printed.m_in_force << " of " << last_printed.m_nodes
                    << " nodes\n";
    }
    if (count && count->IsComplete()) {
      return PrintRollout(version, *count, output);
    }
    if (clock.Now() >= end) {
      return PrintRollout(version, last_printed, output);
    }
    clock.Sleep(kRolloutPollInterval);
  }
}

template <AdminApi Api, CommandClock Clock>
ApiResponse SendPublish(Api& api,
                        Clock& clock,
                        const PublishOptions& options,
                        const Json& document,
                        const CommandOutput& output) {
  const Json body = BuildPublishBody(options, document);
  const TimePoint end = clock.Now() + options.m_wait;
  bool may_be_written = false;
  while (true) {
    ApiResponse response = api.Post("/v1/config/publish", body);
    // After an earlier attempt without a known outcome, an outage does not show
    // whether that attempt was written.
    if (may_be_written && response.m_status == kHttpStatusUnavailable) {
      response.m_status = kHttpStatusUnknown;
    }
    const bool is_unknown =
        response.m_status == 0 || response.m_status == kHttpStatusUnknown;
    if (!is_unknown || clock.Now() >= end) {
      return response;
    }
    may_be_written = true;
    *output.m_err << "no certain answer yet; retrying with change id "
                  << options.m_change_id << "\n";
    clock.Sleep(kPublishRetryInterval);
  }
}

template <AdminApi Api, CommandClock Clock>
ExitCode PublishConfig(Api& api,
                       Clock& clock,
                       const PublishOptions& options,
                       const CommandOutput& output) {
  const ApiResponse config = api.Get("/v1/config");
  ExitCode exit_code = ExitCode::kDone;
  const auto prepared = PrepareDocument(config, options, output, &exit_code);
  if (!prepared) {
    return exit_code;
  }
  for (const std::string& line : prepared->m_differences) {
    *output.m_err << line << "\n";
  }
  const ApiResponse response =
      SendPublish(api, clock, options, prepared->m_document, output);
  if (response.m_status != kHttpStatusOk) {
    return ReportPublishProblem(response, options, output);
  }
  const auto version = NumberAt(response.m_json, "version");
  *output.m_err << "accepted as version " << version << "\n";
  return WaitForRollout(api, clock, version, options.m_wait, output);
}

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_SEQUOIACTL_CONFIG_COMMANDS_INL_H_
