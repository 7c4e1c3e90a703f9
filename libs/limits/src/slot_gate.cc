#include "sequoiastage/limits/slot_gate.h"

#include <algorithm>
#include <tuple>

namespace sequoiastage {

namespace {

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

SlotGate::SlotGate(const SlotGateOptions& options)
    : m_options(options),
      m_shares(options.m_fair_shares),
      m_rate(options.m_rate_limiter),
      m_starvation(options.m_starvation),
      m_service_time(options.m_initial_service_time) {}

AdmissionResult SlotGate::Admit(TimePoint now,
                                TimePoint deadline,
                                AccountId account,
                                double weight,
                                uint8_t urgency,
                                bool is_call,
                                std::optional<Duration> max_wait) {
  if (m_protects_accounts && !is_call) {
    m_starvation.OnAsked(account, now);
    UpdateEqualShare(now);
  }
  AdmissionResult result{.m_decision = AdmissionDecision::kRefused,
                         .m_ticket = Ticket(m_next_ticket++),
                         .m_changes = {}};
  RefuseExpired(now, result.m_changes);
  FillSlots(now, result.m_changes);
  if (CanStart(now) && now < deadline) {
    Start(result.m_ticket, account, is_call, now);
    result.m_decision = AdmissionDecision::kAdmitted;
    return result;
  }
  QueuedWork arrival{.m_ticket = result.m_ticket,
                     .m_account = account,
                     .m_weight = weight > 0 ? weight : 1,
                     .m_urgency = urgency,
                     .m_is_call = is_call,
                     .m_deadline = deadline};
  if (max_wait && !is_call) {
    arrival.m_max_wait = max_wait;
    arrival.m_wait_until = now + *max_wait;
  }
  const Duration wait =
      ExpectedWait(now, RankOf(arrival, now), arrival.m_wait_until);
  if (now + wait + m_service_time > deadline ||
      !MakeRoom(arrival, wait, now, result.m_changes)) {
    ++m_stats.m_refused;
    return result;
  }
  m_queue.push_back(arrival);
  ++m_stats.m_queued;
  result.m_decision = AdmissionDecision::kQueued;
  return result;
}

void SlotGate::SetProtectsAccounts(bool protects) {
  if (!protects) {
    m_starvation = StarvationGuard(m_options.m_starvation);
  }
  m_protects_accounts = protects;
}

// An account that asks for much more than others is owed more than its fair
// share; it gets precedence only for a part of that share.
SlotGate::Rank SlotGate::RankOf(const QueuedWork& work, TimePoint now) const {
  const bool is_boosted =
      m_protects_accounts && !work.m_is_call &&
      m_starvation.IsStarved(work.m_account) &&
      WeightedUsage(work, now) <
          m_options.m_starvation.m_min_relative_service * m_equal_share;
  return RankOf(work.m_is_call, is_boosted ? uint8_t{0} : work.m_urgency);
}

void SlotGate::UpdateEqualShare(TimePoint now) {
  constexpr Duration kInterval = std::chrono::milliseconds(500);
  if (now - m_equal_share_at < kInterval) {
    return;
  }
  const TimePoint since = now - 2 * m_options.m_fair_shares.m_half_life;
  m_equal_share =
      m_shares.TotalUsage(now) / static_cast<double>(std::max<size_t>(
                                     1, m_starvation.AccountsSince(since)));
  m_equal_share_at = now;
}

Duration SlotGate::LongestBound(Duration at_least) const {
  for (const QueuedWork& work : m_queue) {
    at_least = std::max(at_least, work.m_max_wait.value_or(Duration{}));
  }
  return at_least;
}

bool SlotGate::HasRoom(const QueuedWork& arrival,
                       Duration expected_wait) const {
  if (arrival.m_max_wait && expected_wait > *arrival.m_max_wait) {
    return false;
  }
  return m_queue.size() < QueueLimit(LongestBound(arrival.m_max_wait.value_or(
                              m_options.m_max_wait)));
}

// Whether there is room in the queue for `arrival`. Calls take the place of new
// work above the limit; their own number is bounded by their deadlines and by
// m_max_queued.
bool SlotGate::MakeRoom(const QueuedWork& arrival,
                        Duration expected_wait,
                        TimePoint now,
                        GateChanges& changes) {
  if (HasRoom(arrival, expected_wait)) {
    return true;
  }
  if (!arrival.m_is_call) {
    // Otherwise the queue ahead is too long, which these do not shorten.
    const bool fits =
        !arrival.m_max_wait || expected_wait <= *arrival.m_max_wait;
    return (fits && (DisplaceLessUrgent(arrival, now, changes) ||
                     DisplaceLaterBound(arrival, now, changes))) ||
           DisplaceOtherAccount(arrival, now, changes);
  }
  const bool has_new_work = QueuedCalls() < m_queue.size();
  if (!has_new_work && m_queue.size() < m_options.m_max_queued) {
    return true;
  }
  return DisplaceLessUrgent(arrival, now, changes);
}

size_t SlotGate::QueuedCalls() const {
  return static_cast<size_t>(
      std::count_if(m_queue.begin(), m_queue.end(),
                    [](const QueuedWork& work) { return work.m_is_call; }));
}

GateChanges SlotGate::OnFinish(Ticket ticket,
                               TimePoint now,
                               bool is_service_time_sample) {
  GateChanges changes;
  const auto found = m_running.find(ticket);
  if (found == m_running.end()) {
    return changes;
  }
  const Duration slot_time = now - found->second.m_started;
  m_shares.Add(found->second.m_account, slot_time, now);
  m_running.erase(found);
  if (is_service_time_sample) {
    const double average = Seconds(m_service_time) +
                           m_options.m_service_time_weight *
                               (Seconds(slot_time) - Seconds(m_service_time));
    m_service_time = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(average));
  }
  RefuseExpired(now, changes);
  FillSlots(now, changes);
  return changes;
}

bool SlotGate::CancelQueued(Ticket ticket) {
  const bool is_found =
      std::erase_if(m_queue, [ticket](const QueuedWork& work) {
        return work.m_ticket == ticket;
      }) > 0;
  m_stats.m_cancelled += is_found ? 1 : 0;
  return is_found;
}

GateChanges SlotGate::OnTick(TimePoint now) {
  GateChanges changes;
  RefuseExpired(now, changes);
  FillSlots(now, changes);
  return changes;
}

std::optional<Duration> SlotGate::TimeToTick(TimePoint now) const {
  if (m_queue.empty()) {
    return std::nullopt;
  }
  std::optional<Duration> time;
  if (HasFreeSlot()) {
    time = m_rate.WaitTime(now);
  }
  for (const QueuedWork& work : m_queue) {
    if (work.m_max_wait) {
      const Duration left = std::max(Duration{}, work.m_wait_until - now);
      time = std::min(time.value_or(left), left);
    }
  }
  return time;
}

GateChanges SlotGate::SetRate(std::optional<RequestRate> rate, TimePoint now) {
  m_rate.SetRate(rate, now);
  GateChanges changes = OnTick(now);
  while (m_queue.size() > QueueLimit(LongestBound(m_options.m_max_wait))) {
    changes.m_refused.push_back(m_queue.back().m_ticket);
    m_queue.pop_back();
    ++m_stats.m_refused;
  }
  return changes;
}

GateChanges SlotGate::Resize(uint32_t slots, TimePoint now) {
  GateChanges changes;
  m_options.m_slots = slots;
  RefuseExpired(now, changes);
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

// The number of requests that the slots process within `max_wait`, at least one
// per slot, at most m_max_queued. With a rate limit at most what the rate
// allows in that time, at least one.
size_t SlotGate::QueueLimit(Duration max_wait) const {
  const double rounds =
      Seconds(max_wait) / std::max(1e-6, Seconds(m_service_time));
  double limit = static_cast<double>(m_options.m_slots) * std::max(1.0, rounds);
  if (m_rate.Rate()) {
    limit = std::min(limit,
                     std::max(1.0, m_rate.Rate()->Get() * Seconds(max_wait)));
  }
  return std::min(static_cast<size_t>(limit),
                  static_cast<size_t>(m_options.m_max_queued));
}

Duration SlotGate::ExpectedWait(TimePoint now,
                                uint8_t urgency,
                                bool is_call) const {
  return ExpectedWait(now, RankOf(is_call, urgency), TimePoint::max());
}

Duration SlotGate::ExpectedWait(TimePoint now,
                                Rank rank,
                                TimePoint wait_until) const {
  if (m_options.m_slots == 0) {
    return Duration::max() / 4;
  }
  const auto queued_ahead = std::count_if(
      m_queue.begin(), m_queue.end(), [&](const QueuedWork& work) {
        return std::pair(RankOf(work, now), work.m_wait_until) <=
               std::pair(rank, wait_until);
      });
  const Duration slot_wait = HasFreeSlot()
                                 ? Duration{}
                                 : m_service_time * (queued_ahead + 1) /
                                       static_cast<int64_t>(m_options.m_slots);
  return std::max(slot_wait,
                  m_rate.WaitTime(now, static_cast<size_t>(queued_ahead)));
}

// Recent slot usage of the account in seconds, including its running requests,
// relative to its weight.
double SlotGate::WeightedUsage(const QueuedWork& work, TimePoint now) const {
  double usage = m_shares.Usage(work.m_account, now);
  for (const auto& [ticket, running] : m_running) {
    if (running.m_account == work.m_account) {
      usage += Seconds(std::max(now - running.m_started, m_service_time));
    }
  }
  return usage / work.m_weight;
}

// WeightedUsage() plus the expected usage of the account's queued requests.
double SlotGate::WeightedDemand(const QueuedWork& work, TimePoint now) const {
  const auto queued = std::count_if(m_queue.begin(), m_queue.end(),
                                    [&](const QueuedWork& other) {
                                      return other.m_account == work.m_account;
                                    });
  return WeightedUsage(work, now) +
         static_cast<double>(queued) * Seconds(m_service_time) / work.m_weight;
}

// Displaces the newest queued request of the last rank, if `arrival` goes
// before it.
bool SlotGate::DisplaceLessUrgent(const QueuedWork& arrival,
                                  TimePoint now,
                                  GateChanges& changes) {
  const auto victim =
      std::max_element(m_queue.begin(), m_queue.end(),
                       [&](const QueuedWork& a, const QueuedWork& b) {
                         return RankOf(a, now) <= RankOf(b, now);
                       });
  if (victim == m_queue.end() || RankOf(*victim, now) <= RankOf(arrival, now)) {
    return false;
  }
  changes.m_refused.push_back(victim->m_ticket);
  m_queue.erase(victim);
  ++m_stats.m_displaced;
  return true;
}

// Displaces the newest queued request of the same account and rank whose bound
// ends last, if that is after the arrival's. Requests without a bound are not
// displaced.
bool SlotGate::DisplaceLaterBound(const QueuedWork& arrival,
                                  TimePoint now,
                                  GateChanges& changes) {
  auto victim = m_queue.end();
  TimePoint latest = arrival.m_wait_until;
  for (auto work = m_queue.begin(); work != m_queue.end(); ++work) {
    if (work->m_max_wait && work->m_wait_until > arrival.m_wait_until &&
        work->m_wait_until >= latest && work->m_account == arrival.m_account &&
        RankOf(*work, now) == RankOf(arrival, now)) {
      victim = work;
      latest = work->m_wait_until;
    }
  }
  if (victim == m_queue.end()) {
    return false;
  }
  changes.m_refused.push_back(victim->m_ticket);
  m_queue.erase(victim);
  ++m_stats.m_displaced;
  return true;
}

// Displaces the newest queued request of the account with the greatest weighted
// demand among the other accounts at the arrival's rank, if that demand is
// at least the arrival's.
bool SlotGate::DisplaceOtherAccount(const QueuedWork& arrival,
                                    TimePoint now,
                                    GateChanges& changes) {
  auto victim = m_queue.end();
  double max_demand =
      WeightedDemand(arrival, now) + Seconds(m_service_time) / arrival.m_weight;
  for (auto work = m_queue.begin(); work != m_queue.end(); ++work) {
    const double demand = WeightedDemand(*work, now);
    if (work->m_account != arrival.m_account &&
        RankOf(*work, now) == RankOf(arrival, now) && demand >= max_demand) {
      victim = work;
      max_demand = demand;
    }
  }
  if (victim == m_queue.end()) {
    return false;
  }
  changes.m_refused.push_back(victim->m_ticket);
  m_queue.erase(victim);
  ++m_stats.m_displaced;
  return true;
}

void SlotGate::Start(Ticket ticket,
                     AccountId account,
                     bool is_call,
                     TimePoint now) {
  if (m_protects_accounts && !is_call) {
    m_starvation.OnServed(account, now);
  }
  m_running[ticket] = RunningWork{.m_account = account, .m_started = now};
  m_rate.OnStart(now);
  ++m_stats.m_admitted;
}

void SlotGate::FillSlots(TimePoint now, GateChanges& changes) {
  while (CanStart(now) && !m_queue.empty()) {
    auto next = m_queue.begin();
    Rank next_rank = RankOf(*next, now);
    double least_usage = WeightedUsage(*next, now);
    for (auto work = next + 1; work != m_queue.end(); ++work) {
      const double usage = WeightedUsage(*work, now);
      const Rank rank = RankOf(*work, now);
      if (std::tuple(rank, usage, work->m_wait_until) <
          std::tuple(next_rank, least_usage, next->m_wait_until)) {
        next = work;
        next_rank = rank;
        least_usage = usage;
      }
    }
    m_stats.m_boosted +=
        next_rank == RankOf(next->m_is_call, next->m_urgency) ? 0 : 1;
    Start(next->m_ticket, next->m_account, next->m_is_call, now);
    changes.m_started.push_back(next->m_ticket);
    m_queue.erase(next);
  }
}

void SlotGate::RefuseExpired(TimePoint now, GateChanges& changes) {
  std::erase_if(m_queue, [&](const QueuedWork& work) {
    if (now + m_service_time <= work.m_deadline && now < work.m_wait_until) {
      return false;
    }
    changes.m_refused.push_back(work.m_ticket);
    ++m_stats.m_expired;
    return true;
  });
}

}  // namespace sequoiastage
