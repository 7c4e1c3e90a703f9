#include "sequoiastage/mesh/egress.h"

#include <gtest/gtest.h>

#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <thread>

#include "fake_platform.h"

namespace sequoiastage {
namespace {

constexpr PeerKey kPeer{.m_node = NodeId(Endpoint{.m_ip = 1, .m_port = 1}),
                        .m_run = Incarnation(7)};

class MeshEgressTest : public testing::Test {
 protected:
  MeshEgressTest()
      : m_instance(m_io, {.m_ip = TestIp(1), .m_port = 9000}),
        m_egress(m_io, {}, [this] { ++m_mismatches; }) {
    m_announcement.m_name = "i-1";
    m_announcement.m_address = m_instance.m_endpoint;
    m_announcement.m_service = "plans";
    m_announcement.m_slots = 2;
    m_egress.SetInstance(&m_announcement);
  }

  OfferMessage Offer(uint64_t number, bool is_repeatable = true) {
    OfferMessage offer{.m_attempt = AttemptNumber(number),
                       .m_service = ServiceIdOf("plans"),
                       .m_instance = "i-1",
                       .m_is_idempotent = is_repeatable,
                       .m_starts_immediately = is_repeatable,
                       .m_time_left_ms = 1000,
                       .m_caller_service = "homes",
                       .m_request_id = std::to_string(number)};
    offer.m_request = Request(number);
    return offer;
  }

  static HttpRequest Request(uint64_t number) {
    return {.m_method = "POST",
            .m_target = "/x/",
            .m_fields = {{"Host", "a"}, {"id", std::to_string(number)}},
            .m_body = "b" + std::to_string(number)};
  }

  void Send(OfferMessage offer) {
    m_egress.OnOffer(kPeer, std::move(offer), Sink());
  }

  MessageSink Sink() {
    return [this](const Message& message) {
      if (const auto* reply = std::get_if<OfferReplyMessage>(&message)) {
        m_replies.push_back(*reply);
      } else if (const auto* end = std::get_if<OutcomeMessage>(&message)) {
        m_outcomes.push_back(*end);
      }
    };
  }

  bool WaitForOutcomes(size_t count) {
    return RunUntil(m_io, [&] { return m_outcomes.size() >= count; });
  }

