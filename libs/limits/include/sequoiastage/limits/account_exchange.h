#ifndef SEQUOIASTAGE_LIMITS_ACCOUNT_EXCHANGE_H_
#define SEQUOIASTAGE_LIMITS_ACCOUNT_EXCHANGE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "sequoiastage/limits/account_credits.h"
#include "sequoiastage/limits/account_pool.h"
#include "sequoiastage/limits/account_quota.h"

namespace sequoiastage {

struct AccountExchangeOptions {
  AccountQuotaOptions m_quota{};
  /// All nodes of the deployment are starting for the first time, so no node
  /// has granted a token yet.
  bool m_is_first_start = false;
  /// Interval at which a node hands its share of time to its coordinator,
  /// multiplied by the number of shards.
  Duration m_share_interval = std::chrono::milliseconds(100);
  /// A coordinator that has not replied for this long is replaced. Longer than
  /// two scheduling periods of a host whose CPU quota is exhausted, and short
  /// enough that requests that wait can ask another one.
  Duration m_silence_limit = std::chrono::milliseconds(200);
  /// A node that was silent or lost is asked for a sign of life after this
  /// time, then at the interval, and is not used before it has replied. The
  /// share handed to a silent coordinator would be lost, and the requests that
  /// wait for it late.
  Duration m_avoid_period = std::chrono::seconds(2);
  Duration m_probe_interval = std::chrono::milliseconds(500);
  /// Number of nodes that are tried as the coordinator first. When 35% of the
  /// nodes are cut off together, none of four is among them in one case of
  /// five, and none of 16 in one of a thousand.
  size_t m_candidates = 16;
  /// Number of nodes that are tried in all. When none is usable, the node
  /// coordinates its own share. Of four nodes of a region of 34 that are cut
  /// off together, none is among the first 16 in one case of 15; each alone,
  /// their buckets hold less than one token at small limits.
  size_t m_max_candidates = 64;
  /// Nodes of a first deployment know each other after this time.
  Duration m_settling_time = std::chrono::seconds(3);
};

struct AccountExchangeStats {
  uint64_t m_spent = 0;
  uint64_t m_returned = 0;
  uint64_t m_coordinator_changes = 0;
};

/// One node's part of the rate limits of client accounts over all nodes: asks
/// for tokens as an ingress, grants them as a coordinator, and borrows from and
/// lends to other regions. Sends and receives through hooks; owns no timer.
class AccountExchange {
 public:
  struct Hooks {
    /// Sends a message over a link that this node opens; returns false when the
    /// link is unusable.
    std::function<bool(NodeId, const Message&)> m_send;
    std::function<bool(NodeId)> m_is_usable;
    /// Limit of an account; null when it has none.
    std::function<const AccountLimit*(AccountId)> m_limit_of;
    /// Called for each request that no longer waits for a token.
    std::function<void(const TokenDecision&)> m_on_decision;
    /// The coordinator of a shard changed.
    std::function<void(uint32_t shard, NodeId coordinator, std::string_view)>
        m_on_coordinator;
    /// Tokens were lent or borrowed.
    std::function<void(AccountId, NodeId, double tokens, bool is_lent)>
        m_on_loan;
  };

  struct Region {
    std::string m_name;
    /// Nodes that are not leaving.
    std::vector<NodeId> m_nodes;
  };

  AccountExchange(NodeId self,
                  Incarnation incarnation,
                  const AccountExchangeOptions& options,
                  Hooks hooks,
                  TimePoint now);

  /// Sets the nodes of this node's region, which include it, and of the others.
  void SetMembers(Region own, std::vector<Region> others, TimePoint now);
  bool HasMembers() const { return !m_own.m_nodes.empty(); }

  /// These accounts had no limit before, so no node has granted tokens.
  void AddAccounts(const std::vector<AccountId>& accounts, TimePoint now);
  /// The first configuration is in force: its accounts are new if the
  /// deployment is.
  void StartAccounts(TimePoint now);
  /// Forgets accounts that no longer have a limit.
  void DropUnlimited();

