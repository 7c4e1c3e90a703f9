#include <gtest/gtest.h>

#include <algorithm>
#include <memory>

#include "fake_platform.h"
#include "sequoiastage/mesh/egress.h"

// Large requests at the egress: bytes held by the node and by its instance.
namespace sequoiastage {
namespace {

constexpr PeerKey kPeer{.m_node = NodeId(Endpoint{.m_ip = 1, .m_port = 1}),
                        .m_incarnation = Incarnation(7)};
constexpr NodeId kSelf{Endpoint{.m_ip = 2, .m_port = 1}};
constexpr size_t kUpload = 540'000;

class EgressBytesTest : public testing::Test {
 protected:
  EgressBytesTest()
      : m_instance(std::make_unique<FakeInstance>(m_io, InstanceAddress())),
        m_egress(m_io,
                 kSelf,
                 {.m_budget = m_budget},
                 m_quarantine,
                 {.m_on_mismatch = [](const InstanceIncarnation&) {},
                  .m_on_leaving = [](const InstanceIncarnation&) {}}) {
    Announce(1);
    SetManagesLoad(true);
    // Holds its requests until they are released or it crashes.
    m_instance->m_behavior = [this](const HttpRequest& request,
                                    const StreamResponder& responder) {
      m_held.emplace_back(request, responder);
      return CancelHook();
    };
  }

  static Endpoint InstanceAddress() {
    return {.m_ip = TestIp(1), .m_port = 9000};
  }

  void Announce(uint64_t start_time_ms) {
    const InstanceAnnouncement announcement{.m_name = "i-1",
                                            .m_address = InstanceAddress(),
                                            .m_service = "plans",
                                            .m_slots = 8,
                                            .m_start_time_ms = start_time_ms};
    m_egress.SetInstance(&announcement);
  }

  void SetManagesLoad(bool manages_load) {
    std::string reason;
    auto config =
        FakeCodec::DecodeConfig({.m_value = "1 a /x/ plans"}, &reason);
    config->m_routes[0].m_has_large_bodies = manages_load;
    m_egress.SetConfig(
        std::make_shared<const TrafficConfig>(*std::move(config)));
  }

  HttpRequest MakeRequest(uint64_t number, size_t body_bytes) const {
    return {.m_method = "POST",
            .m_host = "a",
            .m_target = "/x/" + std::to_string(number),
            .m_fields = {{"Host", "a"}, {"id", std::to_string(number)}},
            .m_body = std::string(body_bytes, 'b')};
  }

  // Offers a request that starts with a separate message, as uploads do.
  void Offer(uint64_t number, size_t body_bytes) {
    m_egress.OnOffer(
        kPeer,
        {.m_attempt = AttemptNumber(number),
         .m_service = MakeServiceId("plans"),
         .m_instance = "i-1",
         .m_accepts_held = true,
         .m_time_left_ms = 9000,
         .m_caller_service = "homes",
         .m_request_id = std::to_string(number),
         .m_body_bytes = static_cast<uint32_t>(body_bytes)},
        [this](const Message& message) {
          if (const auto* reply = std::get_if<OfferReplyMessage>(&message)) {
            m_replies.push_back(*reply);
          } else if (const auto* end = std::get_if<OutcomeMessage>(&message)) {
            m_outcomes.push_back(*end);
          }
        });
  }

  void Start(uint64_t number, size_t body_bytes) {
    m_egress.OnStart(kPeer, {.m_attempt = AttemptNumber(number),
                             .m_time_left_ms = 9000,
                             .m_request = MakeRequest(number, body_bytes)});
  }

  // Offers and starts. Returns whether the offer was granted.
  bool Run(uint64_t number, size_t body_bytes) {
    Offer(number, body_bytes);
    if (m_replies.back().m_verdict != OfferVerdict::kReady) {
      EXPECT_EQ(m_replies.back().m_reason, AttemptReason::kBusy);
      return false;
    }
    Start(number, body_bytes);
    return true;
  }

  bool WaitForHeld(size_t count) {
    return RunUntil(m_io, [&] { return m_held.size() >= count; });
  }

  bool WaitForOutcomes(size_t count) {
    return RunUntil(m_io, [&] { return m_outcomes.size() >= count; });
  }

  void ReleaseAll() {
    for (const auto& [request, responder] : std::exchange(m_held, {})) {
      responder(FakeInstance::BuildResponse(
          {.m_fields = request.m_fields, .m_body = "x"}));
    }
  }

  // The instance crashes with what it holds and starts again.
  void Crash(size_t outcomes) {
    m_held.clear();
    m_instance->Crash();
    EXPECT_TRUE(WaitForOutcomes(outcomes));
    const auto behavior = m_instance->m_behavior;
    m_instance = std::make_unique<FakeInstance>(m_io, InstanceAddress());
    m_instance->m_behavior = behavior;
    Announce(++m_start_time_ms);
  }

