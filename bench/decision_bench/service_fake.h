#ifndef SEQUOIASTAGE_BENCH_DECISION_BENCH_SERVICE_FAKE_H_
#define SEQUOIASTAGE_BENCH_DECISION_BENCH_SERVICE_FAKE_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <queue>
#include <random>
#include <vector>

#include "policies.h"
#include "scenario.h"

namespace sequoiastage {

struct ServiceOptions {
  size_t m_instances = 12;
  size_t m_slots = 3;
  double m_requests_per_s = 60;
  Duration m_median_latency = std::chrono::milliseconds(150);
  double m_latency_sigma = 0.4;
  Duration m_deadline = std::chrono::seconds(5);
  double m_idempotent_share = 0.8;
  Duration m_tick = std::chrono::milliseconds(100);
  Duration m_exchange = std::chrono::milliseconds(500);
  Duration m_probe_interval = std::chrono::seconds(1);
  Duration m_probe_latency = std::chrono::milliseconds(25);
  Duration m_probe_timeout = std::chrono::seconds(1);
  /// Mean interval between the error bursts of an instance.
  Duration m_burst_interval = std::chrono::minutes(2);
  Duration m_burst_time = std::chrono::milliseconds(300);
  /// Mean interval between restarts of instances in the scenario kColdStart.
  Duration m_restart_interval = std::chrono::minutes(1);
  Scenario m_scenario = Scenario::kHealthy;
  Duration m_warm_up = std::chrono::seconds(60);
  Duration m_run_time = std::chrono::seconds(60);
  uint64_t m_seed = 1;
};

struct ServiceStats {
  /// Time from the fault until the failing instance first receives no regular
  /// requests, no requests at all (held or ejected), and until its first
  /// ejection. Empty if that did not occur.
  std::optional<Duration> m_stopped;
  std::optional<Duration> m_withheld;
  std::optional<Duration> m_ejected;
  /// Requests that the failing instance received during the fault.
  uint64_t m_reached = 0;
  /// Counts and instance-hours of healthy instances.
  uint64_t m_false_ejections = 0;
  uint64_t m_false_suspicions = 0;
  double m_healthy_hours = 0;
  uint64_t m_requests = 0;
  uint64_t m_refused = 0;
};

/// Fake of one service in virtual time: Poisson requests, instances with slots
/// and lognormal latencies, health probes, and one judging policy.
template <JudgingPolicy Policy>
class ServiceFake {
 public:
  ServiceFake(const ServiceOptions& options, Policy policy, TimePoint start)
      : m_options(options),
        m_policy(std::move(policy)),
        m_random(options.m_seed),
        m_now(start),
        m_fault(start + options.m_warm_up),
        m_end(m_fault + options.m_run_time),
        m_instances(options.m_instances) {}

  ServiceStats Run() {
    Schedule(NextArrival(), EventKind::kArrival);
    Schedule(m_now + m_options.m_tick, EventKind::kTick);
    Schedule(m_now + m_options.m_exchange, EventKind::kExchange);
    Schedule(m_now + m_options.m_probe_interval, EventKind::kProbe);
    if (m_options.m_scenario == Scenario::kBursts) {
      Schedule(RandomTimeAfter(m_options.m_burst_interval /
                               static_cast<int>(m_options.m_instances)),
               EventKind::kBurst);
    }
    if (m_options.m_scenario == Scenario::kColdStart) {
      Schedule(RandomTimeAfter(m_options.m_restart_interval),
               EventKind::kRestart);
    }
    while (m_events.top().m_at < m_end) {
      const Event event = m_events.top();
      m_events.pop();
      m_now = event.m_at;
      Handle(event);
      if (event.m_kind != EventKind::kArrival) {
        RecordTransitions();
      }
    }
    m_stats.m_healthy_hours =
        std::chrono::duration<double, std::ratio<3600>>(m_options.m_run_time)
            .count() *
        static_cast<double>(m_options.m_instances - (HasFault() ? 1 : 0));
    return m_stats;
  }

 private:
  enum class EventKind : uint8_t {
    kArrival,
    kFinish,
    kTick,
    kExchange,
    kProbe,
    kProbeResult,
    kBurst,
    kRestart,
  };

  struct Event {
    TimePoint m_at;
    uint64_t m_order;
    EventKind m_kind;
    size_t m_instance;
    uint64_t m_incarnation;
    RequestHandle m_handle;
    Outcome m_outcome;

    bool operator>(const Event& other) const {
      return std::pair(m_at, m_order) > std::pair(other.m_at, other.m_order);
    }
  };

  struct Instance {
    size_t m_in_flight = 0;
    uint64_t m_incarnation = 0;
    TimePoint m_burst_until;
    TimePoint m_started;
    bool m_has_restarted = false;
    bool m_was_regular = true;
    bool m_was_ejected = false;
    bool m_was_withheld = false;
  };

