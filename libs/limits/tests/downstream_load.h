#ifndef SEQUOIASTAGE_LIMITS_TESTS_DOWNSTREAM_LOAD_H_
#define SEQUOIASTAGE_LIMITS_TESTS_DOWNSTREAM_LOAD_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <unordered_map>
#include <utility>
#include <vector>

#include "sequoiastage/limits/downstream_gate.h"
#include "sequoiastage/limits/slot_gate.h"

namespace sequoiastage {

// How requests of the first service are admitted, and how their calls are
// queued at the second one.
enum class DownstreamPolicy : uint8_t {
  // Every request starts; its calls queue like new requests.
  kNaive,
  kDownstreamGate,
  // Requests start at the rate that the second service can take.
  kOracle,
};

struct DownstreamLoad {
  uint32_t m_hosts = 20;
  uint32_t m_slots_per_host = 10;
  uint32_t m_callees = 4;
  uint32_t m_slots_per_callee = 3;
  Duration m_callee_time = std::chrono::milliseconds(100);
  // Work of a request before its first call, and after the last one.
  Duration m_work_before = std::chrono::milliseconds(400);
  Duration m_work_after = std::chrono::milliseconds(50);
  uint32_t m_calls = 1;
  Duration m_timeout = std::chrono::seconds(2);
  // Demand relative to the capacity of the called service.
  double m_overload = 1.5;
  Duration m_run_time = std::chrono::seconds(120);
  // Time at which the called service gets all its capacity; before, it has
  // m_early_capacity of its instances.
  Duration m_restored_at{};
  double m_early_capacity = 1;
  DownstreamGateOptions m_gate{};
};

struct DownstreamOutcome {
  double m_begun = 0;
  // Not begun because no host admitted them.
  double m_rejected = 0;
  double m_lost = 0;
  double m_good = 0;
  // Successful requests in the last ten seconds.
  double m_good_at_end = 0;
  // Capacity of the called service over the run, in requests.
  double m_capacity = 0;

  double LostPart() const { return m_lost / std::max(1.0, m_begun); }
  double GoodPart() const { return m_good / m_capacity; }
};

// Two services: each request of the first one makes calls to the second one.
// Replays the load on real gates; time is simulated.
class DownstreamSimulation {
 public:
  DownstreamSimulation(const DownstreamLoad& load,
                       DownstreamPolicy policy,
                       uint64_t seed)
      : m_load(load), m_policy(policy), m_random(seed) {
    for (uint32_t i = 0; i < load.m_hosts; ++i) {
      DownstreamGateOptions gate = load.m_gate;
      gate.m_seed = static_cast<uint32_t>(seed * load.m_hosts + i + 1);
      m_hosts.push_back(std::make_unique<Host>(
          SlotGateOptions{.m_slots = load.m_slots_per_host}, gate));
    }
    for (uint32_t i = 0; i < load.m_callees; ++i) {
      m_callees.push_back(std::make_unique<Station>(
          SlotGateOptions{.m_slots = load.m_slots_per_callee,
                          .m_max_wait = std::chrono::milliseconds(400)}));
    }
  }

  DownstreamOutcome Run() {
    const double calls_per_s = m_load.m_callees * m_load.m_slots_per_callee /
                               Seconds(m_load.m_callee_time);
    m_requests_per_s = calls_per_s / m_load.m_calls;
    m_outcome.m_capacity = m_requests_per_s * Seconds(m_load.m_run_time);
    ScheduleArrival();
    while (!m_events.empty() &&
           m_events.begin()->first < kStart + m_load.m_run_time) {
      auto event = m_events.extract(m_events.begin());
      m_now = event.key();
      event.mapped()();
    }
    return m_outcome;
  }

 private:
  static constexpr TimePoint kStart{std::chrono::hours(1)};
  static constexpr ServiceId kCallee{7};
  static constexpr std::string_view kRoute = "route";
  static constexpr EntryRequest kEntry{.m_route = kRoute};

