#include "sequoiastage/mesh/ingress.h"

#include <gtest/gtest.h>

#include "fake_platform.h"

namespace sequoiastage {
namespace {

using std::chrono::milliseconds;

// The other end of an ingress's links: answers as the test says.
class FakeEgressNode {
 public:
  using Script = std::function<void(const Message&, const MessageSink&)>;

  FakeEgressNode(asio::io_context& io, uint8_t host, uint64_t run)
      : m_own{.m_node = NodeId(Endpoint{.m_ip = TestIp(host), .m_port = 7000}),
              .m_run = Incarnation(run)},
        m_links(io,
                m_own,
                {},
                {.m_on_reply = [](NodeId, const Message&) {},
                 .m_on_open = [](NodeId, Incarnation) {},
                 .m_on_lost = [](NodeId, const std::string&) {},
                 .m_on_request =
                     [this](const PeerKey&,
                            const Message& message,
                            const MessageSink& sink) {
                       m_messages.push_back(message);
                       m_script(message, sink);
                     },
                 .m_on_peer = [](const PeerKey&, const MessageSink&) {},
                 .m_on_peer_lost = [](const PeerKey&) {}}) {
    m_links.Start(m_own.m_node.Get());
  }

  MemberRecord Record() const {
    return {.m_node = m_own.m_node,
            .m_domain = "d",
            .m_region = "r",
            .m_instance = "i-1",
            .m_service = ServiceIdOf("plans"),
            .m_slots = 3};
  }

  template <class T>
  size_t Count() const {
    return static_cast<size_t>(std::count_if(
        m_messages.begin(), m_messages.end(),
        [](const Message& m) { return std::holds_alternative<T>(m); }));
  }

  PeerKey m_own;
  std::vector<Message> m_messages;
  Script m_script = [](const Message&, const MessageSink&) {};
  MeshLinks m_links;
};

class MeshIngressTest : public testing::Test {
 protected:
  MeshIngressTest()
      : m_own{.m_node = NodeId(Endpoint{.m_ip = TestIp(1), .m_port = 7000}),
              .m_run = Incarnation(1)},
        m_book({.m_node = m_own.m_node, .m_domain = "d", .m_region = "r"}),
        m_links(m_io,
                m_own,
                {},
                {.m_on_reply =
                     [this](NodeId node, const Message& message) {
                       m_ingress.OnReply(node, message);
                     },
                 .m_on_open =
                     [this](NodeId node, Incarnation run) {
                       m_ingress.OnLinkOpen(node, run);
                     },
                 .m_on_lost =
                     [this](NodeId node, const std::string&) {
                       m_ingress.OnLinkLost(node);
                     },
                 .m_on_request =
                     [](const PeerKey&, const Message&, const MessageSink&) {},
                 .m_on_peer = [](const PeerKey&, const MessageSink&) {},
                 .m_on_peer_lost = [](const PeerKey&) {}}),
        m_ingress(m_io,
                  {},
                  "homes",
                  m_book,
                  m_links,
                  {.m_local_offer = [](const Message&) {},
                   .m_on_failure = [] {},
                   .m_knowledge_age = [] { return Duration{}; }}) {}

  void Configure(const std::string& text) {
    std::string reason;
    auto config = FakeCodec::DecodeConfig({.m_value = text}, &reason);
    m_ingress.SetConfig(
        std::make_shared<const TrafficConfig>(*std::move(config)));
  }

  CancelHook Request(const std::string& target = "/x/1") {
    return m_ingress.OnRequest(
        {.m_method = "POST",
         .m_host = "a",
         .m_target = target,
         .m_fields = {{"Host", "a"}, {"id", "7"}},
         .m_body = "body"},
        [this](HttpAnswer answer) { m_answers.push_back(std::move(answer)); });
  }

  bool WaitForAnswer() {
    return RunUntil(m_io, [this] { return !m_answers.empty(); });
  }

