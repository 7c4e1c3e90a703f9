#ifndef SEQUOIASTAGE_SEQUOIACTL_LOG_COMMANDS_H_
#define SEQUOIASTAGE_SEQUOIACTL_LOG_COMMANDS_H_

#include <string>
#include <vector>

#include "exit_code.h"
#include "json_output.h"

namespace sequoiastage {

/// Prints why `request` ended as it did, from the logs in `files`.
ExitCode ExplainFromLogs(const std::string& request,
                         const std::vector<std::string>& files,
                         const CommandOutput& output);

/// Prints the lines of `files` that break the table of events.
ExitCode CheckLogs(const std::vector<std::string>& files,
                   const CommandOutput& output);

/// Prints, route by route, how often requests ended for which cause.
ExitCode CountCauses(const std::vector<std::string>& files,
                     const CommandOutput& output);

/// Prints the page of events.
ExitCode PrintEvents(const CommandOutput& output);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_SEQUOIACTL_LOG_COMMANDS_H_
