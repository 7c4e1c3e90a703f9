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
  RolloutCount shown;
  while (true) {
    const ApiAnswer answer = api.Get("/v1/config/status?version=" + number);
    const auto count = ReadRolloutCount(answer);
    const bool is_news = count && (count->m_in_force != shown.m_in_force ||
                                   count->m_nodes != shown.m_nodes);
    if (is_news) {
      shown = *count;
      *output.m_err << "version " << number << ": in force on "
                    << shown.m_in_force << " of " << shown.m_nodes
                    << " nodes\n";
    }
    if (count && count->IsEverywhere()) {
      return PrintRollout(version, *count, output);
    }
    if (clock.Now() >= end) {
      return PrintRollout(version, shown, output);
    }
    clock.Sleep(kRolloutPollInterval);
  }
}

template <AdminApi Api, CommandClock Clock>
ApiAnswer SendPublish(Api& api,
                      Clock& clock,
                      const PublishOptions& options,
                      const Json& document,
                      const CommandOutput& output) {
  const Json body = ToPublishBody(options, document);
  const TimePoint end = clock.Now() + options.m_wait;
  bool may_be_written = false;
  while (true) {
    ApiAnswer answer = api.Post("/v1/config/publish", body);
    // An outage says nothing of an append that was sent before.
    if (may_be_written && answer.m_status == kHttpStatusUnavailable) {
      answer.m_status = kHttpStatusUnknown;
    }
    const bool is_unknown =
        answer.m_status == 0 || answer.m_status == kHttpStatusUnknown;
    if (!is_unknown || clock.Now() >= end) {
      return answer;
    }
    may_be_written = true;
    *output.m_err << "no certain answer yet; asking again under change id "
                  << options.m_change_id << "\n";
    clock.Sleep(kPublishRetryInterval);
  }
}

template <AdminApi Api, CommandClock Clock>
ExitCode PublishConfig(Api& api,
                       Clock& clock,
                       const PublishOptions& options,
                       const CommandOutput& output) {
  const ApiAnswer config = api.Get("/v1/config");
  ExitCode exit_code = ExitCode::kDone;
  const auto prepared = PrepareDocument(config, options, output, &exit_code);
  if (!prepared) {
    return exit_code;
  }
  for (const std::string& line : prepared->m_differences) {
    *output.m_err << line << "\n";
  }
  const ApiAnswer answer =
      SendPublish(api, clock, options, prepared->m_document, output);
  if (answer.m_status != kHttpStatusOk) {
    return ReportPublishProblem(answer, options, output);
  }
  const auto version = NumberAt(answer.m_json, "version");
  *output.m_err << "accepted as version " << version << "\n";
  return WaitForRollout(api, clock, version, options.m_wait, output);
}

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_SEQUOIACTL_CONFIG_COMMANDS_INL_H_
