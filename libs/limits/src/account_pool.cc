#include "sequoiastage/limits/account_pool.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace sequoiastage {

namespace {

// Part of a token that rounding may cost.
constexpr double kRounding = 1e-6;
// Interval of tasks that visit all nodes.
constexpr Duration kCountInterval = std::chrono::milliseconds(200);
// Numbers of a peer's messages are kept for this long after its last message.
constexpr Duration kPeerPeriod = std::chrono::minutes(2);
// Parts of the depth: above the first, tokens are granted in advance; below the
// second, tokens of other regions are asked for; a region with requests of its
// own lends only what is above the third.
constexpr double kPrefetchPart = 0.5;
constexpr double kBorrowPart = 0.5;
constexpr double kLendPart = 0.5;
// A loan that brings this part of what was asked for is followed by another one
// soon.
constexpr double kPlentyPart = 0.5;
constexpr double kMinLoan = 0.1;
constexpr double kMaxLoan = 1e6;
constexpr double kMilli = 1000;
// The wait of an ingress that was refused is counted for this long.
constexpr Duration kWaitingPeriod = std::chrono::milliseconds(250);
constexpr Duration kLoanWait = std::chrono::milliseconds(100);
constexpr Duration kMaxWait = std::chrono::seconds(30);

uint16_t ToCount(double tokens) {
  return static_cast<uint16_t>(std::clamp<double>(
      std::floor(tokens + kRounding), 0, std::numeric_limits<uint16_t>::max()));
}

// Rounds down: a loan never creates tokens.
uint32_t ToMilli(double tokens) {
  return static_cast<uint32_t>(
      std::clamp(std::floor(tokens * kMilli), 0.0, kMaxLoan * kMilli));
}

double FromMilli(uint32_t milli) {
  return milli / kMilli;
}

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

bool AccountPool::Accept(NodeId node,
                         Incarnation incarnation,
                         uint64_t number,
                         TimePoint now) {
  DropOldPeers(now);
  Peer& peer = m_peers[{node, incarnation}];
  if (number <= peer.m_last_number) {
    return false;
  }
  peer = {.m_last_number = number, .m_heard_at = now};
  return true;
}

void AccountPool::DropOldPeers(TimePoint now) {
  if (now - m_peers_dropped_at < kPeerPeriod) {
    return;
  }
  m_peers_dropped_at = now;
  std::erase_if(m_peers, [now](const auto& entry) {
    return now - entry.second.m_heard_at > kPeerPeriod;
  });
  std::erase_if(m_attachments, [now](const auto& entry) {
    return now - entry.second.m_heard_at > kPeerPeriod;
  });
}

void AccountPool::AddShare(NodeId node, Duration elapsed, TimePoint now) {
  const Duration max_age = m_fleet.m_max_share_age;
  const auto [found, is_new] = m_attachments.try_emplace(
      node, Attachment{.m_heard_at = now, .m_allowance = max_age});
  Attachment& attachment = found->second;
  attachment.m_allowance =
      std::min(max_age, attachment.m_allowance + now - attachment.m_heard_at);
  attachment.m_heard_at = now;
  const Duration accepted =
      std::clamp(elapsed, Duration{}, attachment.m_allowance);
  attachment.m_allowance -= accepted;
  m_share_time += std::chrono::duration<double>(accepted).count() /
                  std::max(1U, m_fleet.m_nodes);
  if (is_new) {
    ++m_attached_count;
  }
  CountAttached(now);
}

void AccountPool::CountAttached(TimePoint now) {
  if (now - m_attached_counted_at < kCountInterval) {
    return;
  }
  m_attached_counted_at = now;
  // AddShare() and SetFleet() change the number between two counts.
  const uint32_t before = std::max(m_depth_nodes, DepthNodes());
  m_attached_count = static_cast<uint32_t>(std::count_if(
      m_attachments.begin(), m_attachments.end(), [&](const auto& entry) {
        return now - entry.second.m_heard_at <= m_options.m_attach_period;
      }));
  m_depth_nodes = DepthNodes();
  if (m_depth_nodes < before) {
    // The next use of a bucket may come after the nodes have returned. They
    // have then used the tokens of another coordinator in the same window.
    for (auto& [id, account] : m_accounts) {
      Settle(account, now);
    }
  }
}

uint32_t AccountPool::DepthNodes() const {
  return std::min(std::max(1U, m_fleet.m_nodes),
                  std::max(m_attached_count, m_fleet.m_assumed));
}

double AccountPool::DepthOf(const AccountLimit& limit) const {
  const uint32_t nodes = std::max(1U, m_fleet.m_nodes);
  const double depth =
      BudgetOf(limit, m_options.m_quota).m_depth * DepthNodes() / nodes;
  return m_fleet.m_holds_minimum ? std::max(1.0, depth) : depth;
}

double AccountPool::RateOf(const Account& account, TimePoint now) const {
  const double depth = DepthOf(account.m_limit);
  const double unused =
      depth > 0 ? std::max(0.0, 1 - account.m_recent_stock.At(now) / depth) : 0;
  return BudgetOf(account.m_limit, m_options.m_quota).m_rate +
         unused * account.m_limit.m_burst /
             std::chrono::duration<double>(m_options.m_quota.m_window).count();
}

void AccountPool::Settle(Account& account, TimePoint now) {
  CountAttached(now);
  while (!account.m_outstanding.empty() &&
         now - account.m_outstanding.front().m_granted_at >
             m_options.m_outstanding_period) {
    account.m_outstanding_count -= account.m_outstanding.front().m_tokens;
    account.m_outstanding.pop_front();
  }
  account.m_level +=
      (m_share_time - account.m_settled_share) * RateOf(account, now);
  account.m_settled_share = m_share_time;
  account.m_level = std::clamp(
      account.m_level, 0.0,
      std::max(0.0, DepthOf(account.m_limit) - account.m_outstanding_count));
  account.m_recent_stock.Add(account.m_level + account.m_outstanding_count,
                             now);
}

void AccountPool::Open(AccountId id,
                       const AccountLimit& limit,
                       bool is_full,
                       TimePoint now) {
  // An earlier coordinator may have granted a full bucket in this window.
  const auto [found, is_new] = m_accounts.try_emplace(
      id, Account{.m_limit = limit,
                  .m_recent_stock = SlidingMaximum(m_options.m_quota.m_window,
                                                   DepthOf(limit), now),
                  .m_settled_share = m_share_time});
  if (is_new) {
    found->second.m_level = is_full ? DepthOf(limit) : 0;
    if (!is_full) {
      found->second.m_takeover_at = now + m_options.m_takeover_delay;
    }
    Settle(found->second, now);
  }
}

uint32_t AccountPool::TakeOutstanding(Account& account,
                                      NodeId node,
                                      uint32_t count) {
  uint32_t taken = 0;
  for (Batch& batch : account.m_outstanding) {
    if (batch.m_node == node && taken < count) {
      const uint32_t step = std::min(count - taken, batch.m_tokens);
      batch.m_tokens -= step;
      taken += step;
    }
  }
  std::erase_if(account.m_outstanding,
                [](const Batch& batch) { return batch.m_tokens == 0; });
  account.m_outstanding_count -= taken;
  return taken;
}

TokenGrant AccountPool::OnRequest(NodeId node,
                                  const AccountLimit& limit,
                                  const TokenRequest& request,
                                  TimePoint now) {
  Account& account = m_accounts.at(request.m_account);
  TakeOutstanding(account, node, request.m_spent);
  Settle(account, now);
  account.m_limit = limit;
  account.m_level += TakeOutstanding(account, node, request.m_returned);
  account.m_level += request.m_not_run;
  Settle(account, now);

  TokenGrant grant{.m_account = request.m_account};
  grant.m_granted = std::min(request.m_waiting, ToCount(account.m_level));
  account.m_level -= grant.m_granted;
  const auto refused =
      static_cast<uint32_t>(request.m_waiting - grant.m_granted);
  if (request.m_waiting > 0 || request.m_prefetch > 0) {
    if (now - account.m_askers_pruned_at > kCountInterval) {
      account.m_askers_pruned_at = now;
      std::erase_if(account.m_askers, [&](const auto& entry) {
        return now - entry.second.m_asked_at > m_options.m_active_period;
      });
    }
    account.m_askers[node] = {.m_asked_at = now, .m_waiting = refused};
  }
  if (refused > 0) {
    grant.m_retry_after_ms =
        static_cast<uint32_t>(std::chrono::ceil<std::chrono::milliseconds>(
                                  WaitFor(account, node, now))
                                  .count());
  } else if (request.m_prefetch > 0) {
    const double depth = DepthOf(limit);
    const double part =
        account.m_level / (2.0 * static_cast<double>(std::max<size_t>(
                                     1, account.m_askers.size())));
    if (account.m_level > kPrefetchPart * depth) {
      const uint16_t extra = std::min(request.m_prefetch, ToCount(part));
      account.m_level -= extra;
      grant.m_granted = static_cast<uint16_t>(grant.m_granted + extra);
    }
  }
  if (grant.m_granted > 0) {
    account.m_outstanding.push_back(
        {.m_node = node, .m_tokens = grant.m_granted, .m_granted_at = now});
    account.m_outstanding_count += grant.m_granted;
    m_stats.m_granted += grant.m_granted;
  }
  return grant;
}

// Average over about one second.
double AccountPool::BorrowedRate(const Account& account, TimePoint now) {
  return account.m_borrowed_rate *
         std::exp(-std::chrono::duration<double>(now - account.m_borrowed_at)
                       .count());
}

bool AccountPool::MayExpectLoan(const Account& account, TimePoint now) const {
  return !account.m_vain_loan_at ||
         now - *account.m_vain_loan_at > m_options.m_loan_pause;
}

Duration AccountPool::WaitFor(const Account& account,
                              NodeId node,
                              TimePoint now) const {
  double ahead = 0;
  for (const auto& [other, asker] : account.m_askers) {
    ahead += other != node && now - asker.m_asked_at < kWaitingPeriod
                 ? asker.m_waiting
                 : 0;
  }
  const double rate = RateOf(account, now) * std::max(1U, m_attached_count) /
                          std::max(1U, m_fleet.m_nodes) +
                      BorrowedRate(account, now);
  const Duration wait =
      std::clamp(FromSeconds((1 + ahead - account.m_level) / rate),
                 Duration(std::chrono::milliseconds(1)), kMaxWait);
  return MayExpectLoan(account, now) ? std::min(wait, kLoanWait) : wait;
}

std::vector<TokenLoanRequestMessage> AccountPool::WantedLoans(uint32_t regions,
                                                              TimePoint now) {
  for (auto loan = m_loans.begin(); loan != m_loans.end();) {
    if (now - loan->second.m_asked_at > m_options.m_loan_timeout) {
      EndLoan(loan->second);
      loan = m_loans.erase(loan);
    } else {
      ++loan;
    }
  }
  std::vector<TokenLoanRequestMessage> wanted;
  for (auto& [id, account] : m_accounts) {
    if (now - account.m_asked_loan_at < account.m_loan_interval ||
        account.m_askers.empty() || regions == 0) {
      continue;
    }
    Settle(account, now);
    const double depth = DepthOf(account.m_limit);
    const bool has_recent_demand = std::any_of(
        account.m_askers.begin(), account.m_askers.end(),
        [&](const auto& entry) {
          return now - entry.second.m_asked_at < m_options.m_demand_period;
        });
    if (!has_recent_demand || account.m_level >= kBorrowPart * depth) {
      continue;
    }
    const double missing = depth - account.m_level -
                           account.m_outstanding_count -
                           account.m_pending_tokens;
    if (missing < kMinLoan) {
      continue;
    }
    const double share = missing / regions;
    account.m_asked_loan_at = now;
    account.m_pending_loans += regions;
    account.m_pending_tokens += share * regions;
    for (uint32_t region = 0; region < regions; ++region) {
      const uint64_t number = m_next_loan++;
      m_loans[number] = {.m_account = id, .m_wanted = share, .m_asked_at = now};
      wanted.push_back({.m_number = number,
                        .m_account = id,
                        .m_wanted_milli = ToMilli(share)});
    }
  }
  return wanted;
}

void AccountPool::StartTakeover(TimePoint now) {
  for (auto& [id, account] : m_accounts) {
    account.m_takeover_at = now + m_options.m_takeover_delay;
  }
}

std::vector<AccountId> AccountPool::DueTakeovers(TimePoint now) {
  std::vector<AccountId> due;
  for (auto& [id, account] : m_accounts) {
    if (account.m_takeover_at && *account.m_takeover_at <= now) {
      account.m_takeover_at.reset();
      due.push_back(id);
    }
  }
  return due;
}

TokenLoanRequestMessage AccountPool::AskFormer(AccountId id, TimePoint now) {
  Account& account = m_accounts.at(id);
  Settle(account, now);
  const double missing =
      std::max(0.0, DepthOf(account.m_limit) - account.m_level -
                        account.m_outstanding_count);
  const uint64_t number = m_next_loan++;
  m_loans[number] = {.m_account = id,
                     .m_wanted = missing,
                     .m_asked_at = now,
                     .m_is_takeover = true};
  return {
      .m_number = number, .m_account = id, .m_wanted_milli = ToMilli(missing)};
}

TokenLoanMessage AccountPool::Lend(const TokenLoanRequestMessage& request,
                                   TimePoint now,
                                   bool lends_all) {
  TokenLoanMessage loan{.m_number = request.m_number,
                        .m_account = request.m_account};
  const auto found = m_accounts.find(request.m_account);
  if (found == m_accounts.end()) {
    return loan;
  }
  Account& account = found->second;
  Settle(account, now);
  std::erase_if(account.m_askers, [&](const auto& entry) {
    return now - entry.second.m_asked_at > m_options.m_active_period;
  });
  const double kept = lends_all || account.m_askers.empty()
                          ? 0
                          : kLendPart * DepthOf(account.m_limit);
  loan.m_tokens_milli =
      std::min(request.m_wanted_milli, ToMilli(account.m_level - kept));
  account.m_level -= FromMilli(loan.m_tokens_milli);
  m_stats.m_lent += FromMilli(loan.m_tokens_milli);
  return loan;
}

bool AccountPool::EndLoan(const PendingLoan& loan) {
  const auto found = m_accounts.find(loan.m_account);
  if (found == m_accounts.end() || loan.m_is_takeover) {
    return true;
  }
  Account& account = found->second;
  account.m_pending_tokens -= std::min(account.m_pending_tokens, loan.m_wanted);
  account.m_pending_loans -= account.m_pending_loans > 0 ? 1 : 0;
  return account.m_pending_loans == 0;
}

double AccountPool::OnLoan(const TokenLoanMessage& loan, TimePoint now) {
  const auto pending = m_loans.find(loan.m_number);
  if (pending == m_loans.end() || pending->second.m_account != loan.m_account) {
    return 0;
  }
  const bool is_last = EndLoan(pending->second);
  const double wanted = pending->second.m_wanted;
  const bool is_takeover = pending->second.m_is_takeover;
  m_loans.erase(pending);
  const auto found = m_accounts.find(loan.m_account);
  if (found == m_accounts.end()) {
    return 0;
  }
  Account& account = found->second;
  const double tokens = FromMilli(loan.m_tokens_milli);
  account.m_level += tokens;
  // The tokens of a former coordinator come once; they are no rate.
  if (!is_takeover) {
    account.m_loan_interval = tokens >= kPlentyPart * wanted
                                  ? m_options.m_min_loan_interval
                                  : m_options.m_loan_interval;
    account.m_borrowed_rate = BorrowedRate(account, now) + tokens;
    account.m_borrowed_at = now;
  }
  if (account.m_level >= 1) {
    account.m_vain_loan_at.reset();
  } else if (is_last && !is_takeover) {
    account.m_vain_loan_at = now;
  }
  Settle(account, now);
  m_stats.m_borrowed += tokens;
  return tokens;
}

double AccountPool::Level(AccountId id) const {
  const auto found = m_accounts.find(id);
  return found == m_accounts.end() ? 0 : found->second.m_level;
}

}  // namespace sequoiastage
