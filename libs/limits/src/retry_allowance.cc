#include "sequoiastage/limits/retry_allowance.h"

#include <algorithm>
#include <cmath>

namespace sequoiastage {

namespace {

// A service that makes or serves calls has seen one within this time.
constexpr Duration kRecognitionPeriod = std::chrono::minutes(1);

}  // namespace

void RetryAllowance::OnFirstAttempt(TimePoint now,
                                    uint8_t urgency,
                                    bool is_call) {
  Bucket& bucket = BucketAt(now);
  ++bucket.m_first_attempts;
  if (is_call) {
    OnRecognizedCall(now);
  } else {
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
  const size_t level = LevelOf(request.m_urgency);
  if (request.m_is_call) {
    ++BucketAt(now).m_calls[level].m_asked;
    OnRecognizedCall(now);
  }
  AccountUse* const account =
      m_shares_by_account ? FindAccount(now, request) : nullptr;
  const Bucket sum = SumWindow(now);
  const double usable = Usable(sum, now);
  const double used = sum.m_extra_attempts;
  if (request.m_is_call) {
    if (used + 1 > usable || !HasRoomForCall(sum, usable, level)) {
      return false;
    }
  } else if (used + 1 > AvailableToNewRequest(sum, usable, request)) {
    return false;
  }
  if (account != nullptr &&
      !MayUse(*account, usable, used, request.m_is_call, now)) {
    return false;
  }
  Bucket& bucket = BucketAt(now);
  ++bucket.m_extra_attempts;
  bucket.m_calls[level].m_granted += request.m_is_call ? 1 : 0;
  if (account != nullptr) {
    account->m_used += 1;
  }
  return true;
}

void RetryAllowance::Return(TimePoint granted_at,
                            const ExtraAttemptRequest& request) {
  Bucket& bucket =
      m_buckets[static_cast<size_t>(BucketIndex(granted_at)) % kBuckets];
  if (bucket.m_index == BucketIndex(granted_at) &&
      bucket.m_extra_attempts > 0) {
    --bucket.m_extra_attempts;
    CallUse& use = bucket.m_calls[LevelOf(request.m_urgency)];
    use.m_granted -= request.m_is_call && use.m_granted > 0 ? 1 : 0;
  }
  const auto account = m_accounts.find(request.m_account);
  if (account != m_accounts.end() &&
      granted_at >= account->second.m_window_start) {
    account->second.m_used = std::max(0.0, account->second.m_used - 1);
  }
}

bool RetryAllowance::HasRoomForCall(const Bucket& window,
                                    double usable,
                                    size_t level) {
  double asked = 0;
  for (size_t i = 0; i < level; ++i) {
    asked += window.m_calls[i].m_asked;
  }
  double granted = 0;
  for (size_t i = level; i < kUrgencies; ++i) {
    granted += window.m_calls[i].m_granted;
  }
  return granted + 1 + asked <= usable;
}

double RetryAllowance::AvailableToNewRequest(
    const Bucket& window,
    double usable,
    const ExtraAttemptRequest& request) const {
  const double available = request.m_urgency > window.m_urgency
                               ? m_options.m_less_urgent_share * usable
                               : usable;
  return request.m_kind == ExtraAttempt::kHedge
             ? m_options.m_max_hedge_share * available
             : available;
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

bool RetryAllowance::MayUse(const AccountUse& account,
                            double usable,
                            double used,
                            bool is_call,
                            TimePoint now) const {
  const auto has_asked = [&](const AccountUse& other, Duration period) {
    const std::optional<TimePoint> asked_at =
        is_call ? other.m_call_asked_at : other.m_asked_at;
    return asked_at && now - *asked_at < period;
  };
  const auto asking = std::count_if(
      m_accounts.begin(), m_accounts.end(), [&](const auto& item) {
        return has_asked(item.second, m_options.m_window);
      });
  // At least one, so that accounts are not shut out when there are more of them
  // than retries.
  const double part = std::max(
      1.0,
      std::floor(usable / static_cast<double>(std::max<ptrdiff_t>(1, asking))));
  if (account.m_used + 1 <= part) {
    return true;
  }
  double claimed = 0;
  for (const auto& [id, other] : m_accounts) {
    claimed += has_asked(other, m_options.m_claim_period)
                   ? std::max(0.0, part - other.m_used)
                   : 0;
  }
  return used + 1 + claimed <= usable &&
         (asking == 1 || used + 1 <= m_options.m_over_part_share * usable);
}

double RetryAllowance::Usable(const Bucket& window, TimePoint now) const {
  const bool recognizes_calls =
      m_recognized_call_at && now - *m_recognized_call_at < kRecognitionPeriod;
  const double share =
      recognizes_calls
          ? std::max(m_options.m_used_share, m_options.m_used_share_with_calls)
          : m_options.m_used_share;
  return share *
         (m_options.m_ratio * window.m_first_attempts + SlackShare(now));
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

size_t RetryAllowance::LevelOf(uint8_t urgency) {
  return std::min<size_t>(urgency, kUrgencies - 1);
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
      for (size_t i = 0; i < kUrgencies; ++i) {
        sum.m_calls[i].m_asked += bucket.m_calls[i].m_asked;
        sum.m_calls[i].m_granted += bucket.m_calls[i].m_granted;
      }
    }
  }
  return sum;
}

}  // namespace sequoiastage
