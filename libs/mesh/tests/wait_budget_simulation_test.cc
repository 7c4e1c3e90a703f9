#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <numbers>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

#include "sequoiastage/limits/slot_gate.h"
#include "sequoiastage/mesh/target_table.h"
#include "sequoiastage/mesh/wire_time.h"
#include "sequoiastage/routing/placement.h"
#include "sequoiastage/routing/wait_budget.h"

namespace sequoiastage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr ServiceId kService(7);

// Requests of one route.
struct RequestKind {
  double m_share = 0.5;
  Duration m_service_time = milliseconds(430);
  Duration m_objective = seconds(2);
  Duration m_timeout = seconds(5);
  uint8_t m_urgency = 1;
};

struct WaitLoad {
  uint32_t m_nodes = 40;
  uint32_t m_instances = 10;
  uint32_t m_slots = 15;
  // Downloads and reads; the shares are of the offered work.
  std::vector<RequestKind> m_kinds{{.m_share = 0.5,
                                    .m_service_time = milliseconds(850),
                                    .m_objective = seconds(4),
                                    .m_timeout = seconds(10),
                                    .m_urgency = 2},
                                   {}};
  // Mean demand relative to the capacity, and amplitude of its waves relative
  // to the mean.
  double m_overload = 1.5;
  double m_amplitude = 0;
  Duration m_period = seconds(13);
  Duration m_run_time = seconds(130);
  // Empty: the waiting without a budget.
  std::optional<WaitBudgetOptions> m_budget;
};

struct WaitOutcome {
  double m_asked = 0;
  double m_served = 0;
  double m_served_in_objective = 0;
  double m_rejected = 0;
  // Rejected within the budget of their kind, with a few round trips.
  double m_rejected_in_budget = 0;

  double RejectedInBudgetPart() const {
    return m_rejected_in_budget / std::max(1.0, m_rejected);
  }
};

// One service in one region. Each node has an ingress with its own view of the
// load; the instances are at the first nodes. Time is simulated.
class WaitSimulation {
 public:
  WaitSimulation(const WaitLoad& load, uint64_t seed)
      : m_load(load), m_arrivals(seed), m_random(seed) {
    for (uint32_t i = 0; i < load.m_instances; ++i) {
      m_gates.emplace_back(SlotGateOptions{.m_slots = load.m_slots,
                                           .m_max_wait = milliseconds(400)});
    }
    for (uint32_t i = 0; i < load.m_nodes; ++i) {
      m_views.emplace_back(Record(i));
      for (uint32_t j = 0; j < load.m_instances; ++j) {
        m_views.back().SetMember(Record(j));
      }
    }
    m_waiting.resize(load.m_instances);
  }

  WaitOutcome Run() {
    for (const RequestKind& kind : m_load.m_kinds) {
      ScheduleArrival(kind);
    }
    while (m_events.begin()->first < kStart + m_load.m_run_time) {
      auto event = m_events.extract(m_events.begin());
      m_now = event.key();
      event.mapped()();
    }
    return m_outcome;
  }

 private:
  struct Request {
    const RequestKind* m_kind = nullptr;
    size_t m_node = 0;
    Placement m_placement;
    TimePoint m_arrived;
    Duration m_service_time{};
    std::optional<WaitBudget> m_budget;
  };
  using RequestPtr = std::shared_ptr<Request>;

  MemberRecord Record(uint32_t index) const {
    return {.m_node = NodeId(Endpoint{.m_ip = index + 1, .m_port = 1}),
            .m_domain = "d",
            .m_region = "r",
            .m_instance = "i",
            .m_service = kService,
            .m_slots = m_load.m_slots};
  }

  static double Seconds(Duration duration) {
    return std::chrono::duration<double>(duration).count();
  }

