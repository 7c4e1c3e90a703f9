#ifndef SEQUOIASTAGE_MESH_ACCOUNT_LIMITER_H_
#define SEQUOIASTAGE_MESH_ACCOUNT_LIMITER_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "sequoiastage/base/request_rate.h"
#include "sequoiastage/config/traffic_config.h"
#include "sequoiastage/limits/account_exchange.h"
#include "sequoiastage/mesh/event_loop.h"
#include "sequoiastage/mesh/mesh_links.h"
#include "sequoiastage/mesh/peer_key.h"
#include "sequoiastage/mesh/target_table.h"

namespace sequoiastage {

struct AccountLimiterOptions {
  AccountQuotaOptions m_quota{};
  bool m_is_first_start = false;
  /// Also the time over which reports of used tokens are coalesced.
  Duration m_tick = std::chrono::milliseconds(20);
  /// Interval at which the members are compared with those in use.
  Duration m_member_interval = std::chrono::milliseconds(400);
  /// Number of accounts whose counters are kept. When there are more, the half
  /// with the fewest requests is dropped.
  size_t m_max_counted = 1000;
  /// Number of accounts in the metrics.
  size_t m_max_reported = 20;
  /// Tokens lent or borrowed for one account between two log lines.
  double m_loan_step = 100;
};

/// Counters of one account at this ingress.
struct AccountUsage {
  std::string m_account;
  uint64_t m_requests = 0;
  uint64_t m_refused = 0;
  uint64_t m_spent = 0;
};

/// Tokens that this node, as a coordinator, lent to and borrowed from others.
struct LoanTotals {
  double m_lent = 0;
  double m_borrowed = 0;
};

/// Counters and limit of one account for the metrics.
struct AccountReport {
  AccountUsage m_usage;
  LoanTotals m_loans;
  /// Limit over all nodes.
  RequestRate m_limit;
};

struct AccountLimiterStats {
  uint64_t m_requests = 0;
  uint64_t m_refused = 0;
  uint64_t m_spent = 0;
  uint64_t m_returned = 0;
  uint64_t m_granted = 0;
  double m_lent = 0;
  double m_borrowed = 0;
  uint64_t m_coordinator_changes = 0;
  /// Accounts with a bucket at this node.
  size_t m_buckets = 0;
  /// Those with the most refusals, then those with the most requests, then
  /// those with the most tokens lent and borrowed.
  std::vector<AccountReport> m_accounts;
};

/// Enforces the rate limits of client accounts over all nodes: an
/// AccountExchange over the links of this node. Does nothing and sends nothing
/// while no account has a limit.
class AccountLimiter {
 public:
  /// Receives whether a token was granted and, if not, the time until the next
  /// one is due.
  using Handler = std::function<void(bool, Duration)>;

  enum class Result : uint8_t {
    /// The account has no limit.
    kUnlimited,
    kTaken,
    /// The handler is called unless Abandon() is called.
    kWaits,
    kRefused,
    /// The other nodes are not known yet.
    kNoMembers,
  };

  struct Acquisition {
    Result m_result = Result::kUnlimited;
    /// Set for kWaits.
    TokenWaiterId m_waiter;
    /// Set for kRefused.
    Duration m_retry_after{};
  };

  /// `has_members` states whether `targets` holds the members of the store.
  AccountLimiter(asio::io_context& io,
                 PeerKey self,
                 const AccountLimiterOptions& options,
                 const TargetTable& targets,
                 MeshLinks& links,
                 std::function<bool()> has_members);

  void SetConfig(const std::shared_ptr<const TrafficConfig>& config);

  /// The node accepts no more requests.
  void SetLeaving() { m_exchange.SetLeaving(); }

  Acquisition Acquire(const ClientAccount& account, Handler handler);
  void Abandon(AccountId account, TokenWaiterId waiter);
  /// A request that took a token did not run.
  void Return(AccountId account) { m_exchange.Return(account); }

  /// Handles a message over a connection that another node opened. Returns
  /// whether it belongs to a limit.
  bool OnRequest(const PeerKey& peer,
                 const Message& message,
                 const MessageSink& sink);
  /// Handles a message over a link that this node opened. Returns whether it
  /// belongs to a limit.
  bool OnReply(NodeId node, const Message& message);
  void OnLinkLost(NodeId node);

  AccountLimiterStats Stats() const;

 private:
  struct Waiter {
    AccountId m_account;
    Handler m_handler;
  };

  struct Loans {
    LoanTotals m_totals;
    // Tokens since the last log line.
    double m_unlogged = 0;
  };

  AccountExchange::Hooks MakeHooks();
  void OnDecision(const TokenDecision& decision);
  void OnLoan(AccountId account, NodeId node, double tokens, bool is_lent);
  AccountUsage& UsageOf(AccountId account, const std::string& name);
  void Tick();
  void UpdateMembers(TimePoint now);
  // Reports of the accounts that sent requests or moved tokens here.
  std::vector<AccountReport> Reports() const;

  asio::io_context& m_io;
  NodeId m_self;
  AccountLimiterOptions m_options;
  const TargetTable& m_targets;
  MeshLinks& m_links;
  std::function<bool()> m_has_members;
  std::shared_ptr<const TrafficConfig> m_config;
  // Accounts of m_config that have a limit.
  std::unordered_map<AccountId, const ClientAccount*> m_limited;
  AccountExchange m_exchange;
  uint64_t m_next_waiter = 1;
  std::unordered_map<TokenWaiterId, Waiter> m_waiters;
  std::unordered_map<AccountId, AccountUsage> m_usage;
  std::unordered_map<AccountId, Loans> m_loans;
  uint64_t m_requests = 0;
  uint64_t m_refused = 0;
  // Hash of the members in use, independent of their order.
  uint64_t m_member_hash = 0;
  TimePoint m_next_member_check{};
  PeriodicSteps m_ticks;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MESH_ACCOUNT_LIMITER_H_
