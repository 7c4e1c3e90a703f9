#include <gtest/gtest.h>

#include <memory>
#include <vector>

#include "ingress_fixture.h"

namespace sequoiastage {
namespace {

using std::chrono::milliseconds;

// The route's latency objective is 1 s: new requests wait for up to 250 ms.
class MeshIngressWaitTest : public MeshIngressTest {
 protected:
  // `has_accounts`: whether the configuration has an account; otherwise its
  // route has large bodies. Both make it manage load.
  void SetManagedConfig(bool has_accounts) {
    std::string reason;
    auto config =
        FakeCodec::DecodeConfig({.m_value = "2 a /x/ plans"}, &reason);
    config->m_routes[0].m_is_public = true;
    if (has_accounts) {
      config->m_accounts = {{.m_name = "ferries", .m_keys = {"secret"}}};
    } else {
      config->m_routes[0].m_has_large_bodies = true;
    }
    m_ingress.SetConfig(std::make_shared<const TrafficConfig>(*config));
  }

  // A node that queues each offer for `wait` and then refuses it.
  FakeEgressNode& AddNode(uint8_t host, Duration wait) {
    auto node = std::make_unique<FakeEgressNode>(m_io, host, 5);
    FakeEgressNode& egress = *node;
    m_targets.SetMember(egress.Record());
    egress.m_script = [this, wait](const Message& message,
                                   const MessageSink& sink) {
      const auto* tagged = std::get_if<TaggedOfferMessage>(&message);
      if (tagged == nullptr) {
        return;
      }
      m_offered_waits.push_back(tagged->m_offer.m_max_wait_ms);
      const OfferReplyMessage refusal{
          .m_attempt = tagged->m_offer.m_attempt,
          .m_verdict = OfferVerdict::kRefused,
          .m_reason = AttemptReason::kBusy,
          .m_load_report = {
              .m_slots = 3, .m_running = 3, .m_expected_wait_ms = 600}};
      if (!tagged->m_offer.m_may_wait || wait == Duration{}) {
        sink(refusal);
        return;
      }
      OfferReplyMessage queued = refusal;
      queued.m_verdict = OfferVerdict::kQueued;
      queued.m_reason = AttemptReason::kNone;
      sink(queued);
      auto timer = std::make_shared<asio::steady_timer>(m_io, wait);
      timer->async_wait(
          [timer, refusal, sink](const asio::error_code&) { sink(refusal); });
    };
    m_nodes.push_back(std::move(node));
    return egress;
  }

  double RetryAfter() const {
    const std::string* field =
        FindField(m_responses.back().m_fields, "Retry-After");
    return field == nullptr ? 0 : std::stod(*field);
  }

  std::vector<std::unique_ptr<FakeEgressNode>> m_nodes;
  std::vector<uint32_t> m_offered_waits;
};

// Several queues in sequence used to add up to more than a second.
TEST_F(MeshIngressWaitTest, WaitsInAllQueuesAddUpToTheBudget) {
  SetManagedConfig(true);
  for (uint8_t host = 2; host < 6; ++host) {
    AddNode(host, milliseconds(150));
  }
  const TimePoint start = BootNow();
  SendRequestWithFields({{"id", "7"}});
  ASSERT_TRUE(WaitForResponse());
  EXPECT_EQ(m_responses[0].m_status, 503);
  EXPECT_EQ(m_ingress.Stats().m_out_of_wait, 1U);
  EXPECT_GE(BootNow() - start, milliseconds(250));
  // Two queues of 150 ms each; a third one would end after 450 ms.
  EXPECT_LT(BootNow() - start, milliseconds(440));
  ASSERT_FALSE(m_offered_waits.empty());
  EXPECT_LE(m_offered_waits.front(), 250U);
  EXPECT_GT(m_offered_waits.front(), 150U);
  EXPECT_LE(m_offered_waits.back(), 100U);
  EXPECT_GE(RetryAfter(), 0.6);
  EXPECT_LE(RetryAfter(), 0.9);
}

// A rejected call would end the run that makes it.
TEST_F(MeshIngressWaitTest, CallsAreNotBounded) {
  SetManagedConfig(true);
  AddNode(2, milliseconds(0));
  const TimePoint start = BootNow();
  SendRequestWithFields({{"id", "call"}, {"left", "600"}});
  ASSERT_TRUE(WaitForResponse());
  EXPECT_GT(BootNow() - start, milliseconds(400));
  EXPECT_EQ(m_offered_waits.front(), 0U);
  EXPECT_EQ(m_ingress.Stats().m_out_of_wait, 0U);
}

// The first request learns that every queue is too long for the second one.
TEST_F(MeshIngressWaitTest, FreshReportsOfLongWaitsRejectWithoutAnOffer) {
  SetManagedConfig(false);
  FakeEgressNode& egress = AddNode(2, {});
  SendRequestWithFields({{"id", "7"}});
  ASSERT_TRUE(WaitForResponse());
  const size_t offers = egress.Count<TaggedOfferMessage>();
  ASSERT_GE(offers, 1U);
  SendRequestWithFields({{"id", "8"}});
  ASSERT_EQ(m_responses.size(), 2U);
  EXPECT_EQ(m_responses[1].m_status, 503);
  EXPECT_GE(RetryAfter(), 0.4);
  RunUntil(
      m_io, [] { return false; }, milliseconds(50));
  EXPECT_EQ(egress.Count<TaggedOfferMessage>(), offers);
  // The reported wait is over, so the queue may have become shorter.
  RunUntil(
      m_io, [] { return false; }, milliseconds(550));
  SendRequestWithFields({{"id", "9"}});
  ASSERT_TRUE(RunUntil(m_io, [this] { return m_responses.size() == 3; }));
  EXPECT_GT(egress.Count<TaggedOfferMessage>(), offers);
}

// Gates must see the requests of all accounts, or none can be found starved.
TEST_F(MeshIngressWaitTest, RequestsAreOfferedWhileThereAreAccounts) {
  SetManagedConfig(true);
  FakeEgressNode& egress = AddNode(2, {});
  SendRequestWithFields({{"id", "7"}});
  ASSERT_TRUE(WaitForResponse());
  const size_t offers = egress.Count<TaggedOfferMessage>();
  SendRequestWithFields({{"id", "8"}});
  ASSERT_TRUE(RunUntil(m_io, [this] { return m_responses.size() == 2; }));
  EXPECT_GT(egress.Count<TaggedOfferMessage>(), offers);
}

}  // namespace
}  // namespace sequoiastage
