#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <iostream>
#include <string>
#include <vector>

#include "commands.h"
#include "exit_code.h"

namespace {

// Replaces dashes in flag names by underscores, so that the common spelling
// "--token-file" is accepted for "--token_file".
void NormalizeFlagNames(int argc, char** argv) {
  for (int i = 1; i < argc; ++i) {
    char* arg = argv[i];
    if (arg[0] != '-' || arg[1] != '-') {
      continue;
    }
    for (char* c = arg + 2; *c != '\0' && *c != '='; ++c) {
      if (*c == '-') {
        *c = '_';
      }
    }
  }
}

bool IsHelpRequested(int argc, char** argv) {
  for (int i = 1; i < argc; ++i) {
    const std::string arg = argv[i];
    if (arg == "--help" || arg == "-h" || (i == 1 && arg == "help")) {
      return true;
    }
  }
  return false;
}

}  // namespace

int main(int argc, char** argv) {
  NormalizeFlagNames(argc, argv);
  if (IsHelpRequested(argc, argv)) {
    std::cout << sequoiastage::HelpText();
    return 0;
  }
  if (argc == 2 && std::string(argv[1]) == "--version") {
    std::cout << "sequoiactl " << SEQUOIASTAGE_VERSION << "\n";
    return 0;
  }
  const std::vector<char*> positional = absl::ParseCommandLine(argc, argv);
  const std::vector<std::string> words(positional.begin() + 1,
                                       positional.end());
  return static_cast<int>(sequoiastage::RunCommand(words));
}
