#include "sequoiastage/limits/account_credits.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace sequoiastage {

namespace {

// An account without requests is forgotten after this time.
constexpr Duration kIdlePeriod = std::chrono::seconds(30);
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(10);

// Returns the part of `count` that fits into a message and removes it.
uint16_t TakeForMessage(uint32_t& count) {
  const uint32_t taken =
      std::min<uint32_t>(count, std::numeric_limits<uint16_t>::max());
  count -= taken;
  return static_cast<uint16_t>(taken);
}

}  // namespace

void AccountCredits::DropExpired(AccountId id,
                                 Account& account,
                                 TimePoint now) {
  while (!account.m_stock.empty() && account.m_stock.front().m_expires <= now) {
    account.m_returned += account.m_stock.front().m_tokens;
    account.m_stock.pop_front();
    m_dirty.insert(id);
  }
}

void AccountCredits::Spend(Account& account) {
  ++account.m_spent;
  ++account.m_prefetch;
  m_is_urgent |= account.m_spent >= m_options.m_report_size;
}

AccountCredits::Acquisition AccountCredits::Acquire(AccountId id,
                                                    TokenWaiterId waiter,
                                                    TimePoint now) {
  Account& account = m_accounts[id];
  account.m_used_at = now;
  DropExpired(id, account, now);
  if (!account.m_stock.empty()) {
    if (--account.m_stock.front().m_tokens == 0) {
      account.m_stock.pop_front();
    }
    Spend(account);
    m_dirty.insert(id);
    return {.m_result = Result::kTaken};
  }
  if (now < account.m_blocked_until) {
    return {.m_result = Result::kRefused,
            .m_retry_after = account.m_blocked_until - now};
  }
  account.m_waiters.push_back({.m_id = waiter, .m_since = now});
  m_dirty.insert(id);
  m_is_urgent |= account.m_ask_again_at <= now;
  return {.m_result = Result::kWaits};
}

void AccountCredits::Abandon(AccountId id, TokenWaiterId waiter) {
  const auto found = m_accounts.find(id);
  if (found != m_accounts.end()) {
    std::erase_if(found->second.m_waiters,
                  [&](const Waiter& entry) { return entry.m_id == waiter; });
  }
}

void AccountCredits::Return(AccountId id) {
  ++m_accounts[id].m_not_run;
  m_dirty.insert(id);
}

void AccountCredits::OnCoordinatorChanged() {
  for (auto& [number, pending] : m_pending) {
    pending.m_is_current = false;
  }
  for (auto& [id, account] : m_accounts) {
    account.m_asked = 0;
    account.m_ask_again_at = {};
    if (!account.m_waiters.empty()) {
      m_dirty.insert(id);
      m_is_urgent = true;
    }
  }
}

TokenRequestMessage AccountCredits::Collect(uint64_t number, TimePoint now) {
  TokenRequestMessage message{.m_number = number};
  const Duration share =
      std::min(now - m_share_handed_until, m_options.m_max_share_age);
  m_share_handed_until = now;
  message.m_share_us =
      static_cast<uint32_t>(std::max<int64_t>(0, share.count()));
  for (const AccountId id : std::exchange(m_dirty, {})) {
    Account& account = m_accounts[id];
    TokenRequest request{.m_account = id,
                         .m_prefetch = TakeForMessage(account.m_prefetch),
                         .m_returned = TakeForMessage(account.m_returned),
                         .m_spent = TakeForMessage(account.m_spent),
                         .m_not_run = TakeForMessage(account.m_not_run)};
    if (account.m_ask_again_at <= now &&
        account.m_waiters.size() > account.m_asked) {
      uint32_t waiting =
          static_cast<uint32_t>(account.m_waiters.size()) - account.m_asked;
      request.m_waiting = TakeForMessage(waiting);
      account.m_asked += request.m_waiting;
    }
    if (request != TokenRequest{.m_account = id}) {
      message.m_requests.push_back(request);
    }
  }
  m_is_urgent = false;
  m_pending[number] = {.m_sent_at = now,
                       .m_silent_since = now,
                       .m_requests = message.m_requests};
  return message;
}

void AccountCredits::GrantWaiters(AccountId id,
                                  Account& account,
                                  std::vector<TokenDecision>& decisions) {
  while (!account.m_waiters.empty() && !account.m_stock.empty()) {
    decisions.push_back(
        {.m_waiter = account.m_waiters.front().m_id, .m_is_granted = true});
    account.m_waiters.pop_front();
    if (--account.m_stock.front().m_tokens == 0) {
      account.m_stock.pop_front();
    }
    Spend(account);
    m_dirty.insert(id);
  }
}

