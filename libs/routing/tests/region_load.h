#ifndef SEQUOIASTAGE_ROUTING_TESTS_REGION_LOAD_H_
#define SEQUOIASTAGE_ROUTING_TESTS_REGION_LOAD_H_

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <unordered_map>
#include <vector>

#include "sequoiastage/limits/slot_gate.h"
#include "sequoiastage/routing/placement_traffic.h"

namespace sequoiastage {

// A kind of requests for the service.
struct RegionWork {
  // Part of all requests.
  double m_share = 0;
  double m_bytes = 0;
  double m_max_bytes = 0;
  Duration m_time{};
  Duration m_latency_objective{};
  Duration m_timeout{};
  uint8_t m_urgency = 1;
  bool m_is_call = false;
};

struct RegionLoad {
  uint32_t m_hosts = 78;
  std::array<uint32_t, 2> m_instances{4, 6};
  uint32_t m_slots = 15;
  // Average demand relative to the capacity of all instances, half in each
  // region. With three in ten on hold, the demand of the smaller region peaks
  // at 1.7 times what it can serve.
  double m_demand = 0.6;
  double m_wave = 0.55;
  Duration m_wave_period = std::chrono::seconds(13);
  uint32_t m_held_instances = 3;
  Duration m_hold_time = std::chrono::seconds(9);
  Duration m_remote_round_trip = std::chrono::milliseconds(17);
  Duration m_run_time = std::chrono::seconds(120);
  // Downloads, reads and calls of running requests. The shares and m_demand
  // were chosen so that the present placement sends as large parts of each kind
  // to the other region as were observed.
  std::vector<RegionWork> m_work{
      {.m_share = 0.03,
       .m_bytes = 90e3,
       .m_max_bytes = 540e3,
       .m_time = std::chrono::milliseconds(850),
       .m_latency_objective = std::chrono::seconds(4),
       .m_timeout = std::chrono::seconds(10),
       .m_urgency = 2},
      {.m_share = 0.25,
       .m_bytes = 1.5e3,
       .m_max_bytes = 1.5e3,
       .m_time = std::chrono::milliseconds(430),
       .m_latency_objective = std::chrono::seconds(2),
       .m_timeout = std::chrono::seconds(5)},
      {.m_share = 0.72,
       .m_bytes = 1e3,
       .m_max_bytes = 1e3,
       .m_time = std::chrono::milliseconds(320),
       .m_latency_objective = std::chrono::seconds(2),
       .m_timeout = std::chrono::seconds(5),
       .m_is_call = true}};
};

struct RegionOutcome {
  double m_asked = 0;
  double m_served = 0;
  // Served within the latency objective.
  double m_in_time = 0;
  // Served in the other region.
  double m_crossed = 0;
  double m_crossed_bytes = 0;
  // Of the crossing ones, moved to make room.
  double m_moved = 0;
  // Offers to instances of the other region for a heavy request that were on
  // hold or nearly full according to their latest report.
  double m_wrong_offers = 0;
};

// One service in two regions. Each host has an ingress with its own view of the
// load, and each instance a real gate. Failed requests are not repeated. Time
// is simulated.
class RegionSimulation {
 public:
  RegionSimulation(const RegionLoad& load, bool considers_bytes, uint64_t seed)
      : m_load(load),
        m_considers_bytes(considers_bytes),
        m_random(seed),
        m_load_random(seed) {
    for (size_t region = 0; region < load.m_instances.size(); ++region) {
      for (uint32_t i = 0; i < load.m_instances[region]; ++i) {
        m_instances.push_back(std::make_unique<Instance>(
            region, SlotGateOptions{.m_slots = load.m_slots,
                                    .m_max_wait = kMaxQueueWait}));
      }
    }
    m_views.assign(load.m_hosts, std::vector<View>(m_instances.size()));
    m_outcomes.resize(load.m_work.size());
  }

