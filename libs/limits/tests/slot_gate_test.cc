#include "sequoiastage/limits/slot_gate.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <map>
#include <random>
#include <unordered_map>
#include <unordered_set>

#include "naive_limits.h"

namespace sequoiastage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr AccountId kSmall(1);
constexpr AccountId kLarge(2);

// Tracks the state of each ticket and checks its transitions.
class TicketTracker {
 public:
  void OnAdmit(const AdmissionResult& result) {
    OnChanges(result.m_changes);
    RC_ASSERT(m_seen.insert(result.m_ticket).second);
    if (result.m_decision == AdmissionDecision::kAdmitted) {
      m_running.push_back(result.m_ticket);
    } else if (result.m_decision == AdmissionDecision::kQueued) {
      m_queued.insert(result.m_ticket);
    }
  }

  void OnChanges(const GateChanges& changes) {
    for (const Ticket ticket : changes.m_refused) {
      RC_ASSERT(m_queued.erase(ticket) == 1);
    }
    for (const Ticket ticket : changes.m_started) {
      RC_ASSERT(m_queued.erase(ticket) == 1);
      m_running.push_back(ticket);
    }
  }

  std::unordered_set<Ticket> m_seen;
  std::unordered_set<Ticket> m_queued;
  std::vector<Ticket> m_running;
};

RC_GTEST_PROP(SlotGateTest, CountsSlotsExactlyInAnyInterleaving, ()) {
  const uint32_t slots = *rc::gen::inRange(1, 5);
  SlotGate gate({.m_slots = slots});
  TicketTracker tracker;
  TimePoint now = kStart;
  const int steps = *rc::gen::inRange(1, 300);
  for (int i = 0; i < steps; ++i) {
    now += milliseconds(*rc::gen::inRange(0, 30));
    switch (*rc::gen::inRange(0, 6)) {
      case 0:
      case 1:
      case 2:
        tracker.OnAdmit(
            gate.Admit(now, now + milliseconds(*rc::gen::inRange(0, 500)),
                       AccountId(*rc::gen::inRange(0, 4))));
        break;
      case 3:
        if (!tracker.m_running.empty()) {
          const Ticket ticket = tracker.m_running.back();
          tracker.m_running.pop_back();
          tracker.OnChanges(gate.OnFinish(ticket, now));
          RC_ASSERT(gate.OnFinish(ticket, now).m_started.empty());
        }
        break;
      case 4:
        if (!tracker.m_queued.empty()) {
          const Ticket ticket = *tracker.m_queued.begin();
          RC_ASSERT(gate.CancelQueued(ticket));
          tracker.m_queued.erase(ticket);
        }
        break;
      default:
        tracker.OnChanges(gate.OnTick(now));
    }
    RC_ASSERT(gate.Running() == tracker.m_running.size());
    RC_ASSERT(gate.Queued() == tracker.m_queued.size());
    RC_ASSERT(gate.Running() <= slots);
    RC_ASSERT(gate.Running() == slots || gate.Queued() == 0);
  }
}

TEST(SlotGateTest, RefusesWorkThatCannotMeetItsDeadline) {
  SlotGate gate({.m_slots = 1, .m_initial_service_time = milliseconds(100)});
  EXPECT_EQ(gate.Admit(kStart, kStart + seconds(1), kSmall).m_decision,
            AdmissionDecision::kAdmitted);
  EXPECT_EQ(gate.Admit(kStart, kStart + milliseconds(150), kSmall).m_decision,
            AdmissionDecision::kRefused);
  const auto queued = gate.Admit(kStart, kStart + milliseconds(250), kSmall);
  EXPECT_EQ(queued.m_decision, AdmissionDecision::kQueued);
  EXPECT_EQ(gate.OnTick(kStart + milliseconds(160)).m_refused,
            std::vector<Ticket>{queued.m_ticket});
}

TEST(SlotGateTest, RefusesWorkPastItsDeadline) {
  SlotGate gate({.m_slots = 1});
  EXPECT_EQ(gate.Admit(kStart, kStart, kSmall).m_decision,
            AdmissionDecision::kRefused);
}

TEST(SlotGateTest, FewerSlotsTakeEffectAsWorkFinishes) {
  SlotGate gate({.m_slots = 2});
  const auto first = gate.Admit(kStart, kStart + seconds(9), kSmall);
  const auto second = gate.Admit(kStart, kStart + seconds(9), kSmall);
  gate.Admit(kStart, kStart + seconds(9), kSmall);
  gate.Resize(1, kStart);
  EXPECT_EQ(gate.Running(), 2U);
  EXPECT_TRUE(gate.OnFinish(first.m_ticket, kStart).m_started.empty());
  EXPECT_EQ(gate.OnFinish(second.m_ticket, kStart).m_started.size(), 1U);
}

