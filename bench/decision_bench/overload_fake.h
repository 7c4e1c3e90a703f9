#ifndef SEQUOIASTAGE_BENCH_DECISION_BENCH_OVERLOAD_FAKE_H_
#define SEQUOIASTAGE_BENCH_DECISION_BENCH_OVERLOAD_FAKE_H_

#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <unordered_map>
#include <vector>

#include "overload_options.h"
#include "policies.h"
#include "sequoiastage/limits/retry_budget.h"
#include "sequoiastage/limits/slot_gate.h"

namespace sequoiastage {

/// Fake of one service under load, with exact load data of all gates, selection
/// by power of two choices and retries within a budget. `Gate`, `Budget` and
/// `Policy` are the production types or naive ones.
template <class Gate, class Budget, JudgingPolicy Policy>
class OverloadFake {
 public:
  OverloadFake(const OverloadOptions& options,
               Budget budget,
               Policy policy,
               TimePoint start)
      : m_options(options),
        m_budget(std::move(budget)),
        m_policy(std::move(policy)),
        m_random(options.m_seed),
        m_now(start),
        m_measured(start + options.m_warm_up),
        m_measured_end(m_measured + options.m_run_time),
        m_end(m_measured_end + options.m_deadline),
        m_gates(options.m_instances, Gate({.m_slots = options.m_slots})),
        m_attempts(options.m_instances) {}

  OverloadStats Run() {
    ScheduleArrival();
    Schedule(m_now + kTick, [this] { Tick(); });
    Schedule(m_now + kExchange, [this] { ExchangeSummaries(); });
    while (m_events.top().m_at < m_end) {
      const Event event = m_events.top();
      m_events.pop();
      m_now = event.m_at;
      event.m_action();
    }
    return std::move(m_stats);
  }

 private:
  static constexpr double kCriticalities[] = {0.1, 0.5, 1};
  static constexpr Duration kTick = std::chrono::milliseconds(100);
  static constexpr Duration kExchange = std::chrono::milliseconds(500);

  struct Event {
    TimePoint m_at;
    uint64_t m_order;
    std::function<void()> m_action;

    bool operator>(const Event& other) const {
      return std::pair(m_at, m_order) > std::pair(other.m_at, other.m_order);
    }
  };

  struct Replica {
    size_t m_instance;
    Ticket m_ticket;
  };

  struct Request {
    AccountId m_account;
    bool m_is_idempotent = false;
    bool m_is_answered = false;
    double m_criticality = 0;
    TimePoint m_arrived;
    TimePoint m_deadline;
    std::vector<bool> m_tried;
    std::vector<Replica> m_replicas;
  };

  using RequestPtr = std::shared_ptr<Request>;

  struct Attempt {
    RequestPtr m_request;
    RequestHandle m_handle;
    bool m_is_running = false;
  };

  double Uniform() {
    return std::uniform_real_distribution<double>(0, 1)(m_random);
  }

  void Schedule(TimePoint at, std::function<void()> action) {
    m_events.push(Event{at, m_next_order++, std::move(action)});
  }

  void ScheduleArrival() {
    std::exponential_distribution<double> gap_s(m_options.Capacity() *
                                                m_options.m_load);
    const Duration gap(1 + static_cast<int64_t>(gap_s(m_random) * 1e6));
    Schedule(m_now + gap, [this] { HandleArrival(); });
  }

  bool IsMeasured(const Request& request) const {
    return request.m_arrived >= m_measured &&
           request.m_arrived < m_measured_end;
  }

  void HandleArrival() {
    ScheduleArrival();
    const bool is_small = Uniform() < m_options.m_small_account_share;
    const auto request = std::make_shared<Request>();
    request->m_account = AccountId(is_small ? 1 : 2);
    request->m_is_idempotent = Uniform() < m_options.m_idempotent_share;
    request->m_criticality = kCriticalities[m_next_order % 3];
    request->m_arrived = m_now;
    request->m_deadline = m_now + m_options.m_deadline;
    request->m_tried.resize(m_options.m_instances, false);
    m_budget.OnRequest(m_now);
    if (IsMeasured(*request)) {
      ++m_stats.m_requests;
      m_stats.m_small_requests += is_small ? 1 : 0;
      m_stats.m_critical_requests += request->m_criticality == 1 ? 1 : 0;
    }
    Dispatch(request);
    Replicate(request);
  }

  size_t FreeSlots() const {
    size_t free = 0;
    for (size_t i = 0; i < m_gates.size(); ++i) {
      free += m_policy.IsRegular(i, m_now)
                  ? m_options.m_slots - m_gates[i].Running()
                  : 0;
    }
    return free;
  }

