#include "sequoiastage/execution/key_ledger.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace sequoiastage {
namespace {

const NodeId kOwner(Endpoint{.m_ip = 0x7f000001, .m_port = 7000});
const KeyIssuer::Secret kSecret{1, 2, 3};

WallTime At(int64_t ms) {
  return WallTime(std::chrono::milliseconds(ms));
}

KeyIssuer Issuer(uint64_t incarnation = 1) {
  return KeyIssuer({.m_owner = kOwner,
                    .m_incarnation = Incarnation(incarnation),
                    .m_lifetime = std::chrono::milliseconds(1000)},
                   kSecret);
}

RequestFingerprint Fingerprint(std::string_view body) {
  return FingerprintOf({.m_account = "grower",
                        .m_method = "POST",
                        .m_host = "fees",
                        .m_target = "/",
                        .m_body = body});
}

StoredAnswer Answer(std::string text) {
  return std::make_shared<const std::string>(std::move(text));
}

RC_GTEST_PROP(IdempotencyKeyTest,
              TextRoundTrips,
              (uint32_t ip, uint16_t port, uint64_t incarnation, int64_t now)) {
  RC_PRE(port != 0);
  KeyIssuer issuer({.m_owner = NodeId(Endpoint{.m_ip = ip, .m_port = port}),
                    .m_incarnation = Incarnation(incarnation)},
                   kSecret);
  const IdempotencyKey key = issuer.Issue(At(now / 2));
  const auto parsed = ParseKey(ToString(key), nullptr);
  RC_ASSERT(parsed.has_value());
  RC_ASSERT(*parsed == key);
  RC_ASSERT(issuer.IsOwn(*parsed));
}

RC_GTEST_PROP(IdempotencyKeyTest, AnyTextIsParsedOrRefusedWithAReason, ()) {
  const auto text = *rc::gen::container<std::string>(
      rc::gen::elementOf(std::string("sq1-0123456789abcdefABCDEFg ") + '\0'));
  std::string reason;
  const auto key = ParseKey(text, &reason);
  RC_ASSERT(key.has_value() == reason.empty());
}

RC_GTEST_PROP(IdempotencyKeyTest,
              AnyChangedCharacterIsRefused,
              (char changed)) {
  KeyIssuer issuer = Issuer();
  std::string text = ToString(issuer.Issue(At(0)));
  const auto at = *rc::gen::inRange<size_t>(0, text.size());
  RC_PRE(text[at] != changed);
  text[at] = changed;
  const auto key = ParseKey(text, nullptr);
  RC_ASSERT(!key || !issuer.IsOwn(*key));
  RC_ASSERT(!ParseKey(text.substr(0, at), nullptr));
  RC_ASSERT(!ParseKey(text + "0", nullptr));
}

TEST(IdempotencyKeyTest, AnotherSecretOrRunDoesNotOwnIt) {
  KeyIssuer issuer = Issuer();
  const IdempotencyKey key = issuer.Issue(At(0));
  EXPECT_FALSE(Issuer(2).IsOwn(key));
  const KeyIssuer other({.m_owner = kOwner, .m_incarnation = Incarnation(1)},
                        KeyIssuer::MakeSecret());
  EXPECT_FALSE(other.IsOwn(key));
}

TEST(RequestFingerprintTest, PartsDoNotRunIntoEachOther) {
  EXPECT_NE(FingerprintOf({.m_account = "ab", .m_method = "c"}),
            FingerprintOf({.m_account = "a", .m_method = "bc"}));
  EXPECT_EQ(Fingerprint("x"), Fingerprint("x"));
  EXPECT_NE(Fingerprint("x"), Fingerprint("y"));
}

class KeyLedgerTest : public testing::Test {
 protected:
  KeyDecision Present(const IdempotencyKey& key,
                      std::string_view body,
                      uint64_t waiter = 0,
                      int64_t now_ms = 0) {
    return m_ledger.Present(m_issuer, key, Fingerprint(body), KeyWaiter(waiter),
                            At(now_ms));
  }

