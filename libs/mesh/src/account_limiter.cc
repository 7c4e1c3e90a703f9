#include "sequoiastage/mesh/account_limiter.h"

#include <algorithm>
#include <asio/post.hpp>
#include <functional>
#include <map>
#include <tuple>
#include <utility>

#include "sequoiastage/base/boot_clock.h"
#include "sequoiastage/logging/log_event.h"

namespace sequoiastage {

AccountLimiter::AccountLimiter(asio::io_context& io,
                               PeerKey self,
                               const AccountLimiterOptions& options,
                               const TargetTable& targets,
                               MeshLinks& links,
                               std::function<bool()> has_members)
    : m_io(io),
      m_self(self.m_node),
      m_options(options),
      m_targets(targets),
      m_links(links),
      m_has_members(std::move(has_members)),
      m_exchange(self.m_node,
                 self.m_incarnation,
                 {.m_quota = options.m_quota,
                  .m_is_first_start = options.m_is_first_start},
                 MakeHooks(),
                 BootNow()),
      m_ticks(io, options.m_tick) {
  m_ticks.Add("tick-accounts", [this] { Tick(); });
}

AccountExchange::Hooks AccountLimiter::MakeHooks() {
  return {.m_send =
              [this](NodeId node, const Message& message) {
                return m_links.Send(node, message);
              },
          .m_is_usable = [this](NodeId node) { return m_links.IsUsable(node); },
          .m_limit_of = [this](AccountId account) -> const AccountLimit* {
            const auto found = m_limited.find(account);
            return found == m_limited.end() ? nullptr
                                            : &*found->second->m_limit;
          },
          .m_on_decision =
              [this](const TokenDecision& decision) { OnDecision(decision); },
          .m_on_coordinator =
              [](uint32_t shard, NodeId coordinator, std::string_view place) {
                LogEvent(LogLevel::kInfo, "account_coordinator_changed")
                    .Add("shard", static_cast<int64_t>(shard))
                    .Add("node", ToString(coordinator))
                    .Add("place", place);
              },
          .m_on_loan =
              [this](AccountId account, NodeId node, double tokens,
                     bool is_lent) { OnLoan(account, node, tokens, is_lent); }};
}

void AccountLimiter::SetConfig(
    const std::shared_ptr<const TrafficConfig>& config) {
  const TimePoint now = BootNow();
  const bool is_first = m_config == nullptr;
  std::unordered_map<AccountId, const ClientAccount*> limited;
  std::vector<AccountId> added;
  for (const ClientAccount& account : config->m_accounts) {
    if (!account.m_limit) {
      continue;
    }
    const AccountId id = MakeAccountId(account.m_name);
    limited[id] = &account;
    if (!is_first && !m_limited.contains(id)) {
      added.push_back(id);
    }
  }
  m_config = config;
  m_limited = std::move(limited);
  if (is_first) {
    m_exchange.StartAccounts(now);
  }
  // Known before the first request of these accounts.
  if (!m_limited.empty()) {
    UpdateMembers(now);
  }
  m_exchange.AddAccounts(added, now);
  m_exchange.DropUnlimited();
  const auto is_unlimited = [this](const auto& entry) {
    return !m_limited.contains(entry.first);
  };
  std::erase_if(m_usage, is_unlimited);
  std::erase_if(m_loans, is_unlimited);
  if (!m_limited.empty()) {
    m_ticks.Start();
  }
}

AccountLimiter::Acquisition AccountLimiter::Acquire(
    const ClientAccount& account,
    Handler handler) {
  if (!account.m_limit) {
    return {};
  }
  const TimePoint now = BootNow();
  if (!m_exchange.HasMembers()) {
    UpdateMembers(now);
  }
  if (!m_exchange.HasMembers()) {
    return {.m_result = Result::kNoMembers};
  }
  const AccountId id = MakeAccountId(account.m_name);
  AccountUsage& usage = UsageOf(id, account.m_name);
  ++usage.m_requests;
  ++m_requests;
  const TokenWaiterId waiter(m_next_waiter++);
  // When this node is the coordinator, the decision is made within Acquire().
  m_waiters[waiter] = {.m_account = id, .m_handler = std::move(handler)};
  const auto acquisition = m_exchange.Acquire(id, waiter, now);
  switch (acquisition.m_result) {
    case AccountCredits::Result::kWaits:
      return {.m_result = Result::kWaits, .m_waiter = waiter};
    case AccountCredits::Result::kTaken:
      m_waiters.erase(waiter);
      ++usage.m_spent;
      return {.m_result = Result::kTaken};
    case AccountCredits::Result::kRefused:
      break;
  }
  m_waiters.erase(waiter);
  ++usage.m_refused;
  ++m_refused;
  return {.m_result = Result::kRefused,
          .m_retry_after = acquisition.m_retry_after};
}

void AccountLimiter::Abandon(AccountId account, TokenWaiterId waiter) {
  m_waiters.erase(waiter);
  m_exchange.Abandon(account, waiter);
}

void AccountLimiter::OnDecision(const TokenDecision& decision) {
  auto waiter = m_waiters.extract(decision.m_waiter);
  if (waiter.empty()) {
    return;
  }
  if (const auto usage = m_usage.find(waiter.mapped().m_account);
      usage != m_usage.end()) {
    ++(decision.m_is_granted ? usage->second.m_spent : usage->second.m_refused);
  }
  m_refused += decision.m_is_granted ? 0 : 1;
  // Posted, so that the caller of Acquire() and the exchange are not reentered.
  asio::post(m_io, [handler = std::move(waiter.mapped().m_handler), decision] {
    handler(decision.m_is_granted, decision.m_retry_after);
  });
}

void AccountLimiter::OnLoan(AccountId account,
                            NodeId node,
                            double tokens,
                            bool is_lent) {
  const auto limited = m_limited.find(account);
  if (limited == m_limited.end() || tokens <= 0) {
    return;
  }
  Loans& loans = m_loans[account];
  (is_lent ? loans.m_totals.m_lent : loans.m_totals.m_borrowed) += tokens;
  double& sum = loans.m_unlogged;
  sum += tokens;
  if (sum < m_options.m_loan_step) {
    return;
  }
  LogEvent(LogLevel::kInfo, "account_tokens_moved")
      .Add("account", limited->second->m_name)
      .Add("direction", is_lent ? "lent" : "borrowed")
      .Add("node", ToString(node))
      .Add("tokens", static_cast<int64_t>(sum));
  sum = 0;
}

AccountUsage& AccountLimiter::UsageOf(AccountId account,
                                      const std::string& name) {
  if (m_usage.size() >= m_options.m_max_counted && !m_usage.contains(account)) {
    std::vector<uint64_t> counts;
    counts.reserve(m_usage.size());
    for (const auto& [id, usage] : m_usage) {
      counts.push_back(usage.m_requests);
    }
    const auto middle =
        counts.begin() + static_cast<ptrdiff_t>(counts.size() / 2);
    std::nth_element(counts.begin(), middle, counts.end());
    std::erase_if(m_usage, [least = *middle](const auto& entry) {
      return entry.second.m_requests <= least;
    });
  }
  AccountUsage& usage = m_usage[account];
  usage.m_account = name;
  return usage;
}

bool AccountLimiter::OnRequest(const PeerKey& peer,
                               const Message& message,
                               const MessageSink& sink) {
  if (!std::holds_alternative<TokenRequestMessage>(message) &&
      !std::holds_alternative<TokenLoanRequestMessage>(message)) {
    return false;
  }
  const TimePoint now = BootNow();
  if (!m_exchange.HasMembers()) {
    UpdateMembers(now);
  }
  if (const auto reply =
          m_exchange.OnRequest(peer.m_node, peer.m_incarnation, message, now)) {
    sink(*reply);
  }
  return true;
}

bool AccountLimiter::OnReply(NodeId node, const Message& message) {
  if (!std::holds_alternative<TokenGrantMessage>(message) &&
      !std::holds_alternative<TokenLoanMessage>(message)) {
    return false;
  }
  m_exchange.OnReply(node, message, BootNow());
  return true;
}

void AccountLimiter::OnLinkLost(NodeId node) {
  m_exchange.OnLinkLost(node, BootNow());
}

void AccountLimiter::Tick() {
  if (m_limited.empty()) {
    m_ticks.Stop();
    return;
  }
  const TimePoint now = BootNow();
  if (now >= m_next_member_check) {
    UpdateMembers(now);
  }
  m_exchange.Tick(now);
}

void AccountLimiter::UpdateMembers(TimePoint now) {
  m_next_member_check = now + m_options.m_member_interval;
  if (!m_has_members()) {
    return;
  }
  const std::vector<NodeId> nodes = m_targets.Nodes();
  uint64_t hash = 1;
  for (const NodeId node : nodes) {
    const MemberRecord* member = m_targets.Find(node);
    hash += member->m_is_leaving
                ? 0
                : std::hash<NodeId>()(node) *
                      (std::hash<std::string>()(member->m_region) | 1);
  }
  if (hash == m_member_hash) {
    return;
  }
  m_member_hash = hash;
  std::map<std::string, std::vector<NodeId>> regions;
  for (const NodeId node : nodes) {
    const MemberRecord* member = m_targets.Find(node);
    if (!member->m_is_leaving) {
      regions[member->m_region].push_back(node);
    }
  }
  AccountExchange::Region own{.m_name = m_targets.Self().m_region};
  std::vector<AccountExchange::Region> others;
  for (auto& [name, members] : regions) {
    if (name == own.m_name) {
      own.m_nodes = std::move(members);
    } else {
      others.push_back({.m_name = name, .m_nodes = std::move(members)});
    }
  }
  if (std::find(own.m_nodes.begin(), own.m_nodes.end(), m_self) ==
          own.m_nodes.end() &&
      own.m_nodes.empty()) {
    own.m_nodes.push_back(m_self);
  }
  m_exchange.SetMembers(std::move(own), std::move(others), now);
}

AccountLimiterStats AccountLimiter::Stats() const {
  AccountLimiterStats stats{
      .m_requests = m_requests,
      .m_refused = m_refused,
      .m_spent = m_exchange.Stats().m_spent,
      .m_returned = m_exchange.Stats().m_returned,
      .m_granted = m_exchange.Pool().Stats().m_granted,
      .m_lent = m_exchange.Pool().Stats().m_lent,
      .m_borrowed = m_exchange.Pool().Stats().m_borrowed,
      .m_coordinator_changes = m_exchange.Stats().m_coordinator_changes,
      .m_buckets = m_exchange.Pool().size()};
  stats.m_accounts = Reports();
  const size_t kept =
      std::min(m_options.m_max_reported, stats.m_accounts.size());
  const auto rank = [](const AccountReport& report) {
    return std::tuple(report.m_usage.m_refused, report.m_usage.m_requests,
                      report.m_loans.m_lent + report.m_loans.m_borrowed);
  };
  std::partial_sort(stats.m_accounts.begin(),
                    stats.m_accounts.begin() + static_cast<ptrdiff_t>(kept),
                    stats.m_accounts.end(),
                    [&](const AccountReport& a, const AccountReport& b) {
                      return rank(a) > rank(b);
                    });
  stats.m_accounts.resize(kept);
  return stats;
}

std::vector<AccountReport> AccountLimiter::Reports() const {
  // Few of the accounts with a limit send requests at one node. The ingress may
  // still use an earlier configuration, with accounts that have no limit now.
  std::vector<AccountReport> reports;
  const auto add = [&](AccountId id, const LoanTotals& loans) {
    const auto limited = m_limited.find(id);
    if (limited == m_limited.end()) {
      return;
    }
    const ClientAccount& account = *limited->second;
    const auto usage = m_usage.find(id);
    reports.push_back(
        {.m_usage = usage == m_usage.end()
                        ? AccountUsage{.m_account = account.m_name}
                        : usage->second,
         .m_loans = loans,
         .m_limit = account.m_limit->m_rate});
  };
  for (const auto& [id, loans] : m_loans) {
    add(id, loans.m_totals);
  }
  for (const auto& [id, usage] : m_usage) {
    if (!m_loans.contains(id)) {
      add(id, {});
    }
  }
  return reports;
}

}  // namespace sequoiastage