  // Sends further replicas at once, or a hedged request after a delay without a
  // response.
  void Replicate(const RequestPtr& request) {
    if (!request->m_is_idempotent) {
      return;
    }
    const ReplicationOptions& options = m_options.m_replication;
    if (options.m_mode == ReplicationMode::kHedged) {
      Schedule(m_now + options.m_hedge_delay, [this, request] {
        if (!request->m_is_answered && !request->m_replicas.empty()) {
          SendReplica(request);
        }
      });
      return;
    }
    const double free_share =
        static_cast<double>(FreeSlots()) /
        static_cast<double>(m_options.m_instances * m_options.m_slots);
    const uint32_t replicas =
        CountReplicas(options, request->m_criticality, free_share);
    for (uint32_t replica = 1; replica < replicas; ++replica) {
      SendReplica(request);
    }
  }

  // Uses only free slots of regular instances, except in mode kAlways. Hedged
  // requests are charged to the retry budget.
  void SendReplica(const RequestPtr& request) {
    const ReplicationMode mode = m_options.m_replication.m_mode;
    const std::optional<size_t> chosen =
        mode == ReplicationMode::kAlways
            ? ChooseByPreference(*request)
            : Choose(*request, [&](size_t i) {
                return m_policy.IsRegular(i, m_now) &&
                       m_gates[i].Running() < m_options.m_slots;
              });
    if (chosen &&
        (mode != ReplicationMode::kHedged || m_budget.TryRetry(m_now))) {
      Send(request, *chosen);
    }
  }

  size_t InstanceLoad(size_t i) const {
    return m_gates[i].Running() + m_gates[i].Queued();
  }

  // Returns the less loaded of two random instances that satisfy `allowed` and
  // that the request has not tried.
  template <class Allowed>
  std::optional<size_t> Choose(const Request& request, Allowed allowed) {
    std::vector<size_t> candidates;
    for (size_t i = 0; i < m_gates.size(); ++i) {
      if (!request.m_tried[i] && !m_policy.IsEjected(i, m_now) && allowed(i)) {
        candidates.push_back(i);
      }
    }
    if (candidates.empty()) {
      return std::nullopt;
    }
    const size_t a = candidates[m_random() % candidates.size()];
    const size_t b = candidates[m_random() % candidates.size()];
    return InstanceLoad(a) <= InstanceLoad(b) ? a : b;
  }

  std::optional<size_t> ChooseByPreference(const Request& request) {
    const auto is_regular = [&](size_t i) {
      return m_policy.IsRegular(i, m_now);
    };
    const auto has_slot = [&](size_t i) {
      return m_gates[i].Running() < m_options.m_slots;
    };
    const auto has_queue = [&](size_t i) {
      return m_gates[i].Queued() < m_gates[i].QueueLimit();
    };
    std::optional<size_t> chosen;
    if (request.m_is_idempotent) {
      chosen = Choose(request, [&](size_t i) {
        return !is_regular(i) && has_slot(i) &&
               m_policy.TryStartTrial(i, m_now);
      });
    }
    if (!chosen) {
      chosen = Choose(request,
                      [&](size_t i) { return is_regular(i) && has_slot(i); });
    }
    if (!chosen) {
      chosen = Choose(request,
                      [&](size_t i) { return is_regular(i) && has_queue(i); });
    }
    if (!chosen) {
      chosen = Choose(request, has_slot);
    }
    return chosen ? chosen : Choose(request, is_regular);
  }

  void Dispatch(const RequestPtr& request) {
    const std::optional<size_t> chosen = ChooseByPreference(*request);
    if (!chosen) {
      Refuse(*request);
      return;
    }
    Send(request, *chosen);
  }

  void Send(const RequestPtr& request, size_t i) {
    request->m_tried[i] = true;
    const AdmissionResult result =
        m_gates[i].Admit(m_now, request->m_deadline, request->m_account);
    if (result.m_decision == AdmissionDecision::kRefused) {
      Refuse(*request);
    } else {
      m_attempts[i][result.m_ticket] =
          Attempt{.m_request = request, .m_handle = RequestHandle()};
      request->m_replicas.push_back(Replica{i, result.m_ticket});
    }
    if (result.m_decision == AdmissionDecision::kAdmitted) {
      StartAttempt(i, result.m_ticket);
    }
    ApplyChanges(i, result.m_changes);
  }

  void ApplyChanges(size_t i, const GateChanges& changes) {
    for (const Ticket ticket : changes.m_started) {
      StartAttempt(i, ticket);
    }
    for (const Ticket ticket : changes.m_refused) {
      const RequestPtr request = RemoveAttempt(i, ticket).m_request;
      Refuse(*request);
    }
  }

  Attempt RemoveAttempt(size_t i, Ticket ticket) {
    Attempt attempt = std::move(m_attempts[i][ticket]);
    m_attempts[i].erase(ticket);
    std::erase_if(attempt.m_request->m_replicas, [&](const Replica& replica) {
      return replica.m_instance == i && replica.m_ticket == ticket;
    });
    return attempt;
  }

