#include "../src/egress_p.h"

#include <gtest/gtest.h>

#include <optional>

namespace sequoiastage {
namespace {

constexpr Incarnation kOwn{7};
constexpr ServiceId kService{1};

InstanceId At(uint16_t port) {
  return InstanceId(Endpoint{.m_ip = 0x7f000001, .m_port = port});
}

const LocalInstance kInstance{.m_id = At(9),
                              .m_service = kService,
                              .m_incarnation = Incarnation(1),
                              .m_slots = 1};

class EgressTest : public testing::Test {
 protected:
  EgressTest() : m_egress(m_io, kOwn) { SetQueueLength(0); }

  void SetQueueLength(uint16_t length) {
    LocalInstance instance = kInstance;
    instance.m_queue_length = length;
    m_egress.SetInstances({instance});
  }

  JudgeReport Judged() const { return m_egress.Reports().front().m_judge; }

  // Result of a dispatch that is refused at once; empty when it is not.
  std::optional<ResultMessage> Dispatch(uint64_t counter) {
    std::optional<ResultMessage> result;
    Dispatch(counter, result);
    return std::exchange(result, std::nullopt);
  }

  // The result, whenever it comes, goes to `result`, which has to outlive it.
  void Dispatch(uint64_t counter, std::optional<ResultMessage>& result) {
    const auto deadline = WallNow() + std::chrono::seconds(5);
    m_egress.Dispatch(
        {.m_attempt = {.m_incarnation = Incarnation(1), .m_counter = counter},
         .m_egress_incarnation = kOwn,
         .m_service = kService,
         .m_instance = At(9),
         .m_is_idempotent = true,
         .m_deadline_ms = deadline.time_since_epoch().count(),
         .m_request = {.m_method = "GET", .m_target = "/"}},
        [&result](ResultMessage got) { result = std::move(got); });
  }

  asio::io_context m_io;
  Egress m_egress;
};

TEST_F(EgressTest, ARefusalNamesTheBestInstancesElsewhere) {
  m_egress.SetSiblings(
      kService,
      {{.m_instance = At(1), .m_slots = 3, .m_in_use = 3},
       {.m_instance = At(2), .m_slots = 3, .m_is_suspect = true},
       {.m_instance = At(3), .m_slots = 3, .m_in_use = 1},
       {.m_instance = At(4), .m_slots = 3},
       {.m_instance = At(5), .m_slots = 3, .m_in_use = 3, .m_queued = 2}});
  ASSERT_FALSE(Dispatch(1).has_value());
  const auto refused = Dispatch(2);
  ASSERT_TRUE(refused.has_value());
  EXPECT_EQ(refused->m_result, AttemptResult::kNotStarted);
  EXPECT_EQ(refused->m_reason, AttemptReason::kBusy);
  std::vector<InstanceId> named;
  for (const InstanceLoad& load : refused->m_loads) {
    named.push_back(load.m_instance);
  }
  EXPECT_EQ(named, (std::vector<InstanceId>{At(9), At(4), At(3), At(1)}));
}

// An instance may announce itself before the node has a configuration.
TEST_F(EgressTest, AQueueLengthSetLaterIsInForceAtOnce) {
  ASSERT_FALSE(Dispatch(1).has_value());
  ASSERT_TRUE(Dispatch(2).has_value());
  SetQueueLength(1);
  EXPECT_FALSE(Dispatch(3).has_value());
  EXPECT_TRUE(Dispatch(4).has_value());
}

TEST_F(EgressTest, AShorterQueueRefusesWhatWaitsBeyondIt) {
  SetQueueLength(2);
  ASSERT_FALSE(Dispatch(1).has_value());
  std::optional<ResultMessage> second;
  std::optional<ResultMessage> third;
  Dispatch(2, second);
  Dispatch(3, third);
  ASSERT_FALSE(third.has_value());
  SetQueueLength(1);
  EXPECT_FALSE(second.has_value());
  ASSERT_TRUE(third.has_value());
  EXPECT_EQ(third->m_result, AttemptResult::kNotStarted);
}

TEST_F(EgressTest, NothingNewIsStartedWhileDraining) {
  m_egress.SetDraining(true);
  const auto refused = Dispatch(1);
  ASSERT_TRUE(refused.has_value());
  EXPECT_EQ(refused->m_result, AttemptResult::kNotStarted);
  EXPECT_EQ(refused->m_reason, AttemptReason::kDraining);
  EXPECT_EQ(m_egress.InFlight(), 0U);
}

// Where too few are left, an ejected instance is in service again; that ends no
// ejection, and when it is excluded again, that is no new one.
TEST_F(EgressTest, AnEjectionStandsWhileTheFloorKeepsItsInstanceInService) {
  LocalInstance instance = kInstance;
  instance.m_is_ejected = true;
  instance.m_is_excluded = true;
  m_egress.SetInstances({instance});
  EXPECT_TRUE(Judged().m_is_ejected);
  EXPECT_TRUE(Dispatch(1).has_value());
  instance.m_is_excluded = false;
  m_egress.SetInstances({instance});
  EXPECT_TRUE(Judged().m_is_ejected);
}

// As after a restart of the node.
TEST_F(EgressTest, AnInstanceThatComesEjectedIsJudgedEjected) {
  m_egress.SetInstances({});
  LocalInstance instance = kInstance;
  instance.m_is_ejected = true;
  m_egress.SetInstances({instance});
  EXPECT_TRUE(Judged().m_is_ejected);
}

}  // namespace
}  // namespace sequoiastage