  KeyIssuer m_issuer = Issuer();
  KeyLedger m_ledger{{.m_max_keys = 3, .m_max_answer_bytes = 8}};
  IdempotencyKey m_key = m_issuer.Issue(At(0));
};

TEST_F(KeyLedgerTest, DuplicatesWaitAndGetTheStoredAnswer) {
  EXPECT_EQ(Present(m_key, "fee").m_verdict, KeyVerdict::kDispatch);
  EXPECT_EQ(Present(m_key, "fee", 1).m_verdict, KeyVerdict::kWait);
  EXPECT_EQ(Present(m_key, "fee", 2).m_verdict, KeyVerdict::kWait);
  m_ledger.Leave(m_key, KeyWaiter(1));
  const auto waiters =
      m_ledger.Resolve(m_key, RequestOutcome::kAnswered, Answer("paid"));
  EXPECT_EQ(waiters, std::vector<KeyWaiter>{KeyWaiter(2)});
  const KeyDecision again = Present(m_key, "fee");
  EXPECT_EQ(again.m_verdict, KeyVerdict::kAnswered);
  ASSERT_NE(again.m_answer, nullptr);
  EXPECT_EQ(*again.m_answer, "paid");
}

TEST_F(KeyLedgerTest, AnotherRequestNeverGetsTheAnswer) {
  Present(m_key, "fee");
  EXPECT_EQ(Present(m_key, "other").m_verdict, KeyVerdict::kMismatch);
  m_ledger.Resolve(m_key, RequestOutcome::kAnswered, Answer("paid"));
  const KeyDecision other = Present(m_key, "other");
  EXPECT_EQ(other.m_verdict, KeyVerdict::kMismatch);
  EXPECT_EQ(other.m_answer, nullptr);
  EXPECT_EQ(m_ledger.Look(m_issuer, m_key, At(0)).m_answer, nullptr);
}

TEST_F(KeyLedgerTest, NotRunMayBeDispatchedAgainAndUnknownNever) {
  Present(m_key, "fee");
  m_ledger.Resolve(m_key, RequestOutcome::kNotRun, nullptr);
  EXPECT_EQ(m_ledger.Look(m_issuer, m_key, At(0)).m_verdict,
            KeyVerdict::kUnused);
  EXPECT_EQ(Present(m_key, "other").m_verdict, KeyVerdict::kMismatch);
  EXPECT_EQ(Present(m_key, "fee").m_verdict, KeyVerdict::kDispatch);
  m_ledger.Resolve(m_key, RequestOutcome::kUnknown, nullptr);
  EXPECT_EQ(Present(m_key, "fee").m_verdict, KeyVerdict::kUnknown);
}

TEST_F(KeyLedgerTest, ExpiredKeysNeverRunAndFreeTheirMemory) {
  for (int i = 0; i < 3; ++i) {
    const IdempotencyKey key = m_issuer.Issue(At(0));
    Present(key, "fee");
    m_ledger.Resolve(key, RequestOutcome::kUnknown, nullptr);
  }
  EXPECT_EQ(Present(m_key, "fee").m_verdict, KeyVerdict::kFull);
  EXPECT_EQ(Present(m_key, "fee", 0, 1000).m_verdict, KeyVerdict::kExpired);
  EXPECT_EQ(m_ledger.Stats().m_keys, 0u);
  EXPECT_EQ(Present(m_key, "fee", 0, 10).m_verdict, KeyVerdict::kExpired);
}

TEST_F(KeyLedgerTest, RunningKeyIsResolvedAfterItsExpiry) {
  Present(m_key, "fee");
  Present(m_key, "fee", 5);
  EXPECT_EQ(Present(m_key, "fee", 6, 2000).m_verdict, KeyVerdict::kExpired);
  EXPECT_EQ(
      m_ledger.Resolve(m_key, RequestOutcome::kAnswered, Answer("x")).size(),
      1u);
}

TEST_F(KeyLedgerTest, DropsTheOldestAnswersAboveTheLimit) {
  const IdempotencyKey second = m_issuer.Issue(At(0));
  Present(m_key, "fee");
  m_ledger.Resolve(m_key, RequestOutcome::kAnswered, Answer("12345"));
  Present(second, "fee");
  m_ledger.Resolve(second, RequestOutcome::kAnswered, Answer("67890"));
  EXPECT_EQ(Present(m_key, "fee").m_verdict, KeyVerdict::kAnswerDropped);
  EXPECT_EQ(Present(second, "fee").m_verdict, KeyVerdict::kAnswered);
  EXPECT_EQ(m_ledger.Stats().m_answer_bytes, 5u);
}

TEST_F(KeyLedgerTest, OnlyTheIssuingRunDecides) {
  IdempotencyKey forged = m_key;
  ++forged.m_counter;
  EXPECT_EQ(Present(forged, "fee").m_verdict, KeyVerdict::kForged);
  EXPECT_EQ(Present(Issuer(2).Issue(At(0)), "fee").m_verdict,
            KeyVerdict::kOtherIncarnation);
  forged.m_owner = NodeId(Endpoint{.m_ip = 1, .m_port = 1});
  EXPECT_EQ(Present(forged, "fee").m_verdict, KeyVerdict::kOtherOwner);
  EXPECT_EQ(m_ledger.Stats().m_keys, 0u);
}

}  // namespace
}  // namespace sequoiastage
