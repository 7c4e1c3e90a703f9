#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>

#include "egress_fixture.h"

namespace sequoiastage {
namespace {

class MeshEgressSharingTest : public MeshEgressTest {
 protected:
  // `has_accounts`: whether the configuration manages load.
  void SetConfig(bool has_accounts) {
    TrafficConfig config{.m_services = {"plans", "trips"}};
    if (has_accounts) {
      config.m_accounts = {{.m_name = "ferries", .m_keys = {"secret"}}};
    }
    m_egress.SetConfig(std::make_shared<const TrafficConfig>(config));
  }

  // Requests stay at the instance.
  void KeepRequests() {
    m_instance.m_behavior = [](const HttpRequest&, const StreamResponder&) {
      return CancelHook();
    };
  }

  OfferMessage MakeEntry(uint64_t number, const std::string& route) {
    OfferMessage offer = MakeOffer(number);
    offer.m_route = route;
    return offer;
  }

  OfferMessage MakeCall(uint64_t number) {
    OfferMessage offer = MakeOffer(number);
    offer.m_is_call = true;
    offer.m_may_wait = true;
    offer.m_time_left_ms = 5000;
    return offer;
  }

  OfferMessage MakeRetriedCall(uint64_t number) {
    OfferMessage offer = MakeCall(number);
    offer.m_is_extra_attempt = true;
    return offer;
  }

  void RefuseCallOf(const std::string& route) {
    m_egress.OnCallEnd({.m_route = route,
                        .m_service = MakeServiceId("trips"),
                        .m_result = CallResult::kRefused});
  }

  void EndCall(const std::string& id, CallResult result, bool is_success) {
    m_egress.OnCallEnd({.m_route = "entry",
                        .m_service = MakeServiceId("trips"),
                        .m_result = result,
                        .m_is_success = is_success,
                        .m_request_id = id});
  }

