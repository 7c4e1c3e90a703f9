#include "sequoiastage/limits/rate_limiter.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <deque>
#include <optional>
#include <random>
#include <vector>

#include "sequoiastage/limits/slot_gate.h"

namespace sequoiastage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

// Largest number of these times in any window of 4 s; they are in order.
size_t MaxInWindow(const std::vector<TimePoint>& times) {
  std::deque<TimePoint> window;
  size_t max = 0;
  for (const TimePoint time : times) {
    window.push_back(time);
    while (time - window.front() > seconds(4)) {
      window.pop_front();
    }
    max = std::max(max, window.size());
  }
  return max;
}

TEST(RateLimiterTest, WithoutARateNothingWaits) {
  RateLimiter limiter;
  limiter.OnStart(kStart);
  EXPECT_EQ(limiter.WaitTime(kStart, 100), Duration{});
}

TEST(RateLimiterTest, FirstLimitStartsWithOneToken) {
  RateLimiter limiter;
  limiter.SetRate(RequestRate(10), kStart);
  EXPECT_EQ(limiter.WaitTime(kStart), Duration{});
  limiter.OnStart(kStart);
  EXPECT_EQ(limiter.WaitTime(kStart), milliseconds(100));
  EXPECT_EQ(limiter.WaitTime(kStart, 2), milliseconds(300));
}

TEST(RateLimiterTest, LowerLimitShrinksTheBucket) {
  RateLimiter limiter;
  limiter.SetRate(RequestRate(20), kStart);
  const TimePoint now = kStart + seconds(5);
  limiter.SetRate(RequestRate(2), now);
  EXPECT_EQ(limiter.WaitTime(now, 1), Duration{});
  EXPECT_GT(limiter.WaitTime(now, 2), Duration{});
}

// The responses are the only way to learn that the limit was raised again.
TEST(RateLimiterTest, LimitOfZeroLetsRareRequestsPass) {
  RateLimiter limiter;
  limiter.SetRate(RequestRate(0), kStart);
  limiter.OnStart(kStart);
  EXPECT_EQ(limiter.WaitTime(kStart), seconds(4));
}

RC_GTEST_PROP(RateLimiterTest, KeepsAnyRateInAnyWindow, ()) {
  const double rate = *rc::gen::inRange(1, 200) / 10.0;
  RateLimiter limiter;
  limiter.SetRate(RequestRate(rate), kStart);
  std::vector<TimePoint> starts;
  TimePoint now = kStart;
  std::mt19937_64 random(*rc::gen::arbitrary<uint64_t>());
  std::bernoulli_distribution is_pause(0.1);
  std::uniform_int_distribution<int> pause_ms(0, 3000);
  std::uniform_int_distribution<int> gap_ms(1, 40);
  while (now < kStart + seconds(20)) {
    // Bursts with pauses.
    now += milliseconds(is_pause(random) ? pause_ms(random) : gap_ms(random));
    const Duration wait = limiter.WaitTime(now);
    if (wait == Duration{}) {
      limiter.OnStart(now);
      starts.push_back(now);
    } else {
      RC_ASSERT(limiter.WaitTime(now + wait) == Duration{});
    }
  }
  RC_ASSERT(static_cast<double>(MaxInWindow(starts)) <= 1.5 * rate * 4 + 5);
}