  bool IsReported(uint64_t number, size_t body_bytes) {
    const RequestFingerprint fingerprint =
        FingerprintOf(MakeRequest(number, body_bytes), "homes");
    MemberRecord record;
    m_quarantine.AddTo(record, WallNow());
    return std::any_of(
        record.m_crashes.begin(), record.m_crashes.end(),
        [&](const CrashReport& report) {
          return std::find(report.m_running.begin(), report.m_running.end(),
                           fingerprint) != report.m_running.end();
        });
  }

  asio::io_context m_io;
  std::shared_ptr<ByteBudget> m_budget =
      std::make_shared<ByteBudget>(size_t{8} << 20);
  std::unique_ptr<FakeInstance> m_instance;
  SharedQuarantine m_quarantine{kSelf, {}, [] {}};
  Egress<FakeCodec> m_egress;
  std::vector<std::pair<HttpRequest, StreamResponder>> m_held;
  std::vector<OfferReplyMessage> m_replies;
  std::vector<OutcomeMessage> m_outcomes;
  uint64_t m_start_time_ms = 1;
};

// Guards against an instance that is offered the same load that it crashed of.
TEST_F(EgressBytesTest, CrashWithManyBytesLowersTheBound) {
  for (uint64_t number = 1; number <= 4; ++number) {
    ASSERT_TRUE(Run(number, kUpload));
  }
  ASSERT_TRUE(WaitForHeld(4));
  Crash(4);
  EXPECT_LT(m_egress.LargeBytesBound(), 4 * kUpload);
  EXPECT_EQ(m_egress.LargeBytes(), 0U);
  EXPECT_TRUE(Run(11, kUpload));
  EXPECT_TRUE(Run(12, kUpload));
  EXPECT_FALSE(Run(13, kUpload));
  EXPECT_FALSE(Run(14, kUpload));
  // Small requests are not bounded.
  EXPECT_TRUE(Run(15, 100));
  ASSERT_TRUE(WaitForHeld(3));
  ReleaseAll();
  ASSERT_TRUE(WaitForOutcomes(7));
  EXPECT_EQ(m_egress.LargeBytes(), 0U);
  EXPECT_EQ(m_egress.Stats().m_byte_refusals, 2U);
}

// Guards against a quarantine of uploads that crashed the instance together:
// they are not reported here, and their ingresses are not told that they
// crashed it.
TEST_F(EgressBytesTest, UploadsWhoseBytesExplainACrashAreNotBlamed) {
  for (uint64_t number = 1; number <= 4; ++number) {
    ASSERT_TRUE(Run(number, kUpload));
  }
  ASSERT_TRUE(Run(5, 100));
  ASSERT_TRUE(WaitForHeld(5));
  Crash(5);
  for (const OutcomeMessage& outcome : m_outcomes) {
    EXPECT_EQ(outcome.m_reason, outcome.m_attempt == AttemptNumber(5)
                                    ? AttemptReason::kInstanceCrashed
                                    : AttemptReason::kIncompleteResponse);
  }
  EXPECT_FALSE(IsReported(1, kUpload));
  EXPECT_TRUE(IsReported(5, 100));
}

// Guards against a deadly request that is never found because uploads run
// beside it.
TEST_F(EgressBytesTest, DeadlyRequestsAreBlamed) {
  ASSERT_TRUE(Run(1, 100));
  ASSERT_TRUE(Run(2, kUpload));
  ASSERT_TRUE(WaitForHeld(2));
  Crash(2);
  EXPECT_TRUE(IsReported(1, 100));
  // Alone, a large request is to blame.
  EXPECT_TRUE(IsReported(2, kUpload));
}

TEST_F(EgressBytesTest, BytesThatTheInstanceHasBorneExplainNoCrash) {
  for (uint64_t number = 1; number <= 6; ++number) {
    ASSERT_TRUE(Run(number, kUpload));
  }
  ASSERT_TRUE(WaitForHeld(6));
  ReleaseAll();
  ASSERT_TRUE(WaitForOutcomes(6));
  for (uint64_t number = 11; number <= 12; ++number) {
    ASSERT_TRUE(Run(number, kUpload));
  }
  ASSERT_TRUE(WaitForHeld(2));
  Crash(8);
  EXPECT_TRUE(IsReported(11, kUpload));
  EXPECT_EQ(m_egress.LargeBytesBound(), SIZE_MAX);
}

TEST_F(EgressBytesTest, WithoutLoadManagementUploadsAreBlamedAsBefore) {
  SetManagesLoad(false);
  for (uint64_t number = 1; number <= 4; ++number) {
    ASSERT_TRUE(Run(number, kUpload));
  }
  ASSERT_TRUE(WaitForHeld(4));
  Crash(4);
  EXPECT_TRUE(IsReported(1, kUpload));
  EXPECT_EQ(m_outcomes[0].m_reason, AttemptReason::kInstanceCrashed);
  EXPECT_EQ(m_egress.LargeBytesBound(), SIZE_MAX);
}

// Guards against a node that exceeds its memory with requests for a slow
// instance.
TEST_F(EgressBytesTest, ShortBudgetRefusesLargeOffers) {
  const size_t before = m_budget->Limit() / 2 - 2 * kUpload;
  BudgetShare other(m_budget, HeldKind::kLinks);
  other.Set(before);
  Offer(1, kUpload);
  EXPECT_EQ(m_replies.back().m_verdict, OfferVerdict::kReady);
  Offer(2, kUpload);
  EXPECT_EQ(m_replies.back().m_verdict, OfferVerdict::kReady);
  Offer(3, kUpload);
  EXPECT_EQ(m_replies.back().m_verdict, OfferVerdict::kRefused);
  EXPECT_EQ(m_replies.back().m_reason, AttemptReason::kBusy);
  Offer(4, 100);
  EXPECT_EQ(m_replies.back().m_verdict, OfferVerdict::kReady);
  EXPECT_EQ(m_budget->Refusals(), 1U);
  EXPECT_LE(m_budget->Held(), m_budget->Limit());
  for (const uint64_t number : {1, 2, 4}) {
    m_egress.OnWithdraw(kPeer, AttemptNumber(number));
  }
  EXPECT_EQ(m_budget->Held(), before);
}

// Guards against copies of a request that stay while the instance runs it.
TEST_F(EgressBytesTest, RequestIsNotHeldOnceTheInstanceHasIt) {
  ASSERT_TRUE(Run(1, kUpload));
  EXPECT_GE(m_budget->Held(HeldKind::kInstanceRequests), kUpload);
  EXPECT_LT(m_budget->Held(HeldKind::kInstanceRequests), 2 * kUpload);
  ASSERT_TRUE(WaitForHeld(1));
  EXPECT_EQ(m_budget->Held(), 0U);
  EXPECT_EQ(m_held[0].first.m_body.size(), kUpload);
}

// Guards against an upload that loses its slot while its body crosses a slow
// link.
TEST_F(EgressBytesTest, GrantedSlotWaitsForTheTransferOfALargeBody) {
  Offer(1, kUpload);
  Offer(2, 100);
  ASSERT_TRUE(WaitForOutcomes(1));  // 700 ms
  EXPECT_EQ(m_outcomes[0].m_attempt, AttemptNumber(2));
  Start(1, kUpload);
  EXPECT_TRUE(WaitForHeld(1));
}

// A cancel message may arrive before the start message that it follows.
TEST_F(EgressBytesTest, CancelBeforeALargeStartMessageKeepsItFromRunning) {
  Offer(1, kUpload);
  m_egress.OnWithdraw(kPeer, AttemptNumber(1));
  Start(1, kUpload);
  EXPECT_FALSE(RunUntil(
      m_io, [this] { return !m_held.empty(); }, std::chrono::milliseconds(50)));
  EXPECT_EQ(m_egress.WorkCount(), 0U);
  EXPECT_EQ(m_budget->Held(), 0U);
}

// Guards against outcomes that are retained by number alone, 256 of any size,
// and until the next one is.
TEST_F(EgressBytesTest, RetainedOutcomesAreBoundedAndExpire) {
  SetManagesLoad(false);
  for (uint64_t number = 1; number <= 40; ++number) {
    ASSERT_TRUE(Run(number, 10));
    ASSERT_TRUE(WaitForHeld(1));
    const auto [request, responder] = m_held.front();
    m_held.clear();
    responder(FakeInstance::BuildResponse(
        {.m_fields = request.m_fields, .m_body = std::string(kUpload, 'r')}));
    ASSERT_TRUE(WaitForOutcomes(number));
    EXPECT_LE(m_budget->Held(HeldKind::kInstanceResponses),
              m_budget->Limit() / 4);
  }
  EXPECT_GT(m_budget->Held(HeldKind::kInstanceResponses), 0U);
  EXPECT_TRUE(RunUntil(m_io, [this] { return m_budget->Held() == 0; }));
}

TEST_F(EgressBytesTest, LargeResponseIsAnnounced) {
  ASSERT_TRUE(Run(1, 100));
  ASSERT_TRUE(WaitForHeld(1));
  m_held[0].second(
      FakeInstance::BuildResponse({.m_fields = m_held[0].first.m_fields,
                                   .m_body = std::string(kUpload, 'r')}));
  ASSERT_TRUE(WaitForOutcomes(1));
  EXPECT_EQ(m_replies.back().m_verdict, OfferVerdict::kResponding);
}

}  // namespace
}  // namespace sequoiastage