  // Outcomes by kind of work.
  std::vector<RegionOutcome> Run() {
    double work_s = 0;
    for (const RegionWork& work : m_load.m_work) {
      work_s += work.m_share * Seconds(work.m_time);
    }
    m_arrivals_per_s = m_load.m_demand * m_load.m_slots *
                       static_cast<double>(m_instances.size()) / work_s /
                       static_cast<double>(m_load.m_instances.size());
    ChangeHolds();
    Tick();
    ScheduleArrival(0);
    ScheduleArrival(1);
    while (m_events.begin()->first < kStart + m_load.m_run_time) {
      auto event = m_events.extract(m_events.begin());
      m_now = event.key();
      event.mapped()();
    }
    return m_outcomes;
  }

 private:
  static constexpr TimePoint kStart{std::chrono::hours(1)};
  static constexpr Duration kMaxQueueWait = std::chrono::milliseconds(400);
  static constexpr Duration kReportedHold = std::chrono::milliseconds(500);
  static constexpr Duration kLoadValidity = std::chrono::milliseconds(150);
  static constexpr Duration kCallPause = std::chrono::milliseconds(50);
  static constexpr Duration kMinCallTime = std::chrono::milliseconds(20);

  struct Request {
    size_t m_kind = 0;
    size_t m_region = 0;
    size_t m_host = 0;
    double m_bytes = 0;
    Duration m_time{};
    bool m_is_moved = false;
    Placement m_placement;
    TimePoint m_received;
    TimePoint m_deadline;
  };
  using RequestPtr = std::shared_ptr<Request>;

  struct Instance {
    Instance(size_t region, const SlotGateOptions& options)
        : m_region(region), m_gate(options) {}

    size_t m_region;
    SlotGate m_gate;
    bool m_is_held = false;
    std::unordered_map<Ticket, RequestPtr> m_waiting;
  };

  // What one ingress knows of an instance; as TargetTable in libs/mesh.
  struct View {
    uint32_t m_used = 0;
    Duration m_hold{};
    std::optional<TimePoint> m_reported_at;
    uint32_t m_in_flight = 0;
  };

  static double Seconds(Duration duration) {
    return std::chrono::duration<double>(duration).count();
  }

  static Duration FromSeconds(double seconds) {
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(seconds));
  }

  void After(Duration delay, std::function<void()> action) {
    m_events.emplace(m_now + delay, std::move(action));
  }

  void ChangeHolds() {
    std::vector<Instance*> order;
    for (const auto& instance : m_instances) {
      instance->m_is_held = false;
      order.push_back(instance.get());
    }
    std::shuffle(order.begin(), order.end(), m_load_random);
    for (uint32_t i = 0; i < m_load.m_held_instances; ++i) {
      order[i]->m_is_held = true;
    }
    After(m_load.m_hold_time, [this] { ChangeHolds(); });
  }

  void Tick() {
    for (size_t i = 0; i < m_instances.size(); ++i) {
      Apply(i, m_instances[i]->m_gate.OnTick(m_now));
    }
    After(std::chrono::milliseconds(20), [this] { Tick(); });
  }

  // The demand of the two regions is in opposite phase.
  void ScheduleArrival(size_t region) {
    const double phase =
        2 * M_PI * Seconds(m_now - kStart) / Seconds(m_load.m_wave_period);
    const double wave = m_load.m_wave * std::sin(phase + M_PI * region);
    std::exponential_distribution<double> gap(m_arrivals_per_s * (1 + wave));
    After(FromSeconds(gap(m_load_random)), [this, region] {
      ScheduleArrival(region);
      Arrive(region);
    });
  }

