#ifndef SEQUOIASTAGE_LIMITS_ACCOUNT_POOL_H_
#define SEQUOIASTAGE_LIMITS_ACCOUNT_POOL_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "sequoiastage/base/ids.h"
#include "sequoiastage/base/time.h"
#include "sequoiastage/limits/account_quota.h"
#include "sequoiastage/limits/sliding_maximum.h"
#include "sequoiastage/wire/messages.h"

namespace sequoiastage {

struct AccountPoolOptions {
  AccountQuotaOptions m_quota{};
  /// A node counts for the depth of the buckets for this long after its last
  /// message.
  Duration m_attach_period = std::chrono::seconds(2);
  /// Unused tokens of a node that no longer reports are forgotten after this
  /// time. Above AccountCreditsOptions::m_validity.
  Duration m_outstanding_period = std::chrono::seconds(5);
  /// An ingress counts as active for an account for this long after it asked.
  Duration m_active_period = std::chrono::seconds(10);
  /// Time between two requests for loans to one account. The first applies
  /// while the other regions lend most of what is asked for.
  Duration m_min_loan_interval = std::chrono::milliseconds(40);
  Duration m_loan_interval = std::chrono::milliseconds(250);
  /// An account needs loans for this long after its last request.
  Duration m_demand_period = std::chrono::seconds(3);
  /// A reply to a request for a loan is expected within this time.
  Duration m_loan_timeout = std::chrono::milliseconds(150);
  /// Loans that left the bucket empty are not waited for again for this long.
  Duration m_loan_pause = std::chrono::milliseconds(500);
  /// A new coordinator asks the former ones for their tokens after this time.
  /// The nodes of its region have sent it a message by then; the depth of its
  /// buckets depends on them.
  Duration m_takeover_delay = std::chrono::milliseconds(150);
};

struct AccountPoolStats {
  uint64_t m_granted = 0;
  double m_lent = 0;
  double m_borrowed = 0;
};

/// Tokens of the accounts that this node coordinates: a bucket per account that
/// the ingresses of the region draw from.
///
/// Load pattern: the requests of an account arrive at any of many nodes, at all
/// of them or at one, and links, coordinators and messages fail in any order.
/// The rate is not refilled by the clock of the coordinator, since two nodes
/// may both believe to be the coordinator. Every node instead hands its share
/// of the elapsed time, each moment once, to the coordinator that it uses
/// (AddShare). However the nodes' views differ, the tokens of all buckets
/// together grow by the rate; what is lost on the way is lost.
///
/// Load pattern: an account sends more than its rate for longer than a window.
/// In any window it may use its rate and its burst, but a bucket that stays
/// empty never refills the burst. The part of the burst that no moment of the
/// last window had in stock is therefore paid out over the window: with M as
/// the largest stock in the last window, the rate grows by (burst - M) /
/// window. A window that starts with the stock L uses at most L, the rate, and
/// burst - M, where M is at least L.
class AccountPool {
 public:
  explicit AccountPool(const AccountPoolOptions& options)
      : m_options(options) {}

  struct Fleet {
    /// Nodes of all regions, at least 1.
    uint32_t m_nodes = 1;
    /// Nodes of this region that are assumed to be attached, before they have
    /// sent a message; 0 for none.
    uint32_t m_assumed = 0;
    /// The buckets hold at least one token; see MinimumHolders().
    bool m_holds_minimum = false;
    /// Oldest share time that is accepted; see MaxShareAge().
    Duration m_max_share_age = std::chrono::milliseconds(200);
  };
  void SetFleet(const Fleet& fleet) { m_fleet = fleet; }

  /// Whether the message with this number is new. A repeated or overtaken one
  /// has to be ignored.
  bool Accept(NodeId node,
              Incarnation incarnation,
              uint64_t number,
              TimePoint now);

  /// `node` hands over its share of `elapsed`.
  void AddShare(NodeId node, Duration elapsed, TimePoint now);

  /// Creates the bucket of an account, full or empty, when there is none.
  void Open(AccountId account,
            const AccountLimit& limit,
            bool is_full,
            TimePoint now);

  /// Handles one entry of a message of `node`. The bucket must be open.
  TokenGrant OnRequest(NodeId node,
                       const AccountLimit& limit,
                       const TokenRequest& request,
                       TimePoint now);

  /// Returns the accounts that need tokens of other regions, with the number
  /// wanted. Each counts as asked for. `regions`: number of other regions.
  std::vector<TokenLoanRequestMessage> WantedLoans(uint32_t regions,
                                                   TimePoint now);

  /// This node has become the coordinator.
  ///
  /// Load pattern: a coordinator stops or comes back while the account sends
  /// nearly its limit. The new one starts with an empty bucket, and the tokens
  /// of the former one would be of no use to anyone.
  void StartTakeover(TimePoint now);
  /// Returns the accounts whose former coordinators have to be asked for their
  /// tokens now; each is returned once after StartTakeover() or Open().
  std::vector<AccountId> DueTakeovers(TimePoint now);
  /// Asks one former coordinator for all that it holds.
  TokenLoanRequestMessage AskFormer(AccountId account, TimePoint now);