// Fraction of the started requests that belong to kLarge when both accounts
// overload the instance and the weight of kLarge is `share` times that of
// kSmall.
double LargeAccountSlotShare(double share) {
  SlotGate gate({.m_slots = 3, .m_max_queued = 6});
  std::unordered_map<Ticket, AccountId> account_by_ticket;
  std::multimap<TimePoint, Ticket> ends;
  std::unordered_map<AccountId, double> started;
  const auto start = [&](Ticket ticket, TimePoint now) {
    ends.emplace(now + milliseconds(100), ticket);
    started[account_by_ticket.at(ticket)] += 1;
  };
  const auto submit = [&](AccountId account, double weight, TimePoint now) {
    const AdmissionResult result =
        gate.Admit(now, now + seconds(5), account, weight);
    account_by_ticket[result.m_ticket] = account;
    if (result.m_decision == AdmissionDecision::kAdmitted) {
      start(result.m_ticket, now);
    }
    for (const Ticket ticket : result.m_changes.m_started) {
      start(ticket, now);
    }
  };
  for (TimePoint now = kStart; now < kStart + seconds(60);
       now += milliseconds(10)) {
    while (!ends.empty() && ends.begin()->first <= now) {
      const Ticket ended = ends.begin()->second;
      ends.erase(ends.begin());
      for (const Ticket ticket : gate.OnFinish(ended, now).m_started) {
        start(ticket, now);
      }
    }
    submit(kSmall, 1, now);
    submit(kLarge, share, now);
  }
  return started[kLarge] / (started[kLarge] + started[kSmall]);
}

TEST(SlotGateTest, DividesSlotsByAccountWeight) {
  EXPECT_NEAR(LargeAccountSlotShare(1), 0.5, 0.05);
  EXPECT_NEAR(LargeAccountSlotShare(3), 0.75, 0.05);
  EXPECT_NEAR(LargeAccountSlotShare(0), 0.5, 0.05);
}

struct Goodput {
  // Requests answered within their deadline, as a fraction of the capacity of
  // the slots and of the requests of the small account.
  double m_share_of_capacity;
  double m_share_of_small;
};

// One instance with 3 slots, a service time of 100 ms, a deadline of 1 s, and a
// load of `overload` times its capacity; one request in ten is from kSmall.
template <class Gate>
Goodput MeasureGoodput(Gate gate, double overload, uint64_t seed) {
  struct Work {
    AccountId m_account;
    TimePoint m_deadline;
  };
  std::mt19937_64 random(seed);
  std::exponential_distribution<double> gap_s(30 * overload);
  std::unordered_map<Ticket, Work> work_by_ticket;
  std::multimap<TimePoint, Ticket> ends;
  std::unordered_map<AccountId, double> submitted;
  std::unordered_map<AccountId, double> good;
  const auto start_all = [&](const std::vector<Ticket>& tickets,
                             TimePoint now) {
    for (const Ticket ticket : tickets) {
      ends.emplace(now + milliseconds(100), ticket);
    }
  };
  const Duration run_time = seconds(60);
  TimePoint arrival = kStart;
  while (arrival < kStart + run_time) {
    if (!ends.empty() && ends.begin()->first <= arrival) {
      const auto [now, ticket] = *ends.begin();
      ends.erase(ends.begin());
      const Work& work = work_by_ticket.at(ticket);
      good[work.m_account] += now <= work.m_deadline ? 1 : 0;
      start_all(gate.OnFinish(ticket, now).m_started, now);
      continue;
    }
    const AccountId account = random() % 10 == 0 ? kSmall : kLarge;
    const TimePoint deadline = arrival + seconds(1);
    submitted[account] += 1;
    const AdmissionResult result = gate.Admit(arrival, deadline, account);
    work_by_ticket[result.m_ticket] = {account, deadline};
    if (result.m_decision == AdmissionDecision::kAdmitted) {
      start_all({result.m_ticket}, arrival);
    }
    start_all(result.m_changes.m_started, arrival);
    arrival += Duration(static_cast<int64_t>(gap_s(random) * 1e6));
  }
  return {.m_share_of_capacity = (good[kSmall] + good[kLarge]) / (30 * 60),
          .m_share_of_small = good[kSmall] / submitted[kSmall]};
}

RC_GTEST_PROP(SlotGateTest, KeepsGoodputAndFairnessUnderOverload, ()) {
  const double overload = *rc::gen::element(2.0, 4.0);
  const uint64_t seed = *rc::gen::arbitrary<uint64_t>();
  const Goodput gate_goodput =
      MeasureGoodput(SlotGate({.m_slots = 3}), overload, seed);
  RC_ASSERT(gate_goodput.m_share_of_capacity > 0.95);
  RC_ASSERT(gate_goodput.m_share_of_small > 0.9);
  const Goodput fifo_goodput =
      MeasureGoodput(FifoGate({.m_slots = 3}), overload, seed);
  RC_ASSERT(fifo_goodput.m_share_of_capacity < 0.2);
  RC_ASSERT(fifo_goodput.m_share_of_small < 0.2);
}

TEST(SlotGateTest, UrgentWorkRunsFirstAndDisplacesLessUrgent) {
  SlotGate gate({.m_slots = 1, .m_max_queued = 1});
  const TimePoint late = kStart + seconds(9);
  const auto running = gate.Admit(kStart, late, kSmall, 1, 2);
  const auto waiting = gate.Admit(kStart, late, kSmall, 1, 2);
  ASSERT_EQ(waiting.m_decision, AdmissionDecision::kQueued);
  EXPECT_EQ(gate.Admit(kStart, late, kSmall, 1, 2).m_decision,
            AdmissionDecision::kRefused);
  EXPECT_LT(gate.ExpectedWait(kStart, 1), gate.ExpectedWait(kStart, 2));
  const auto urgent = gate.Admit(kStart, late, kSmall, 1, 1);
  EXPECT_EQ(urgent.m_decision, AdmissionDecision::kQueued);
  EXPECT_EQ(urgent.m_changes.m_refused, std::vector{waiting.m_ticket});
  const GateChanges changes = gate.OnFinish(running.m_ticket, kStart);
  EXPECT_EQ(changes.m_started, std::vector{urgent.m_ticket});
}

}  // namespace
}  // namespace sequoiastage
