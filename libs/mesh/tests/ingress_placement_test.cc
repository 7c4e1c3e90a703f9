#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <utility>

#include "ingress_fixture.h"

// Placement by expected bytes at the ingress.
namespace sequoiastage {
namespace {

constexpr size_t kDownload = 90'000;

class IngressPlacementTest : public MeshIngressTest {
 protected:
  IngressPlacementTest() {
    MemberRecord record = m_remote.Record();
    record.m_region = "other";
    m_targets.SetMember(record);
  }

  void AddLocal() { m_targets.SetMember(m_local.Record()); }

  // A route /x/ and a route /y/ with large bodies, both of one service.
  void SetConfigWithDownloads(bool has_large_bodies) {
    std::string reason;
    auto config =
        FakeCodec::DecodeConfig({.m_value = "1 a /x/ plans"}, &reason);
    config->m_accounts = {{.m_name = "ferries", .m_keys = {"secret"}}};
    config->m_routes[0].m_is_public = true;
    TrafficRoute downloads = config->m_routes[0];
    downloads.m_name = "downloads";
    downloads.m_path_prefix = "/y/";
    downloads.m_has_large_bodies = has_large_bodies;
    config->m_routes.push_back(downloads);
    m_ingress.SetConfig(
        std::make_shared<const TrafficConfig>(*std::move(config)));
    m_links.SetManagesLoad(true);
  }

  // Responds to each offer in the order of messages of the real egress.
  static void Serve(FakeEgressNode& egress, size_t bytes) {
    egress.m_script = [bytes](const Message& message, const MessageSink& sink) {
      AttemptNumber number;
      if (const auto* tagged = std::get_if<TaggedOfferMessage>(&message)) {
        number = tagged->m_offer.m_attempt;
        if (!tagged->m_offer.m_starts_immediately) {
          sink(OfferReplyMessage{.m_attempt = number,
                                 .m_verdict = OfferVerdict::kReady});
          return;
        }
        sink(OfferReplyMessage{.m_attempt = number,
                               .m_verdict = OfferVerdict::kStarted});
      } else if (const auto* start = std::get_if<StartMessage>(&message)) {
        number = start->m_attempt;
      } else {
        return;
      }
      sink(OutcomeMessage{
          .m_attempt = number,
          .m_result = AttemptResult::kAnswered,
          .m_response = {.m_status = 200, .m_body = std::string(bytes, 'd')}});
    };
  }

  void ReportLoad(const FakeEgressNode& egress, uint16_t running) {
    m_targets.UpdateLoad(egress.m_self.m_node,
                         {.m_slots = 3, .m_running = running}, BootNow());
  }

  FakeEgressNode m_local{m_io, 2, 5};
  FakeEgressNode m_remote{m_io, 3, 5};
};

// Guards against light requests that queue where downloads need the slots.
TEST_F(IngressPlacementTest, LightRequestMakesRoomForDownloads) {
  AddLocal();
  SetConfigWithDownloads(true);
  Serve(m_remote, 10);
  ReportLoad(m_local, 3);
  ReportLoad(m_remote, 1);
  SendRequest();
  ASSERT_TRUE(WaitForResponse());
  EXPECT_EQ(m_remote.Count<TaggedOfferMessage>(), 1U);
  EXPECT_EQ(m_local.Count<TaggedOfferMessage>(), 0U);
  EXPECT_EQ(m_ingress.Stats().m_light_moved, 1U);
  EXPECT_EQ(m_ingress.Stats().m_heavy_crossed, 0U);
}

// Guards against moves where no downloads need the slots.
TEST_F(IngressPlacementTest, LightRequestOfALightServiceIsNotMoved) {
  AddLocal();
  SetConfigWithDownloads(false);
  Serve(m_local, 10);
  ReportLoad(m_local, 3);
  ReportLoad(m_remote, 1);
  SendRequest();
  ASSERT_TRUE(WaitForResponse());
  EXPECT_EQ(m_remote.Count<TaggedOfferMessage>(), 0U);
  EXPECT_EQ(m_ingress.Stats().m_light_moved, 0U);
}

// Guards against downloads that cross although a queue of the region is short
// in relation to their objective, or can be used after a pause.
TEST_F(IngressPlacementTest, DownloadWaitsInItsRegion) {
  AddLocal();
  SetConfigWithDownloads(true);
  size_t offers = 0;
  m_local.m_script = [&](const Message& message, const MessageSink& sink) {
    if (const auto* tagged = std::get_if<TaggedOfferMessage>(&message)) {
      const bool is_free = ++offers == 3;
      sink(OfferReplyMessage{
          .m_attempt = tagged->m_offer.m_attempt,
          .m_verdict = is_free ? OfferVerdict::kReady : OfferVerdict::kRefused,
          .m_reason = is_free ? AttemptReason::kNone : AttemptReason::kBusy,
          .m_load_report = {
              .m_slots = 3, .m_running = 3, .m_expected_wait_ms = 150}});
    } else if (const auto* start = std::get_if<StartMessage>(&message)) {
      SendResponse(start->m_attempt, 200, sink);
    }
  };
  SendRequest("/y/1");
  ASSERT_TRUE(WaitForResponse());
  EXPECT_EQ(m_responses[0].m_status, 200);
  EXPECT_EQ(offers, 3U);
  EXPECT_EQ(m_remote.Count<TaggedOfferMessage>(), 0U);
}

// Guards against routes that are taken for light ones because they are not
// declared to have large bodies.
TEST_F(IngressPlacementTest, SizeOfResponsesIsLearned) {
  SetConfigWithDownloads(false);
  Serve(m_remote, kDownload);
  SendRequest();
  ASSERT_TRUE(WaitForResponse());
  EXPECT_EQ(m_ingress.Stats().m_heavy_crossed, 0U);
  m_responses.clear();
  SendRequest();
  ASSERT_TRUE(WaitForResponse());
  EXPECT_EQ(m_ingress.Stats().m_heavy_crossed, 1U);
}

}  // namespace
}  // namespace sequoiastage
