#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <unordered_map>
#include <vector>

#include "sequoiastage/limits/slot_gate.h"
#include "sequoiastage/mesh/target_table.h"
#include "sequoiastage/routing/placement.h"

namespace sequoiastage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr ServiceId kService(7);
constexpr uint8_t kUsualUrgency = 2;

struct SharingLoad {
  uint32_t m_nodes = 24;
  uint32_t m_spread_accounts = 85;
  // Demand relative to the capacity of the service.
  double m_overload = 2;
  // Demand of the account that enters at one host, relative to the others'.
  double m_local_demand = 1;
  uint8_t m_local_urgency = kUsualUrgency;
  bool m_manages_load = true;
  Duration m_run_time = seconds(30);
};

struct AccountResult {
  double m_asked = 0;
  double m_served = 0;

  double Ratio() const { return m_served / std::max(1.0, m_asked); }
};

struct SharingResult {
  // The account that enters at one host.
  AccountResult m_local;
  AccountResult m_all;
  // Lowest and highest number of requests of a spread account that were served.
  double m_least_served = 0;
  double m_most_served = 0;
  double m_capacity = 0;
};

// One service whose instances are on all nodes. Each node has an ingress with
// its own view of the load, and a gate. Calls and hedges are left out. Time is
// simulated.
class SharingSimulation {
 public:
  SharingSimulation(const SharingLoad& load, uint64_t seed)
      : m_load(load), m_random(seed) {
    for (uint32_t i = 0; i < load.m_nodes; ++i) {
      m_gates.emplace_back(
          SlotGateOptions{.m_slots = kSlots, .m_max_wait = milliseconds(400)});
      m_gates.back().SetProtectsAccounts(load.m_manages_load);
      m_views.emplace_back(Record(i));
    }
    for (TargetTable& view : m_views) {
      for (uint32_t i = 0; i < load.m_nodes; ++i) {
        view.SetMember(Record(i));
      }
    }
    m_waiting.resize(load.m_nodes);
    m_results.resize(load.m_spread_accounts + 1);
  }

  SharingResult Run() {
    const double capacity_per_s = m_load.m_nodes * kSlots / kServiceTimeS;
    const double per_account_s =
        capacity_per_s * m_load.m_overload / (m_load.m_spread_accounts + 1);
    for (size_t account = 0; account < m_results.size(); ++account) {
      ScheduleArrival(account, account == 0
                                   ? per_account_s * m_load.m_local_demand
                                   : per_account_s);
    }
    while (m_events.begin()->first < kStart + m_load.m_run_time) {
      auto event = m_events.extract(m_events.begin());
      m_now = event.key();
      event.mapped()();
    }
    SharingResult result{
        .m_local = m_results[0],
        .m_least_served = m_results[1].m_served,
        .m_capacity = capacity_per_s *
                      std::chrono::duration<double>(m_load.m_run_time).count()};
    for (size_t account = 0; account < m_results.size(); ++account) {
      const AccountResult& one = m_results[account];
      result.m_all.m_asked += one.m_asked;
      result.m_all.m_served += one.m_served;
      if (account > 0) {
        result.m_least_served = std::min(result.m_least_served, one.m_served);
        result.m_most_served = std::max(result.m_most_served, one.m_served);
      }
    }
    return result;
  }

 private:
  static constexpr uint32_t kSlots = 3;
  static constexpr double kServiceTimeS = 0.1;

  struct Request {
    size_t m_account = 0;
    size_t m_node = 0;
    Placement m_placement;
    TimePoint m_deadline;
  };
  using RequestPtr = std::shared_ptr<Request>;

  static MemberRecord Record(uint32_t index) {
    return {.m_node = NodeId(Endpoint{.m_ip = index + 1, .m_port = 1}),
            .m_domain = std::string("d") + std::to_string(index % 3),
            .m_region = "r",
            .m_instance = "i",
            .m_service = kService,
            .m_slots = kSlots};
  }

  void At(Duration delay, std::function<void()> action) {
    m_events.emplace(m_now + delay, std::move(action));
  }

  Duration Exponential(double mean_s) {
    std::exponential_distribution<double> seconds(1 / mean_s);
    return Duration(static_cast<int64_t>(seconds(m_random) * 1e6));
  }

  void ScheduleArrival(size_t account, double per_s) {
    At(Exponential(1 / per_s), [this, account, per_s] {
      ScheduleArrival(account, per_s);
      m_results[account].m_asked += 1;
      auto request = std::make_shared<Request>();
      request->m_account = account;
      request->m_node = account == 0 ? 0 : m_random() % m_load.m_nodes;
      request->m_placement =
          Placement({.m_spreads_queues = m_load.m_manages_load});
      request->m_deadline = m_now + seconds(1);
      OfferNext(request);
    });
  }

