#include "sequoiastage/limits/slot_gate.h"

#include <algorithm>

namespace sequoiastage {

namespace {

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

SlotGate::SlotGate(const SlotGateOptions& options)
    : m_options(options),
      m_shares(options.m_fair_shares),
      m_service_time(options.m_initial_service_time) {}

AdmissionResult SlotGate::Admit(TimePoint now,
                                TimePoint deadline,
                                AccountId account,
                                double share,
                                uint8_t urgency) {
  AdmissionResult result{.m_admission = GateVerdict::kRefused,
                         .m_ticket = Ticket(m_next_ticket++),
                         .m_changes = {}};
  RefuseLate(now, result.m_changes);
  FillSlots(now, result.m_changes);
  if (HasFreeSlot() && now < deadline) {
    Start(result.m_ticket, account, now);
    result.m_admission = GateVerdict::kRun;
    return result;
  }
  if (now + ExpectedWait(urgency) + m_service_time > deadline) {
    ++m_stats.m_refused;
    return result;
  }
  const Waiting arrival{.m_ticket = result.m_ticket,
                        .m_account = account,
                        .m_share = share > 0 ? share : 1,
                        .m_urgency = urgency,
                        .m_deadline = deadline};
  if (m_queue.size() >= QueueLimit() &&
      !DisplaceLessUrgent(arrival, result.m_changes) &&
      !Displace(arrival, now, result.m_changes)) {
    ++m_stats.m_refused;
    return result;
  }
  m_queue.push_back(arrival);
  ++m_stats.m_queued;
  result.m_admission = GateVerdict::kQueued;
  return result;
}

GateChanges SlotGate::OnFinish(Ticket ticket, TimePoint now, bool counts) {
  GateChanges changes;
  const auto found = m_running.find(ticket);
  if (found == m_running.end()) {
    return changes;
  }
  const Duration took = now - found->second.m_started;
  m_shares.Add(found->second.m_account, took, now);
  m_running.erase(found);
  if (counts) {
    const double average =
        Seconds(m_service_time) + m_options.m_service_time_weight *
                                      (Seconds(took) - Seconds(m_service_time));
    m_service_time = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(average));
  }
  RefuseLate(now, changes);
  FillSlots(now, changes);
  return changes;
}

bool SlotGate::CancelQueued(Ticket ticket) {
  const bool is_found = std::erase_if(m_queue, [ticket](const Waiting& work) {
                          return work.m_ticket == ticket;
                        }) > 0;
  m_stats.m_cancelled += is_found ? 1 : 0;
  return is_found;
}

GateChanges SlotGate::OnTick(TimePoint now) {
  GateChanges changes;
  RefuseLate(now, changes);
  return changes;
}

GateChanges SlotGate::Resize(uint32_t slots, TimePoint now) {
  GateChanges changes;
  m_options.m_slots = slots;
  RefuseLate(now, changes);
  FillSlots(now, changes);
  return changes;
}

GateChanges SlotGate::SetMaxQueued(uint32_t max_queued) {
  GateChanges changes;
  m_options.m_max_queued = max_queued;
  while (m_queue.size() > max_queued) {
    changes.m_refused.push_back(m_queue.back().m_ticket);
    m_queue.pop_back();
    ++m_stats.m_refused;
  }
  return changes;
}

// As many as the slots take up in the longest wait, but one for each slot at
// least.
size_t SlotGate::QueueLimit() const {
  const double rounds =
      Seconds(m_options.m_max_wait) / std::max(1e-6, Seconds(m_service_time));
  const double limit =
      static_cast<double>(m_options.m_slots) * std::max(1.0, rounds);
  return std::min(static_cast<size_t>(limit),
                  static_cast<size_t>(m_options.m_max_queued));
}

Duration SlotGate::ExpectedWait(uint8_t urgency) const {
  if (HasFreeSlot()) {
    return Duration(0);
  }
  if (m_options.m_slots == 0) {
    return Duration::max() / 4;
  }
  const auto ahead = std::count_if(
      m_queue.begin(), m_queue.end(),
      [urgency](const Waiting& work) { return work.m_urgency <= urgency; });
  return m_service_time * (ahead + 1) / static_cast<int64_t>(m_options.m_slots);
}

// Recent use by the account and the slots it holds now, for its share.
double SlotGate::UseOf(const Waiting& work, TimePoint now) const {
  double use = m_shares.Use(work.m_account, now);
  for (const auto& [ticket, running] : m_running) {
    if (running.m_account == work.m_account) {
      use += Seconds(std::max(now - running.m_started, m_service_time));
    }
  }
  return use / work.m_share;
}

// The same with what the account has in the queue.
double SlotGate::ClaimOf(const Waiting& work, TimePoint now) const {
  const auto queued = std::count_if(
      m_queue.begin(), m_queue.end(),
      [&](const Waiting& other) { return other.m_account == work.m_account; });
  return UseOf(work, now) +
         static_cast<double>(queued) * Seconds(m_service_time) / work.m_share;
}

// Makes room in the queue by the newest work of the least urgent rank, if that
// is below the arrival's.
bool SlotGate::DisplaceLessUrgent(const Waiting& arrival,
                                  GateChanges& changes) {
  const auto worst = std::max_element(m_queue.begin(), m_queue.end(),
                                      [](const Waiting& a, const Waiting& b) {
                                        return a.m_urgency <= b.m_urgency;
                                      });
  if (worst == m_queue.end() || worst->m_urgency <= arrival.m_urgency) {
    return false;
  }
  changes.m_refused.push_back(worst->m_ticket);
  m_queue.erase(worst);
  ++m_stats.m_displaced;
  return true;
}

// Makes room in the queue for `arrival` if another account of its rank has a
// greater claim.
bool SlotGate::Displace(const Waiting& arrival,
                        TimePoint now,
                        GateChanges& changes) {
  auto worst = m_queue.end();
  double worst_claim =
      ClaimOf(arrival, now) + Seconds(m_service_time) / arrival.m_share;
  for (auto work = m_queue.begin(); work != m_queue.end(); ++work) {
    const double claim = ClaimOf(*work, now);
    if (work->m_account != arrival.m_account &&
        work->m_urgency == arrival.m_urgency && claim >= worst_claim) {
      worst = work;
      worst_claim = claim;
    }
  }
  if (worst == m_queue.end()) {
    return false;
  }
  changes.m_refused.push_back(worst->m_ticket);
  m_queue.erase(worst);
  ++m_stats.m_displaced;
  return true;
}

void SlotGate::Start(Ticket ticket, AccountId account, TimePoint now) {
  m_running[ticket] = RunningWork{.m_account = account, .m_started = now};
  ++m_stats.m_admitted;
}

void SlotGate::FillSlots(TimePoint now, GateChanges& changes) {
  while (HasFreeSlot() && !m_queue.empty()) {
    auto next = m_queue.begin();
    double least = UseOf(*next, now);
    for (auto work = next + 1; work != m_queue.end(); ++work) {
      const double use = UseOf(*work, now);
      if (work->m_urgency < next->m_urgency ||
          (work->m_urgency == next->m_urgency && use < least)) {
        next = work;
        least = use;
      }
    }
    Start(next->m_ticket, next->m_account, now);
    changes.m_started.push_back(next->m_ticket);
    m_queue.erase(next);
  }
}

void SlotGate::RefuseLate(TimePoint now, GateChanges& changes) {
  std::erase_if(m_queue, [&](const Waiting& work) {
    if (now + m_service_time <= work.m_deadline) {
      return false;
    }
    changes.m_refused.push_back(work.m_ticket);
    ++m_stats.m_expired;
    return true;
  });
}

}  // namespace sequoiastage
