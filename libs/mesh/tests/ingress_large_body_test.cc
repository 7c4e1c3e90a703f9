#include <gtest/gtest.h>

#include "ingress_fixture.h"

// Large bodies at the ingress.
namespace sequoiastage {
namespace {

constexpr size_t kUpload = 540'000;

class IngressLargeBodyTest : public MeshIngressTest {
 protected:
  void SetLargeBodyConfig(const std::string& text) {
    std::string reason;
    auto config = FakeCodec::DecodeConfig({.m_value = text}, &reason);
    config->m_routes[0].m_has_large_bodies = true;
    m_ingress.SetConfig(
        std::make_shared<const TrafficConfig>(*std::move(config)));
    m_links.SetManagesLoad(true);
  }

  CancelHook Upload() {
    return m_ingress.OnRequest({.m_method = "POST",
                                .m_host = "a",
                                .m_target = "/x/1",
                                .m_fields = {{"Host", "a"}, {"id", "7"}},
                                .m_body = std::string(kUpload, 'u')},
                               [this](HttpResponse response) {
                                 m_responses.push_back(std::move(response));
                               });
  }
};

// Guards against bodies that cross the network to instances that refuse them:
// the offers carry only the size, the body follows one grant.
TEST_F(IngressLargeBodyTest, BodyLeavesTheHostOnceAfterAGrant) {
  FakeEgressNode first(m_io, 2, 5);
  FakeEgressNode second(m_io, 3, 5);
  FakeEgressNode third(m_io, 4, 5);
  size_t offers = 0;
  size_t starts = 0;
  for (FakeEgressNode* egress : {&first, &second, &third}) {
    m_targets.SetMember(egress->Record());
    egress->m_script = [&](const Message& message, const MessageSink& sink) {
      if (const auto* tagged = std::get_if<TaggedOfferMessage>(&message)) {
        const OfferMessage& offer = tagged->m_offer;
        EXPECT_EQ(offer.m_body_bytes, kUpload);
        EXPECT_TRUE(offer.m_request.m_body.empty());
        const bool is_last = ++offers == 3;
        sink(OfferReplyMessage{.m_attempt = offer.m_attempt,
                               .m_verdict = is_last ? OfferVerdict::kReady
                                                    : OfferVerdict::kRefused,
                               .m_reason = is_last ? AttemptReason::kNone
                                                   : AttemptReason::kSuspect});
      } else if (const auto* start = std::get_if<StartMessage>(&message)) {
        ++starts;
        EXPECT_EQ(start->m_request.m_body.size(), kUpload);
        SendResponse(start->m_attempt, 200, sink);
      }
    };
  }
  SetLargeBodyConfig("1 a /x/ plans once");
  Upload();
  ASSERT_TRUE(WaitForResponse());
  EXPECT_EQ(m_responses[0].m_status, 200);
  EXPECT_EQ(offers, 3U);
  EXPECT_EQ(starts, 1U);
}

// Guards against a second transfer of a large response: an attempt that makes
// progress is not hedged.
TEST_F(IngressLargeBodyTest, NoHedgeWhileALargeResponseIsInTransfer) {
  FakeEgressNode slow(m_io, 2, 5);
  FakeEgressNode other(m_io, 3, 5);
  size_t hedges = 0;
  asio::steady_timer timer(m_io);
  for (FakeEgressNode* egress : {&slow, &other}) {
    m_targets.SetMember(egress->Record());
    egress->m_script = [&](const Message& message, const MessageSink& sink) {
      const auto* tagged = std::get_if<TaggedOfferMessage>(&message);
      if (tagged == nullptr) {
        return;
      }
      const OfferMessage* offer = &tagged->m_offer;
      if (offer->m_is_hedge) {
        ++hedges;
        return;
      }
      sink(OfferReplyMessage{.m_attempt = offer->m_attempt,
                             .m_verdict = OfferVerdict::kReady});
      sink(OfferReplyMessage{.m_attempt = offer->m_attempt,
                             .m_verdict = OfferVerdict::kResponding});
      timer.expires_after(std::chrono::milliseconds(900));
      timer.async_wait(
          [sink, number = offer->m_attempt](const asio::error_code&) {
            SendResponse(number, 200, sink);
          });
    };
  }
  SetLargeBodyConfig("1 a /x/ plans");
  SendRequest();
  ASSERT_TRUE(WaitForResponse());
  EXPECT_EQ(m_responses[0].m_status, 200);
  EXPECT_EQ(hedges, 0U);
}

// The caller leaves while its upload crosses the link: the rest of the body is
// not sent, and the cancel message has its effect.
TEST_F(IngressLargeBodyTest, DisconnectDuringAnUploadCancelsIt) {
  FakeEgressNode egress(m_io, 2, 5);
  m_targets.SetMember(egress.Record());
  CancelHook cancel;
  egress.m_script = [&](const Message& message, const MessageSink& sink) {
    if (const auto* tagged = std::get_if<TaggedOfferMessage>(&message)) {
      sink(OfferReplyMessage{.m_attempt = tagged->m_offer.m_attempt,
                             .m_verdict = OfferVerdict::kReady});
      sink(OfferReplyMessage{.m_attempt = tagged->m_offer.m_attempt,
                             .m_verdict = OfferVerdict::kResponding});
    }
  };
  SetLargeBodyConfig("1 a /x/ plans once");
  cancel = Upload();
  ASSERT_TRUE(
      RunUntil(m_io, [&] { return egress.Count<TaggedOfferMessage>() == 1; }));
  ASSERT_TRUE(RunUntil(m_io, [&] {
    cancel();
    return egress.Count<CancelMessage>() == 1;
  }));
  EXPECT_LE(egress.Count<StartMessage>(), 1U);
  EXPECT_TRUE(m_responses.empty());
}

}  // namespace
}  // namespace sequoiastage
