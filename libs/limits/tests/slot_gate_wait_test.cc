#include <gtest/gtest.h>

#include <optional>
#include <vector>

#include "sequoiastage/limits/slot_gate.h"

namespace sequoiastage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr TimePoint kLate = kStart + seconds(10);
constexpr AccountId kOne(1);
constexpr AccountId kOther(2);

// One slot that takes 100 ms; its queue holds four requests without a bound.
class SlotGateWaitTest : public testing::Test {
 protected:
  SlotGateWaitTest() : m_running(m_gate.Admit(kStart, kLate, kOne)) {}

  AdmissionResult Admit(std::optional<Duration> max_wait,
                        uint8_t urgency = 1,
                        AccountId account = kOne) {
    return m_gate.Admit(kStart, kLate, account, 1, urgency, false, max_wait);
  }

  // Number of requests with this bound that are queued before one is refused.
  int CountQueued(std::optional<Duration> max_wait) {
    int count = 0;
    while (Admit(max_wait).m_decision == AdmissionDecision::kQueued) {
      ++count;
    }
    return count;
  }

  SlotGate m_gate{{.m_slots = 1,
                   .m_max_wait = milliseconds(400),
                   .m_initial_service_time = milliseconds(100)}};
  AdmissionResult m_running;
};

// A fixed bound refuses requests that had the time to wait for the end of a
// wave of demand.
TEST_F(SlotGateWaitTest, LongerBoundMeansLongerQueue) {
  EXPECT_EQ(CountQueued(milliseconds(200)), 2);
  EXPECT_EQ(CountQueued(seconds(1)), 8);
  EXPECT_EQ(CountQueued(std::nullopt), 0);
}

TEST_F(SlotGateWaitTest, RequestsWithoutABoundWaitAsBefore) {
  EXPECT_EQ(CountQueued(std::nullopt), 4);
  EXPECT_FALSE(m_gate.TimeToTick(kStart));
}

// The estimate can be wrong, for example while the instance hangs. Without a
// tick the refusal would come when the slot becomes free.
TEST_F(SlotGateWaitTest, RequestIsRefusedWhenItHasWaitedUpToItsBound) {
  const auto queued = Admit(milliseconds(150));
  ASSERT_EQ(queued.m_decision, AdmissionDecision::kQueued);
  EXPECT_EQ(m_gate.TimeToTick(kStart), milliseconds(150));
  EXPECT_TRUE(m_gate.OnTick(kStart + milliseconds(149)).m_refused.empty());
  EXPECT_EQ(m_gate.OnTick(kStart + milliseconds(150)).m_refused,
            std::vector{queued.m_ticket});
  EXPECT_FALSE(m_gate.TimeToTick(kStart + milliseconds(150)));
}

// Less urgent requests with a long bound must not use up the queue for urgent
// ones with a short bound.
TEST_F(SlotGateWaitTest, UrgentRequestWaitsOnlyForItsOwnRank) {
  while (Admit(seconds(1), 2).m_decision == AdmissionDecision::kQueued) {
  }
  ASSERT_EQ(m_gate.Queued(), 10U);
  const auto urgent = Admit(milliseconds(100), 1);
  EXPECT_EQ(urgent.m_decision, AdmissionDecision::kQueued);
  EXPECT_EQ(urgent.m_changes.m_refused.size(), 1U);
  EXPECT_EQ(m_gate.Queued(), 10U);
}

// Of two equal routes, the one with the long objective must not fill the queue
// so that all requests of the other one are refused.
TEST_F(SlotGateWaitTest, ShortBoundGoesBeforeLongOnes) {
  const auto first = Admit(seconds(1));
  while (Admit(seconds(1)).m_decision == AdmissionDecision::kQueued) {
  }
  ASSERT_EQ(m_gate.Queued(), 10U);
  const auto urgent = Admit(milliseconds(200));
  ASSERT_EQ(urgent.m_decision, AdmissionDecision::kQueued);
  ASSERT_EQ(urgent.m_changes.m_refused.size(), 1U);
  EXPECT_NE(urgent.m_changes.m_refused[0], first.m_ticket);
  const GateChanges changes =
      m_gate.OnFinish(m_running.m_ticket, kStart + milliseconds(100));
  EXPECT_EQ(changes.m_started, std::vector{urgent.m_ticket});
}

// Queues of an account with long bounds must not keep out an account that uses
// less.
TEST_F(SlotGateWaitTest, AccountWithLessUsageDisplacesLongQueue) {
  CountQueued(seconds(1));
  const auto other = Admit(milliseconds(100), 1, kOther);
  EXPECT_EQ(other.m_decision, AdmissionDecision::kQueued);
  EXPECT_EQ(other.m_changes.m_refused.size(), 1U);
}

// A call waits until its deadline; a bound would end the run that makes it.
TEST_F(SlotGateWaitTest, CallsAreNotBounded) {
  const auto call =
      m_gate.Admit(kStart, kLate, kOne, 1, 1, true, milliseconds(10));
  EXPECT_EQ(call.m_decision, AdmissionDecision::kQueued);
  EXPECT_TRUE(m_gate.OnTick(kStart + seconds(5)).m_refused.empty());
}

}  // namespace
}  // namespace sequoiastage