  // Records a refusal if no other replica of the request is in progress.
  void Refuse(const Request& request) {
    if (IsMeasured(request) && request.m_replicas.empty()) {
      m_stats.m_refused_seconds.push_back(SecondsSince(request.m_arrived));
    }
  }

  void CancelReplicas(Request& request) {
    const std::vector<Replica> replicas = std::move(request.m_replicas);
    request.m_replicas.clear();
    for (const Replica& replica : replicas) {
      const size_t i = replica.m_instance;
      const Attempt attempt = std::move(m_attempts[i][replica.m_ticket]);
      m_attempts[i].erase(replica.m_ticket);
      if (!attempt.m_is_running) {
        m_gates[i].CancelQueued(replica.m_ticket);
        continue;
      }
      m_policy.OnFinish(i, attempt.m_handle, m_now, Outcome::kCancelled);
      ApplyChanges(i, m_gates[i].OnFinish(replica.m_ticket, m_now, false));
    }
  }

  double SecondsSince(TimePoint time) const {
    return std::chrono::duration<double>(m_now - time).count();
  }

  std::optional<GrayFault> CurrentFault(size_t i) const {
    if (m_now < m_measured || i >= m_options.m_gray.size()) {
      return std::nullopt;
    }
    return m_options.m_gray[i];
  }

  void StartAttempt(size_t i, Ticket ticket) {
    Attempt& attempt = m_attempts[i][ticket];
    attempt.m_handle = m_policy.OnStart(i, m_now);
    attempt.m_is_running = true;
    m_stats.m_executions += IsMeasured(*attempt.m_request) ? 1 : 0;
    // Mean of the logarithm that yields the configured mean service time.
    const double sigma = m_options.m_latency_sigma;
    const double mu =
        std::log(static_cast<double>(m_options.m_service_time.count())) -
        sigma * sigma / 2;
    std::lognormal_distribution<double> distribution(mu, sigma);
    Duration latency(static_cast<int64_t>(distribution(m_random)));
    Outcome outcome = Uniform() < 0.002 ? Outcome::kError : Outcome::kSuccess;
    const std::optional<GrayFault> fault = CurrentFault(i);
    if (fault == GrayFault::kSlow) {
      latency *= 5;
    } else if (fault == GrayFault::kFastErrors) {
      latency = std::chrono::milliseconds(5);
      outcome = Outcome::kError;
    }
    if (fault == GrayFault::kHang || latency > m_options.m_deadline) {
      latency = m_options.m_deadline;
      outcome = Outcome::kTimeout;
    }
    Schedule(m_now + latency,
             [this, i, ticket, outcome] { FinishAttempt(i, ticket, outcome); });
  }

  void FinishAttempt(size_t i, Ticket ticket, Outcome outcome) {
    if (!m_attempts[i].contains(ticket)) {
      return;
    }
    const Attempt attempt = RemoveAttempt(i, ticket);
    m_policy.OnFinish(i, attempt.m_handle, m_now, outcome);
    ApplyChanges(i, m_gates[i].OnFinish(ticket, m_now, !IsFailure(outcome)));
    const RequestPtr& request = attempt.m_request;
    if (!IsFailure(outcome)) {
      HandleSuccess(*request);
      return;
    }
    if (request->m_replicas.empty() && request->m_is_idempotent &&
        m_now < request->m_deadline && m_budget.TryRetry(m_now)) {
      Dispatch(request);
    }
  }

  void HandleSuccess(Request& request) {
    request.m_is_answered = true;
    CancelReplicas(request);
    if (!IsMeasured(request) || m_now > request.m_deadline) {
      return;
    }
    ++m_stats.m_good;
    m_stats.m_small_good += request.m_account == AccountId(1) ? 1 : 0;
    m_stats.m_critical_good += request.m_criticality == 1 ? 1 : 0;
    m_stats.m_good_seconds.push_back(SecondsSince(request.m_arrived));
  }

  void Tick() {
    m_policy.OnTick(m_now);
    for (size_t i = 0; i < m_gates.size(); ++i) {
      ApplyChanges(i, m_gates[i].OnTick(m_now));
    }
    Schedule(m_now + kTick, [this] { Tick(); });
  }

  void ExchangeSummaries() {
    m_policy.OnExchange(m_now);
    Schedule(m_now + kExchange, [this] { ExchangeSummaries(); });
  }

  OverloadOptions m_options;
  Budget m_budget;
  Policy m_policy;
  std::mt19937_64 m_random;
  TimePoint m_now;
  TimePoint m_measured;
  TimePoint m_measured_end;
  TimePoint m_end;
  std::vector<Gate> m_gates;
  std::vector<std::unordered_map<Ticket, Attempt>> m_attempts;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
  uint64_t m_next_order = 0;
  OverloadStats m_stats;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_BENCH_DECISION_BENCH_OVERLOAD_FAKE_H_