  // Grants each offer.
  static void SayReady(const Message& message, const MessageSink& sink) {
    if (const auto* offer = std::get_if<OfferMessage>(&message)) {
      sink(OfferReplyMessage{.m_attempt = offer->m_attempt,
                             .m_verdict = OfferVerdict::kReady});
    }
  }

  static void Answer(AttemptNumber number,
                     uint16_t status,
                     const MessageSink& sink) {
    sink(OutcomeMessage{.m_attempt = number,
                        .m_result = AttemptResult::kAnswered,
                        .m_response = {.m_status = status}});
  }

  asio::io_context m_io;
  PeerKey m_own;
  TargetBook m_book;
  MeshLinks m_links;
  Ingress<FakeCodec> m_ingress;
  std::vector<HttpAnswer> m_answers;
};

TEST_F(MeshIngressTest, RefusesAtOnceBeforeAConfigurationIsKnown) {
  Request();
  ASSERT_EQ(m_answers.size(), 1U);
  EXPECT_EQ(m_answers[0].m_status, 503);
}

TEST_F(MeshIngressTest, AnswersNotFoundOnlyWhenTheConfigurationSaysSo) {
  Configure("1 a /x/ plans");
  Request("/y/");
  EXPECT_EQ(m_answers.at(0).m_status, 404);
}

TEST_F(MeshIngressTest, RefusesAtOnceWithATimeToReturnWhenThereIsNoInstance) {
  Configure("1 a /x/ plans");
  Request();
  ASSERT_EQ(m_answers.size(), 1U);
  EXPECT_EQ(m_answers[0].m_status, 503);
  EXPECT_NE(FindField(m_answers[0].m_fields, "Retry-After"), nullptr);
}

TEST_F(MeshIngressTest, SendsTheRequestWithTheStartOnly) {
  FakeEgressNode egress(m_io, 2, 5);
  m_book.SetMember(egress.Record());
  egress.m_script = [](const Message& message, const MessageSink& sink) {
    SayReady(message, sink);
    if (const auto* offer = std::get_if<OfferMessage>(&message)) {
      EXPECT_TRUE(offer->m_request.m_body.empty());
    }
    if (const auto* start = std::get_if<StartMessage>(&message)) {
      EXPECT_EQ(start->m_request.m_body, "body");
      Answer(start->m_attempt, 200, sink);
    }
  };
  Configure("1 a /x/ plans once");
  Request();
  ASSERT_TRUE(WaitForAnswer());
  EXPECT_EQ(m_answers[0].m_status, 200);
}

TEST_F(MeshIngressTest, SilentEgressIsPassedOverAndTheRequestRunsElsewhere) {
  FakeEgressNode silent(m_io, 2, 5);
  FakeEgressNode sound(m_io, 3, 5);
  m_book.SetMember(silent.Record());
  m_book.SetMember(sound.Record());
  m_book.OnSent(sound.m_own.m_node);  // The silent one is tried first.
  m_book.OnSent(sound.m_own.m_node);
  sound.m_script = [](const Message& message, const MessageSink& sink) {
    SayReady(message, sink);
    if (const auto* start = std::get_if<StartMessage>(&message)) {
      Answer(start->m_attempt, 200, sink);
    }
  };
  Configure("1 a /x/ plans once");
  Request();
  ASSERT_TRUE(WaitForAnswer());
  EXPECT_EQ(m_answers[0].m_status, 200);
  EXPECT_EQ(silent.Count<OfferMessage>(), 1U);
  EXPECT_EQ(silent.Count<StartMessage>(), 0U);
}

// Seen in a day of failures: the link was lost a second time while the ingress
// asked what had become of the attempt, and the caller was told "not run".
TEST_F(MeshIngressTest,
       StartedWorkIsNeverCalledNotRunHoweverOftenItsLinkIsLost) {
  FakeEgressNode egress(m_io, 2, 5);
  m_book.SetMember(egress.Record());
  egress.m_script = [this, &egress](const Message& message,
                                    const MessageSink& sink) {
    SayReady(message, sink);
    if (std::holds_alternative<StartMessage>(message) ||
        std::holds_alternative<OutcomeQueryMessage>(message)) {
      asio::post(
          m_io, [this, &egress] { m_links.Drop(egress.m_own.m_node, "test"); });
    }
  };
  Configure("1 a /x/ plans once");
  Request();
  ASSERT_TRUE(WaitForAnswer());
  EXPECT_GE(egress.Count<OutcomeQueryMessage>(), 2U);
  EXPECT_EQ(egress.Count<StartMessage>(), 1U);
  EXPECT_GE(m_answers[0].m_status, 502);
  EXPECT_NE(m_answers[0].m_status, 503);
}

TEST_F(MeshIngressTest, RestartedEgressCanNotTell) {
  FakeEgressNode egress(m_io, 2, 5);
  m_book.SetMember(egress.Record());
  egress.m_script = [this, &egress](const Message& message,
                                    const MessageSink& sink) {
    SayReady(message, sink);
    if (std::holds_alternative<StartMessage>(message)) {
      m_ingress.OnLinkLost(egress.m_own.m_node);
      m_ingress.OnLinkOpen(egress.m_own.m_node, Incarnation(6));
    }
  };
  Configure("1 a /x/ plans once");
  Request();
  ASSERT_TRUE(WaitForAnswer());
  EXPECT_EQ(m_answers[0].m_status, 502);
}

TEST_F(MeshIngressTest, RepeatsOnceAfterAnErrorAndNeverBeyondItsAttempts) {
  FakeEgressNode first(m_io, 2, 5);
  FakeEgressNode second(m_io, 3, 5);
  FakeEgressNode third(m_io, 4, 5);
  size_t starts = 0;
  for (FakeEgressNode* egress : {&first, &second, &third}) {
    m_book.SetMember(egress->Record());
    egress->m_script = [&starts](const Message& message,
                                 const MessageSink& sink) {
      SayReady(message, sink);
      if (const auto* start = std::get_if<StartMessage>(&message)) {
        ++starts;
        Answer(start->m_attempt, 500, sink);
      }
    };
  }
  Configure("1 a /x/ plans");
  Request();
  ASSERT_TRUE(WaitForAnswer());
  EXPECT_EQ(m_answers[0].m_status, 500);
  EXPECT_EQ(starts, 2U);
}

// The second attempt was on its way to another region when the time for a
// hedge came, and a third instance got the request.
TEST_F(MeshIngressTest, OfferUnderWayCountsAsAnAttempt) {
  FakeEgressNode hanging(m_io, 2, 5);
  FakeEgressNode slow(m_io, 3, 5);
  FakeEgressNode third(m_io, 4, 5);
  std::vector<std::shared_ptr<asio::steady_timer>> timers;
  size_t offers = 0;
  for (FakeEgressNode* egress : {&hanging, &slow, &third}) {
    m_book.SetMember(egress->Record());
    egress->m_script = [&](const Message& message, const MessageSink& sink) {
      const auto* offer = std::get_if<OfferMessage>(&message);
      if (offer == nullptr) {
        return;
      }
      if (++offers == 1) {
        SayReady(message, sink);
        return;
      }
      // Queued for a while: still to be started.
      sink(OfferReplyMessage{.m_attempt = offer->m_attempt,
                             .m_verdict = OfferVerdict::kQueued});
    };
  }
  Configure("1 a /x/ plans");
  Request();
  ASSERT_TRUE(WaitForAnswer());
  EXPECT_EQ(offers, 2U);
}

// Load pattern: the instances of a service refuse most of what they get, and
// the budget for repeats is used up at every egress alike. The caller hears so
// after a few of them, and not when all have been asked.
TEST_F(MeshIngressTest, GivesUpOnceTheRetryBudgetIsUsedUpAtSeveralEgresses) {
  constexpr uint8_t kNodes = 8;
  std::vector<std::unique_ptr<FakeEgressNode>> nodes;
  size_t refusals = 0;
  for (uint8_t i = 0; i < kNodes; ++i) {
    nodes.push_back(std::make_unique<FakeEgressNode>(m_io, 2 + i, 5));
    m_book.SetMember(nodes.back()->Record());
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
      SayReady(message, sink);
      sink(OutcomeMessage{.m_attempt = offer->m_attempt,
                          .m_result = AttemptResult::kNotStarted,
                          .m_reason = AttemptReason::kShed});
    };
  }
  Configure("1 a /x/ plans once");
  Request();
  ASSERT_TRUE(WaitForAnswer());
  EXPECT_EQ(m_answers[0].m_status, 503);
  EXPECT_NE(FindField(m_answers[0].m_fields, "Retry-After"), nullptr);
  EXPECT_EQ(refusals, 3U);
}

// A copy that nobody has room for is left out; the attempt that it would have
// copied goes on and its answer counts.
TEST_F(MeshIngressTest, RefusedCopyLeavesTheSlowAttemptAlone) {
  FakeEgressNode slow(m_io, 2, 5);
  FakeEgressNode full(m_io, 3, 5);
  FakeEgressNode third(m_io, 4, 5);
  size_t first_offers = 0;
  size_t copies = 0;
  asio::steady_timer timer(m_io);
  for (FakeEgressNode* egress : {&slow, &full, &third}) {
    m_book.SetMember(egress->Record());
    egress->m_script = [&](const Message& message, const MessageSink& sink) {
      const auto* offer = std::get_if<OfferMessage>(&message);
      if (offer == nullptr) {
        return;
      }
      if (offer->m_is_hedge) {
        ++copies;
        sink(OfferReplyMessage{.m_attempt = offer->m_attempt,
                               .m_verdict = OfferVerdict::kRefused,
                               .m_reason = AttemptReason::kBusy});
        return;
      }
      ++first_offers;
      SayReady(message, sink);
      timer.expires_after(std::chrono::milliseconds(900));
      timer.async_wait(
          [sink, number = offer->m_attempt](const asio::error_code&) {
            Answer(number, 200, sink);
          });
    };
  }
  Configure("1 a /x/ plans");
  Request();
  ASSERT_TRUE(WaitForAnswer());
  EXPECT_EQ(m_answers[0].m_status, 200);
  EXPECT_EQ(first_offers, 1U);
  EXPECT_EQ(copies, 1U);
}

TEST_F(MeshIngressTest, CallerWhoLeavesWithdrawsItsWork) {
  FakeEgressNode egress(m_io, 2, 5);
  m_book.SetMember(egress.Record());
  egress.m_script = SayReady;
  Configure("1 a /x/ plans once");
  const CancelHook cancel = Request();
  ASSERT_TRUE(
      RunUntil(m_io, [&] { return egress.Count<StartMessage>() == 1; }));
  cancel();
  EXPECT_TRUE(RunUntil(
      m_io, [&] { return egress.Count<CancelMessage>() == 1; },
      milliseconds(400)));
  EXPECT_TRUE(m_answers.empty());
  EXPECT_EQ(m_ingress.RequestCount(), 0U);
}

TEST_F(MeshIngressTest, EndsAtTheTimeoutOfItsRoute) {
  FakeEgressNode egress(m_io, 2, 5);
  m_book.SetMember(egress.Record());
  egress.m_script = SayReady;
  Configure("1 a /x/ plans once");
  const auto begin = std::chrono::steady_clock::now();
  Request();
  ASSERT_TRUE(WaitForAnswer());
  EXPECT_EQ(m_answers[0].m_status, 504);
  EXPECT_LT(std::chrono::steady_clock::now() - begin, milliseconds(1750));
}

}  // namespace
}  // namespace sequoiastage