  void Arrive(size_t region) {
    std::vector<double> shares;
    for (const RegionWork& work : m_load.m_work) {
      shares.push_back(work.m_share);
    }
    auto request = std::make_shared<Request>();
    request->m_kind = std::discrete_distribution<size_t>(
        shares.begin(), shares.end())(m_load_random);
    const RegionWork& work = m_load.m_work[request->m_kind];
    request->m_region = region;
    const size_t half = m_load.m_hosts / 2;
    request->m_host = region * half + m_load_random() % half;
    request->m_bytes =
        std::min(work.m_max_bytes, work.m_bytes == work.m_max_bytes
                                       ? work.m_bytes
                                       : std::exponential_distribution<double>(
                                             1 / work.m_bytes)(m_load_random));
    std::uniform_real_distribution<double> factor(0.5, 1.5);
    request->m_time = FromSeconds(Seconds(work.m_time) * factor(m_load_random));
    PlacementOptions options{.m_spreads_queues = true};
    if (m_considers_bytes) {
      ApplyTraffic({.m_bytes = static_cast<size_t>(work.m_bytes),
                    .m_latency_objective = work.m_latency_objective,
                    .m_shares_service_with_heavy = true},
                   options);
    } else if (IsHeavy(*request)) {
      // Rule for routes with large bodies.
      options.m_max_local_wait = work.m_latency_objective / 8;
    }
    request->m_placement = Placement(options);
    request->m_received = m_now;
    request->m_deadline = m_now + work.m_timeout;
    m_outcomes[request->m_kind].m_asked += 1;
    Offer(request);
  }

  bool IsHeavy(const Request& request) const {
    return m_load.m_work[request.m_kind].m_bytes >= kHeavyBytes;
  }

  std::vector<PlacementCandidate> Candidates(const Request& request) const {
    std::vector<PlacementCandidate> candidates;
    for (size_t i = 0; i < m_instances.size(); ++i) {
      const View& view = m_views[request.m_host][i];
      const std::optional<Duration> age =
          view.m_reported_at ? std::optional(m_now - *view.m_reported_at)
                             : std::nullopt;
      const uint32_t reported = age && *age < kLoadValidity ? view.m_used : 0;
      const Duration hold =
          age ? std::max(Duration{}, view.m_hold - *age) : Duration{};
      candidates.push_back(
          {.m_key = CandidateKey(i),
           .m_distance = m_instances[i]->m_region == request.m_region
                             ? Distance::kRegion
                             : Distance::kRemote,
           .m_hold_remaining = hold,
           .m_needs_trial = view.m_hold > Duration{} && hold == Duration{},
           .m_used_slots = std::max(reported, view.m_in_flight),
           .m_slots = m_load.m_slots,
           .m_reported_slots = view.m_used,
           .m_report_age = age});
    }
    return candidates;
  }

  void Report(const Request& request, size_t target) {
    const Instance& instance = *m_instances[target];
    View& view = m_views[request.m_host][target];
    view.m_used = static_cast<uint32_t>(instance.m_gate.Running() +
                                        instance.m_gate.Queued());
    view.m_hold = instance.m_is_held ? kReportedHold : Duration{};
    view.m_reported_at = m_now;
  }

  Duration RoundTrip(const Request& request, size_t target) const {
    return m_instances[target]->m_region == request.m_region
               ? std::chrono::milliseconds(1)
               : m_load.m_remote_round_trip;
  }

  void Offer(const RequestPtr& request) {
    const auto candidates = Candidates(*request);
    const auto step = request->m_placement.Next(candidates, m_random, true,
                                                request->m_deadline - m_now);
    if (!step) {
      Pause(request);
      return;
    }
    const size_t target = step->m_key.Get();
    const PlacementCandidate& chosen = candidates[target];
    const bool is_recent =
        chosen.m_report_age && *chosen.m_report_age <= std::chrono::seconds(2);
    if (IsHeavy(*request) && chosen.m_distance == Distance::kRemote &&
        (chosen.m_hold_remaining > Duration{} ||
         (is_recent && chosen.m_reported_slots * 4 >= chosen.m_slots * 3))) {
      m_outcomes[request->m_kind].m_wrong_offers += 1;
    }
    request->m_is_moved = step->m_makes_room;
    ++m_views[request->m_host][target].m_in_flight;
    request->m_placement.OnRefused(step->m_key, PlacementRefusal::kBusy, {});
    After(RoundTrip(*request, target) / 2,
          [this, request, decision = *step] { Admit(request, decision); });
  }

