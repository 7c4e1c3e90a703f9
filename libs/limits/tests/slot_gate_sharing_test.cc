#include <gtest/gtest.h>

#include <map>
#include <random>
#include <unordered_map>

#include "sequoiastage/limits/slot_gate.h"

namespace sequoiastage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr AccountId kUrgent(1);
constexpr AccountId kPatient(2);
constexpr Duration kServiceTime = milliseconds(100);
constexpr uint32_t kSlots = 3;

// Requests of one account at one gate.
struct Source {
  AccountId m_account;
  double m_per_s = 0;
  uint8_t m_urgency = 0;
  bool m_is_call = false;
  Duration m_time = seconds(1);
};

struct Served {
  double m_asked = 0;
  double m_served = 0;

  double Ratio() const { return m_served / std::max(1.0, m_asked); }
};

// Runs one gate under the load of `sources` for two minutes. Returns what each
// source got, in their order, and the sum at the end.
std::vector<Served> ServeAll(SlotGate gate,
                             const std::vector<Source>& sources,
                             uint64_t seed) {
  std::mt19937_64 random(seed);
  std::vector<Served> result(sources.size() + 1);
  std::unordered_map<Ticket, size_t> source_by_ticket;
  std::multimap<TimePoint, Ticket> ends;
  std::multimap<TimePoint, size_t> arrivals;
  const auto next_arrival = [&](size_t source, TimePoint now) {
    std::exponential_distribution<double> gap_s(sources[source].m_per_s);
    arrivals.emplace(now + Duration(static_cast<int64_t>(gap_s(random) * 1e6)),
                     source);
  };
  const auto start = [&](Ticket ticket, TimePoint now) {
    ends.emplace(now + kServiceTime, ticket);
    result[source_by_ticket.at(ticket)].m_served += 1;
    result.back().m_served += 1;
  };
  for (size_t source = 0; source < sources.size(); ++source) {
    next_arrival(source, kStart);
  }
  while (arrivals.begin()->first < kStart + seconds(120)) {
    const auto [now, source] = *arrivals.begin();
    if (!ends.empty() && ends.begin()->first <= now) {
      const auto [end, ended] = *ends.begin();
      ends.erase(ends.begin());
      for (const Ticket ticket : gate.OnFinish(ended, end).m_started) {
        start(ticket, end);
      }
      continue;
    }
    arrivals.erase(arrivals.begin());
    next_arrival(source, now);
    const Source& from = sources[source];
    result[source].m_asked += 1;
    result.back().m_asked += 1;
    const AdmissionResult admission =
        gate.Admit(now, now + from.m_time, from.m_account, 1, from.m_urgency,
                   from.m_is_call);
    source_by_ticket[admission.m_ticket] = source;
    if (admission.m_decision == AdmissionDecision::kAdmitted) {
      start(admission.m_ticket, now);
    }
    for (const Ticket ticket : admission.m_changes.m_started) {
      start(ticket, now);
    }
  }
  return result;
}

SlotGate MakeGate(bool protects) {
  SlotGate gate({.m_slots = kSlots, .m_max_wait = milliseconds(400)});
  gate.SetProtectsAccounts(protects);
  return gate;
}

// Urgent accounts alone ask for more than the capacity. The less urgent account
// must not be starved, and must not be served more often than the urgent ones.
TEST(SlotGateSharingTest, LessUrgentAccountIsNotStarved) {
  for (const double overload : {2.0, 4.0}) {
    for (const double patient_per_s : {0.5, 3.0, 30.0}) {
      const std::vector<Source> sources = {
          {.m_account = kUrgent, .m_per_s = 30 * overload},
          {.m_account = kPatient, .m_per_s = patient_per_s, .m_urgency = 3}};
      const auto served = ServeAll(MakeGate(true), sources, 1);
      const double relative = served[1].Ratio() / served[2].Ratio();
      EXPECT_GT(relative, 0.25) << overload << " " << patient_per_s;
      EXPECT_GT(served[0].Ratio(), served[1].Ratio());
      EXPECT_GT(served[2].m_served, 0.95 * 30 * 120);
      const auto unprotected = ServeAll(MakeGate(false), sources, 1);
      EXPECT_LT(unprotected[1].Ratio() / unprotected[2].Ratio(), 0.05);
    }
  }
}

