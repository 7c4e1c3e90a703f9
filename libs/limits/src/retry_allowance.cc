#include "sequoiastage/limits/retry_allowance.h"

#include <algorithm>

namespace sequoiastage {

void RetryAllowance::OnFirstAttempt(TimePoint now, uint8_t urgency) {
  Bucket& bucket = BucketAt(now);
  ++bucket.m_first_attempts;
  bucket.m_urgency = std::min(bucket.m_urgency, urgency);
}

bool RetryAllowance::TryAcquire(TimePoint now,
                                uint8_t urgency,
                                ExtraAttempt kind) {
  const Bucket sum = SumWindow(now);
  const double allowed =
      m_options.m_used_share *
      (urgency > sum.m_urgency ? m_options.m_less_urgent_share : 1) *
      (m_options.m_ratio * sum.m_first_attempts + SlackShare(now));
  const double available = kind == ExtraAttempt::kHedge
                               ? m_options.m_max_hedge_share * allowed
                               : allowed;
  if (sum.m_extra_attempts + 1 > available) {
    return false;
  }
  ++BucketAt(now).m_extra_attempts;
  return true;
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
    }
  }
  return sum;
}

}  // namespace sequoiastage
