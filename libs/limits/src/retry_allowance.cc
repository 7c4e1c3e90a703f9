#include "sequoiastage/limits/retry_allowance.h"

#include <algorithm>
#include <cmath>

namespace sequoiastage {

namespace {

// A configuration with another form of ids is noticed after this time. Longer
// than the intervals at which a service with few requests is called.
constexpr Duration kRecognitionPeriod = std::chrono::minutes(1);

// Parts of the slack that a restarted process has in its first window. With the
// part that the former one may have used they stay below the whole: 0.65 and
// 0.5 times 0.65, or 0.85 and 0.2 times 0.65 while load is managed.
constexpr double kSlackAfterRestart = 0.5;
constexpr double kManagedSlackAfterRestart = 0.2;

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
    OnRecognizedCall(now);
  }
  const Bucket sum = SumWindow(now);
  const double usable = Usable(sum, now);
  const double used = sum.m_extra_attempts;
  if (used + 1 > usable) {
    RecordAsk(now, request);
    return false;
  }
  // An ask that is refused for its urgency reserves nothing against others.
  if (request.m_is_call
          ? !HasRoomForCall(sum, usable, level)
          : used + 1 > AvailableToNewRequest(sum, usable, request)) {
    return false;
  }
  AccountUse* const account = FindAccount(now, request);
  if (account != nullptr &&
      !MayUse(*account, usable, used, request.m_is_call, now)) {
    return false;
  }
  Bucket& bucket = BucketAt(now);
  ++bucket.m_extra_attempts;
  if (request.m_is_call) {
    ++bucket.m_calls[level].m_asked;
    ++bucket.m_calls[level].m_granted;
  }
  if (account != nullptr) {
    account->m_used += 1;
  }
  return true;
}

void RetryAllowance::RecordAsk(TimePoint now,
                               const ExtraAttemptRequest& request) {
  if (request.m_is_call) {
    ++BucketAt(now).m_calls[LevelOf(request.m_urgency)].m_asked;
  }
  FindAccount(now, request);
}

void RetryAllowance::Return(TimePoint granted_at,
                            const ExtraAttemptRequest& request) {
  Bucket& bucket =
      m_buckets[static_cast<size_t>(BucketIndex(granted_at)) % kBuckets];
  if (bucket.m_index == BucketIndex(granted_at) &&
      bucket.m_extra_attempts > 0) {
    --bucket.m_extra_attempts;
    CallUse& use = bucket.m_calls[LevelOf(request.m_urgency)];
    if (request.m_is_call && use.m_granted > 0) {
      --use.m_granted;
      --use.m_asked;
    }
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
  if (!m_manages_load) {
    return nullptr;
  }
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
  const bool has_restarted =
      m_restarted_at && now - *m_restarted_at < m_options.m_window;
  const bool recognizes_calls =
      m_manages_load && !has_restarted && m_recognized_call_at &&
      now - *m_recognized_call_at < kRecognitionPeriod;
  const double share = recognizes_calls ? m_options.m_used_share_with_calls
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
  const double part =
      m_manages_load ? kManagedSlackAfterRestart : kSlackAfterRestart;
  return share * part * std::chrono::duration<double>(now - *m_restarted_at) /
         std::chrono::duration<double>(m_options.m_window);
}

void RetryAllowance::SetManagesLoad(bool manages) {
  m_manages_load = manages;
  if (!manages) {
    m_recognized_call_at.reset();
    m_accounts.clear();
  }
}

size_t RetryAllowance::LevelOf(uint8_t urgency) {
  return std::min<size_t>(urgency, kUrgencies - 1);
}

int64_t RetryAllowance::BucketIndex(TimePoint now) const {
  return now.time_since_epoch() / (m_options.m_window / kWindowBuckets);
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
    const int64_t age = index - bucket.m_index;
    if (bucket.m_index < 0 || age < 0 || age > int64_t{kWindowBuckets}) {
      continue;
    }
    const bool is_within = age < int64_t{kWindowBuckets};
    if (is_within || m_manages_load) {
      sum.m_extra_attempts += bucket.m_extra_attempts;
    }
    if (!is_within) {
      continue;
    }
    sum.m_first_attempts += bucket.m_first_attempts;
    sum.m_urgency = std::min(sum.m_urgency, bucket.m_urgency);
    for (size_t i = 0; i < kUrgencies; ++i) {
      sum.m_calls[i].m_asked += bucket.m_calls[i].m_asked;
      sum.m_calls[i].m_granted += bucket.m_calls[i].m_granted;
    }
  }
  return sum;
}

}  // namespace sequoiastage