// Many less urgent accounts with few requests each are starved together. What
// they get must stay a part of the capacity.
TEST(SlotGateSharingTest, ManyStarvedAccountsLeaveTheCapacityToUrgentOnes) {
  std::vector<Source> sources = {{.m_account = kUrgent, .m_per_s = 60}};
  for (uint64_t account = 10; account < 210; ++account) {
    sources.push_back(
        {.m_account = AccountId(account), .m_per_s = 0.15, .m_urgency = 3});
  }
  const auto served = ServeAll(MakeGate(true), sources, 2);
  Served patient;
  for (size_t i = 1; i + 1 < served.size(); ++i) {
    patient.m_asked += served[i].m_asked;
    patient.m_served += served[i].m_served;
  }
  EXPECT_GT(patient.Ratio(), 0.25 * served.back().Ratio());
  EXPECT_GT(served[0].Ratio(), 2 * patient.Ratio());
}

// New requests fill the slots and the queue. The calls of running requests must
// all be served, in their deadline.
TEST(SlotGateSharingTest, CallsAreServedBehindAFullQueue) {
  for (const double overload : {2.0, 4.0}) {
    const auto served =
        ServeAll(MakeGate(true),
                 {{.m_account = kUrgent, .m_per_s = 30 * overload},
                  {.m_account = kPatient,
                   .m_per_s = 20,
                   .m_urgency = 9,
                   .m_is_call = true}},
                 3);
    EXPECT_GT(served[1].Ratio(), 0.998) << overload;
    EXPECT_GT(served[2].m_served, 0.95 * 30 * 120);
  }
}

// A burst of calls above what the queue limit allows for new work waits until
// the deadline leaves only the service time.
TEST(SlotGateSharingTest, CallsWaitAsLongAsTheirDeadlineAllows) {
  SlotGate gate({.m_slots = 1,
                 .m_max_wait = milliseconds(300),
                 .m_initial_service_time = kServiceTime});
  const TimePoint deadline = kStart + seconds(1);
  std::vector<AdmissionResult> calls;
  calls.reserve(12);
  for (int i = 0; i < 12; ++i) {
    calls.push_back(gate.Admit(kStart, deadline, kUrgent, 1, 0, true));
  }
  // One runs and nine wait: the last one starts after 900 ms.
  EXPECT_EQ(gate.Queued(), 9U);
  EXPECT_EQ(calls[9].m_decision, AdmissionDecision::kQueued);
  EXPECT_EQ(calls[10].m_decision, AdmissionDecision::kRefused);
  EXPECT_EQ(gate.Admit(kStart, deadline, kUrgent).m_decision,
            AdmissionDecision::kRefused);
  EXPECT_TRUE(gate.OnTick(kStart + milliseconds(900)).m_refused.empty());
  EXPECT_EQ(gate.OnTick(kStart + milliseconds(901)).m_refused.size(), 9U);
}

TEST(SlotGateSharingTest, OnlyMoreUrgentCallsDisplaceACall) {
  SlotGate gate({.m_slots = 1, .m_max_queued = 1});
  const TimePoint late = kStart + seconds(9);
  gate.Admit(kStart, late, kUrgent);
  const auto queued = gate.Admit(kStart, late, kUrgent);
  const auto call = gate.Admit(kStart, late, kPatient, 1, 5, true);
  EXPECT_EQ(call.m_changes.m_refused, std::vector{queued.m_ticket});
  EXPECT_EQ(gate.Admit(kStart, late, kUrgent, 1, 0).m_decision,
            AdmissionDecision::kRefused);
  EXPECT_EQ(gate.Admit(kStart, late, kUrgent, 1, 5, true).m_decision,
            AdmissionDecision::kRefused);
  const auto urgent_call = gate.Admit(kStart, late, kUrgent, 1, 4, true);
  EXPECT_EQ(urgent_call.m_changes.m_refused, std::vector{call.m_ticket});
}

TEST(StarvationGuardTest, HoldsABoundedNumberOfAccounts) {
  StarvationGuard guard({.m_max_accounts = 100});
  for (uint64_t account = 0; account < 10000; ++account) {
    guard.OnAsked(AccountId(account), kStart + milliseconds(account));
    EXPECT_LE(guard.AccountCount(), 100U);
  }
}

}  // namespace
}  // namespace sequoiastage
