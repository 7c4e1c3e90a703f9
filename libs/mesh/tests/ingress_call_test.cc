#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "ingress_fixture.h"

namespace sequoiastage {
namespace {

class MeshIngressCallTest : public MeshIngressTest {
 protected:
  MeshIngressCallTest() { SetPublicRoute(std::chrono::seconds(1)); }

  void SetPublicRoute(Duration target_latency) {
    std::string reason;
    auto config =
        FakeCodec::DecodeConfig({.m_value = "2 a /x/ plans"}, &reason);
    config->m_accounts = {{.m_name = "ferries", .m_keys = {"secret"}}};
    config->m_routes[0].m_is_public = true;
    config->m_routes[0].m_target_latency = target_latency;
    m_ingress.SetConfig(std::make_shared<const TrafficConfig>(*config));
  }

  // A node that refuses the first offers for this reason and runs the others.
  FakeEgressNode& AddNode(uint8_t host,
                          size_t refusals,
                          AttemptReason reason,
                          uint16_t wait_ms = 0) {
    auto node = std::make_unique<FakeEgressNode>(m_io, host, 5);
    FakeEgressNode& egress = *node;
    m_targets.SetMember(egress.Record());
    egress.m_script = [&egress, refusals, reason, wait_ms](
                          const Message& message, const MessageSink& sink) {
      if (const auto* tagged = std::get_if<TaggedOfferMessage>(&message)) {
        OfferReplyMessage reply{.m_attempt = tagged->m_offer.m_attempt,
                                .m_verdict = OfferVerdict::kReady};
        reply.m_load_report.m_slots = 3;
        if (egress.Count<TaggedOfferMessage>() <= refusals) {
          reply.m_verdict = OfferVerdict::kRefused;
          reply.m_reason = reason;
          reply.m_load_report.m_expected_wait_ms = wait_ms;
        }
        sink(reply);
      }
      if (const auto* start = std::get_if<StartMessage>(&message)) {
        SendResponse(start->m_attempt, 200, sink);
      }
    };
    m_nodes.push_back(std::move(node));
    return egress;
  }

