#include "sequoiastage/mesh/egress.h"

#include <gtest/gtest.h>

#include <thread>

#include "egress_fixture.h"
#include "sequoiastage/wire/frame.h"

namespace sequoiastage {
namespace {

TEST_F(MeshEgressTest, RunsAnIdempotentOfferImmediately) {
  Send(MakeOffer(1));
  ASSERT_TRUE(WaitForOutcomes(1));
  EXPECT_EQ(m_replies[0].m_verdict, OfferVerdict::kStarted);
  EXPECT_EQ(m_outcomes[0].m_result, AttemptResult::kAnswered);
  EXPECT_EQ(m_outcomes[0].m_response.m_body, "answer to b1");
  EXPECT_EQ(FakeCodec::FieldValue(m_instance.m_requests[0].m_fields, "from"),
            "homes");
}

TEST_F(MeshEgressTest, RunsANonIdempotentOfferOnlyAfterStart) {
  Send(MakeOffer(1, false));
  ASSERT_TRUE(WaitForOutcomes(1));
  EXPECT_TRUE(m_instance.m_requests.empty());
  EXPECT_EQ(m_replies[0].m_verdict, OfferVerdict::kReady);
  EXPECT_EQ(m_outcomes[0].m_result, AttemptResult::kNotStarted);
  Send(MakeOffer(2, false));
  m_egress.OnStart(kPeer, {.m_attempt = AttemptNumber(2),
                           .m_time_left_ms = 500,
                           .m_request = MakeRequest(2)});
  ASSERT_TRUE(WaitForOutcomes(2));
  EXPECT_EQ(m_outcomes[1].m_result, AttemptResult::kAnswered);
  EXPECT_EQ(m_instance.m_requests.size(), 1U);
}

// The process is paused between the grant of a slot and the start message, for
// longer than the grant holds. Its timer has expired but was not handled yet.
TEST_F(MeshEgressTest, StartAfterAPauseOfTheProcessIsNotExecuted) {
  Send(MakeOffer(1, false));
  ASSERT_EQ(m_replies.back().m_verdict, OfferVerdict::kReady);
  std::this_thread::sleep_for(std::chrono::milliseconds(800));
  m_egress.OnStart(kPeer, {.m_attempt = AttemptNumber(1),
                           .m_time_left_ms = 900,
                           .m_request = MakeRequest(1)});
  ASSERT_TRUE(WaitForOutcomes(1));
  EXPECT_EQ(m_outcomes[0].m_result, AttemptResult::kNotStarted);
  EXPECT_TRUE(m_instance.m_requests.empty());
}

// A start message cannot extend the deadline that came with the offer.
TEST_F(MeshEgressTest, StartDoesNotExtendTheDeadlineOfTheOffer) {
  m_instance.m_behavior = [](const HttpRequest&, const StreamResponder&) {
    return CancelHook();
  };
  OfferMessage offer = MakeOffer(1, false);
  offer.m_time_left_ms = 300;
  Send(offer);
  m_egress.OnStart(kPeer, {.m_attempt = AttemptNumber(1),
                           .m_time_left_ms = 60'000,
                           .m_request = MakeRequest(1)});
  EXPECT_TRUE(RunUntil(
      m_io, [this] { return !m_outcomes.empty(); }, std::chrono::seconds(2)));
}

// An instance sends a refusal without an id, and late a second copy of it.
TEST_F(MeshEgressTest, LateCopyOfARefusalWithoutIdIsNotTakenForTheNextRequest) {
  int count = 0;
  m_instance.m_behavior = [&count](const HttpRequest& request,
                                   const StreamResponder& responder) {
    if (++count == 1) {
      responder(FakeInstance::BuildResponse(request));
    } else {
      // In the place of the response to the second request.
      responder({.m_status = 503, .m_fields = {{"not-run", "1"}}});
    }
    return CancelHook();
  };
  Send(MakeOffer(1));
  ASSERT_TRUE(WaitForOutcomes(1));
  Send(MakeOffer(2));
  ASSERT_TRUE(WaitForOutcomes(2));
  EXPECT_NE(m_outcomes[1].m_result, AttemptResult::kNotStarted);
}

TEST_F(MeshEgressTest, StartAfterWithdrawalIsIgnored) {
  Send(MakeOffer(1, false));
  m_egress.OnWithdraw(kPeer, AttemptNumber(1));
  m_egress.OnStart(kPeer, {.m_attempt = AttemptNumber(1),
                           .m_time_left_ms = 500,
                           .m_request = MakeRequest(1)});
  RunUntil(
      m_io, [] { return false; }, std::chrono::milliseconds(100));
  EXPECT_TRUE(m_instance.m_requests.empty());
  EXPECT_EQ(m_egress.WorkCount(), 0U);
}

TEST_F(MeshEgressTest, HedgesDoNotTakeTheLastFreeSlot) {
  m_instance.m_behavior = [](const HttpRequest&, const StreamResponder&) {
    return CancelHook();
  };
  ASSERT_EQ(m_egress.CurrentLoad().m_slots, 2);
  Send(MakeOffer(1));
  OfferMessage hedge = MakeOffer(2);
  hedge.m_is_extra_attempt = true;
  hedge.m_is_hedge = true;
  Send(hedge);
  EXPECT_EQ(m_replies.back().m_reason, AttemptReason::kBusy);
  Send(MakeOffer(3));
  EXPECT_EQ(m_replies.back().m_verdict, OfferVerdict::kStarted);
}

// Responds with these fields added.
auto RespondWith(std::vector<HttpField> fields) {
  return [fields = std::move(fields)](const HttpRequest& request,
                                      const StreamResponder& responder) {
    HttpResponse response = FakeInstance::BuildResponse(request);
    response.m_fields.insert(response.m_fields.end(), fields.begin(),
                             fields.end());
    responder(std::move(response));
    return CancelHook();
  };
}

TEST_F(MeshEgressTest, RefusesOffersBeyondTheStatedLimit) {
  m_instance.m_behavior = RespondWith({{"limit", "2"}});
  Send(MakeOffer(1));
  ASSERT_TRUE(WaitForOutcomes(1));
  EXPECT_EQ(m_egress.StatedLimit(), RequestRate(2));
  Send(MakeOffer(2));
  ASSERT_TRUE(WaitForOutcomes(2));
  Send(MakeOffer(3));
  EXPECT_EQ(m_replies.back().m_verdict, OfferVerdict::kRefused);
  EXPECT_EQ(m_replies.back().m_reason, AttemptReason::kBusy);
  EXPECT_GT(m_replies.back().m_load_report.m_expected_wait_ms, 0);
  // An offer that may wait starts as soon as the rate allows it.
  OfferMessage patient = MakeOffer(4);
  patient.m_may_wait = true;
  patient.m_time_left_ms = 3000;
  Send(patient);
  EXPECT_EQ(m_replies.back().m_verdict, OfferVerdict::kQueued);
  ASSERT_TRUE(WaitForOutcomes(3));
  EXPECT_EQ(m_outcomes.back().m_result, AttemptResult::kAnswered);
}

TEST_F(MeshEgressTest, LimitEndsWithAResponseThatStatesNone) {
  m_instance.m_behavior = RespondWith({{"limit", "2"}});
  Send(MakeOffer(1));
  ASSERT_TRUE(WaitForOutcomes(1));
  m_instance.m_behavior = RespondWith({});
  Send(MakeOffer(2));
  ASSERT_TRUE(WaitForOutcomes(2));
  EXPECT_FALSE(m_egress.StatedLimit());
  Send(MakeOffer(3));
  EXPECT_EQ(m_replies.back().m_verdict, OfferVerdict::kStarted);
}

// Another instance responds at the address, or bytes that are no response.
TEST_F(MeshEgressTest, OnlyTheInstanceItselfSetsItsLimit) {
  uint16_t status = 421;
  m_instance.m_behavior = [&status](const HttpRequest& request,
                                    const StreamResponder& responder) {
    responder(
        {.m_status = status,
         .m_fields = {{"id", FakeCodec::FieldValue(request.m_fields, "id")},
                      {"limit", "1"}}});
    return CancelHook();
  };
  Send(MakeOffer(1));
  ASSERT_TRUE(WaitForOutcomes(1));
  EXPECT_FALSE(m_egress.StatedLimit());
  status = 200;
  Send(MakeOffer(2));
  ASSERT_TRUE(WaitForOutcomes(2));
  EXPECT_FALSE(m_egress.StatedLimit());
}

// The next incarnation has the same name.
TEST_F(MeshEgressTest, LimitOfAnEarlierIncarnationIsIgnored) {
  StreamResponder held;
  m_instance.m_behavior = [&held](const HttpRequest&,
                                  const StreamResponder& responder) {
    held = responder;
    return CancelHook();
  };
  Send(MakeOffer(1));
  ASSERT_TRUE(RunUntil(m_io, [&held] { return held != nullptr; }));
  m_announcement.m_start_time_ms += 1000;
  m_egress.SetInstance(&m_announcement);
  held({.m_status = 200,
        .m_fields = {{"id", "1"}, {"seal", "1"}, {"limit", "1"}}});
  ASSERT_TRUE(WaitForOutcomes(1));
  EXPECT_FALSE(m_egress.StatedLimit());
}

TEST_F(MeshEgressTest, ReportsThatTheInstanceStatesItsDeparture) {
  m_instance.m_behavior = RespondWith({{"leaving", "1"}});
  Send(MakeOffer(1));
  ASSERT_TRUE(WaitForOutcomes(1));
  EXPECT_TRUE(RunUntil(m_io, [this] { return !m_leaving.empty(); }));
  EXPECT_EQ(m_leaving, std::vector{m_announcement.Incarnation()});
  EXPECT_EQ(m_outcomes[0].m_result, AttemptResult::kAnswered);
}

// Another instance responds at the address, and leaves.
TEST_F(MeshEgressTest, DepartureOfAnotherInstanceIsIgnored) {
  m_instance.m_behavior = [](const HttpRequest&,
                             const StreamResponder& responder) {
    responder({.m_status = 421, .m_fields = {{"leaving", "1"}}});
    return CancelHook();
  };
  Send(MakeOffer(1));
  ASSERT_TRUE(RunUntil(m_io, [this] { return !m_mismatches.empty(); }));
  EXPECT_TRUE(m_leaving.empty());
}

// A response that no message between nodes can carry would never be delivered.
TEST_F(MeshEgressTest, ResponseTooLargeForALinkIsAFailure) {
  size_t bytes = size_t{8} << 20;
  m_instance.m_behavior = [&bytes](const HttpRequest& request,
                                   const StreamResponder& responder) {
    HttpResponse response = FakeInstance::BuildResponse(request);
    response.m_body = std::string(bytes, 'x');
    responder(std::move(response));
    return CancelHook();
  };
  Send(MakeOffer(1));
  ASSERT_TRUE(WaitForOutcomes(1));
  EXPECT_EQ(m_outcomes[0].m_result, AttemptResult::kAnswered);
  bytes = kMaxPayloadBytes;
  Send(MakeOffer(2));
  ASSERT_TRUE(WaitForOutcomes(2));
  EXPECT_EQ(m_outcomes[1].m_result, AttemptResult::kFailed);
}

// A restarted process does not know whether the instance limits its load.
TEST_F(MeshEgressTest, AdoptedInstanceGetsFewRequestsUntilItsFirstResponse) {
  m_announcement.m_slots = 5;
  Egress<FakeCodec> egress(m_io, kSelf, {.m_adopts_instance = true},
                           m_quarantine, MakeHooks());
  egress.SetInstance(&m_announcement);
  m_instance.m_behavior = [](const HttpRequest&, const StreamResponder&) {
    return CancelHook();
  };
  egress.OnOffer(kPeer, MakeOffer(1), Sink());
  m_instance.m_behavior = RespondWith({});
  egress.OnOffer(kPeer, MakeOffer(2), Sink());
  EXPECT_EQ(m_replies.back().m_verdict, OfferVerdict::kStarted);
  egress.OnOffer(kPeer, MakeOffer(3), Sink());
  EXPECT_EQ(m_replies.back().m_reason, AttemptReason::kBusy);
  ASSERT_TRUE(WaitForOutcomes(1));
  EXPECT_EQ(egress.CurrentLoad().m_slots, 5);
  // A successor has no history.
  m_announcement.m_name = "i-2";
  egress.SetInstance(&m_announcement);
  EXPECT_EQ(egress.CurrentLoad().m_slots, 5);
}

TEST_F(MeshEgressTest, KnowsTheCallsOfTheRetriesThatItRuns) {
  m_instance.m_behavior = [](const HttpRequest&, const StreamResponder&) {
    return CancelHook();
  };
  OfferMessage first = MakeOffer(1);
  first.m_request_id = "a";
  Send(first);
  OfferMessage retry = MakeOffer(2);
  retry.m_request_id = "b";
  retry.m_is_extra_attempt = true;
  Send(retry);
  ASSERT_TRUE(m_egress.FindParent("b.1"));
  EXPECT_TRUE(m_egress.FindParent("b.1")->m_is_extra_attempt);
  ASSERT_TRUE(m_egress.FindParent("a.1"));
  EXPECT_FALSE(m_egress.FindParent("a.1")->m_is_extra_attempt);
  EXPECT_FALSE(m_egress.FindParent("b"));
  EXPECT_FALSE(m_egress.FindParent("bc.1"));
  m_egress.OnWithdraw(kPeer, AttemptNumber(2));
  EXPECT_FALSE(m_egress.FindParent("b.1"));
}

// Guards against a call that takes its properties from one of two attempts
// only, or from an attempt that has ended.
TEST_F(MeshEgressTest, AttemptsOfOneRequestAreCombinedWhileTheyRun) {
  m_instance.m_behavior = [](const HttpRequest&, const StreamResponder&) {
    return CancelHook();
  };
  OfferMessage retry = MakeOffer(1);
  retry.m_request_id = "a.b";
  retry.m_is_extra_attempt = true;
  Send(retry);
  OfferMessage first = MakeOffer(2);
  first.m_request_id = "a.b";
  Send(first);
  ASSERT_TRUE(m_egress.FindParent("a.b.1"));
  EXPECT_TRUE(m_egress.FindParent("a.b.1")->m_is_extra_attempt);
  m_egress.OnWithdraw(kPeer, AttemptNumber(1));
  ASSERT_TRUE(m_egress.FindParent("a.b.1"));
  EXPECT_FALSE(m_egress.FindParent("a.b.1")->m_is_extra_attempt);
  m_egress.OnWithdraw(kPeer, AttemptNumber(2));
  EXPECT_FALSE(m_egress.FindParent("a.b.1"));
}

// Guards against offers that count as running before their start message.
TEST_F(MeshEgressTest, RequestThatIsNotStartedMakesNoCalls) {
  OfferMessage offer = MakeOffer(1, false);
  offer.m_request_id = "a";
  Send(offer);
  ASSERT_EQ(m_replies.back().m_verdict, OfferVerdict::kReady);
  EXPECT_FALSE(m_egress.FindParent("a.1"));
}

TEST_F(MeshEgressTest, RefusesOffersForAnotherInstance) {
  OfferMessage offer = MakeOffer(1);
  offer.m_instance = "i-0";
  Send(offer);
  EXPECT_EQ(m_replies[0].m_reason, AttemptReason::kUnknownInstance);
}

TEST_F(MeshEgressTest, RefusesQueuedAndNewOffersOnceTheInstanceLeaves) {
  ASSERT_TRUE(FillSlotsAndQueue());
  m_egress.SetInstance(nullptr);
  EXPECT_EQ(m_replies.back().m_verdict, OfferVerdict::kRefused);
  EXPECT_EQ(m_replies.back().m_reason, AttemptReason::kInstanceLeft);
  Send(MakeOffer(4));
  EXPECT_EQ(m_replies.back().m_reason, AttemptReason::kInstanceLeft);
}

// An ingress that is told instance-left does not use that incarnation again,
// which has the name of the new one until the new member record arrives.
TEST_F(MeshEgressTest, ReturnOfAnInstanceUnderItsNameIsNoDeparture) {
  ASSERT_TRUE(FillSlotsAndQueue());
  m_announcement.m_start_time_ms += 1000;
  m_egress.SetInstance(&m_announcement);
  EXPECT_EQ(m_replies.back().m_verdict, OfferVerdict::kRefused);
  EXPECT_EQ(m_replies.back().m_reason, AttemptReason::kDraining);
}

TEST_F(MeshEgressTest, UnattestedSuccessIsAFailure) {
  m_instance.m_behavior = [](const HttpRequest& request,
                             const StreamResponder& responder) -> CancelHook {
    HttpResponse response = FakeInstance::BuildResponse(request);
    response.m_fields.pop_back();
    responder(response);
    return {};
  };
  Send(MakeOffer(1));
  ASSERT_TRUE(WaitForOutcomes(1));
  EXPECT_EQ(m_outcomes[0].m_result, AttemptResult::kFailed);
  EXPECT_EQ(m_egress.State(), HoldState::kHeld);
}

TEST_F(MeshEgressTest, ResponseToAnotherRequestIsDropped) {
  m_instance.m_behavior = [](const HttpRequest& request,
                             const StreamResponder& responder) -> CancelHook {
    HttpResponse response = FakeInstance::BuildResponse(request);
    response.m_fields[0].m_value = "other";
    responder(response);
    return {};
  };
  OfferMessage offer = MakeOffer(1);
  offer.m_time_left_ms = 200;
  Send(offer);
  ASSERT_TRUE(WaitForOutcomes(1));
  EXPECT_EQ(m_outcomes[0].m_result, AttemptResult::kFailed);
  EXPECT_EQ(m_outcomes[0].m_reason, AttemptReason::kTimeout);
}

TEST_F(MeshEgressTest, RefusalByTheInstanceIsNotExecutedAndNoEvidence) {
  m_instance.m_behavior = [](const HttpRequest& request,
                             const StreamResponder& responder) -> CancelHook {
    HttpResponse response = FakeInstance::BuildResponse(request);
    response.m_status = 503;
    response.m_fields.push_back({"not-run", "1"});
    responder(response);
    return {};
  };
  Send(MakeOffer(1, false));
  m_egress.OnStart(kPeer, {.m_attempt = AttemptNumber(1),
                           .m_time_left_ms = 500,
                           .m_request = MakeRequest(1)});
  ASSERT_TRUE(WaitForOutcomes(1));
  EXPECT_EQ(m_outcomes[0].m_result, AttemptResult::kNotStarted);
  EXPECT_EQ(m_outcomes[0].m_reason, AttemptReason::kShed);
  EXPECT_EQ(m_egress.State(), HoldState::kInService);
}

TEST_F(MeshEgressTest, WrongInstanceAtTheAddressIsReported) {
  m_instance.m_behavior = [](const HttpRequest& request,
                             const StreamResponder& responder) -> CancelHook {
    HttpResponse response = FakeInstance::BuildResponse(request);
    response.m_status = 421;
    responder(response);
    return {};
  };
  Send(MakeOffer(1));
  ASSERT_TRUE(RunUntil(m_io, [this] { return !m_mismatches.empty(); }));
  EXPECT_EQ(m_mismatches, std::vector{m_announcement.Incarnation()});
  EXPECT_EQ(m_outcomes[0].m_result, AttemptResult::kNotStarted);
}

// A dependency of the instance fails, so that each of its responses is an
// error. The instance must stay in service.
TEST_F(MeshEgressTest, ErrorsAfterFailedOutboundCallsAreNoEvidence) {
  const auto fail = [](const HttpRequest& request,
                       const StreamResponder& responder) -> CancelHook {
    HttpResponse response = FakeInstance::BuildResponse(request);
    response.m_status = 500;
    responder(response);
    return {};
  };
  m_instance.m_behavior = [&](const HttpRequest& request,
                              const StreamResponder& responder) {
    m_egress.OnLocalFailure();
    return fail(request, responder);
  };
  for (uint64_t number = 1; number <= 6; ++number) {
    Send(MakeOffer(number));
    ASSERT_TRUE(WaitForOutcomes(number));
    EXPECT_EQ(m_egress.State(), HoldState::kInService);
  }
  m_instance.m_behavior = fail;
  for (uint64_t number = 7; number <= 8; ++number) {
    Send(MakeOffer(number));
    ASSERT_TRUE(WaitForOutcomes(number));
  }
  EXPECT_EQ(m_egress.State(), HoldState::kHeld);
}

TEST_F(MeshEgressTest, WithdrawalClosesTheInstanceConnection) {
  bool is_cancelled = false;
  m_instance.m_behavior = [&](const HttpRequest&, const StreamResponder&) {
    return CancelHook([&is_cancelled] { is_cancelled = true; });
  };
  Send(MakeOffer(1));
  ASSERT_TRUE(
      RunUntil(m_io, [this] { return !m_instance.m_requests.empty(); }));
  m_egress.OnWithdraw(kPeer, AttemptNumber(1));
  EXPECT_TRUE(RunUntil(
      m_io, [&] { return is_cancelled; }, std::chrono::milliseconds(400)));
}

TEST_F(MeshEgressTest, RepliesToAnInquiryOverAnotherConnection) {
  StreamResponder respond_later;
  HttpRequest received;
  m_instance.m_behavior = [&](const HttpRequest& request,
                              const StreamResponder& responder) {
    received = request;
    respond_later = responder;
    return CancelHook();
  };
  Send(MakeOffer(1, false));
  m_egress.OnStart(kPeer, {.m_attempt = AttemptNumber(1),
                           .m_time_left_ms = 2000,
                           .m_request = MakeRequest(1)});
  ASSERT_TRUE(RunUntil(m_io, [&] { return bool{respond_later}; }));
  m_egress.OnPeerLost(kPeer);
  m_egress.OnInquiry(kPeer, AttemptNumber(1), Sink());
  respond_later(FakeInstance::BuildResponse(received));
  ASSERT_TRUE(WaitForOutcomes(1));
  EXPECT_EQ(m_outcomes[0].m_result, AttemptResult::kAnswered);
  // The outcome of completed work is retained; an unknown attempt yields
  // kOutcomeUnknown.
  m_egress.OnInquiry(kPeer, AttemptNumber(1), Sink());
  EXPECT_EQ(m_outcomes.back().m_result, AttemptResult::kAnswered);
  m_egress.OnInquiry(kPeer, AttemptNumber(9), Sink());
  EXPECT_EQ(m_outcomes.back().m_result, AttemptResult::kOutcomeUnknown);
}

}  // namespace
}  // namespace sequoiastage