  bool HasFault() const { return m_options.m_scenario < Scenario::kHealthy; }

  double Uniform() {
    return std::uniform_real_distribution<double>(0, 1)(m_random);
  }

  TimePoint RandomTimeAfter(Duration mean) {
    std::exponential_distribution<double> distribution(
        1.0 / static_cast<double>(mean.count()));
    return m_now + Duration(1 + static_cast<int64_t>(distribution(m_random)));
  }

  TimePoint NextArrival() {
    return RandomTimeAfter(
        Duration(static_cast<int64_t>(1e6 / m_options.m_requests_per_s)));
  }

  void Schedule(TimePoint at, EventKind kind) {
    m_events.push(Event{.m_at = at,
                        .m_order = m_next_order++,
                        .m_kind = kind,
                        .m_instance = 0,
                        .m_incarnation = 0,
                        .m_handle = RequestHandle(),
                        .m_outcome = Outcome::kSuccess});
  }

  Condition CurrentCondition(size_t i) const {
    const Instance& instance = m_instances[i];
    const bool in_burst = m_now < instance.m_burst_until;
    if (m_options.m_scenario != Scenario::kColdStart) {
      return MakeCondition(m_options.m_scenario, i, m_now - m_fault, in_burst);
    }
    return instance.m_has_restarted
               ? MakeCondition(m_options.m_scenario, i,
                               m_now - instance.m_started, false)
               : Condition{};
  }

  void Handle(const Event& event) {
    switch (event.m_kind) {
      case EventKind::kArrival:
        HandleArrival();
        Schedule(NextArrival(), EventKind::kArrival);
        break;
      case EventKind::kFinish:
        HandleFinish(event);
        break;
      case EventKind::kTick:
        m_policy.OnTick(m_now);
        Schedule(m_now + m_options.m_tick, EventKind::kTick);
        break;
      case EventKind::kExchange:
        m_policy.OnExchange(m_now);
        Schedule(m_now + m_options.m_exchange, EventKind::kExchange);
        break;
      case EventKind::kProbe:
        SendProbes();
        Schedule(m_now + m_options.m_probe_interval, EventKind::kProbe);
        break;
      case EventKind::kProbeResult:
        if (event.m_incarnation ==
            m_instances[event.m_instance].m_incarnation) {
          m_policy.OnProbe(event.m_instance, m_now,
                           event.m_outcome == Outcome::kSuccess);
        }
        break;
      case EventKind::kBurst:
        m_instances[RandomInstance()].m_burst_until =
            m_now + m_options.m_burst_time;
        Schedule(RandomTimeAfter(m_options.m_burst_interval /
                                 static_cast<int>(m_options.m_instances)),
                 EventKind::kBurst);
        break;
      case EventKind::kRestart:
        Restart(RandomInstance());
        Schedule(RandomTimeAfter(m_options.m_restart_interval),
                 EventKind::kRestart);
        break;
    }
  }

  size_t RandomInstance() { return m_random() % m_instances.size(); }

  void Restart(size_t i) {
    Instance& instance = m_instances[i];
    instance.m_in_flight = 0;
    ++instance.m_incarnation;
    instance.m_started = m_now;
    instance.m_has_restarted = true;
    m_policy.Restart(i, m_now);
  }

  void SendProbes() {
    for (size_t i = 0; i < m_instances.size(); ++i) {
      const Condition condition = CurrentCondition(i);
      Event result{.m_at = m_now + m_options.m_probe_latency,
                   .m_order = m_next_order++,
                   .m_kind = EventKind::kProbeResult,
                   .m_instance = i,
                   .m_incarnation = m_instances[i].m_incarnation,
                   .m_handle = RequestHandle(),
                   .m_outcome = Outcome::kSuccess};
      if (condition.m_hangs) {
        result.m_at = m_now + m_options.m_probe_timeout;
        result.m_outcome = Outcome::kTimeout;
      } else if (Uniform() < condition.m_probe_failure_share) {
        result.m_outcome = Outcome::kError;
      }
      m_events.push(result);
    }
  }

  bool HasFreeSlot(size_t i) const {
    return m_instances[i].m_in_flight < m_options.m_slots &&
           !m_policy.IsEjected(i, m_now);
  }