  // Empty when no running request has made the call.
  std::optional<bool> HasServedCall(const std::string& call_id) const {
    const auto parent = m_egress.FindParent(call_id);
    return parent ? std::optional(parent->m_has_served_call) : std::nullopt;
  }
};

// New requests wait for a slot; then a running request makes a call.
TEST_F(MeshEgressSharingTest, CallGoesBeforeWaitingNewRequests) {
  SetConfig(true);
  ASSERT_TRUE(FillSlotsAndQueue());
  OfferMessage call = MakeCall(9);
  call.m_urgency = 7;
  Send(call);
  ASSERT_EQ(m_replies.back().m_verdict, OfferVerdict::kQueued);
  EXPECT_EQ(m_egress.Stats().m_queued_calls, 1U);
  m_egress.OnWithdraw(kPeer, AttemptNumber(1));
  ASSERT_EQ(m_replies.back().m_verdict, OfferVerdict::kStarted);
  EXPECT_EQ(m_replies.back().m_attempt, AttemptNumber(9));
}

// The calls of a route are refused, so further requests would be lost too after
// they began.
TEST_F(MeshEgressSharingTest, RequestsOfAShortRouteAreRefusedBeforeTheyStart) {
  SetConfig(true);
  KeepRequests();
  Send(MakeEntry(1, "entry"));
  ASSERT_EQ(m_replies.back().m_verdict, OfferVerdict::kStarted);
  RefuseCallOf("entry");
  Send(MakeEntry(2, "entry"));
  EXPECT_EQ(m_replies.back().m_verdict, OfferVerdict::kRefused);
  EXPECT_EQ(m_replies.back().m_reason, AttemptReason::kDownstreamBusy);
  EXPECT_GE(m_replies.back().m_load_report.m_expected_wait_ms, 100);
  const EgressStats stats = m_egress.Stats();
  ASSERT_EQ(stats.m_limited_routes.size(), 1U);
  EXPECT_EQ(stats.m_limited_routes[0].m_route, "entry");
  EXPECT_EQ(stats.m_downstream_refused, 1U);
  Send(MakeEntry(3, "other"));
  EXPECT_EQ(m_replies.back().m_verdict, OfferVerdict::kStarted);
}

// Services that call each other would block each other if calls were limited.
TEST_F(MeshEgressSharingTest, CallsAreNeverLimited) {
  SetConfig(true);
  KeepRequests();
  Send(MakeEntry(1, "entry"));
  RefuseCallOf("entry");
  OfferMessage call = MakeCall(2);
  call.m_route = "entry";
  Send(call);
  EXPECT_EQ(m_replies.back().m_verdict, OfferVerdict::kStarted);
}

// Running requests must be counted exactly, however they end; otherwise a
// limited route stays blocked.
TEST_F(MeshEgressSharingTest, EndedRequestsMakeRoomForOthers) {
  SetConfig(true);
  KeepRequests();
  Send(MakeEntry(1, "entry"));
  Send(MakeEntry(2, "entry"));
  OfferMessage queued = MakeEntry(3, "entry");
  queued.m_may_wait = true;
  Send(queued);
  ASSERT_EQ(m_replies.back().m_verdict, OfferVerdict::kQueued);
  RefuseCallOf("entry");
  EXPECT_EQ(m_egress.Stats().m_limited_routes[0].m_running, 3U);
  m_egress.OnWithdraw(kPeer, AttemptNumber(3));
  m_egress.OnWithdraw(kPeer, AttemptNumber(1));
  m_egress.OnWithdraw(kPeer, AttemptNumber(2));
  EXPECT_EQ(m_egress.Stats().m_limited_routes[0].m_running, 0U);
  Send(MakeEntry(4, "entry"));
  EXPECT_EQ(m_replies.back().m_verdict, OfferVerdict::kStarted);
}

TEST_F(MeshEgressSharingTest, NothingIsLimitedWithoutManagedLoad) {
  SetConfig(false);
  KeepRequests();
  Send(MakeEntry(1, "entry"));
  RefuseCallOf("entry");
  Send(MakeEntry(2, "entry"));
  EXPECT_EQ(m_replies.back().m_verdict, OfferVerdict::kStarted);
  EXPECT_TRUE(m_egress.Stats().m_limited_routes.empty());
}

// A new configuration without accounts must lift what the last one imposed.
TEST_F(MeshEgressSharingTest, LimitsEndWithManagedLoad) {
  SetConfig(true);
  KeepRequests();
  Send(MakeEntry(1, "entry"));
  RefuseCallOf("entry");
  SetConfig(false);
  Send(MakeEntry(2, "entry"));
  EXPECT_EQ(m_replies.back().m_verdict, OfferVerdict::kStarted);
  SetConfig(true);
  EXPECT_TRUE(m_egress.Stats().m_limited_routes.empty());
}

// Retries that are queued and then withdrawn did not reach the instance. They
// used up the budget of the window.
TEST_F(MeshEgressSharingTest, RetryThatDidNotStartIsGivenBack) {
  SetConfig(true);
  KeepRequests();
  Send(MakeCall(1));
  Send(MakeCall(2));
  uint64_t number = 3;
  const auto count_queued = [&] {
    const uint64_t first = number;
    m_replies.clear();
    for (; number < first + 80; ++number) {
      Send(MakeRetriedCall(number));
    }
    for (uint64_t sent = first; sent < number; ++sent) {
      m_egress.OnWithdraw(kPeer, AttemptNumber(sent));
    }
    return std::count_if(m_replies.begin(), m_replies.end(),
                         [](const OfferReplyMessage& reply) {
                           return reply.m_verdict == OfferVerdict::kQueued;
                         });
  };
  const auto granted = count_queued();
  EXPECT_GT(granted, 0);
  EXPECT_LT(granted, 80);
  EXPECT_EQ(m_replies.back().m_reason, AttemptReason::kRetryBudget);
  EXPECT_EQ(count_queued(), granted);
}

// A call that finds no place in the queue before its deadline is offered again
// and again.
TEST_F(MeshEgressSharingTest, RetryWithoutAPlaceInTheQueueIsGivenBack) {
  SetConfig(true);
  KeepRequests();
  for (const uint64_t number : {1, 2, 3}) {
    Send(MakeCall(number));
  }
  for (uint64_t number = 4; number < 204; ++number) {
    OfferMessage retry = MakeRetriedCall(number);
    retry.m_time_left_ms = 10;
    Send(std::move(retry));
    ASSERT_EQ(m_replies.back().m_verdict, OfferVerdict::kRefused);
    ASSERT_EQ(m_replies.back().m_reason, AttemptReason::kBusy) << number;
  }
}

// A retry that was sent to the instance counts, whatever becomes of it.
TEST_F(MeshEgressSharingTest, StartedRetryIsNotGivenBack) {
  SetConfig(true);
  KeepRequests();
  uint64_t number = 1;
  for (; number < 200; ++number) {
    Send(MakeRetriedCall(number));
    if (m_replies.back().m_verdict == OfferVerdict::kRefused) {
      break;
    }
    ASSERT_EQ(m_replies.back().m_verdict, OfferVerdict::kStarted);
    m_egress.OnWithdraw(kPeer, AttemptNumber(number));
  }
  EXPECT_LT(number, 200U);
  EXPECT_EQ(m_replies.back().m_reason, AttemptReason::kRetryBudget);
}

TEST_F(MeshEgressSharingTest, ParentTellsItsRoute) {
  SetConfig(true);
  KeepRequests();
  OfferMessage offer = MakeEntry(1, "entry");
  offer.m_request_id = "a";
  Send(offer);
  ASSERT_TRUE(m_egress.FindParent("a.1"));
  EXPECT_EQ(m_egress.FindParent("a.1")->m_route, "entry");
}

// Precedence must be given only to requests that lose work already done. "1"
// and "11" check that ids are compared as a whole.
TEST_F(MeshEgressSharingTest, ParentTellsWhetherACallWasServed) {
  SetConfig(true);
  KeepRequests();
  Send(MakeEntry(1, "entry"));
  Send(MakeEntry(11, "entry"));
  ASSERT_EQ(m_replies.back().m_verdict, OfferVerdict::kStarted);
  EXPECT_EQ(HasServedCall("1.1"), false);
  EndCall("1.1", CallResult::kRefused, false);
  EXPECT_EQ(HasServedCall("1.2"), false);
  EndCall("11.1", CallResult::kServed, true);
  EXPECT_EQ(HasServedCall("1.2"), false);
  EXPECT_EQ(HasServedCall("11.2"), true);
  EndCall("1.2", CallResult::kServed, true);
  EXPECT_EQ(HasServedCall("1.3"), true);
  EXPECT_EQ(HasServedCall("2.1"), std::nullopt);
}

// A call that waited long has done its work as well, and a refused call
// afterwards does not undo it.
TEST_F(MeshEgressSharingTest, DelayedCallCountsAsServed) {
  SetConfig(true);
  KeepRequests();
  Send(MakeEntry(1, "entry"));
  EndCall("1.1", CallResult::kDelayed, true);
  EXPECT_EQ(HasServedCall("1.2"), true);
  EndCall("1.2", CallResult::kRefused, false);
  EXPECT_EQ(HasServedCall("1.3"), true);
}

// Guards against a served call of a nested request that counts for the request
// above it, or the other way round.
TEST_F(MeshEgressSharingTest, NestedCallBelongsToTheNestedRequest) {
  SetConfig(true);
  KeepRequests();
  OfferMessage outer = MakeEntry(1, "entry");
  outer.m_request_id = "a";
  outer.m_urgency = 2;
  Send(outer);
  OfferMessage inner = MakeCall(2);
  inner.m_request_id = "a.b";
  inner.m_urgency = 6;
  Send(inner);
  EndCall("a.b.1", CallResult::kServed, true);
  EXPECT_EQ(HasServedCall("a.b.2"), true);
  EXPECT_EQ(HasServedCall("a.c"), false);
  EXPECT_EQ(m_egress.FindParent("a.b.2")->m_urgency, 6);
  EXPECT_EQ(m_egress.FindParent("a.c")->m_urgency, 2);
}

// A request whose first call ended with a server error has no work of an
// earlier call to lose.
TEST_F(MeshEgressSharingTest, ServerErrorIsNoServedCall) {
  SetConfig(true);
  KeepRequests();
  Send(MakeEntry(1, "entry"));
  EndCall("1.1", CallResult::kServed, false);
  EXPECT_EQ(HasServedCall("1.2"), false);
}

// Calls of calls have no route. All of them together must not become a route
// that is limited.
TEST_F(MeshEgressSharingTest, CallsOfCallsAreNotLearnedAsARoute) {
  SetConfig(true);
  KeepRequests();
  Send(MakeCall(1));
  ASSERT_EQ(m_replies.back().m_verdict, OfferVerdict::kStarted);
  m_egress.OnCallEnd({.m_service = MakeServiceId("trips"),
                      .m_result = CallResult::kRefused,
                      .m_request_id = "1.1"});
  EXPECT_TRUE(m_egress.Stats().m_limited_routes.empty());
  m_egress.OnCallEnd({.m_service = MakeServiceId("trips"),
                      .m_is_success = true,
                      .m_request_id = "1.2"});
  EXPECT_TRUE(m_egress.Stats().m_limited_routes.empty());
  EXPECT_EQ(HasServedCall("1.3"), true);
}

// Earlier deployments must be served as before.
TEST_F(MeshEgressSharingTest, ServedCallsAreNotRecordedWithoutManagedLoad) {
  SetConfig(false);
  KeepRequests();
  Send(MakeEntry(1, "entry"));
  EndCall("1.1", CallResult::kServed, true);
  EXPECT_EQ(HasServedCall("1.2"), false);
}

}  // namespace
}  // namespace sequoiastage