  /// Removes tokens from the bucket for another coordinator; none without a
  /// surplus. `lends_all`: this node is no longer the coordinator of `request`,
  /// so its own requests need no part of the bucket.
  TokenLoanMessage Lend(const TokenLoanRequestMessage& request,
                        TimePoint now,
                        bool lends_all = false);

  /// Adds a loan. One that was not asked for, or that is repeated, is ignored.
  /// Returns the tokens received.
  double OnLoan(const TokenLoanMessage& loan, TimePoint now);

  bool IsOpen(AccountId account) const { return m_accounts.contains(account); }
  /// Unused tokens in the bucket; 0 without a bucket.
  double Level(AccountId account) const;
  /// Nodes that count for the depth of the buckets.
  uint32_t AttachedCount() const { return m_attached_count; }
  size_t size() const { return m_accounts.size(); }
  const AccountPoolStats& Stats() const { return m_stats; }

  /// Forgets the accounts for which `is_kept` returns false.
  template <class Predicate>
  void Retain(const Predicate& is_kept) {
    std::erase_if(m_accounts,
                  [&](const auto& entry) { return !is_kept(entry.first); });
  }

 private:
  struct Peer {
    uint64_t m_last_number = 0;
    TimePoint m_heard_at{};
  };

  struct Attachment {
    TimePoint m_heard_at{};
    // Share time that is accepted from the node now.
    Duration m_allowance{};
  };

  struct Batch {
    NodeId m_node;
    uint32_t m_tokens = 0;
    TimePoint m_granted_at{};
  };

  struct Asker {
    TimePoint m_asked_at{};
    // Requests that were not granted a token.
    uint32_t m_waiting = 0;
  };

  struct Account {
    AccountLimit m_limit;
    double m_level = 0;
    // Tokens in the bucket and at the ingresses, over the last window.
    SlidingMaximum m_recent_stock;
    // Value of m_share_time up to which the level has been settled.
    double m_settled_share = 0;
    std::deque<Batch> m_outstanding;
    uint32_t m_outstanding_count = 0;
    std::unordered_map<NodeId, Asker> m_askers;
    TimePoint m_askers_pruned_at{};
    TimePoint m_asked_loan_at{};
    std::optional<TimePoint> m_vain_loan_at;
    // Requests for loans without a reply, and the tokens that they ask for.
    uint32_t m_pending_loans = 0;
    double m_pending_tokens = 0;
    Duration m_loan_interval{};
    // Tokens per second of recent loans, at m_borrowed_at.
    double m_borrowed_rate = 0;
    TimePoint m_borrowed_at{};
    // When the former coordinators are asked for their tokens.
    std::optional<TimePoint> m_takeover_at;
  };

  struct PendingLoan {
    AccountId m_account;
    double m_wanted = 0;
    TimePoint m_asked_at{};
    bool m_is_takeover = false;
  };

  // Nodes whose part of the depth the buckets hold.
  uint32_t DepthNodes() const;
  double DepthOf(const AccountLimit& limit) const;
  // Tokens per second of all nodes together.
  double RateOf(const Account& account, TimePoint now) const;
  void Settle(Account& account, TimePoint now);
  uint32_t TakeOutstanding(Account& account, NodeId node, uint32_t count);
  // Counts the attached nodes at most every 200 ms, and cuts all buckets to
  // their depth when there are fewer than before.
  void CountAttached(TimePoint now);
  void DropOldPeers(TimePoint now);
  Duration WaitFor(const Account& account, NodeId node, TimePoint now) const;
  // Returns whether no other request for a loan to the account is pending.
  bool EndLoan(const PendingLoan& loan);
  static double BorrowedRate(const Account& account, TimePoint now);
  bool MayExpectLoan(const Account& account, TimePoint now) const;

  AccountPoolOptions m_options;
  Fleet m_fleet;
  std::map<std::pair<NodeId, Incarnation>, Peer> m_peers;
  TimePoint m_peers_dropped_at{};
  std::unordered_map<NodeId, Attachment> m_attachments;
  uint32_t m_attached_count = 0;
  // DepthNodes() at the last count.
  uint32_t m_depth_nodes = 0;
  TimePoint m_attached_counted_at{};
  // Sum of the share time handed over, in seconds of the whole fleet.
  double m_share_time = 0;
  std::unordered_map<AccountId, Account> m_accounts;
  std::unordered_map<uint64_t, PendingLoan> m_loans;
  uint64_t m_next_loan = 1;
  AccountPoolStats m_stats;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_LIMITS_ACCOUNT_POOL_H_
