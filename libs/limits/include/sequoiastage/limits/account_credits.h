#ifndef SEQUOIASTAGE_LIMITS_ACCOUNT_CREDITS_H_
#define SEQUOIASTAGE_LIMITS_ACCOUNT_CREDITS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "sequoiastage/base/ids.h"
#include "sequoiastage/base/strong.h"
#include "sequoiastage/base/time.h"
#include "sequoiastage/wire/messages.h"

namespace sequoiastage {

/// A request that waits for a token, unique within one ingress.
using TokenWaiterId = Strong<struct TokenWaiterIdTag, uint64_t>;

struct AccountCreditsOptions {
  /// Maximum time that a request waits for a token.
  Duration m_max_wait = std::chrono::milliseconds(450);
  /// Tokens can be used for this long after they were asked for.
  Duration m_validity = std::chrono::seconds(2);
  /// Longest time for which requests are rejected without asking. Other regions
  /// may lend before the coordinator's own next token is due.
  Duration m_max_block = std::chrono::milliseconds(200);
  /// So many used tokens of one account are reported at once.
  uint32_t m_report_size = 8;
  /// Oldest share time that is handed over; see MaxShareAge().
  Duration m_max_share_age = std::chrono::milliseconds(200);
};

/// End of a wait for a token.
struct TokenDecision {
  TokenWaiterId m_waiter;
  bool m_is_granted = false;
  /// Time until the next token is due when it is not granted.
  Duration m_retry_after{};
};

/// Tokens that one ingress holds for the accounts of one shard, and the
/// requests that wait for one.
///
/// Load pattern: most requests of a busy account find a token that was granted
/// in advance. The first ones of an idle account, and those near the limit, ask
/// the coordinator and wait a round trip. Messages are lost, repeated and
/// delayed, and the coordinator changes: a token is used at most once and not
/// after its validity, and the node's share of time is handed over once.
class AccountCredits {
 public:
  AccountCredits(const AccountCreditsOptions& options, TimePoint now)
      : m_options(options), m_share_handed_until(now) {}

  enum class Result : uint8_t { kTaken, kWaits, kRefused };

  struct Acquisition {
    Result m_result = Result::kWaits;
    /// Set for kRefused.
    Duration m_retry_after{};
  };

  /// Takes a token for a request. With kWaits, a TokenDecision follows unless
  /// Abandon() is called.
  Acquisition Acquire(AccountId account, TokenWaiterId waiter, TimePoint now);

  /// The request no longer waits.
  void Abandon(AccountId account, TokenWaiterId waiter);

  /// A request that took a token did not run.
  void Return(AccountId account);

  /// The coordinator was replaced, or the link to it was lost. Requests that
  /// wait ask again.
  void OnCoordinatorChanged();

  /// Whether a request waits that has not asked yet, or enough tokens were used
  /// that the coordinator has to know now to replace them in time.
  bool HasUrgent() const { return m_is_urgent; }
  /// Whether used or returned tokens have to be reported.
  bool HasReport() const { return !m_dirty.empty(); }

  /// Builds the next message to the coordinator; `number` increases with each
  /// message of this node.
  TokenRequestMessage Collect(uint64_t number, TimePoint now);

  /// Handles a reply, and returns the requests that no longer wait.
  std::vector<TokenDecision> OnGrants(const TokenGrantMessage& message,
                                      TimePoint now);

  /// This node did not run for `pause` and has not read what was sent to it in
  /// that time: neither the coordinator's silence nor the wait of the requests
  /// counts it. The validity of tokens does.
  void ExcludePause(Duration pause, TimePoint now);

  /// Ends waits that took too long, and drops expired tokens.
  std::vector<TokenDecision> Tick(TimePoint now);

  /// Time since the oldest message to the current coordinator without a reply;
  /// zero when there is none.
  Duration SilentFor(TimePoint now) const;

  /// Forgets tokens and blocks of the accounts for which `is_kept` returns
  /// false. Their requests still wait until the deadline.
  template <class Predicate>
  void Retain(const Predicate& is_kept) {
    std::erase_if(m_accounts, [&](const auto& entry) {
      return entry.second.m_waiters.empty() && !is_kept(entry.first);
    });
    std::erase_if(m_dirty,
                  [&](AccountId id) { return !m_accounts.contains(id); });
  }

 private:
  struct Stock {
    uint32_t m_tokens = 0;
    TimePoint m_expires{};
  };

  struct Waiter {
    TokenWaiterId m_id;
    TimePoint m_since{};
  };

  struct Account {
    std::deque<Stock> m_stock;
    std::deque<Waiter> m_waiters;
    // Waiters that a message without a reply asks for.
    uint32_t m_asked = 0;
    uint32_t m_spent = 0;
    uint32_t m_prefetch = 0;
    uint32_t m_returned = 0;
    uint32_t m_not_run = 0;
    TimePoint m_blocked_until{};
    TimePoint m_ask_again_at{};
    TimePoint m_used_at{};
  };

  struct Pending {
    TimePoint m_sent_at{};
    // Start of the coordinator's silence: m_sent_at without later pauses.
    TimePoint m_silent_since{};
    std::vector<TokenRequest> m_requests;
    // Sent to the current coordinator.
    bool m_is_current = true;
  };

  void DropExpired(AccountId id, Account& account, TimePoint now);
  void Spend(Account& account);
  void GrantWaiters(AccountId id,
                    Account& account,
                    std::vector<TokenDecision>& decisions);
  void RefuseLateWaiters(Account& account,
                         Duration retry_after,
                         TimePoint now,
                         std::vector<TokenDecision>& decisions);

  AccountCreditsOptions m_options;
  std::unordered_map<AccountId, Account> m_accounts;
  // Accounts with something to send.
  std::unordered_set<AccountId> m_dirty;
  bool m_is_urgent = false;
  std::unordered_map<uint64_t, Pending> m_pending;
  TimePoint m_share_handed_until{};
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_LIMITS_ACCOUNT_CREDITS_H_