  std::vector<std::unique_ptr<FakeEgressNode>> m_nodes;
};

constexpr size_t kAlways = 1000000;

// Load pattern: many instances fail at once and the retry budget is used up for
// a moment. An idempotent request whose attempt was broken must not end with an
// unknown outcome while its objective leaves time for a retry.
TEST_F(MeshIngressCallTest, BrokenRequestWaitsForTheRetryBudget) {
  SetPublicRoute(std::chrono::seconds(8));
  FakeEgressNode broken(m_io, 2, 5);
  FakeEgressNode other(m_io, 3, 5);
  m_targets.SetMember(broken.Record());
  m_targets.SetMember(other.Record());
  broken.m_script = [](const Message& message, const MessageSink& sink) {
    if (const auto* tagged = std::get_if<TaggedOfferMessage>(&message)) {
      ReplyReady(tagged->m_offer, sink);
    }
    if (const auto* start = std::get_if<StartMessage>(&message)) {
      sink(OutcomeMessage{.m_attempt = start->m_attempt,
                          .m_result = AttemptResult::kOutcomeUnknown,
                          .m_reason = AttemptReason::kIncompleteResponse});
    }
  };
  size_t budget_refusals = 0;
  other.m_script = [&](const Message& message, const MessageSink& sink) {
    if (const auto* tagged = std::get_if<TaggedOfferMessage>(&message)) {
      OfferReplyMessage reply{.m_attempt = tagged->m_offer.m_attempt,
                              .m_verdict = OfferVerdict::kRefused,
                              .m_reason = AttemptReason::kBusy};
      reply.m_load_report.m_slots = 3;
      if (tagged->m_offer.m_is_extra_attempt) {
        reply.m_reason = AttemptReason::kRetryBudget;
        if (++budget_refusals > 2) {
          reply.m_verdict = OfferVerdict::kReady;
        }
      }
      sink(reply);
    }
    if (const auto* start = std::get_if<StartMessage>(&message)) {
      SendResponse(start->m_attempt, 200, sink);
    }
  };
  SendRequest();
  ASSERT_TRUE(WaitForResponse());
  EXPECT_EQ(m_responses[0].m_status, 200);
  EXPECT_EQ(budget_refusals, 3U);
}

// The called service is full for a moment. The call must not end the run that
// makes it, and new requests must not wait.
TEST_F(MeshIngressCallTest, OnlyCallsWaitUntilThereIsCapacity) {
  FakeEgressNode& egress = AddNode(2, 6, AttemptReason::kBusy);
  SendRequestWithFields({{"id", "7"}});
  ASSERT_TRUE(WaitForResponse());
  EXPECT_EQ(m_responses[0].m_status, 503);
  EXPECT_LE(egress.Count<TaggedOfferMessage>(), 3U);
  m_responses.clear();
  SendRequestWithFields({{"id", "call"}});
  ASSERT_TRUE(WaitForResponse());
  EXPECT_EQ(m_responses[0].m_status, 200);
  EXPECT_EQ(egress.Count<TaggedOfferMessage>(), 7U);
  ASSERT_EQ(m_call_ends.size(), 1U);
  EXPECT_EQ(m_call_ends[0].m_route, "entry");
  EXPECT_EQ(m_call_ends[0].m_service, MakeServiceId("plans"));
}

TEST_F(MeshIngressCallTest, CallWithoutCapacityEndsInTimeAndIsReported) {
  AddNode(2, kAlways, AttemptReason::kBusy);
  const TimePoint start = BootNow();
  SendRequestWithFields({{"id", "call"}, {"left", "300"}});
  ASSERT_TRUE(WaitForResponse());
  EXPECT_EQ(m_responses[0].m_status, 503);
  EXPECT_GT(BootNow() - start, std::chrono::milliseconds(150));
  EXPECT_LT(BootNow() - start, std::chrono::milliseconds(500));
  ASSERT_EQ(m_call_ends.size(), 1U);
  EXPECT_EQ(m_call_ends[0].m_result, CallResult::kRefused);
  EXPECT_EQ(m_ingress.Stats().m_calls_refused, 1U);
}

// Delayed calls tell of a shortage before calls are refused.
TEST_F(MeshIngressCallTest, CallThatWaitedLongIsReportedAsDelayed) {
  AddNode(2, 6, AttemptReason::kBusy);
  SendRequestWithFields({{"id", "call"}, {"left", "600"}});
  ASSERT_TRUE(WaitForResponse());
  ASSERT_EQ(m_call_ends.size(), 1U);
  EXPECT_EQ(m_call_ends[0].m_result, CallResult::kDelayed);
}

// A failed last call loses all work of its request. It must go before first
// calls, which keep the urgency of the request.
TEST_F(MeshIngressCallTest, LaterCallsAreOfferedWithTheHighestUrgency) {
  FakeEgressNode& egress = AddNode(2, 0, AttemptReason::kNone);
  for (const std::string id : {"call", "later-call"}) {
    m_responses.clear();
    egress.m_messages.clear();
    SendRequestWithFields({{"id", id}});
    ASSERT_TRUE(WaitForResponse());
    ASSERT_FALSE(egress.m_messages.empty());
    const auto* tagged =
        std::get_if<TaggedOfferMessage>(&egress.m_messages.front());
    ASSERT_NE(tagged, nullptr);
    EXPECT_TRUE(tagged->m_offer.m_is_call);
    EXPECT_EQ(tagged->m_offer.m_urgency, id == "call" ? 4 : 0);
    EXPECT_EQ(tagged->m_offer.m_share_account, AccountId(9));
    EXPECT_EQ(m_call_ends.back().m_request_id, id);
    EXPECT_TRUE(m_call_ends.back().m_is_success);
  }
}

// A server error must not give precedence to the later calls of its request.
TEST_F(MeshIngressCallTest, ServerErrorIsReportedWithoutSuccess) {
  FakeEgressNode& egress = AddNode(2, 0, AttemptReason::kNone);
  egress.m_script = [](const Message& message, const MessageSink& sink) {
    if (const auto* tagged = std::get_if<TaggedOfferMessage>(&message)) {
      ReplyReady(tagged->m_offer, sink);
    }
    if (const auto* start = std::get_if<StartMessage>(&message)) {
      SendResponse(start->m_attempt, 500, sink);
    }
  };
  SendRequestWithFields({{"id", "call"}});
  ASSERT_TRUE(WaitForResponse());
  EXPECT_EQ(m_responses[0].m_status, 500);
  ASSERT_FALSE(m_call_ends.empty());
  for (const CallEnd& end : m_call_ends) {
    EXPECT_FALSE(end.m_is_success);
  }
}

TEST_F(MeshIngressCallTest, CallOfAnUnknownServiceDoesNotWait) {
  SendRequestWithFields({{"id", "call"}});
  ASSERT_EQ(m_responses.size(), 1U);
  EXPECT_EQ(m_responses[0].m_status, 503);
  EXPECT_TRUE(m_call_ends.empty());
}

// A call between two rounds of offers has no attempt. It must get a response
// when the node shuts down.
TEST_F(MeshIngressCallTest, ShutdownEndsCallsThatWait) {
  AddNode(2, kAlways, AttemptReason::kBusy);
  SendRequestWithFields({{"id", "call"}});
  ASSERT_TRUE(
      RunUntil(m_io, [&] { return m_ingress.Stats().m_calls_paused == 1; }));
  m_ingress.FailAll("shutdown");
  EXPECT_EQ(m_responses.size(), 1U);
  EXPECT_EQ(m_ingress.Stats().m_calls_paused, 0U);
  EXPECT_EQ(m_ingress.RequestCount(), 0U);
}

TEST_F(MeshIngressCallTest, CancelledCallIsNotOfferedAgain) {
  FakeEgressNode& egress = AddNode(2, kAlways, AttemptReason::kBusy);
  const CancelHook cancel =
      m_ingress.OnRequest({.m_method = "POST",
                           .m_host = "a",
                           .m_target = "/x/1",
                           .m_fields = {{"id", "call"}}},
                          [this](const HttpResponse& response) {
                            m_responses.push_back(response);
                          });
  ASSERT_TRUE(
      RunUntil(m_io, [&] { return m_ingress.Stats().m_calls_paused == 1; }));
  cancel();
  const size_t offers = egress.Count<TaggedOfferMessage>();
  RunUntil(
      m_io, [] { return false; }, std::chrono::milliseconds(150));
  EXPECT_EQ(egress.Count<TaggedOfferMessage>(), offers);
  EXPECT_EQ(m_ingress.Stats().m_calls_paused, 0U);
}

// All instances of the service have learned of the same shortage. Asking each
// of them would cost more than the refusal saves.
TEST_F(MeshIngressCallTest, DownstreamShortageIsStatedInRetryAfter) {
  for (uint8_t host = 2; host < 8; ++host) {
    AddNode(host, kAlways, AttemptReason::kDownstreamBusy, 700);
  }
  SendRequestWithFields({{"id", "7"}});
  ASSERT_TRUE(WaitForResponse());
  EXPECT_EQ(m_responses[0].m_status, 503);
  const std::string* retry_after =
      FindField(m_responses[0].m_fields, "Retry-After");
  ASSERT_NE(retry_after, nullptr);
  EXPECT_GE(std::stod(*retry_after), 0.7);
  EXPECT_LE(std::stod(*retry_after), 1.4);
  size_t offers = 0;
  for (const auto& node : m_nodes) {
    offers += node->Count<TaggedOfferMessage>();
  }
  EXPECT_EQ(offers, 3U);
}

// The wait of one route must not make the instance count as full for others.
TEST_F(MeshIngressCallTest, DownstreamWaitIsNoLoadOfTheInstance) {
  AddNode(2, kAlways, AttemptReason::kDownstreamBusy, 700);
  SendRequestWithFields({{"id", "7"}});
  ASSERT_TRUE(WaitForResponse());
  const auto candidates = m_targets.Candidates(
      MakeServiceId("plans"), BootNow(), [](NodeId) { return true; });
  ASSERT_EQ(candidates.size(), 1U);
  EXPECT_EQ(candidates[0].m_rate_wait, Duration{});
  EXPECT_EQ(candidates[0].m_used_slots, 0U);
}

}  // namespace
}  // namespace sequoiastage