  /// The node accepts no more requests and hands out no more of its share.
  void SetLeaving() { m_is_leaving = true; }

  AccountCredits::Acquisition Acquire(AccountId account,
                                      TokenWaiterId waiter,
                                      TimePoint now);
  void Abandon(AccountId account, TokenWaiterId waiter);
  void Return(AccountId account);

  /// Handles a message over a connection that `node` opened, and returns the
  /// reply; empty when there is none.
  std::optional<Message> OnRequest(NodeId node,
                                   Incarnation incarnation,
                                   const Message& message,
                                   TimePoint now);
  /// Handles a message over a link that this node opened.
  void OnReply(NodeId node, const Message& message, TimePoint now);
  void OnLinkLost(NodeId node, TimePoint now);

  /// Called about every 20 ms, which coalesces the reports of used tokens.
  void Tick(TimePoint now);

  const AccountPool& Pool() const { return m_pool; }
  const AccountExchangeStats& Stats() const { return m_stats; }
  /// Number of shards that this node coordinates for itself or for others.
  std::optional<NodeId> CoordinatorOf(AccountId account) const;

 private:
  struct Shard {
    AccountCredits m_credits;
    NodeId m_coordinator;
    std::vector<NodeId> m_order;
    // Nodes that may hold tokens of the shard: the first candidates of m_order,
    // and of the one before the last change of the members.
    std::vector<NodeId> m_former;
    TimePoint m_next_share_at{};
    // Since when this node is the first in the order; empty while it is not.
    std::optional<TimePoint> m_first_since;
  };

  struct SentLoan {
    NodeId m_node;
    TimePoint m_sent_at{};
  };

  Shard& ShardOf(AccountId account);
  void Avoid(NodeId node, TimePoint now);
  void Choose(uint32_t index, TimePoint now);
  void SendTo(Shard& shard, TimePoint now);
  void Decide(const std::vector<TokenDecision>& decisions);
  void UpdateFleet(TimePoint now);
  void OpenBucket(AccountId account, const AccountLimit& limit, TimePoint now);
  TokenGrantMessage Grant(NodeId node,
                          const TokenRequestMessage& message,
                          TimePoint now);
  void AskForLoans(TimePoint now);
  void AskFormerCoordinators(TimePoint now);
  // Whether this node has handed over the shard to the node that asks.
  bool HasHandedOver(AccountId account, NodeId node);
  void AvoidSilentNodes(TimePoint now);
  void ProbeCandidates(const Shard& shard, TimePoint now);
  void ProbeAvoided(TimePoint now);
  // Whether the node is tried only when all first candidates are silent.
  bool IsFallback(NodeId node) const;
  bool IsMember(NodeId node) const;

  NodeId m_self;
  Incarnation m_incarnation;
  AccountExchangeOptions m_options;
  Hooks m_hooks;
  TimePoint m_started_at{};
  Region m_own;
  std::vector<Region> m_others;
  AccountPool m_pool;
  std::vector<Shard> m_shards;
  uint64_t m_next_number = 1;
  // Nodes that were silent or lost, until their next reply, with the time at
  // which they are asked for one.
  std::unordered_map<NodeId, TimePoint> m_avoided;
  // Nodes that were asked for a sign of life together, without a reply.
  std::unordered_map<NodeId, TimePoint> m_probed;
  // Requests for loans without a reply.
  std::unordered_map<uint64_t, SentLoan> m_sent_loans;
  std::optional<TimePoint> m_accounts_started_at;
  std::unordered_map<AccountId, TimePoint> m_added_at;
  TimePoint m_next_loans_at{};
  TimePoint m_ticked_at{};
  bool m_is_leaving = false;
  AccountExchangeStats m_stats;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_LIMITS_ACCOUNT_EXCHANGE_H_
