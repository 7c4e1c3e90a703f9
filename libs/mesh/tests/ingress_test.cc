#include "sequoiastage/mesh/ingress.h"

#include <gtest/gtest.h>

#include "ingress_fixture.h"

namespace sequoiastage {
namespace {

using std::chrono::milliseconds;

TEST_F(MeshIngressTest, RefusesRequestsBeforeAConfigurationIsLoaded) {
  SendRequest();
  ASSERT_EQ(m_responses.size(), 1U);
  EXPECT_EQ(m_responses[0].m_status, 503);
}

TEST_F(MeshIngressTest, RespondsNotFoundWhenNoRouteMatches) {
  SetConfig("1 a /x/ plans");
  SendRequest("/y/");
  EXPECT_EQ(m_responses.at(0).m_status, 404);
}

TEST_F(MeshIngressTest, RefusesWithRetryAfterWhenThereIsNoInstance) {
  SetConfig("1 a /x/ plans");
  SendRequest();
  ASSERT_EQ(m_responses.size(), 1U);
  EXPECT_EQ(m_responses[0].m_status, 503);
  EXPECT_NE(FindField(m_responses[0].m_fields, "Retry-After"), nullptr);
}

TEST_F(MeshIngressTest, CallOfARetryDrawsOnTheRetryBudget) {
  FakeEgressNode egress(m_io, 2, 5);
  m_targets.SetMember(egress.Record());
  std::vector<bool> are_extra;
  egress.m_script = [&](const Message& message, const MessageSink& sink) {
    ReplyReady(message, sink);
    if (const auto* offer = std::get_if<OfferMessage>(&message)) {
      are_extra.push_back(offer->m_is_extra_attempt);
    }
    if (const auto* start = std::get_if<StartMessage>(&message)) {
      SendResponse(start->m_attempt, 200, sink);
    }
  };
  SetConfig("1 a /x/ plans once");
  for (const char* id : {"7", "call"}) {
    m_ingress.OnRequest({.m_method = "GET",
                         .m_host = "a",
                         .m_target = "/x/1",
                         .m_fields = {{"Host", "a"}, {"id", id}}},
                        [this](HttpResponse response) {
                          m_responses.push_back(std::move(response));
                        });
  }
  ASSERT_TRUE(RunUntil(m_io, [this] { return m_responses.size() == 2; }));
  EXPECT_EQ(are_extra, (std::vector<bool>{false, true}));
}

TEST_F(MeshIngressTest, QuarantinedRequestIsRejectedAtOnce) {
  FakeEgressNode egress(m_io, 2, 5);
  m_targets.SetMember(egress.Record());
  SetConfig("1 a /x/ plans");
  ReportCrashes(m_quarantine, FingerprintOfRequest(), 3);
  SendRequest();
  ASSERT_EQ(m_responses.size(), 1U);
  EXPECT_EQ(m_responses[0].m_status, 503);
  const std::string* retry_after =
      FindField(m_responses[0].m_fields, "Retry-After");
  ASSERT_NE(retry_after, nullptr);
  EXPECT_GT(std::stod(*retry_after), 1700);
  EXPECT_EQ(m_ingress.Stats().m_quarantined, 1U);
  EXPECT_TRUE(egress.m_messages.empty());
}

// The third crash is one of its own.
TEST_F(MeshIngressTest, RequestIsNotRetriedAfterItsThirdCrash) {
  FakeEgressNode first(m_io, 2, 5);
  FakeEgressNode second(m_io, 3, 5);
  FailAttempts({&first, &second}, AttemptResult::kFailed,
               AttemptReason::kInstanceCrashed);
  SetConfig("1 a /x/ plans");
  ReportCrashes(m_quarantine, FingerprintOfRequest(), 2);
  SendRequest();
  ASSERT_TRUE(WaitForResponse());
  EXPECT_EQ(m_responses[0].m_status, 502);
  EXPECT_EQ(first.Count<StartMessage>() + second.Count<StartMessage>(), 1U);
}

TEST_F(MeshIngressTest, RequestQuarantinedWhileItWaitsIsNotStarted) {
  FakeEgressNode egress(m_io, 2, 5);
  m_targets.SetMember(egress.Record());
  egress.m_script = [this](const Message& message, const MessageSink& sink) {
    ReportCrashes(m_quarantine, FingerprintOfRequest(), 3);
    ReplyReady(message, sink);
  };
  SetConfig("1 a /x/ plans once");
  SendRequest();
  ASSERT_TRUE(WaitForResponse());
  EXPECT_EQ(m_responses[0].m_status, 503);
  EXPECT_EQ(egress.Count<StartMessage>(), 0U);
}

// The egress has heard of the crashes first.
TEST_F(MeshIngressTest, RequestThatAnEgressQuarantinesGoesNowhereElse) {
  FakeEgressNode first(m_io, 2, 5);
  FakeEgressNode second(m_io, 3, 5);
  FailAttempts({&first, &second}, AttemptResult::kNotStarted,
               AttemptReason::kQuarantined);
  SetConfig("1 a /x/ plans");
  SendRequest();
  ASSERT_TRUE(WaitForResponse());
  EXPECT_EQ(m_responses[0].m_status, 503);
  EXPECT_EQ(first.Count<StartMessage>() + second.Count<StartMessage>(), 1U);
}

TEST_F(MeshIngressTest, SendsTheRequestOnlyWithTheStartMessage) {
  FakeEgressNode egress(m_io, 2, 5);
  m_targets.SetMember(egress.Record());
  egress.m_script = [](const Message& message, const MessageSink& sink) {
    ReplyReady(message, sink);
    if (const auto* offer = std::get_if<OfferMessage>(&message)) {
      EXPECT_TRUE(offer->m_request.m_body.empty());
    }
    if (const auto* start = std::get_if<StartMessage>(&message)) {
      EXPECT_EQ(start->m_request.m_body, "body");
      SendResponse(start->m_attempt, 200, sink);
    }
  };
  SetConfig("1 a /x/ plans once");
  SendRequest();
  ASSERT_TRUE(WaitForResponse());
  EXPECT_EQ(m_responses[0].m_status, 200);
}

TEST_F(MeshIngressTest, RequestRunsElsewhereWhenAnEgressDoesNotReply) {
  FakeEgressNode silent(m_io, 2, 5);
  FakeEgressNode healthy(m_io, 3, 5);
  m_targets.SetMember(silent.Record());
  m_targets.SetMember(healthy.Record());
  // The silent node is tried first.
  m_targets.AddInFlight(healthy.m_self.m_node);
  m_targets.AddInFlight(healthy.m_self.m_node);
  healthy.m_script = [](const Message& message, const MessageSink& sink) {
    ReplyReady(message, sink);
    if (const auto* start = std::get_if<StartMessage>(&message)) {
      SendResponse(start->m_attempt, 200, sink);
    }
  };
  SetConfig("1 a /x/ plans once");
  SendRequest();
  ASSERT_TRUE(WaitForResponse());
  EXPECT_EQ(m_responses[0].m_status, 200);
  EXPECT_EQ(silent.Count<OfferMessage>(), 1U);
  EXPECT_EQ(silent.Count<StartMessage>(), 0U);
}

// Guards against a started request being refused as "not run": the link was
// lost a second time while the ingress inquired the outcome of the attempt.
TEST_F(MeshIngressTest, StartedRequestIsNotRefusedAfterRepeatedLinkLoss) {
  FakeEgressNode egress(m_io, 2, 5);
  m_targets.SetMember(egress.Record());
  egress.m_script = [this, &egress](const Message& message,
                                    const MessageSink& sink) {
    ReplyReady(message, sink);
    if (std::holds_alternative<StartMessage>(message) ||
        std::holds_alternative<OutcomeQueryMessage>(message)) {
      asio::post(m_io, [this, &egress] {
        m_links.Drop(egress.m_self.m_node, "test");
      });
    }
  };
  SetConfig("1 a /x/ plans once");
  SendRequest();
  ASSERT_TRUE(WaitForResponse());
  EXPECT_GE(egress.Count<OutcomeQueryMessage>(), 2U);
  EXPECT_EQ(egress.Count<StartMessage>(), 1U);
  EXPECT_GE(m_responses[0].m_status, 502);
  EXPECT_NE(m_responses[0].m_status, 503);
}

TEST_F(MeshIngressTest, EgressRestartLeavesTheOutcomeUnknown) {
  FakeEgressNode egress(m_io, 2, 5);
  m_targets.SetMember(egress.Record());
  egress.m_script = [this, &egress](const Message& message,
                                    const MessageSink& sink) {
    ReplyReady(message, sink);
    if (std::holds_alternative<StartMessage>(message)) {
      m_ingress.OnLinkLost(egress.m_self.m_node);
      m_ingress.OnLinkOpened(egress.m_self.m_node, Incarnation(6));
    }
  };
  SetConfig("1 a /x/ plans once");
  SendRequest();
  ASSERT_TRUE(WaitForResponse());
  EXPECT_EQ(m_responses[0].m_status, 502);
}

TEST_F(MeshIngressTest, RetriesServerErrorsUpToMaxAttempts) {
  FakeEgressNode first(m_io, 2, 5);
  FakeEgressNode second(m_io, 3, 5);
  FakeEgressNode third(m_io, 4, 5);
  size_t starts = 0;
  for (FakeEgressNode* egress : {&first, &second, &third}) {
    m_targets.SetMember(egress->Record());
    egress->m_script = [&starts](const Message& message,
                                 const MessageSink& sink) {
      ReplyReady(message, sink);
      if (const auto* start = std::get_if<StartMessage>(&message)) {
        ++starts;
        SendResponse(start->m_attempt, 500, sink);
      }
    };
  }
  SetConfig("1 a /x/ plans");
  SendRequest();
  ASSERT_TRUE(WaitForResponse());
  EXPECT_EQ(m_responses[0].m_status, 500);
  EXPECT_EQ(starts, 2U);
}

// Guards against an attempt too many: the hedge delay expired while the retry
// was still a pending offer to another region, and a third instance received
// the request.
TEST_F(MeshIngressTest, PendingOfferCountsAsAnAttempt) {
  FakeEgressNode hanging(m_io, 2, 5);
  FakeEgressNode slow(m_io, 3, 5);
  FakeEgressNode third(m_io, 4, 5);
  std::vector<std::shared_ptr<asio::steady_timer>> timers;
  size_t offers = 0;
  for (FakeEgressNode* egress : {&hanging, &slow, &third}) {
    m_targets.SetMember(egress->Record());
    egress->m_script = [&](const Message& message, const MessageSink& sink) {
      const auto* offer = std::get_if<OfferMessage>(&message);
      if (offer == nullptr) {
        return;
      }
      if (++offers == 1) {
        ReplyReady(message, sink);
        return;
      }
      // Queued: not started yet.
      sink(OfferReplyMessage{.m_attempt = offer->m_attempt,
                             .m_verdict = OfferVerdict::kQueued});
    };
  }
  SetConfig("1 a /x/ plans");
  SendRequest();
  ASSERT_TRUE(WaitForResponse());
  EXPECT_EQ(offers, 2U);
}

// Load pattern: the instances of a service refuse most requests, and the retry
// budget is exhausted at every egress. The request fails after a few refusals
// instead of trying every egress.
TEST_F(MeshIngressTest, FailsAfterSeveralRetryBudgetRefusals) {
  constexpr uint8_t kNodes = 8;
  std::vector<std::unique_ptr<FakeEgressNode>> nodes;
  size_t refusals = 0;
  for (uint8_t i = 0; i < kNodes; ++i) {
    nodes.push_back(std::make_unique<FakeEgressNode>(m_io, 2 + i, 5));
    m_targets.SetMember(nodes.back()->Record());
    nodes.back()->m_script = [&](const Message& message,
                                 const MessageSink& sink) {
      const auto* offer = std::get_if<OfferMessage>(&message);
      if (offer == nullptr) {
        return;
      }
      if (offer->m_is_extra_attempt) {
        ++refusals;
        sink(OfferReplyMessage{.m_attempt = offer->m_attempt,
                               .m_verdict = OfferVerdict::kRefused,
                               .m_reason = AttemptReason::kRetryBudget});
        return;
      }
      ReplyReady(message, sink);
      sink(OutcomeMessage{.m_attempt = offer->m_attempt,
                          .m_result = AttemptResult::kNotStarted,
                          .m_reason = AttemptReason::kShed});
    };
  }
  SetConfig("1 a /x/ plans once");
  SendRequest();
  ASSERT_TRUE(WaitForResponse());
  EXPECT_EQ(m_responses[0].m_status, 503);
  EXPECT_NE(FindField(m_responses[0].m_fields, "Retry-After"), nullptr);
  EXPECT_EQ(refusals, 3U);
}

// A hedge that is refused is dropped; the slow attempt continues and its
// response is used.
TEST_F(MeshIngressTest, RefusedHedgeKeepsTheSlowAttempt) {
  FakeEgressNode slow(m_io, 2, 5);
  FakeEgressNode full(m_io, 3, 5);
  FakeEgressNode third(m_io, 4, 5);
  size_t first_offers = 0;
  size_t hedges = 0;
  asio::steady_timer timer(m_io);
  for (FakeEgressNode* egress : {&slow, &full, &third}) {
    m_targets.SetMember(egress->Record());
    egress->m_script = [&](const Message& message, const MessageSink& sink) {
      const auto* offer = std::get_if<OfferMessage>(&message);
      if (offer == nullptr) {
        return;
      }
      if (offer->m_is_hedge) {
        ++hedges;
        sink(OfferReplyMessage{.m_attempt = offer->m_attempt,
                               .m_verdict = OfferVerdict::kRefused,
                               .m_reason = AttemptReason::kBusy});
        return;
      }
      ++first_offers;
      ReplyReady(message, sink);
      timer.expires_after(std::chrono::milliseconds(900));
      timer.async_wait(
          [sink, number = offer->m_attempt](const asio::error_code&) {
            SendResponse(number, 200, sink);
          });
    };
  }
  SetConfig("1 a /x/ plans");
  SendRequest();
  ASSERT_TRUE(WaitForResponse());
  EXPECT_EQ(m_responses[0].m_status, 200);
  EXPECT_EQ(first_offers, 1U);
  // Once to each other instance.
  EXPECT_EQ(hedges, 2U);
}

// Instances refuse hedges while their retry budget or their slots are used up;
// another one of the region may accept.
TEST_F(MeshIngressTest, RefusedHedgeIsOfferedToAnotherInstance) {
  FakeEgressNode slow(m_io, 2, 5);
  FakeEgressNode second(m_io, 3, 5);
  FakeEgressNode third(m_io, 4, 5);
  size_t hedges = 0;
  for (FakeEgressNode* egress : {&slow, &second, &third}) {
    m_targets.SetMember(egress->Record());
    egress->m_script = [&](const Message& message, const MessageSink& sink) {
      const auto* offer = std::get_if<OfferMessage>(&message);
      if (offer == nullptr) {
        return;
      }
      if (!offer->m_is_hedge) {
        ReplyReady(message, sink);
        return;
      }
      if (++hedges == 1) {
        sink(OfferReplyMessage{.m_attempt = offer->m_attempt,
                               .m_verdict = OfferVerdict::kRefused,
                               .m_reason = AttemptReason::kRetryBudget});
        return;
      }
      ReplyReady(message, sink);
      SendResponse(offer->m_attempt, 200, sink);
    };
  }
  SetConfig("1 a /x/ plans");
  const auto begin = std::chrono::steady_clock::now();
  SendRequest();
  ASSERT_TRUE(WaitForResponse());
  EXPECT_EQ(m_responses[0].m_status, 200);
  EXPECT_EQ(hedges, 2U);
  EXPECT_LT(std::chrono::steady_clock::now() - begin, milliseconds(1300));
}

TEST_F(MeshIngressTest, CallerDisconnectWithdrawsItsAttempt) {
  FakeEgressNode egress(m_io, 2, 5);
  m_targets.SetMember(egress.Record());
  egress.m_script = ReplyReady;
  SetConfig("1 a /x/ plans once");
  const CancelHook cancel = SendRequest();
  ASSERT_TRUE(
      RunUntil(m_io, [&] { return egress.Count<StartMessage>() == 1; }));
  cancel();
  EXPECT_TRUE(RunUntil(
      m_io, [&] { return egress.Count<CancelMessage>() == 1; },
      milliseconds(400)));
  EXPECT_TRUE(m_responses.empty());
  EXPECT_EQ(m_ingress.RequestCount(), 0U);
}

TEST_F(MeshIngressTest, RespondsGatewayTimeoutAtTheRouteTimeout) {
  FakeEgressNode egress(m_io, 2, 5);
  m_targets.SetMember(egress.Record());
  egress.m_script = ReplyReady;
  SetConfig("1 a /x/ plans once");
  const auto begin = std::chrono::steady_clock::now();
  SendRequest();
  ASSERT_TRUE(WaitForResponse());
  EXPECT_EQ(m_responses[0].m_status, 504);
  EXPECT_LT(std::chrono::steady_clock::now() - begin, milliseconds(1750));
}

}  // namespace
}  // namespace sequoiastage
