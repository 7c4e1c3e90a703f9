#include "account_commands.h"

#include <algorithm>
#include <cmath>
#include <ostream>

#include "account_summary.h"

namespace sequoiastage {

namespace {

std::vector<Column> AccountColumns() {
  return {{"ACCOUNT", "account"},           {"LIMIT/S", "limits_per_second"},
          {"REQUESTS", "requests"},         {"REJECTED", "rejected"},
          {"TOKENS SPENT", "tokens_spent"}, {"LENT", "tokens_lent"},
          {"BORROWED", "tokens_borrowed"}};
}

std::vector<Column> NodeColumns() {
  return {{"NODE", "node"},
          {"BUCKETS", "buckets"},
          {"TOKENS GRANTED", "tokens_granted"},
          {"COORDINATOR CHANGES", "coordinator_changes"}};
}

// Integral values are printed without a fraction.
Json ToNumber(double value) {
  return value == std::floor(value) ? Json(static_cast<uint64_t>(value))
                                    : Json(value);
}

// Loans are counted in thousandths of a token, and their sums have rounding
// errors in the last digits.
Json ToTokens(double tokens) {
  return ToNumber(std::round(tokens * 1000) / 1000);
}

Json ToJson(const AccountTotals& totals) {
  Json limits = Json::array();
  for (const double limit : totals.m_limits) {
    limits.push_back(ToNumber(limit));
  }
  return {{"account", totals.m_account},
          {"limits_per_second", limits},
          {"requests", ToNumber(totals.m_requests)},
          {"rejected", ToNumber(totals.m_rejected)},
          {"tokens_spent", ToNumber(totals.m_spent)},
          {"tokens_lent", ToTokens(totals.m_lent)},
          {"tokens_borrowed", ToTokens(totals.m_borrowed)}};
}

Json ToJson(const Endpoint& endpoint, const NodeAccounts& node) {
  return {{"node", ToString(endpoint)},
          {"buckets", ToNumber(node.m_buckets)},
          {"tokens_granted", ToNumber(node.m_granted)},
          {"coordinator_changes", ToNumber(node.m_coordinator_changes)}};
}

std::optional<NodeAccounts> ReadResponse(const MetricsResponse& response,
                                         std::string* reason) {
  if (response.m_status == 0) {
    *reason = response.m_reason;
    return std::nullopt;
  }
  if (response.m_status != kHttpOk) {
    *reason = "the node answered " + std::to_string(response.m_status);
    return std::nullopt;
  }
  const auto samples = ParseMetrics(response.m_body, reason);
  return samples ? ReadNodeAccounts(*samples, reason) : std::nullopt;
}

}  // namespace

std::optional<std::vector<Endpoint>> ParseNodes(
    const std::vector<std::string>& texts,
    std::string* reason) {
  std::vector<Endpoint> nodes;
  for (const std::string& text : texts) {
    const auto node = ParseEndpoint(text);
    if (!node) {
      *reason = text + " must be IP:PORT";
      return std::nullopt;
    }
    if (std::find(nodes.begin(), nodes.end(), *node) == nodes.end()) {
      nodes.push_back(*node);
    }
  }
  return nodes;
}

ExitCode PrintAccounts(const std::vector<MetricsResponse>& responses,
                       size_t max_accounts,
                       const CommandOutput& output) {
  std::vector<NodeAccounts> nodes;
  Json node_rows = Json::array();
  for (const MetricsResponse& response : responses) {
    std::string reason;
    auto node = ReadResponse(response, &reason);
    if (!node) {
      *output.m_err << "error: " << ToString(response.m_node)
                    << " is left out: " << reason << "\n";
      continue;
    }
    node_rows.push_back(ToJson(response.m_node, *node));
    nodes.push_back(*std::move(node));
  }
  if (nodes.empty()) {
    return ExitCode::kNodeUnavailable;
  }
  const std::vector<AccountTotals> accounts = SumAccounts(nodes);
  const size_t printed = std::min(accounts.size(), max_accounts);
  const size_t omitted = accounts.size() - printed;
  Json account_rows = Json::array();
  for (size_t i = 0; i < printed; ++i) {
    account_rows.push_back(ToJson(accounts[i]));
  }
  if (output.m_format == OutputFormat::kJson) {
    PrintJson({{"accounts", account_rows},
               {"omitted_accounts", omitted},
               {"nodes", node_rows}},
              *output.m_out);
    return ExitCode::kDone;
  }
  *output.m_out << ToTable(AccountColumns(), account_rows);
  if (omitted > 0) {
    *output.m_out << omitted << " more accounts; --all prints them\n";
  }
  *output.m_out << "\n" << ToTable(NodeColumns(), node_rows);
  return ExitCode::kDone;
}

}  // namespace sequoiastage