void AccountCredits::RefuseLateWaiters(Account& account,
                                       Duration retry_after,
                                       TimePoint now,
                                       std::vector<TokenDecision>& decisions) {
  while (!account.m_waiters.empty() &&
         account.m_waiters.front().m_since + m_options.m_max_wait <=
             now + retry_after) {
    decisions.push_back(
        {.m_waiter = account.m_waiters.front().m_id,
         .m_retry_after = std::max(retry_after, kMinRetryAfter)});
    account.m_waiters.pop_front();
  }
}

std::vector<TokenDecision> AccountCredits::OnGrants(
    const TokenGrantMessage& message,
    TimePoint now) {
  const auto found = m_pending.find(message.m_number);
  if (found == m_pending.end()) {
    return {};
  }
  const Pending pending = std::move(found->second);
  m_pending.erase(found);
  std::vector<TokenDecision> decisions;
  if (pending.m_is_current) {
    for (const TokenRequest& request : pending.m_requests) {
      if (const auto account = m_accounts.find(request.m_account);
          account != m_accounts.end()) {
        account->second.m_asked -=
            std::min<uint32_t>(account->second.m_asked, request.m_waiting);
      }
    }
  }
  const TimePoint expires = pending.m_sent_at + m_options.m_validity;
  for (const TokenGrant& grant : message.m_grants) {
    Account& account = m_accounts[grant.m_account];
    if (grant.m_granted > 0) {
      // Kept in the order of expiry; replies may overtake each other after a
      // change of the coordinator.
      const auto place =
          std::upper_bound(account.m_stock.begin(), account.m_stock.end(),
                           expires, [](TimePoint time, const Stock& stock) {
                             return time < stock.m_expires;
                           });
      account.m_stock.insert(
          place, {.m_tokens = grant.m_granted, .m_expires = expires});
      DropExpired(grant.m_account, account, now);
      GrantWaiters(grant.m_account, account, decisions);
    }
    if (grant.m_retry_after_ms > 0 && pending.m_is_current) {
      const Duration retry_after =
          std::chrono::milliseconds(grant.m_retry_after_ms);
      const size_t waiting = account.m_waiters.size();
      RefuseLateWaiters(account, retry_after, now, decisions);
      account.m_ask_again_at = now + retry_after;
      if (account.m_waiters.size() < waiting) {
        account.m_blocked_until =
            now + std::min(retry_after, m_options.m_max_block);
        account.m_ask_again_at = account.m_blocked_until;
      }
    }
    if (account.m_waiters.size() > account.m_asked) {
      m_dirty.insert(grant.m_account);
    }
  }
  return decisions;
}

void AccountCredits::ExcludePause(Duration pause, TimePoint now) {
  for (auto& [number, pending] : m_pending) {
    pending.m_silent_since = std::min(now, pending.m_silent_since + pause);
  }
  for (auto& [id, account] : m_accounts) {
    for (Waiter& waiter : account.m_waiters) {
      waiter.m_since = std::min(now, waiter.m_since + pause);
    }
  }
}

std::vector<TokenDecision> AccountCredits::Tick(TimePoint now) {
  std::vector<TokenDecision> decisions;
  std::erase_if(m_pending, [&](const auto& entry) {
    return now - entry.second.m_sent_at > m_options.m_validity;
  });
  for (auto& [id, account] : m_accounts) {
    DropExpired(id, account, now);
    RefuseLateWaiters(account, Duration{}, now, decisions);
    if (account.m_waiters.size() > account.m_asked &&
        account.m_ask_again_at <= now) {
      m_dirty.insert(id);
      m_is_urgent = true;
    }
  }
  std::erase_if(m_accounts, [&](const auto& entry) {
    return now - entry.second.m_used_at > kIdlePeriod &&
           entry.second.m_waiters.empty() && entry.second.m_stock.empty() &&
           !m_dirty.contains(entry.first);
  });
  return decisions;
}

Duration AccountCredits::SilentFor(TimePoint now) const {
  Duration longest{};
  for (const auto& [number, pending] : m_pending) {
    if (pending.m_is_current) {
      longest = std::max(longest, now - pending.m_silent_since);
    }
  }
  return longest;
}

}  // namespace sequoiastage
