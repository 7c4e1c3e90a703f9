#include <gtest/gtest.h>

#include <memory>

#include "egress_fixture.h"

namespace sequoiastage {
namespace {

class MeshEgressWaitTest : public MeshEgressTest {
 protected:
  // `manages`: whether the configuration manages load.
  void SetConfig(bool manages) {
    TrafficConfig config{.m_services = {"plans"}};
    if (manages) {
      config.m_accounts = {{.m_name = "ferries", .m_keys = {"secret"}}};
    }
    m_egress.SetConfig(std::make_shared<const TrafficConfig>(config));
  }

  // Fills the slots; the instance answers none of the requests.
  void FillSlots() {
    m_instance.m_behavior = [](const HttpRequest&, const StreamResponder&) {
      return CancelHook();
    };
    Send(MakeWaitingOffer(1, 0));
    Send(MakeWaitingOffer(2, 0));
  }

  OfferMessage MakeWaitingOffer(uint64_t number, uint32_t max_wait_ms) {
    OfferMessage offer = MakeOffer(number);
    offer.m_may_wait = true;
    offer.m_time_left_ms = 5000;
    offer.m_max_wait_ms = max_wait_ms;
    return offer;
  }
};

// The estimated service time is 50 ms, so that a slot is expected in 25 ms.
TEST_F(MeshEgressWaitTest, RefusesAtOnceWhenTheExpectedWaitIsLonger) {
  SetConfig(true);
  FillSlots();
  Send(MakeWaitingOffer(3, 10));
  EXPECT_EQ(m_replies.back().m_verdict, OfferVerdict::kRefused);
  EXPECT_EQ(m_replies.back().m_reason, AttemptReason::kBusy);
  Send(MakeWaitingOffer(4, 1000));
  EXPECT_EQ(m_replies.back().m_verdict, OfferVerdict::kQueued);
}

// The instance hangs, so that no other event would end the wait.
TEST_F(MeshEgressWaitTest, RefusesARequestThatHasWaitedUpToItsBound) {
  SetConfig(true);
  FillSlots();
  const TimePoint start = BootNow();
  Send(MakeWaitingOffer(3, 100));
  ASSERT_EQ(m_replies.back().m_verdict, OfferVerdict::kQueued);
  ASSERT_TRUE(RunUntil(m_io, [this] {
    return m_replies.back().m_verdict == OfferVerdict::kRefused;
  }));
  EXPECT_EQ(m_replies.back().m_reason, AttemptReason::kBusy);
  EXPECT_GE(BootNow() - start, std::chrono::milliseconds(100));
  EXPECT_LT(BootNow() - start, std::chrono::seconds(1));
  EXPECT_EQ(m_egress.WorkCount(), 2U);
}

TEST_F(MeshEgressWaitTest, BoundIsIgnoredWithoutManagedLoad) {
  SetConfig(false);
  FillSlots();
  Send(MakeWaitingOffer(3, 10));
  EXPECT_EQ(m_replies.back().m_verdict, OfferVerdict::kQueued);
  RunUntil(
      m_io, [] { return false; }, std::chrono::milliseconds(50));
  EXPECT_EQ(m_replies.back().m_verdict, OfferVerdict::kQueued);
}

}  // namespace
}  // namespace sequoiastage
