#include "sequoiastage/health/outcome_window.h"

namespace sequoiastage {

namespace {

int64_t ToSecond(TimePoint time) {
  return std::chrono::floor<std::chrono::seconds>(time.time_since_epoch())
      .count();
}

size_t SlotIndex(int64_t second) {
  const int64_t index = second % OutcomeWindow::kSlots;
  return static_cast<size_t>(index < 0 ? index + OutcomeWindow::kSlots : index);
}

}  // namespace

void OutcomeWindow::Add(TimePoint now, bool is_failure, Duration latency) {
  const int64_t second = ToSecond(now);
  Slot& slot = m_slots[SlotIndex(second)];
  if (slot.m_second != second) {
    slot = Slot{.m_second = second};
  }
  ++slot.m_outcomes;
  slot.m_failures += is_failure ? 1 : 0;
  slot.m_latencies.Add(latency);
}

InstanceSummary OutcomeWindow::Summarize(TimePoint now) const {
  InstanceSummary summary;
  const int64_t second = ToSecond(now);
  for (const Slot& slot : m_slots) {
    if (slot.m_outcomes == 0 || slot.m_second <= second - kSlots) {
      continue;
    }
    summary.m_outcomes += slot.m_outcomes;
    summary.m_failures += slot.m_failures;
    summary.m_latencies.Merge(slot.m_latencies);
    if (slot.m_second >= second - 1) {
      summary.m_recent_outcomes += slot.m_outcomes;
      summary.m_recent_failures += slot.m_failures;
    }
  }
  return summary;
}

}  // namespace sequoiastage
