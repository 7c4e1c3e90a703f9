#include "sequoiastage/limits/repeat_allowance.h"

#include <algorithm>

namespace sequoiastage {

void RepeatAllowance::OnFirst(TimePoint now) {
  ++PartAt(now).m_firsts;
}

bool RepeatAllowance::TryRepeat(TimePoint now) {
  const Part sum = Sum(now);
  const double allowed =
      m_options.m_used_part *
      (m_options.m_ratio * sum.m_firsts +
       m_options.m_service_slack / std::max<uint32_t>(1, m_instances));
  if (sum.m_repeats + 1 > allowed) {
    return false;
  }
  ++PartAt(now).m_repeats;
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
    }
  }
  return sum;
}

}  // namespace sequoiastage