  // Returns the less loaded of two random instances that have a free slot and
  // whose IsRegular() equals `regular`.
  std::optional<size_t> Choose(bool regular) {
    m_candidates.clear();
    for (size_t i = 0; i < m_instances.size(); ++i) {
      if (HasFreeSlot(i) && m_policy.IsRegular(i, m_now) == regular) {
        m_candidates.push_back(i);
      }
    }
    if (m_candidates.empty()) {
      return std::nullopt;
    }
    const size_t a = m_candidates[m_random() % m_candidates.size()];
    const size_t b = m_candidates[m_random() % m_candidates.size()];
    return m_instances[a].m_in_flight <= m_instances[b].m_in_flight ? a : b;
  }

  std::optional<size_t> ChooseForTrial() {
    for (size_t i = 0; i < m_instances.size(); ++i) {
      if (HasFreeSlot(i) && !m_policy.IsRegular(i, m_now) &&
          m_policy.TryStartTrial(i, m_now)) {
        return i;
      }
    }
    return std::nullopt;
  }

  void HandleArrival() {
    ++m_stats.m_requests;
    std::optional<size_t> chosen;
    if (Uniform() < m_options.m_idempotent_share) {
      chosen = ChooseForTrial();
    }
    if (!chosen) {
      chosen = Choose(true);
    }
    if (!chosen) {
      chosen = Choose(false);
    }
    if (!chosen) {
      ++m_stats.m_refused;
      return;
    }
    Dispatch(*chosen);
  }

  void Dispatch(size_t i) {
    Instance& instance = m_instances[i];
    const Condition condition = CurrentCondition(i);
    if (HasFault() && i == 0 && m_now >= m_fault && condition.IsFailing()) {
      ++m_stats.m_reached;
    }
    ++instance.m_in_flight;
    std::lognormal_distribution<double> distribution(
        std::log(static_cast<double>(m_options.m_median_latency.count())),
        m_options.m_latency_sigma);
    Duration latency(static_cast<int64_t>(distribution(m_random) *
                                          condition.m_latency_factor));
    Outcome outcome = Outcome::kSuccess;
    if (Uniform() < condition.m_shed_share) {
      outcome = Outcome::kShed;
      latency = std::chrono::milliseconds(1);
    } else if (Uniform() < condition.m_error_share) {
      outcome = condition.m_truncates ? Outcome::kIncomplete : Outcome::kError;
    }
    if (condition.m_hangs || latency > m_options.m_deadline) {
      outcome = Outcome::kTimeout;
      latency = m_options.m_deadline;
    }
    m_events.push(Event{.m_at = m_now + latency,
                        .m_order = m_next_order++,
                        .m_kind = EventKind::kFinish,
                        .m_instance = i,
                        .m_incarnation = instance.m_incarnation,
                        .m_handle = m_policy.OnStart(i, m_now),
                        .m_outcome = outcome});
  }

  void HandleFinish(const Event& event) {
    Instance& instance = m_instances[event.m_instance];
    if (event.m_incarnation != instance.m_incarnation) {
      return;
    }
    --instance.m_in_flight;
    m_policy.OnFinish(event.m_instance, event.m_handle, m_now, event.m_outcome);
  }

  // Records changes in the decisions of the policy.
  void RecordTransitions() {
    for (size_t i = 0; i < m_instances.size(); ++i) {
      Instance& instance = m_instances[i];
      const bool is_regular = m_policy.IsRegular(i, m_now);
      const bool is_ejected = m_policy.IsEjected(i, m_now);
      const bool newly_stopped = instance.m_was_regular && !is_regular;
      const bool newly_ejected = !instance.m_was_ejected && is_ejected;
      const bool is_withheld = is_ejected || m_policy.IsHeld(i, m_now);
      const bool newly_withheld = !instance.m_was_withheld && is_withheld;
      instance.m_was_withheld = is_withheld;
      instance.m_was_regular = is_regular;
      instance.m_was_ejected = is_ejected;
      if (m_now < m_fault) {
        continue;
      }
      if (HasFault() && i == 0) {
        RecordFirst(newly_stopped, m_stats.m_stopped);
        RecordFirst(newly_withheld, m_stats.m_withheld);
        RecordFirst(newly_ejected, m_stats.m_ejected);
        continue;
      }
      m_stats.m_false_suspicions += newly_stopped ? 1 : 0;
      m_stats.m_false_ejections += newly_ejected ? 1 : 0;
    }
  }

  // Records the time since the fault at the first occurrence.
  void RecordFirst(bool has_occurred, std::optional<Duration>& first) const {
    if (has_occurred && !first) {
      first = m_now - m_fault;
    }
  }

  ServiceOptions m_options;
  Policy m_policy;
  std::mt19937_64 m_random;
  TimePoint m_now;
  TimePoint m_fault;
  TimePoint m_end;
  std::vector<Instance> m_instances;
  std::vector<size_t> m_candidates;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
  uint64_t m_next_order = 0;
  ServiceStats m_stats;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_BENCH_DECISION_BENCH_SERVICE_FAKE_H_