  asio::io_context m_io;
  FakeInstance m_instance;
  InstanceAnnouncement m_announcement;
  int m_mismatches = 0;
  Egress<FakeCodec> m_egress;
  std::vector<OfferReplyMessage> m_replies;
  std::vector<OutcomeMessage> m_outcomes;
};

TEST_F(MeshEgressTest, RunsARepeatableOfferAtOnce) {
  Send(Offer(1));
  ASSERT_TRUE(WaitForOutcomes(1));
  EXPECT_EQ(m_replies[0].m_verdict, OfferVerdict::kStarted);
  EXPECT_EQ(m_outcomes[0].m_result, AttemptResult::kAnswered);
  EXPECT_EQ(m_outcomes[0].m_response.m_body, "answer to b1");
  EXPECT_EQ(FakeCodec::Field(m_instance.m_requests[0].m_fields, "from"),
            "homes");
}

TEST_F(MeshEgressTest, RunsOtherWorkOnlyWhenItIsStarted) {
  Send(Offer(1, false));
  ASSERT_TRUE(WaitForOutcomes(1));
  EXPECT_TRUE(m_instance.m_requests.empty());
  EXPECT_EQ(m_replies[0].m_verdict, OfferVerdict::kReady);
  EXPECT_EQ(m_outcomes[0].m_result, AttemptResult::kNotStarted);
  Send(Offer(2, false));
  m_egress.OnStart(kPeer, {.m_attempt = AttemptNumber(2),
                           .m_time_left_ms = 500,
                           .m_request = Request(2)});
  ASSERT_TRUE(WaitForOutcomes(2));
  EXPECT_EQ(m_outcomes[1].m_result, AttemptResult::kAnswered);
  EXPECT_EQ(m_instance.m_requests.size(), 1U);
}

TEST_F(MeshEgressTest, StartAfterWithdrawalRunsNothing) {
  Send(Offer(1, false));
  m_egress.OnWithdraw(kPeer, AttemptNumber(1));
  m_egress.OnStart(kPeer, {.m_attempt = AttemptNumber(1),
                           .m_time_left_ms = 500,
                           .m_request = Request(1)});
  RunUntil(
      m_io, [] { return false; }, std::chrono::milliseconds(100));
  EXPECT_TRUE(m_instance.m_requests.empty());
  EXPECT_EQ(m_egress.WorkCount(), 0U);
}

TEST_F(MeshEgressTest, CopiesLeaveTheLastFreeSlot) {
  m_instance.m_behavior = [](const HttpRequest&, const StreamResponder&) {
    return CancelHook();
  };
  ASSERT_EQ(m_egress.Standing().m_slots, 2);
  Send(Offer(1));
  OfferMessage copy = Offer(2);
  copy.m_is_extra_attempt = true;
  copy.m_is_hedge = true;
  Send(copy);
  EXPECT_EQ(m_replies.back().m_reason, AttemptReason::kBusy);
  Send(Offer(3));
  EXPECT_EQ(m_replies.back().m_verdict, OfferVerdict::kStarted);
}

TEST_F(MeshEgressTest, RefusesWhatIsMeantForAnotherInstance) {
  OfferMessage offer = Offer(1);
  offer.m_instance = "i-0";
  Send(offer);
  EXPECT_EQ(m_replies[0].m_reason, AttemptReason::kUnknownInstance);
}

TEST_F(MeshEgressTest, RefusesWorkFromTheMomentTheInstanceLeaves) {
  m_instance.m_behavior = [](const HttpRequest&, const StreamResponder&) {
    return CancelHook();
  };
  for (uint64_t number : {1, 2, 3}) {
    OfferMessage offer = Offer(number);
    offer.m_may_wait = true;
    offer.m_time_left_ms = 5000;
    Send(offer);
  }
  ASSERT_EQ(m_replies.back().m_verdict, OfferVerdict::kQueued);
  m_egress.SetInstance(nullptr);
  EXPECT_EQ(m_replies.back().m_verdict, OfferVerdict::kRefused);
  EXPECT_EQ(m_replies.back().m_reason, AttemptReason::kDraining);
  Send(Offer(4));
  EXPECT_EQ(m_replies.back().m_reason, AttemptReason::kUnknownInstance);
}

TEST_F(MeshEgressTest, SuccessWithoutSealIsNoAnswer) {
  m_instance.m_behavior = [](const HttpRequest& request,
                             const StreamResponder& responder) -> CancelHook {
    HttpAnswer answer = FakeInstance::AnswerTo(request);
    answer.m_fields.pop_back();
    responder(answer);
    return {};
  };
  Send(Offer(1));
  ASSERT_TRUE(WaitForOutcomes(1));
  EXPECT_EQ(m_outcomes[0].m_result, AttemptResult::kFailed);
  EXPECT_EQ(m_egress.State(), HoldState::kHeld);
}

TEST_F(MeshEgressTest, AnswerToAnotherRequestIsDropped) {
  m_instance.m_behavior = [](const HttpRequest& request,
                             const StreamResponder& responder) -> CancelHook {
    HttpAnswer answer = FakeInstance::AnswerTo(request);
    answer.m_fields[0].m_value = "other";
    responder(answer);
    return {};
  };
  OfferMessage offer = Offer(1);
  offer.m_time_left_ms = 200;
  Send(offer);
  ASSERT_TRUE(WaitForOutcomes(1));
  EXPECT_EQ(m_outcomes[0].m_result, AttemptResult::kFailed);
  EXPECT_EQ(m_outcomes[0].m_reason, AttemptReason::kTimeout);
}

TEST_F(MeshEgressTest, RefusalByTheInstanceIsNotRunAndNoEvidence) {
  m_instance.m_behavior = [](const HttpRequest& request,
                             const StreamResponder& responder) -> CancelHook {
    HttpAnswer answer = FakeInstance::AnswerTo(request);
    answer.m_status = 503;
    answer.m_fields.push_back({"not-run", "1"});
    responder(answer);
    return {};
  };
  Send(Offer(1, false));
  m_egress.OnStart(kPeer, {.m_attempt = AttemptNumber(1),
                           .m_time_left_ms = 500,
                           .m_request = Request(1)});
  ASSERT_TRUE(WaitForOutcomes(1));
  EXPECT_EQ(m_outcomes[0].m_result, AttemptResult::kNotStarted);
  EXPECT_EQ(m_outcomes[0].m_reason, AttemptReason::kShed);
  EXPECT_EQ(m_egress.State(), HoldState::kOpen);
}

TEST_F(MeshEgressTest, OtherInstanceAtTheAddressIsReported) {
  m_instance.m_behavior = [](const HttpRequest& request,
                             const StreamResponder& responder) -> CancelHook {
    HttpAnswer answer = FakeInstance::AnswerTo(request);
    answer.m_status = 421;
    responder(answer);
    return {};
  };
  Send(Offer(1));
  ASSERT_TRUE(RunUntil(m_io, [this] { return m_mismatches > 0; }));
  EXPECT_EQ(m_outcomes[0].m_result, AttemptResult::kNotStarted);
}

// A service behind the instance fails: each of its answers is an error, and
// the instance must stay in service.
TEST_F(MeshEgressTest, ErrorsThatFailedCallsExplainHoldNothingBack) {
  const auto fail = [](const HttpRequest& request,
                       const StreamResponder& responder) -> CancelHook {
    HttpAnswer answer = FakeInstance::AnswerTo(request);
    answer.m_status = 500;
    responder(answer);
    return {};
  };
  m_instance.m_behavior = [&](const HttpRequest& request,
                              const StreamResponder& responder) {
    m_egress.OnLocalFailure();
    return fail(request, responder);
  };
  for (uint64_t number = 1; number <= 6; ++number) {
    Send(Offer(number));
    ASSERT_TRUE(WaitForOutcomes(number));
    EXPECT_EQ(m_egress.State(), HoldState::kOpen);
  }
  m_instance.m_behavior = fail;
  for (uint64_t number = 7; number <= 8; ++number) {
    Send(Offer(number));
    ASSERT_TRUE(WaitForOutcomes(number));
  }
  EXPECT_EQ(m_egress.State(), HoldState::kHeld);
}

TEST_F(MeshEgressTest, WithdrawalClosesTheInstancesConnection) {
  bool has_left = false;
  m_instance.m_behavior = [&](const HttpRequest&, const StreamResponder&) {
    return CancelHook([&has_left] { has_left = true; });
  };
  Send(Offer(1));
  ASSERT_TRUE(
      RunUntil(m_io, [this] { return !m_instance.m_requests.empty(); }));
  m_egress.OnWithdraw(kPeer, AttemptNumber(1));
  EXPECT_TRUE(RunUntil(
      m_io, [&] { return has_left; }, std::chrono::milliseconds(400)));
}

TEST_F(MeshEgressTest, AnswersAnInquiryOverAnotherConnection) {
  StreamResponder answer_later;
  HttpRequest seen;
  m_instance.m_behavior = [&](const HttpRequest& request,
                              const StreamResponder& responder) {
    seen = request;
    answer_later = responder;
    return CancelHook();
  };
  Send(Offer(1, false));
  m_egress.OnStart(kPeer, {.m_attempt = AttemptNumber(1),
                           .m_time_left_ms = 2000,
                           .m_request = Request(1)});
  ASSERT_TRUE(RunUntil(m_io, [&] { return bool{answer_later}; }));
  m_egress.OnPeerLost(kPeer);
  m_egress.OnInquiry(kPeer, AttemptNumber(1), Sink());
  answer_later(FakeInstance::AnswerTo(seen));
  ASSERT_TRUE(WaitForOutcomes(1));
  EXPECT_EQ(m_outcomes[0].m_result, AttemptResult::kAnswered);
  // Ended meanwhile: remembered. Never heard of: cannot tell.
  m_egress.OnInquiry(kPeer, AttemptNumber(1), Sink());
  EXPECT_EQ(m_outcomes.back().m_result, AttemptResult::kAnswered);
  m_egress.OnInquiry(kPeer, AttemptNumber(9), Sink());
  EXPECT_EQ(m_outcomes.back().m_result, AttemptResult::kOutcomeUnknown);
}

}  // namespace
}  // namespace sequoiastage
