#ifndef SEQUOIASTAGE_SEQUOIACTL_COMMANDS_H_
#define SEQUOIASTAGE_SEQUOIACTL_COMMANDS_H_

#include <string>
#include <vector>

#include "exit_code.h"

namespace sequoiastage {

/// Returns the help text with the commands, flags and exit codes.
std::string HelpText();

/// Runs the command that the positional arguments `words` start with. Prints an
/// error and returns kUsage when they name no command or do not fit it.
ExitCode RunCommand(const std::vector<std::string>& words);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_SEQUOIACTL_COMMANDS_H_