  static Duration FromSeconds(double value) {
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(value));
  }

  void At(Duration delay, std::function<void()> action) {
    m_events.emplace(m_now + delay, std::move(action));
  }

  // Arrivals at the highest rate, thinned to the current one.
  void ScheduleArrival(const RequestKind& kind) {
    const double mean_per_s = m_load.m_overload * kind.m_share *
                              m_load.m_instances * m_load.m_slots /
                              Seconds(kind.m_service_time);
    std::exponential_distribution<double> gap_s(mean_per_s *
                                                (1 + m_load.m_amplitude));
    At(FromSeconds(gap_s(m_arrivals)), [this, &kind] {
      ScheduleArrival(kind);
      const double phase = 2 * std::numbers::pi * Seconds(m_now - kStart) /
                           Seconds(m_load.m_period);
      const double rate =
          (1 + m_load.m_amplitude * std::sin(phase)) / (1 + m_load.m_amplitude);
      if (std::bernoulli_distribution(rate)(m_arrivals)) {
        OnArrival(kind);
      }
    });
  }

  void OnArrival(const RequestKind& kind) {
    m_outcome.m_asked += 1;
    auto request = std::make_shared<Request>();
    request->m_kind = &kind;
    request->m_node = m_arrivals() % m_load.m_nodes;
    request->m_placement = Placement({.m_spreads_queues = true});
    request->m_arrived = m_now;
    // Service times vary by half around their mean.
    std::uniform_real_distribution<double> factor(0.5, 1.5);
    request->m_service_time =
        FromSeconds(Seconds(kind.m_service_time) * factor(m_arrivals));
    if (m_load.m_budget) {
      request->m_budget = WaitBudget(*m_load.m_budget, kind.m_objective);
      request->m_budget->StartWaiting(m_now);
    }
    OfferNext(request);
  }

  void Reject(const RequestPtr& request) {
    constexpr Duration kRoundTrips = milliseconds(10);
    const WaitBudget budget(m_load.m_budget.value_or(WaitBudgetOptions{}),
                            request->m_kind->m_objective);
    const Duration waited = m_now - request->m_arrived;
    m_outcome.m_rejected += 1;
    m_outcome.m_rejected_in_budget +=
        waited <= budget.Left(m_now) + kRoundTrips ? 1 : 0;
  }

  // As Ingress::RejectForWait().
  bool IsOutOfWait(const Request& request) const {
    if (!request.m_budget) {
      return false;
    }
    const Duration left = request.m_budget->Left(m_now);
    if (left == Duration{}) {
      return true;
    }
    const bool is_least_urgent =
        std::all_of(m_load.m_kinds.begin(), m_load.m_kinds.end(),
                    [&request](const RequestKind& kind) {
                      return kind.m_urgency <= request.m_kind->m_urgency;
                    });
    const auto shortest = m_views[request.m_node].ShortestWait(
        kService, m_now, milliseconds(500), [](NodeId) { return true; });
    return is_least_urgent && shortest && *shortest > left;
  }

  void OfferNext(const RequestPtr& request) {
    if (IsOutOfWait(*request)) {
      Reject(request);
      return;
    }
    const RequestKind& kind = *request->m_kind;
    const TimePoint deadline = request->m_arrived + kind.m_timeout;
    const auto step = request->m_placement.Next(
        m_views[request->m_node].Candidates(kService, m_now,
                                            [](NodeId) { return true; }),
        m_random, true, deadline - m_now);
    if (!step) {
      Reject(request);
      return;
    }
    const size_t target = ToNodeId(step->m_key).Get().m_ip - 1;
    SlotGate& gate = m_gates[target];
    if (!step->m_may_wait &&
        gate.ExpectedWait(m_now, kind.m_urgency) > Duration{}) {
      OnRefused(request, target);
      return;
    }
    const AdmissionResult admission = gate.Admit(
        m_now, deadline, AccountId(0), 1, kind.m_urgency, false,
        request->m_budget ? std::optional(request->m_budget->Left(m_now))
                          : std::nullopt);
    m_waiting[target][admission.m_ticket] = request;
    Apply(target, admission.m_changes);
    if (admission.m_decision == AdmissionDecision::kAdmitted) {
      Start(target, admission.m_ticket);
    } else if (admission.m_decision == AdmissionDecision::kRefused) {
      m_waiting[target].erase(admission.m_ticket);
      OnRefused(request, target);
    }
  }

  void OnRefused(const RequestPtr& request, size_t target) {
    const NodeId node = Record(static_cast<uint32_t>(target)).m_node;
    m_views[request->m_node].UpdateLoad(node, Load(target), m_now);
    request->m_placement.OnRefused(ToCandidateKey(node),
                                   PlacementRefusal::kBusy,
                                   m_gates[target].ExpectedWait(m_now));
    // A round trip within the region.
    At(milliseconds(1), [this, request] { OfferNext(request); });
  }

  EgressLoadReport Load(size_t target) const {
    const SlotGate& gate = m_gates[target];
    return {.m_slots = static_cast<uint16_t>(m_load.m_slots),
            .m_running = static_cast<uint16_t>(gate.Running()),
            .m_queued = static_cast<uint16_t>(gate.Queued()),
            .m_expected_wait_ms = ToWireMs<uint16_t>(gate.ExpectedWait(m_now))};
  }

  void Apply(size_t target, const GateChanges& changes) {
    for (const Ticket ticket : changes.m_refused) {
      const auto entry = m_waiting[target].extract(ticket);
      OnRefused(entry.mapped(), target);
    }
    for (const Ticket ticket : changes.m_started) {
      Start(target, ticket);
    }
    if (const auto tick = m_gates[target].TimeToTick(m_now)) {
      At(*tick, [this, target] {
        const GateChanges expired = m_gates[target].OnTick(m_now);
        if (!expired.m_refused.empty() || !expired.m_started.empty()) {
          Apply(target, expired);
        }
      });
    }
  }

  void Start(size_t target, Ticket ticket) {
    const auto entry = m_waiting[target].extract(ticket);
    const RequestPtr request = entry.mapped();
    At(request->m_service_time, [this, request, target, ticket] {
      const Duration took = m_now - request->m_arrived;
      m_outcome.m_served += took <= request->m_kind->m_timeout ? 1 : 0;
      m_outcome.m_served_in_objective +=
          took <= request->m_kind->m_objective ? 1 : 0;
      Apply(target, m_gates[target].OnFinish(ticket, m_now));
      m_views[request->m_node].UpdateLoad(
          Record(static_cast<uint32_t>(target)).m_node, Load(target), m_now);
    });
  }

  WaitLoad m_load;
  // Draws what does not depend on the waiting, so that the same seed gives the
  // same requests with and without a budget.
  std::mt19937_64 m_arrivals;
  std::mt19937_64 m_random;
  TimePoint m_now = kStart;
  std::multimap<TimePoint, std::function<void()>> m_events;
  std::vector<SlotGate> m_gates;
  std::vector<TargetTable> m_views;
  std::vector<std::unordered_map<Ticket, RequestPtr>> m_waiting;
  WaitOutcome m_outcome;
};