  // A gate with the continuations of the requests that it queues.
  struct Station {
    explicit Station(const SlotGateOptions& options) : m_gate(options) {}

    SlotGate m_gate;
    std::unordered_map<
        Ticket,
        std::pair<std::function<void(Ticket)>, std::function<void()>>>
        m_waiting;
  };

  struct Host : Station {
    Host(const SlotGateOptions& options, const DownstreamGateOptions& gate)
        : Station(options), m_downstream(gate) {}

    DownstreamGate m_downstream;
  };

  struct Request {
    Host* m_host = nullptr;
    Ticket m_ticket;
    TimePoint m_deadline;
    uint32_t m_calls_left = 0;
  };
  using RequestPtr = std::shared_ptr<Request>;

  struct CallState {
    RequestPtr m_request;
    TimePoint m_sent_at;
    uint32_t m_offers = 0;
  };
  using CallPtr = std::shared_ptr<CallState>;

  static double Seconds(Duration duration) {
    return std::chrono::duration<double>(duration).count();
  }

  void At(TimePoint time, std::function<void()> action) {
    m_events.emplace(time, std::move(action));
  }

  // Service times vary by half around their mean.
  Duration Vary(Duration mean) {
    std::uniform_real_distribution<double> factor(0.5, 1.5);
    return Duration(static_cast<int64_t>(static_cast<double>(mean.count()) *
                                         factor(m_random)));
  }

  void Apply(Station& station, const GateChanges& changes) {
    for (const Ticket ticket : changes.m_refused) {
      const auto entry = station.m_waiting.extract(ticket);
      entry.mapped().second();
    }
    for (const Ticket ticket : changes.m_started) {
      const auto entry = station.m_waiting.extract(ticket);
      entry.mapped().first(ticket);
    }
  }

  void Offer(Station& station,
             TimePoint deadline,
             bool is_call,
             const std::function<void(Ticket)>& start,
             const std::function<void()>& refuse) {
    const AdmissionResult result =
        station.m_gate.Admit(m_now, deadline, AccountId(0), 1, 0,
                             is_call && m_policy != DownstreamPolicy::kNaive);
    // Before the changes are applied: they may refuse this request at once.
    if (result.m_decision == AdmissionDecision::kQueued) {
      station.m_waiting[result.m_ticket] = {start, refuse};
    }
    Apply(station, result.m_changes);
    if (result.m_decision == AdmissionDecision::kAdmitted) {
      start(result.m_ticket);
    } else if (result.m_decision == AdmissionDecision::kRefused) {
      refuse();
    }
  }

  void ScheduleArrival() {
    std::exponential_distribution<double> gap_s(m_requests_per_s *
                                                m_load.m_overload);
    At(m_now + Duration(static_cast<int64_t>(gap_s(m_random) * 1e6)), [this] {
      ScheduleArrival();
      OnArrival();
    });
  }

  void OnArrival() {
    if (m_policy == DownstreamPolicy::kOracle) {
      m_tokens = std::min(5.0, m_tokens + Seconds(m_now - m_tokens_at) * 0.98 *
                                              m_requests_per_s);
      m_tokens_at = m_now;
      if (m_tokens < 1) {
        return;
      }
      m_tokens -= 1;
    }
    // As an ingress does: a few instances in turn.
    constexpr int kMaxOffers = 3;
    for (int i = 0; i < kMaxOffers; ++i) {
      Host& host = *m_hosts[m_random() % m_hosts.size()];
      if (m_policy == DownstreamPolicy::kDownstreamGate &&
          host.m_downstream.TimeToStart(kEntry, m_now)) {
        continue;
      }
      auto request = std::make_shared<Request>();
      request->m_host = &host;
      request->m_deadline = m_now + m_load.m_timeout;
      request->m_calls_left = m_load.m_calls;
      host.m_downstream.OnStart(kEntry, m_now);
      Offer(
          host, request->m_deadline, false,
          [this, request](Ticket ticket) { Begin(request, ticket); }, [] {});
      return;
    }
    m_outcome.m_rejected += 1;
  }

