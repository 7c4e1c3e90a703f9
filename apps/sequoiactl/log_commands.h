#ifndef SEQUOIASTAGE_SEQUOIACTL_LOG_COMMANDS_H_
#define SEQUOIASTAGE_SEQUOIACTL_LOG_COMMANDS_H_

#include <string>
#include <vector>

#include "exit_code.h"
#include "json_output.h"

namespace sequoiastage {

/// Prints the cause of the outcome of `request`, determined from the logs in
/// `files`. Returns kNotFound when they do not hold the request, and kInvalid
/// when a file can't be read.
ExitCode ExplainFromLogs(const std::string& request,
                         const std::vector<std::string>& files,
                         const CommandOutput& output);

/// Prints the lines of `files` that violate the event table; kInvalid when
/// there are any or a file can't be read.
ExitCode CheckLogs(const std::vector<std::string>& files,
                   const CommandOutput& output);

/// Prints the number of requests of each route by cause; kInvalid when a file
/// can't be read.
ExitCode PrintCauseCounts(const std::vector<std::string>& files,
                          const CommandOutput& output);

/// Prints the event table as the page docs/EVENTS.md.
ExitCode PrintEvents(const CommandOutput& output);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_SEQUOIACTL_LOG_COMMANDS_H_