  void OfferNext(const RequestPtr& request) {
    TargetTable& view = m_views[request->m_node];
    const auto step = request->m_placement.Next(
        view.Candidates(kService, m_now, [](NodeId) { return true; }), m_random,
        true, request->m_deadline - m_now);
    if (!step) {
      return;
    }
    const size_t target = ToNodeId(step->m_key).Get().m_ip - 1;
    SlotGate& gate = m_gates[target];
    const uint8_t urgency =
        request->m_account == 0 ? m_load.m_local_urgency : kUsualUrgency;
    if (!step->m_may_wait && gate.ExpectedWait(m_now, urgency) > Duration{}) {
      OnRefused(request, target);
      return;
    }
    const AdmissionResult admission =
        gate.Admit(m_now, request->m_deadline,
                   AccountId(request->m_account + 1), 1, urgency);
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
    return {.m_slots = kSlots,
            .m_running = static_cast<uint16_t>(gate.Running()),
            .m_queued = static_cast<uint16_t>(gate.Queued())};
  }

  void Apply(size_t target, const GateChanges& changes) {
    for (const Ticket ticket : changes.m_refused) {
      const auto entry = m_waiting[target].extract(ticket);
      OnRefused(entry.mapped(), target);
    }
    for (const Ticket ticket : changes.m_started) {
      Start(target, ticket);
    }
  }

  void Start(size_t target, Ticket ticket) {
    const auto entry = m_waiting[target].extract(ticket);
    const RequestPtr request = entry.mapped();
    At(Exponential(kServiceTimeS), [this, request, target, ticket] {
      m_results[request->m_account].m_served += 1;
      Apply(target, m_gates[target].OnFinish(ticket, m_now));
      m_views[request->m_node].UpdateLoad(
          Record(static_cast<uint32_t>(target)).m_node, Load(target), m_now);
    });
  }

  SharingLoad m_load;
  std::mt19937_64 m_random;
  TimePoint m_now = kStart;
  std::multimap<TimePoint, std::function<void()>> m_events;
  std::vector<SlotGate> m_gates;
  std::vector<TargetTable> m_views;
  std::vector<std::unordered_map<Ticket, RequestPtr>> m_waiting;
  std::vector<AccountResult> m_results;
};

SharingResult Simulate(const SharingLoad& load) {
  return SharingSimulation(load, 1).Run();
}

double FairShare(const SharingResult& result, const SharingLoad& load) {
  return result.m_capacity / (load.m_spread_accounts + 1);
}

// All requests of one account enter at one host, those of 85 others at all. The
// shares of each gate add up to fair shares of the service only if the account
// reaches all gates.
TEST(FairSharingTest, AccountAtOneHostGetsItsShareOfTheService) {
  for (const double overload : {2.0, 4.0}) {
    const SharingLoad load{.m_overload = overload};
    const SharingResult result = Simulate(load);
    const double share = FairShare(result, load);
    EXPECT_GT(result.m_local.m_served, 0.9 * share) << overload;
    EXPECT_LT(result.m_local.m_served, 1.2 * share) << overload;
    // The number of requests of an account varies by a fifth in the run.
    EXPECT_GT(result.m_least_served, 0.75 * share) << overload;
    EXPECT_GT(result.m_all.m_served, 0.97 * result.m_capacity) << overload;
  }
  const SharingResult unmanaged = Simulate({.m_manages_load = false});
  EXPECT_LT(unmanaged.m_local.Ratio(), 0.25 * unmanaged.m_all.Ratio());
}

TEST(FairSharingTest, LessUrgentAccountIsServedAQuarterAsOften) {
  for (const double overload : {2.0, 4.0}) {
    const SharingResult result =
        Simulate({.m_overload = overload, .m_local_urgency = 4});
    EXPECT_GT(result.m_local.Ratio(), 0.25 * result.m_all.Ratio()) << overload;
    EXPECT_LT(result.m_local.Ratio(), 0.6 * result.m_all.Ratio()) << overload;
  }
}

// An account asks for eight times as much as each of the others.
TEST(FairSharingTest, HeavyAccountGetsNoMoreThanItsShare) {
  const SharingLoad load{.m_overload = 4, .m_local_demand = 8};
  const SharingResult result = Simulate(load);
  EXPECT_GT(result.m_local.m_served, 0.9 * FairShare(result, load));
  EXPECT_LT(result.m_local.m_served, 1.3 * FairShare(result, load));
  EXPECT_GT(result.m_least_served, 0.75 * FairShare(result, load));
}

}  // namespace
}  // namespace sequoiastage
