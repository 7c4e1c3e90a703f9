#include "sequoiastage/limits/instance_byte_bound.h"

#include <algorithm>

namespace sequoiastage {

bool InstanceByteBound::Admit(size_t in_flight, size_t bytes) {
  if (in_flight == 0 || m_bound == SIZE_MAX || in_flight + bytes <= m_bound) {
    return true;
  }
  m_has_refused = true;
  return false;
}

bool InstanceByteBound::OnCrash(size_t in_flight, size_t large_requests) {
  // The memory that an instance needs for the same bytes varies.
  if (in_flight < m_options.m_min_bytes || in_flight <= m_survived / 2) {
    return false;
  }
  m_crashed_at = in_flight;
  m_bound = std::max(
      m_options.m_min_bytes,
      static_cast<size_t>(static_cast<double>(std::min(in_flight, m_bound)) *
                          m_options.m_decrease));
  m_survived = std::min(m_survived, m_bound);
  m_has_refused = false;
  return large_requests > 1;
}

void InstanceByteBound::OnSuccess(size_t in_flight) {
  m_survived = std::max(m_survived, in_flight);
  const bool is_at_bound = m_has_refused || in_flight >= m_bound / 5 * 4;
  m_has_refused = false;
  if (m_bound == SIZE_MAX || !is_at_bound) {
    return;
  }
  const bool is_close =
      m_bound + m_options.m_increase_bytes >= m_crashed_at / 10 * 9 &&
      in_flight < m_crashed_at;
  m_bound += m_options.m_increase_bytes / (is_close ? m_options.m_caution : 1);
}

}  // namespace sequoiastage