  void Begin(const RequestPtr& request, Ticket ticket) {
    m_outcome.m_begun += 1;
    request->m_ticket = ticket;
    At(m_now + Vary(m_load.m_work_before), [this, request] { Call(request); });
  }

  void Call(const RequestPtr& request) {
    if (request->m_calls_left == 0) {
      At(m_now + Vary(m_load.m_work_after),
         [this, request] { End(request, m_now <= request->m_deadline); });
      return;
    }
    --request->m_calls_left;
    OfferCall(std::make_shared<CallState>(
        CallState{.m_request = request, .m_sent_at = m_now}));
  }

  void OfferCall(const CallPtr& call) {
    ++call->m_offers;
    const auto usable = static_cast<size_t>(std::max(
        1.0,
        m_now - kStart < m_load.m_restored_at
            ? m_load.m_early_capacity * static_cast<double>(m_callees.size())
            : static_cast<double>(m_callees.size())));
    // As with load reports that are a little late: the better of two.
    Station* const one = m_callees[m_random() % usable].get();
    Station* const other = m_callees[m_random() % usable].get();
    Station& callee = other->m_gate.Queued() + other->m_gate.Running() <
                              one->m_gate.Queued() + one->m_gate.Running()
                          ? *other
                          : *one;
    Offer(
        callee, call->m_request->m_deadline, true,
        [this, call, &callee](Ticket ticket) { Serve(call, callee, ticket); },
        [this, call] { OnCallRefused(call); });
  }

  void OnCallRefused(const CallPtr& call) {
    constexpr uint32_t kMaxOffersPerRound = 3;
    constexpr Duration kPause = std::chrono::milliseconds(50);
    const RequestPtr& request = call->m_request;
    if (call->m_offers % kMaxOffersPerRound != 0) {
      OfferCall(call);
      return;
    }
    if (m_policy != DownstreamPolicy::kNaive &&
        m_now + kPause + m_load.m_callee_time < request->m_deadline) {
      At(m_now + kPause, [this, call] { OfferCall(call); });
      return;
    }
    request->m_host->m_downstream.OnCall(
        kRoute, kCallee,
        {.m_is_refused = true,
         .m_waited = m_now - call->m_sent_at,
         .m_available = request->m_deadline - call->m_sent_at},
        m_now);
    End(request, false);
  }

  void Serve(const CallPtr& call, Station& callee, Ticket ticket) {
    const RequestPtr request = call->m_request;
    const CallSample sample{
        .m_waited = m_now - call->m_sent_at,
        .m_available = request->m_deadline - call->m_sent_at};
    At(m_now + Vary(m_load.m_callee_time),
       [this, request, &callee, ticket, sample] {
         Apply(callee, callee.m_gate.OnFinish(ticket, m_now));
         request->m_host->m_downstream.OnCall(kRoute, kCallee, sample, m_now);
         Call(request);
       });
  }

  void End(const RequestPtr& request, bool is_good) {
    m_outcome.m_lost += is_good ? 0 : 1;
    m_outcome.m_good += is_good ? 1 : 0;
    if (m_now - kStart >= m_load.m_run_time - std::chrono::seconds(10)) {
      m_outcome.m_good_at_end += is_good ? 1 : 0;
    }
    Apply(*request->m_host,
          request->m_host->m_gate.OnFinish(request->m_ticket, m_now));
  }

  DownstreamLoad m_load;
  DownstreamPolicy m_policy;
  std::mt19937_64 m_random;
  double m_requests_per_s = 0;
  double m_tokens = 0;
  TimePoint m_tokens_at = kStart;
  TimePoint m_now = kStart;
  std::multimap<TimePoint, std::function<void()>> m_events;
  std::vector<std::unique_ptr<Host>> m_hosts;
  std::vector<std::unique_ptr<Station>> m_callees;
  DownstreamOutcome m_outcome;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_LIMITS_TESTS_DOWNSTREAM_LOAD_H_