WaitOutcome Simulate(WaitLoad load,
                     std::optional<WaitBudgetOptions> budget,
                     uint64_t seed) {
  load.m_budget = budget;
  return WaitSimulation(load, seed).Run();
}

// The service is offered 1.5 times its capacity all the time. A caller must
// learn early that it is rejected, and no capacity may stay unused for that.
TEST(WaitBudgetSimulationTest, RejectionsInSteadyOverloadAreEarly) {
  for (const uint64_t seed : {1U, 2U}) {
    const WaitLoad load{.m_overload = 1.5};
    const WaitOutcome before = Simulate(load, {}, seed);
    const WaitOutcome after = Simulate(load, WaitBudgetOptions{}, seed);
    EXPECT_GE(after.RejectedInBudgetPart(), 0.9) << seed;
    EXPECT_GE(after.m_served_in_objective, before.m_served_in_objective)
        << seed;
    // What is queued at the end of the run is served in neither.
    EXPECT_GE(after.m_served, 0.998 * before.m_served) << seed;
  }
}

// Demand in waves exceeds the capacity for some seconds in each. Queues must
// take up the excess as far as the objective allows.
TEST(WaitBudgetSimulationTest, FewerShortRequestsAreRejectedInWaves) {
  const WaitLoad load{.m_kinds = {{.m_share = 1,
                                   .m_service_time = milliseconds(150),
                                   .m_objective = seconds(4),
                                   .m_timeout = seconds(10)}},
                      .m_overload = 0.9,
                      .m_amplitude = 0.55,
                      .m_run_time = seconds(65)};
  const WaitOutcome before = Simulate(load, {}, 1);
  const WaitOutcome after = Simulate(load, WaitBudgetOptions{}, 1);
  EXPECT_LT(after.m_rejected, 0.7 * before.m_rejected);
  EXPECT_GT(after.m_served, before.m_served);
}

// The same waves of downloads and reads. Half of the objective takes up more
// than the queues without a budget, whose requests wait until their deadline.
TEST(WaitBudgetSimulationTest, HalfOfTheObjectiveTakesUpWaves) {
  for (const uint64_t seed : {1U, 2U}) {
    const WaitLoad load{.m_overload = 0.9, .m_amplitude = 0.55};
    const WaitOutcome before = Simulate(load, {}, seed);
    const WaitOutcome after =
        Simulate(load, WaitBudgetOptions{.m_fraction = 0.5}, seed);
    EXPECT_LT(after.m_rejected, before.m_rejected) << seed;
    EXPECT_GT(after.m_served, before.m_served) << seed;
  }
}

// The default fraction must not reject more of these waves than the queues
// without a budget do.
TEST(WaitBudgetSimulationTest, QuarterOfTheObjectiveTakesUpWaves) {
  for (const uint64_t seed : {1U, 2U}) {
    const WaitLoad load{.m_overload = 0.9, .m_amplitude = 0.55};
    const WaitOutcome before = Simulate(load, {}, seed);
    const WaitOutcome after = Simulate(load, WaitBudgetOptions{}, seed);
    EXPECT_LT(after.m_rejected, before.m_rejected) << seed;
  }
}

}  // namespace
}  // namespace sequoiastage
