#ifndef SEQUOIASTAGE_SEQUOIACTL_COMMANDS_H_
#define SEQUOIASTAGE_SEQUOIACTL_COMMANDS_H_

#include <string>
#include <vector>

#include "exit_code.h"

namespace sequoiastage {

/// Commands, flags and exit codes.
std::string HelpText();

/// Runs the command that `words`, the command line without its flags, name.
ExitCode RunCommand(const std::vector<std::string>& words);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_SEQUOIACTL_COMMANDS_H_
