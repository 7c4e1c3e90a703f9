#include "sequoiastage/limits/repeat_allowance.h"

#include <algorithm>

namespace sequoiastage {

void RepeatAllowance::OnFirst(TimePoint now, uint8_t urgency) {
  Part& part = PartAt(now);
  ++part.m_firsts;
  part.m_urgency = std::min(part.m_urgency, urgency);
}

bool RepeatAllowance::TryRepeat(TimePoint now,
                                uint8_t urgency,
                                RepeatCause cause) {
  const Part sum = Sum(now);
  const double allowed =
      m_options.m_used_part *
      (urgency > sum.m_urgency ? m_options.m_less_urgent_part : 1) *
      (m_options.m_ratio * sum.m_firsts +
       m_options.m_service_slack / std::max<uint32_t>(1, m_instances));
  const bool is_copy = cause == RepeatCause::kSlow;
  if (sum.m_repeats + 1 > allowed ||
      (is_copy && sum.m_copies + 1 > m_options.m_copy_part * allowed)) {
    return false;
  }
  Part& part = PartAt(now);
  ++part.m_repeats;
  part.m_copies += is_copy ? 1 : 0;
  return true;
}

int64_t RepeatAllowance::NumberAt(TimePoint now) const {
  return now.time_since_epoch() / (m_options.m_window / kParts);
}

RepeatAllowance::Part& RepeatAllowance::PartAt(TimePoint now) {
  const int64_t number = NumberAt(now);
  Part& part = m_parts[static_cast<size_t>(number) % kParts];
  if (part.m_number != number) {
    part = Part{.m_number = number};
  }
  return part;
}

RepeatAllowance::Part RepeatAllowance::Sum(TimePoint now) const {
  const int64_t number = NumberAt(now);
  Part sum;
  for (const Part& part : m_parts) {
    if (part.m_number > number - static_cast<int64_t>(kParts) &&
        part.m_number <= number) {
      sum.m_firsts += part.m_firsts;
      sum.m_repeats += part.m_repeats;
      sum.m_copies += part.m_copies;
      sum.m_urgency = std::min(sum.m_urgency, part.m_urgency);
    }
  }
  return sum;
}

}  // namespace sequoiastage
