#include "account_summary.h"

#include <algorithm>
#include <array>
#include <map>
#include <string_view>
#include <tuple>

namespace sequoiastage {

namespace {

constexpr std::string_view kPrefix = "sequoiastage_mesh_";
constexpr std::string_view kLimitMetric = "account_limit_per_second";

// Integers up to this value are exact in a double.
constexpr double kMaxValue = 9007199254740992;

struct AccountCounter {
  std::string_view m_metric;
  double AccountTotals::*m_total;
};

constexpr std::array kAccountCounters = {
    AccountCounter{"account_requests_total", &AccountTotals::m_requests},
    AccountCounter{"account_refused_total", &AccountTotals::m_rejected},
    AccountCounter{"account_tokens_spent_total", &AccountTotals::m_spent},
    AccountCounter{"account_tokens_lent_total", &AccountTotals::m_lent},
    AccountCounter{"account_tokens_borrowed_total",
                   &AccountTotals::m_borrowed}};

struct NodeValue {
  std::string_view m_metric;
  // Value of the label "use"; empty for a metric without labels.
  std::string_view m_use;
  double NodeAccounts::*m_value;
};

// Every mesh node reports these, also without accounts.
constexpr std::array kNodeValues = {
    NodeValue{"limit_buckets", "", &NodeAccounts::m_buckets},
    NodeValue{"limit_tokens_total", "granted", &NodeAccounts::m_granted},
    NodeValue{"limit_coordinator_changes_total", "",
              &NodeAccounts::m_coordinator_changes}};

using TotalsByAccount = std::map<std::string, AccountTotals>;

AccountTotals& TotalsOf(TotalsByAccount& totals, const std::string& account) {
  AccountTotals& found = totals[account];
  found.m_account = account;
  return found;
}

std::vector<AccountTotals> ToList(const TotalsByAccount& totals) {
  std::vector<AccountTotals> list;
  list.reserve(totals.size());
  for (const auto& [account, entry] : totals) {
    list.push_back(entry);
  }
  return list;
}

// Adds the value of an account's metric; ignores other metrics.
void AddValue(std::string_view metric, double value, AccountTotals& totals) {
  if (metric == kLimitMetric) {
    totals.m_limits.insert(value);
  }
  for (const AccountCounter& counter : kAccountCounters) {
    if (metric == counter.m_metric) {
      totals.*counter.m_total += value;
    }
  }
}

bool IsAccountMetric(std::string_view metric) {
  return metric == kLimitMetric ||
         std::any_of(kAccountCounters.begin(), kAccountCounters.end(),
                     [&](const AccountCounter& counter) {
                       return metric == counter.m_metric;
                     });
}

const NodeValue* FindNodeValue(std::string_view metric,
                               const TextSample& sample) {
  const std::string* use = FindLabel(sample, "use");
  const auto found = std::find_if(
      kNodeValues.begin(), kNodeValues.end(), [&](const NodeValue& value) {
        return metric == value.m_metric &&
               (use == nullptr ? "" : std::string_view(*use)) == value.m_use;
      });
  return found == kNodeValues.end() ? nullptr : &*found;
}

}  // namespace

std::optional<NodeAccounts> ReadNodeAccounts(
    const std::vector<TextSample>& samples,
    std::string* reason) {
  NodeAccounts node;
  TotalsByAccount totals;
  size_t node_values = 0;
  for (const TextSample& sample : samples) {
    std::string_view metric = sample.m_name;
    if (!metric.starts_with(kPrefix)) {
      continue;
    }
    metric.remove_prefix(kPrefix.size());
    const NodeValue* node_value = FindNodeValue(metric, sample);
    const bool is_account_metric = IsAccountMetric(metric);
    if (node_value == nullptr && !is_account_metric) {
      continue;
    }
    // False for NaN too.
    if (!(sample.m_value >= 0 && sample.m_value <= kMaxValue)) {
      *reason = sample.m_name + " has an invalid value";
      return std::nullopt;
    }
    if (node_value != nullptr) {
      node.*node_value->m_value = sample.m_value;
      ++node_values;
      continue;
    }
    const std::string* account = FindLabel(sample, "account");
    if (account == nullptr) {
      *reason = sample.m_name + " names no account";
      return std::nullopt;
    }
    AddValue(metric, sample.m_value, TotalsOf(totals, *account));
  }
  if (node_values != kNodeValues.size()) {
    *reason = "these are not the metrics of a mesh node";
    return std::nullopt;
  }
  node.m_accounts = ToList(totals);
  return node;
}

std::vector<AccountTotals> SumAccounts(const std::vector<NodeAccounts>& nodes) {
  TotalsByAccount sums;
  for (const NodeAccounts& node : nodes) {
    for (const AccountTotals& totals : node.m_accounts) {
      AccountTotals& sum = TotalsOf(sums, totals.m_account);
      for (const AccountCounter& counter : kAccountCounters) {
        sum.*counter.m_total += totals.*counter.m_total;
      }
      sum.m_limits.insert(totals.m_limits.begin(), totals.m_limits.end());
    }
  }
  std::vector<AccountTotals> list = ToList(sums);
  // Stable, so that equal accounts stay in the order of their names.
  std::stable_sort(list.begin(), list.end(),
                   [](const AccountTotals& a, const AccountTotals& b) {
                     return std::tie(a.m_rejected, a.m_requests) >
                            std::tie(b.m_rejected, b.m_requests);
                   });
  return list;
}

}  // namespace sequoiastage
