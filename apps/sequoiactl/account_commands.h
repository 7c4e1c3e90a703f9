#ifndef SEQUOIASTAGE_SEQUOIACTL_ACCOUNT_COMMANDS_H_
#define SEQUOIASTAGE_SEQUOIACTL_ACCOUNT_COMMANDS_H_

#include <optional>
#include <string>
#include <vector>

#include "exit_code.h"
#include "json_output.h"
#include "metrics_client.h"

namespace sequoiastage {

/// Number of accounts that PrintAccounts() prints by default.
inline constexpr size_t kDefaultAccountCount = 20;

/// Parses IP:PORT arguments. A repeated node is dropped, since it would be
/// counted twice. Empty, with `reason` set, when one is malformed.
std::optional<std::vector<Endpoint>> ParseNodes(
    const std::vector<std::string>& texts,
    std::string* reason);

/// Prints the accounts, summed over the nodes, and the nodes. A node without a
/// usable response is named in the errors and left out; returns
/// kNodeUnavailable when no node is left. `max_accounts`: number of accounts
/// that are printed.
ExitCode PrintAccounts(const std::vector<MetricsResponse>& responses,
                       size_t max_accounts,
                       const CommandOutput& output);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_SEQUOIACTL_ACCOUNT_COMMANDS_H_
