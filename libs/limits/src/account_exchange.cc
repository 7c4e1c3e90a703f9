#include "sequoiastage/limits/account_exchange.h"

#include <algorithm>
#include <span>
#include <utility>

#include "sequoiastage/limits/coordinator_choice.h"

namespace sequoiastage {

namespace {

// Interval at which the buckets are checked for loans that they need.
constexpr Duration kLoanCheckInterval = std::chrono::milliseconds(40);
// A longer time between two ticks is a pause of this node. Hosts whose CPU
// quota is exhausted wait for up to 100 ms.
constexpr Duration kMinPause = std::chrono::milliseconds(100);
// Average time between two probes of silent nodes, for first candidates and for
// others each. A node that is cut off from all sends up to 1 KB/s of them.
constexpr Duration kMinProbeGap = std::chrono::milliseconds(100);

}  // namespace

AccountExchange::AccountExchange(NodeId self,
                                 Incarnation incarnation,
                                 const AccountExchangeOptions& options,
                                 Hooks hooks,
                                 TimePoint now)
    : m_self(self),
      m_incarnation(incarnation),
      m_options(options),
      m_hooks(std::move(hooks)),
      m_started_at(now),
      m_pool({.m_quota = options.m_quota}),
      m_ticked_at(now) {}

void AccountExchange::SetMembers(Region own,
                                 std::vector<Region> others,
                                 TimePoint now) {
  m_own = std::move(own);
  m_others = std::move(others);
  const uint32_t shards = AccountShardCount(m_own.m_nodes.size());
  if (m_shards.size() != shards) {
    // Every account may move: tokens in stock are given up, and requests that
    // wait ask again.
    std::vector<TokenDecision> ended;
    for (Shard& shard : m_shards) {
      for (const TokenDecision& decision :
           shard.m_credits.Tick(now + m_options.m_silence_limit)) {
        ended.push_back(decision);
      }
    }
    m_shards.clear();
    const Duration interval = m_options.m_share_interval * shards;
    for (uint32_t index = 0; index < shards; ++index) {
      m_shards.push_back(
          {.m_credits = AccountCredits(
               {.m_max_share_age =
                    std::max(MaxShareAge(m_options.m_quota), 2 * interval)},
               now),
           .m_coordinator = m_self,
           .m_next_share_at = now + m_options.m_share_interval * index});
    }
    Decide(ended);
  }
  for (uint32_t index = 0; index < shards; ++index) {
    Shard& shard = m_shards[index];
    shard.m_former = std::exchange(
        shard.m_order,
        CoordinatorOrder(m_own.m_nodes, index, m_options.m_max_candidates));
    shard.m_former.resize(
        std::min(shard.m_former.size(), m_options.m_candidates));
    for (const NodeId node :
         FirstCandidates(shard.m_order, m_options.m_candidates)) {
      if (!ContainsNode(shard.m_former, node)) {
        shard.m_former.push_back(node);
      }
    }
    if (shard.m_order.empty() || shard.m_order.front() != m_self) {
      shard.m_first_since.reset();
    } else if (!shard.m_first_since) {
      shard.m_first_since = now;
    }
    Choose(index, now);
  }
  UpdateFleet(now);
}

void AccountExchange::UpdateFleet(TimePoint now) {
  size_t nodes = m_own.m_nodes.size();
  for (const Region& region : m_others) {
    nodes += region.m_nodes.size();
  }
  const auto regions = static_cast<uint32_t>(1 + m_others.size());
  const uint32_t holders = MinimumHolders(m_options.m_quota, regions);
  bool is_holder = false;
  for (const Shard& shard : m_shards) {
    is_holder |= ContainsNode(FirstCandidates(shard.m_order, holders), m_self);
  }
  const bool is_settling = m_options.m_is_first_start &&
                           now - m_started_at < m_options.m_settling_time;
  m_pool.SetFleet(
      {.m_nodes = static_cast<uint32_t>(std::max<size_t>(1, nodes)),
       .m_assumed =
           is_settling ? static_cast<uint32_t>(m_own.m_nodes.size()) : 0,
       .m_holds_minimum = is_holder,
       .m_max_share_age = std::max(
           MaxShareAge(m_options.m_quota),
           m_shards.size() > 1
               ? Duration(2 * m_options.m_share_interval * m_shards.size())
               : Duration{})});
}

void AccountExchange::StartAccounts(TimePoint now) {
  if (m_options.m_is_first_start && !m_accounts_started_at) {
    m_accounts_started_at = now;
  }
}

void AccountExchange::AddAccounts(const std::vector<AccountId>& accounts,
                                  TimePoint now) {
  for (const AccountId account : accounts) {
    // Only the first node in the order starts with a full bucket; see
    // OpenBucket().
    if (!m_shards.empty() && ShardOf(account).m_first_since) {
      m_added_at[account] = now;
    }
  }
}

void AccountExchange::DropUnlimited() {
  const auto is_kept = [this](AccountId account) {
    return m_hooks.m_limit_of(account) != nullptr;
  };
  m_pool.Retain(is_kept);
  for (Shard& shard : m_shards) {
    shard.m_credits.Retain(is_kept);
  }
  std::erase_if(m_added_at,
                [&](const auto& entry) { return !is_kept(entry.first); });
}

AccountExchange::Shard& AccountExchange::ShardOf(AccountId account) {
  return m_shards[AccountShardOf(account,
                                 static_cast<uint32_t>(m_shards.size()))];
}

std::optional<NodeId> AccountExchange::CoordinatorOf(AccountId account) const {
  if (m_shards.empty()) {
    return std::nullopt;
  }
  return m_shards[AccountShardOf(account,
                                 static_cast<uint32_t>(m_shards.size()))]
      .m_coordinator;
}

AccountCredits::Acquisition AccountExchange::Acquire(AccountId account,
                                                     TokenWaiterId waiter,
                                                     TimePoint now) {
  Shard& shard = ShardOf(account);
  const auto acquisition = shard.m_credits.Acquire(account, waiter, now);
  m_stats.m_spent +=
      acquisition.m_result == AccountCredits::Result::kTaken ? 1 : 0;
  if (shard.m_credits.HasUrgent()) {
    SendTo(shard, now);
  }
  return acquisition;
}

void AccountExchange::Abandon(AccountId account, TokenWaiterId waiter) {
  if (!m_shards.empty()) {
    ShardOf(account).m_credits.Abandon(account, waiter);
  }
}

void AccountExchange::Return(AccountId account) {
  if (!m_shards.empty()) {
    ++m_stats.m_returned;
    ShardOf(account).m_credits.Return(account);
  }
}

void AccountExchange::Avoid(NodeId node, TimePoint now) {
  if (node != m_self) {
    m_avoided[node] = now + m_options.m_avoid_period;
  }
}

void AccountExchange::ProbeCandidates(const Shard& shard, TimePoint now) {
  // A coordinator that is silent may be cut off together with many nodes. To
  // wait for each of the next ones in turn would take seconds. Nodes after the
  // first candidates are asked only when all of these are silent.
  const auto first = FirstCandidates(shard.m_order, m_options.m_candidates);
  const bool is_first = ContainsNode(first, shard.m_coordinator);
  for (const NodeId node : is_first ? first : std::span(shard.m_order)) {
    if (node != m_self && !m_avoided.contains(node) &&
        m_probed.try_emplace(node, now).second) {
      m_hooks.m_send(node, TokenLoanRequestMessage{});
    }
  }
}

void AccountExchange::AvoidSilentNodes(TimePoint now) {
  const auto is_late = [&](NodeId node, TimePoint asked_at) {
    if (now - asked_at <= m_options.m_silence_limit) {
      return false;
    }
    Avoid(node, now);
    return true;
  };
  std::erase_if(m_probed, [&](const auto& entry) {
    return is_late(entry.first, entry.second);
  });
  std::erase_if(m_sent_loans, [&](const auto& entry) {
    return is_late(entry.second.m_node, entry.second.m_sent_at);
  });
}

void AccountExchange::ProbeAvoided(TimePoint now) {
  std::vector<NodeId> due;
  for (const auto& [node, probe_at] : m_avoided) {
    if (probe_at <= now) {
      due.push_back(node);
    }
  }
  // The first candidates are probed as often as without the other ones.
  const auto is_fallback = [this](const auto& entry) {
    return IsFallback(entry.first);
  };
  const int64_t fallbacks =
      due.empty()
          ? 0
          : std::count_if(m_avoided.begin(), m_avoided.end(), is_fallback);
  const int64_t others = std::ssize(m_avoided) - fallbacks;
  for (const NodeId node : due) {
    const int64_t alike = IsFallback(node) ? fallbacks : others;
    if (IsMember(node)) {
      m_avoided[node] =
          now + std::max(m_options.m_probe_interval, kMinProbeGap * alike);
      // Asks for no tokens and hands over no share.
      m_hooks.m_send(node, TokenLoanRequestMessage{});
    } else {
      m_avoided.erase(node);
    }
  }
}

bool AccountExchange::IsFallback(NodeId node) const {
  const auto is_first = [&](const Shard& shard) {
    return ContainsNode(FirstCandidates(shard.m_order, m_options.m_candidates),
                        node);
  };
  return std::none_of(m_shards.begin(), m_shards.end(), is_first) &&
         ContainsNode(m_own.m_nodes, node);
}

bool AccountExchange::IsMember(NodeId node) const {
  const auto has = [node](const Region& region) {
    return ContainsNode(region.m_nodes, node);
  };
  return has(m_own) || std::any_of(m_others.begin(), m_others.end(), has);
}

void AccountExchange::Choose(uint32_t index, TimePoint now) {
  Shard& shard = m_shards[index];
  NodeId chosen = m_self;
  for (const NodeId node : shard.m_order) {
    if (node == m_self ||
        (m_hooks.m_is_usable(node) && !m_avoided.contains(node))) {
      chosen = node;
      break;
    }
  }
  if (chosen == shard.m_coordinator) {
    return;
  }
  shard.m_coordinator = chosen;
  if (chosen == m_self) {
    m_pool.StartTakeover(now);
  }
  ++m_stats.m_coordinator_changes;
  shard.m_credits.OnCoordinatorChanged();
  m_hooks.m_on_coordinator(index, chosen,
                           chosen == shard.m_order.front() ? "first" : "next");
}

void AccountExchange::SendTo(Shard& shard, TimePoint now) {
  shard.m_next_share_at =
      now + m_options.m_share_interval * static_cast<int64_t>(m_shards.size());
  TokenRequestMessage message = shard.m_credits.Collect(m_next_number++, now);
  if (m_is_leaving) {
    message.m_share_us = 0;
  }
  if (shard.m_coordinator == m_self) {
    if (m_pool.Accept(m_self, m_incarnation, message.m_number, now)) {
      const TokenGrantMessage grants = Grant(m_self, message, now);
      // A copy: the decisions may lead to further requests.
      Decide(shard.m_credits.OnGrants(grants, now));
    }
    return;
  }
  m_hooks.m_send(shard.m_coordinator, std::move(message));
}

void AccountExchange::Decide(const std::vector<TokenDecision>& decisions) {
  for (const TokenDecision& decision : decisions) {
    m_stats.m_spent += decision.m_is_granted ? 1 : 0;
    m_hooks.m_on_decision(decision);
  }
}

void AccountExchange::OpenBucket(AccountId account,
                                 const AccountLimit& limit,
                                 TimePoint now) {
  if (m_pool.IsOpen(account)) {
    return;
  }
  // A full bucket is safe only where no other node can have granted tokens: on
  // the node that has been the first in the order ever since the account was
  // added.
  const auto added = m_added_at.find(account);
  const auto since = added != m_added_at.end() ? std::optional(added->second)
                                               : m_accounts_started_at;
  const Shard& shard = ShardOf(account);
  const bool is_full =
      since && shard.m_first_since &&
      *shard.m_first_since <=
          std::max(*since, m_started_at) + (m_options.m_is_first_start
                                                ? m_options.m_settling_time
                                                : Duration{});
  m_pool.Open(account, limit, is_full, now);
  m_added_at.erase(account);
}

TokenGrantMessage AccountExchange::Grant(NodeId node,
                                         const TokenRequestMessage& message,
                                         TimePoint now) {
  m_pool.AddShare(node, Duration(message.m_share_us), now);
  TokenGrantMessage reply{.m_number = message.m_number};
  for (const TokenRequest& request : message.m_requests) {
    const AccountLimit* limit = m_hooks.m_limit_of(request.m_account);
    if (limit == nullptr) {
      // This node does not have the configuration of the asker yet.
      if (request.m_waiting > 0) {
        reply.m_grants.push_back(
            {.m_account = request.m_account, .m_retry_after_ms = 100});
      }
      continue;
    }
    OpenBucket(request.m_account, *limit, now);
    const TokenGrant grant = m_pool.OnRequest(node, *limit, request, now);
    if (grant != TokenGrant{.m_account = request.m_account}) {
      reply.m_grants.push_back(grant);
    }
  }
  return reply;
}

std::optional<Message> AccountExchange::OnRequest(NodeId node,
                                                  Incarnation incarnation,
                                                  const Message& message,
                                                  TimePoint now) {
  if (const auto* request = std::get_if<TokenRequestMessage>(&message)) {
    if (m_shards.empty() ||
        !m_pool.Accept(node, incarnation, request->m_number, now)) {
      return std::nullopt;
    }
    return Grant(node, *request, now);
  }
  if (const auto* loan = std::get_if<TokenLoanRequestMessage>(&message)) {
    const AccountLimit* limit = m_hooks.m_limit_of(loan->m_account);
    TokenLoanMessage reply{.m_number = loan->m_number,
                           .m_account = loan->m_account};
    if (loan->m_wanted_milli == 0) {
      return reply;  // Only asks whether this node replies.
    }
    if (limit != nullptr && !m_shards.empty()) {
      OpenBucket(loan->m_account, *limit, now);
      const double before = m_pool.Stats().m_lent;
      reply = m_pool.Lend(*loan, now, HasHandedOver(loan->m_account, node));
      m_hooks.m_on_loan(loan->m_account, node, m_pool.Stats().m_lent - before,
                        true);
    }
    return reply;
  }
  return std::nullopt;
}

void AccountExchange::OnReply(NodeId node,
                              const Message& message,
                              TimePoint now) {
  if (const auto* grants = std::get_if<TokenGrantMessage>(&message)) {
    m_avoided.erase(node);
    m_probed.erase(node);
    for (Shard& shard : m_shards) {
      Decide(shard.m_credits.OnGrants(*grants, now));
    }
  } else if (const auto* loan = std::get_if<TokenLoanMessage>(&message)) {
    m_avoided.erase(node);
    m_probed.erase(node);
    m_sent_loans.erase(loan->m_number);
    const double tokens = m_pool.OnLoan(*loan, now);
    m_hooks.m_on_loan(loan->m_account, node, tokens, false);
  }
}

void AccountExchange::OnLinkLost(NodeId node, TimePoint now) {
  for (uint32_t index = 0; index < m_shards.size(); ++index) {
    if (m_shards[index].m_coordinator == node) {
      Avoid(node, now);
      Choose(index, now);
      if (m_shards[index].m_credits.HasUrgent()) {
        SendTo(m_shards[index], now);
      }
    }
  }
}

bool AccountExchange::HasHandedOver(AccountId account, NodeId node) {
  const Shard& shard = ShardOf(account);
  return (shard.m_coordinator != m_self || m_is_leaving) &&
         ContainsNode(m_own.m_nodes, node);
}

void AccountExchange::AskFormerCoordinators(TimePoint now) {
  for (const AccountId account : m_pool.DueTakeovers(now)) {
    const Shard& shard = ShardOf(account);
    if (shard.m_coordinator != m_self) {
      continue;
    }
    for (const NodeId node : shard.m_former) {
      if (node == m_self || !m_hooks.m_is_usable(node)) {
        continue;
      }
      const TokenLoanRequestMessage request = m_pool.AskFormer(account, now);
      if (request.m_wanted_milli > 0) {
        m_hooks.m_send(node, request);
      }
    }
  }
}

void AccountExchange::AskForLoans(TimePoint now) {
  if (now < m_next_loans_at || m_shards.empty()) {
    return;
  }
  m_next_loans_at = now + kLoanCheckInterval;
  AskFormerCoordinators(now);
  if (m_others.empty()) {
    return;
  }
  // The messages for one account are in sequence, one for each other region.
  size_t region = 0;
  for (const TokenLoanRequestMessage& loan :
       m_pool.WantedLoans(static_cast<uint32_t>(m_others.size()), now)) {
    const std::vector<NodeId>& nodes = m_others[region].m_nodes;
    region = (region + 1) % m_others.size();
    const uint32_t shard =
        AccountShardOf(loan.m_account, AccountShardCount(nodes.size()));
    for (const NodeId node :
         CoordinatorOrder(nodes, shard, m_options.m_candidates)) {
      if (m_hooks.m_is_usable(node) && !m_avoided.contains(node)) {
        m_hooks.m_send(node, loan);
        m_sent_loans[loan.m_number] = {.m_node = node, .m_sent_at = now};
        break;
      }
    }
  }
}

void AccountExchange::Tick(TimePoint now) {
  UpdateFleet(now);
  const Duration since_last = now - std::exchange(m_ticked_at, now);
  if (since_last > kMinPause) {
    for (Shard& shard : m_shards) {
      shard.m_credits.ExcludePause(since_last, now);
    }
    m_sent_loans.clear();
    m_probed.clear();
  }
  AvoidSilentNodes(now);
  ProbeAvoided(now);
  for (uint32_t index = 0; index < m_shards.size(); ++index) {
    Shard& shard = m_shards[index];
    if (shard.m_credits.SilentFor(now) > m_options.m_silence_limit) {
      Avoid(shard.m_coordinator, now);
      ProbeCandidates(shard, now);
    }
    Choose(index, now);
    Decide(shard.m_credits.Tick(now));
    if (now >= shard.m_next_share_at || shard.m_credits.HasUrgent() ||
        shard.m_credits.HasReport()) {
      SendTo(shard, now);
    }
  }
  AskForLoans(now);
}

}  // namespace sequoiastage
