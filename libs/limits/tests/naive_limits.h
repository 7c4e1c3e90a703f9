#ifndef SEQUOIASTAGE_LIMITS_TESTS_NAIVE_LIMITS_H_
#define SEQUOIASTAGE_LIMITS_TESTS_NAIVE_LIMITS_H_

#include <deque>

#include "sequoiastage/limits/slot_gate.h"

namespace sequoiastage {

/// Baseline: a single unbounded FIFO queue that ignores deadlines and accounts.
class FifoGate {
 public:
  explicit FifoGate(const SlotGateOptions& options)
      : m_slots(options.m_slots) {}

  AdmissionResult Admit(TimePoint /*now*/,
                        TimePoint /*deadline*/,
                        AccountId /*account*/) {
    const Ticket ticket(m_next_ticket++);
    if (m_running < m_slots) {
      ++m_running;
      return {AdmissionDecision::kAdmitted, ticket, {}};
    }
    m_queue.push_back(ticket);
    return {AdmissionDecision::kQueued, ticket, {}};
  }

  GateChanges OnFinish(Ticket /*ticket*/,
                       TimePoint /*now*/,
                       bool /*is_service_time_sample*/ = true) {
    if (m_queue.empty()) {
      --m_running;
      return {};
    }
    const Ticket next = m_queue.front();
    m_queue.pop_front();
    return {.m_started = {next}, .m_refused = {}};
  }

  /// Queued requests can't be cancelled.
  bool CancelQueued(Ticket /*ticket*/) { return false; }

  GateChanges OnTick(TimePoint /*now*/) { return {}; }

  size_t Running() const { return m_running; }
  size_t Queued() const { return m_queue.size(); }
  size_t QueueLimit() const { return m_queue.max_size(); }

 private:
  uint32_t m_slots;
  uint64_t m_next_ticket = 1;
  size_t m_running = 0;
  std::deque<Ticket> m_queue;
};

/// Baseline: a retry budget without a limit.
struct UnlimitedRetries {
  void OnRequest(TimePoint /*now*/) {}
  bool TryRetry(TimePoint /*now*/) { return true; }
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_LIMITS_TESTS_NAIVE_LIMITS_H_