  void Admit(const RequestPtr& request, const PlacementDecision& step) {
    const size_t target = step.m_key.Get();
    Instance& instance = *m_instances[target];
    const RegionWork& work = m_load.m_work[request->m_kind];
    if (instance.m_is_held) {
      // An instance on hold resets most of what it gets.
      const bool is_lost = std::bernoulli_distribution(0.85)(m_random);
      if (!step.m_accepts_held) {
        Refuse(request, target, PlacementRefusal::kHeld);
        return;
      }
      if (is_lost) {
        --m_views[request->m_host][target].m_in_flight;
        return;
      }
    }
    if (!step.m_may_wait &&
        instance.m_gate.ExpectedWait(m_now, work.m_urgency, work.m_is_call) >
            Duration{}) {
      Refuse(request, target, PlacementRefusal::kBusy);
      return;
    }
    const AdmissionResult admission =
        instance.m_gate.Admit(m_now, request->m_deadline, AccountId(1), 1,
                              work.m_urgency, work.m_is_call);
    instance.m_waiting[admission.m_ticket] = request;
    Apply(target, admission.m_changes);
    if (admission.m_decision == AdmissionDecision::kAdmitted) {
      Start(target, admission.m_ticket);
    } else if (admission.m_decision == AdmissionDecision::kRefused) {
      instance.m_waiting.erase(admission.m_ticket);
      Refuse(request, target, PlacementRefusal::kBusy);
    }
  }

  void Refuse(const RequestPtr& request,
              size_t target,
              PlacementRefusal refusal) {
    After(RoundTrip(*request, target) / 2, [this, request, target, refusal] {
      --m_views[request->m_host][target].m_in_flight;
      Report(*request, target);
      const RegionWork& work = m_load.m_work[request->m_kind];
      request->m_placement.OnRefused(
          CandidateKey(target), refusal,
          m_instances[target]->m_gate.ExpectedWait(m_now, work.m_urgency,
                                                   work.m_is_call));
      Offer(request);
    });
  }

  // A call that no instance took is offered again.
  void Pause(const RequestPtr& request) {
    if ((m_load.m_work[request->m_kind].m_is_call ||
         request->m_placement.WaitsInRegion()) &&
        m_now + kCallPause + kMinCallTime < request->m_deadline) {
      After(kCallPause, [this, request] {
        request->m_placement.StartRound();
        Offer(request);
      });
    }
  }

  void Apply(size_t target, const GateChanges& changes) {
    Instance& instance = *m_instances[target];
    for (const Ticket ticket : changes.m_refused) {
      Refuse(instance.m_waiting.extract(ticket).mapped(), target,
             PlacementRefusal::kBusy);
    }
    for (const Ticket ticket : changes.m_started) {
      Start(target, ticket);
    }
  }

  void Start(size_t target, Ticket ticket) {
    const RequestPtr request =
        m_instances[target]->m_waiting.extract(ticket).mapped();
    After(request->m_time, [this, request, target, ticket] {
      Apply(target, m_instances[target]->m_gate.OnFinish(ticket, m_now));
      After(RoundTrip(*request, target) / 2, [this, request, target] {
        --m_views[request->m_host][target].m_in_flight;
        Report(*request, target);
        Finish(*request, target);
      });
    });
  }

  void Finish(const Request& request, size_t target) {
    RegionOutcome& outcome = m_outcomes[request.m_kind];
    if (m_now > request.m_deadline) {
      return;
    }
    const RegionWork& work = m_load.m_work[request.m_kind];
    outcome.m_served += 1;
    outcome.m_in_time +=
        m_now - request.m_received <= work.m_latency_objective ? 1 : 0;
    if (m_instances[target]->m_region != request.m_region) {
      outcome.m_crossed += 1;
      outcome.m_crossed_bytes += request.m_bytes;
      outcome.m_moved += request.m_is_moved ? 1 : 0;
    }
  }

  RegionLoad m_load;
  bool m_considers_bytes;
  std::mt19937_64 m_random;
  // Draws arrivals and holds, so that both placements get the same load.
  std::mt19937_64 m_load_random;
  double m_arrivals_per_s = 0;
  TimePoint m_now = kStart;
  std::multimap<TimePoint, std::function<void()>> m_events;
  std::vector<std::unique_ptr<Instance>> m_instances;
  std::vector<std::vector<View>> m_views;
  std::vector<RegionOutcome> m_outcomes;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_ROUTING_TESTS_REGION_LOAD_H_
