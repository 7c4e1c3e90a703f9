#include "sequoiastage/limits/retry_allowance.h"

#include <algorithm>

namespace sequoiastage {

void RetryAllowance::OnFirstAttempt(TimePoint now,
                                    uint8_t urgency,
                                    bool is_call) {
  Bucket& bucket = BucketAt(now);
  ++bucket.m_first_attempts;
  if (!is_call) {
    bucket.m_urgency = std::min(bucket.m_urgency, urgency);
  }
}

bool RetryAllowance::TryAcquire(TimePoint now,
                                uint8_t urgency,
                                ExtraAttempt kind) {
  return TryAcquire(now, {.m_urgency = urgency, .m_kind = kind});
}

bool RetryAllowance::TryAcquire(TimePoint now,
                                const ExtraAttemptRequest& request) {
  if (request.m_is_call) {
    Bucket& bucket = BucketAt(now);
    bucket.m_call_urgency = std::min(bucket.m_call_urgency, request.m_urgency);
  }
  const Bucket sum = SumWindow(now);
  const bool is_less_urgent =
      request.m_urgency >
      (request.m_is_call ? sum.m_call_urgency : sum.m_urgency);
  const bool is_limited_hedge =
      !request.m_is_call && request.m_kind == ExtraAttempt::kHedge;
  const double allowed =
      m_options.m_used_share *
      (is_less_urgent ? m_options.m_less_urgent_share : 1) *
      (m_options.m_ratio * sum.m_first_attempts + SlackShare(now));
  const double available =
      is_limited_hedge ? m_options.m_max_hedge_share * allowed : allowed;
  AccountUse* const account =
      m_shares_by_account ? FindAccount(now, request) : nullptr;
  if (account != nullptr) {
    // At least one, so that accounts are not shut out when there are more of
    // them than retries.
    const double part = std::max(
        1.0, allowed / static_cast<double>(std::max<size_t>(
                           1, AskingAccounts(now, request.m_is_call))));
    if (account->m_used + 1 > part) {
      return false;
    }
  }
  if (sum.m_extra_attempts + 1 > available) {
    return false;
  }
  ++BucketAt(now).m_extra_attempts;
  if (account != nullptr) {
    account->m_used += 1;
  }
  return true;
}

RetryAllowance::AccountUse* RetryAllowance::FindAccount(
    TimePoint now,
    const ExtraAttemptRequest& request) {
  if (!m_accounts.contains(request.m_account) &&
      m_accounts.size() >= m_options.m_max_accounts) {
    std::erase_if(m_accounts, [&](const auto& item) {
      return now - item.second.m_asked_at >= m_options.m_window;
    });
    if (m_accounts.size() >= m_options.m_max_accounts) {
      return nullptr;
    }
  }
  AccountUse& account = m_accounts[request.m_account];
  if (now - account.m_window_start >= m_options.m_window) {
    account.m_used = 0;
    account.m_window_start = now;
  }
  account.m_asked_at = now;
  if (request.m_is_call) {
    account.m_call_asked_at = now;
  }
  return &account;
}

size_t RetryAllowance::AskingAccounts(TimePoint now, bool is_call) const {
  return static_cast<size_t>(std::count_if(
      m_accounts.begin(), m_accounts.end(), [&](const auto& item) {
        const AccountUse& account = item.second;
        const std::optional<TimePoint> asked_at =
            is_call ? account.m_call_asked_at : account.m_asked_at;
        return asked_at && now - *asked_at < m_options.m_window;
      }));
}

double RetryAllowance::SlackShare(TimePoint now) const {
  if (m_instances == 0) {
    return 0;
  }
  const double share = m_options.m_service_slack / m_instances;
  if (!m_restarted_at || now - *m_restarted_at >= m_options.m_window) {
    return share;
  }
  constexpr double kShareAfterRestart = 0.5;
  return share * kShareAfterRestart *
         std::chrono::duration<double>(now - *m_restarted_at) /
         std::chrono::duration<double>(m_options.m_window);
}

int64_t RetryAllowance::BucketIndex(TimePoint now) const {
  return now.time_since_epoch() / (m_options.m_window / kBuckets);
}

RetryAllowance::Bucket& RetryAllowance::BucketAt(TimePoint now) {
  const int64_t index = BucketIndex(now);
  Bucket& bucket = m_buckets[static_cast<size_t>(index) % kBuckets];
  if (bucket.m_index != index) {
    bucket = Bucket{.m_index = index};
  }
  return bucket;
}

RetryAllowance::Bucket RetryAllowance::SumWindow(TimePoint now) const {
  const int64_t index = BucketIndex(now);
  Bucket sum;
  for (const Bucket& bucket : m_buckets) {
    if (bucket.m_index > index - static_cast<int64_t>(kBuckets) &&
        bucket.m_index <= index) {
      sum.m_first_attempts += bucket.m_first_attempts;
      sum.m_extra_attempts += bucket.m_extra_attempts;
      sum.m_urgency = std::min(sum.m_urgency, bucket.m_urgency);
      sum.m_call_urgency = std::min(sum.m_call_urgency, bucket.m_call_urgency);
    }
  }
  return sum;
}

}  // namespace sequoiastage