// Replays one request every 5 ms for 12 s to an instance that limits its rate,
// far above the limit. At `restart` the process, and with it the gate, is
// replaced; the new one learns the limit from the first response. Returns when
// requests started.
std::vector<TimePoint> OverrunGate(RequestRate limit, TimePoint restart) {
  constexpr uint32_t kSlots = 8;
  constexpr uint32_t kUnprovenSlots = 2;
  constexpr Duration kServiceTime = milliseconds(120);
  struct Running {
    Ticket m_ticket;
    TimePoint m_end;
  };
  std::optional<SlotGate> gate(SlotGate({.m_slots = kSlots}));
  gate->SetRate(limit, kStart);
  std::deque<Running> running;
  std::vector<TimePoint> starts;
  TimePoint now = kStart;
  const auto start_all = [&](const std::vector<Ticket>& tickets) {
    for (const Ticket ticket : tickets) {
      running.push_back({ticket, now + kServiceTime});
      starts.push_back(now);
    }
  };
  bool has_restarted = false;
  for (; now < kStart + seconds(12); now += milliseconds(5)) {
    while (!running.empty() && running.front().m_end <= now) {
      const Running end = running.front();
      running.pop_front();
      if (!gate->Rate()) {
        start_all(gate->SetRate(limit, now).m_started);
      }
      start_all(gate->Resize(kSlots, now).m_started);
      start_all(gate->OnFinish(end.m_ticket, now).m_started);
    }
    if (!has_restarted && now >= restart) {
      has_restarted = true;
      running.clear();
      gate.emplace(SlotGateOptions{.m_slots = kUnprovenSlots});
    }
    const AdmissionResult result =
        gate->Admit(now, now + seconds(2), AccountId());
    start_all(result.m_changes.m_started);
    if (result.m_decision == AdmissionDecision::kAdmitted) {
      start_all({result.m_ticket});
    }
    start_all(gate->OnTick(now).m_started);
  }
  return starts;
}

// Callers of all hosts overrun an instance that limits its rate, and the
// process that counts the requests restarts.
RC_GTEST_PROP(RateLimiterTest, GateKeepsTheLimitThroughARestart, ()) {
  const double limit = *rc::gen::inRange(2, 100) / 10.0;
  const auto starts = OverrunGate(
      RequestRate(limit), kStart + milliseconds(*rc::gen::inRange(1000, 9000)));
  RC_ASSERT(static_cast<double>(MaxInWindow(starts)) <= 1.5 * limit * 4 + 5);
  // The rate that the instance grants is used.
  RC_ASSERT(static_cast<double>(starts.size()) >= 0.8 * limit * 11);
}

TEST(SlotGateTest, QueuedRequestStartsWhenTheRateAllowsIt) {
  SlotGate gate({.m_slots = 3});
  gate.SetRate(RequestRate(4), kStart);
  const TimePoint late = kStart + seconds(9);
  ASSERT_EQ(gate.Admit(kStart, late, AccountId()).m_decision,
            AdmissionDecision::kAdmitted);
  EXPECT_EQ(gate.ExpectedWait(kStart), milliseconds(250));
  const auto queued = gate.Admit(kStart, late, AccountId());
  ASSERT_EQ(queued.m_decision, AdmissionDecision::kQueued);
  EXPECT_FALSE(gate.IsWaitingForSlot());
  EXPECT_EQ(gate.TimeToTick(kStart), milliseconds(250));
  EXPECT_TRUE(gate.OnTick(kStart + milliseconds(249)).m_started.empty());
  EXPECT_EQ(gate.OnTick(kStart + milliseconds(250)).m_started,
            std::vector{queued.m_ticket});
  EXPECT_FALSE(gate.TimeToTick(kStart + milliseconds(250)));
}

// What the rate can't serve before its deadline is refused at once.
TEST(SlotGateTest, RefusesWhatTheRateCannotServeInTime) {
  SlotGate gate({.m_slots = 3});
  gate.SetRate(RequestRate(1), kStart);
  gate.Admit(kStart, kStart + seconds(9), AccountId());
  EXPECT_EQ(
      gate.Admit(kStart, kStart + milliseconds(900), AccountId()).m_decision,
      AdmissionDecision::kRefused);
}

TEST(SlotGateTest, LowerRateRefusesTheNewestExcessRequests) {
  SlotGate gate({.m_slots = 3, .m_max_wait = seconds(1)});
  const TimePoint late = kStart + seconds(30);
  gate.SetRate(RequestRate(10), kStart);
  gate.Admit(kStart, late, AccountId());
  const auto first = gate.Admit(kStart, late, AccountId());
  const auto second = gate.Admit(kStart, late, AccountId());
  ASSERT_EQ(second.m_decision, AdmissionDecision::kQueued);
  EXPECT_EQ(gate.SetRate(RequestRate(0.5), kStart).m_refused,
            std::vector{second.m_ticket});
  EXPECT_EQ(gate.SetRate({}, kStart).m_started, std::vector{first.m_ticket});
}

}  // namespace
}  // namespace sequoiastage
