#ifndef SEQUOIASTAGE_SEQUOIACTL_ACCOUNT_SUMMARY_H_
#define SEQUOIASTAGE_SEQUOIACTL_ACCOUNT_SUMMARY_H_

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "metrics_text.h"

/// Counters of client accounts with a limit, from the metrics of mesh nodes.
namespace sequoiastage {

/// Counters of one account, at one node or summed over several.
struct AccountTotals {
  std::string m_account;
  double m_requests = 0;
  /// Requests over the limit.
  double m_rejected = 0;
  double m_spent = 0;
  double m_lent = 0;
  double m_borrowed = 0;
  /// Requests per second over all nodes. More than one value while nodes have
  /// different configurations in force.
  std::set<double> m_limits{};
};

struct NodeAccounts {
  /// The accounts that the node reports, by name.
  std::vector<AccountTotals> m_accounts{};
  /// Accounts that the node coordinates.
  double m_buckets = 0;
  double m_granted = 0;
  double m_coordinator_changes = 0;
};

/// Empty, with `reason` set, when these are not the metrics of a mesh node or a
/// value is negative or not finite.
std::optional<NodeAccounts> ReadNodeAccounts(
    const std::vector<TextSample>& samples,
    std::string* reason);

/// Sums the accounts over the nodes. Those with the most rejected requests come
/// first, then those with the most requests, then by name.
std::vector<AccountTotals> SumAccounts(const std::vector<NodeAccounts>& nodes);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_SEQUOIACTL_ACCOUNT_SUMMARY_H_
