#include "sequoiastage/execution/key_ledger.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace sequoiastage {
namespace {

const NodeId kOwner(Endpoint{.m_ip = 0x7f000001, .m_port = 7000});
const KeyIssuer::Secret kSecret{1, 2, 3};

WallTime WallTimeAt(int64_t ms) {
  return WallTime(std::chrono::milliseconds(ms));
}

KeyIssuer MakeIssuer(uint64_t incarnation = 1) {
  return KeyIssuer({.m_owner = kOwner,
                    .m_incarnation = Incarnation(incarnation),
                    .m_lifetime = std::chrono::milliseconds(1000)},
                   kSecret);
}

RequestFingerprint FingerprintWithBody(std::string_view body) {
  return ComputeFingerprint({.m_account = "grower",
                             .m_method = "POST",
                             .m_host = "fees",
                             .m_target = "/",
                             .m_body = body});
}

StoredResponse MakeResponse(std::string text) {
  return std::make_shared<const std::string>(std::move(text));
}

RC_GTEST_PROP(IdempotencyKeyTest,
              TextRoundTrips,
              (uint32_t ip, uint16_t port, uint64_t incarnation, int64_t now)) {
  RC_PRE(port != 0);
  KeyIssuer issuer({.m_owner = NodeId(Endpoint{.m_ip = ip, .m_port = port}),
                    .m_incarnation = Incarnation(incarnation)},
                   kSecret);
  const IdempotencyKey key = issuer.Issue(WallTimeAt(now / 2));
  const auto parsed = ParseKey(ToString(key), nullptr);
  RC_ASSERT(parsed.has_value());
  RC_ASSERT(*parsed == key);
  RC_ASSERT(issuer.HasIssued(*parsed));
}

RC_GTEST_PROP(IdempotencyKeyTest, AnyTextIsParsedOrRejectedWithAReason, ()) {
  const auto text = *rc::gen::container<std::string>(
      rc::gen::elementOf(std::string("sq1-0123456789abcdefABCDEFg ") + '\0'));
  std::string reason;
  const auto key = ParseKey(text, &reason);
  RC_ASSERT(key.has_value() == reason.empty());
}

RC_GTEST_PROP(IdempotencyKeyTest,
              AnyChangedCharacterIsRejected,
              (char changed)) {
  KeyIssuer issuer = MakeIssuer();
  std::string text = ToString(issuer.Issue(WallTimeAt(0)));
  const auto at = *rc::gen::inRange<size_t>(0, text.size());
  RC_PRE(text[at] != changed);
  text[at] = changed;
  const auto key = ParseKey(text, nullptr);
  RC_ASSERT(!key || !issuer.HasIssued(*key));
  RC_ASSERT(!ParseKey(text.substr(0, at), nullptr));
  RC_ASSERT(!ParseKey(text + "0", nullptr));
}

TEST(IdempotencyKeyTest, AnotherSecretOrIncarnationDidNotIssueIt) {
  KeyIssuer issuer = MakeIssuer();
  const IdempotencyKey key = issuer.Issue(WallTimeAt(0));
  EXPECT_FALSE(MakeIssuer(2).HasIssued(key));
  const KeyIssuer other({.m_owner = kOwner, .m_incarnation = Incarnation(1)},
                        KeyIssuer::MakeSecret());
  EXPECT_FALSE(other.HasIssued(key));
}

TEST(RequestFingerprintTest, DifferentSplitsIntoPartsDiffer) {
  EXPECT_NE(ComputeFingerprint({.m_account = "ab", .m_method = "c"}),
            ComputeFingerprint({.m_account = "a", .m_method = "bc"}));
  EXPECT_EQ(FingerprintWithBody("x"), FingerprintWithBody("x"));
  EXPECT_NE(FingerprintWithBody("x"), FingerprintWithBody("y"));
}

class KeyLedgerTest : public testing::Test {
 protected:
  KeyDecision Submit(const IdempotencyKey& key,
                     std::string_view body,
                     uint64_t waiter = 0,
                     int64_t now_ms = 0) {
    return m_ledger.Submit(m_issuer, key, FingerprintWithBody(body),
                           KeyWaiter(waiter), WallTimeAt(now_ms));
  }

  KeyIssuer m_issuer = MakeIssuer();
  KeyLedger m_ledger{{.m_max_keys = 3, .m_max_response_bytes = 8}};
  IdempotencyKey m_key = m_issuer.Issue(WallTimeAt(0));
};

TEST_F(KeyLedgerTest, DuplicatesWaitAndGetTheStoredResponse) {
  EXPECT_EQ(Submit(m_key, "fee").m_verdict, KeyVerdict::kDispatch);
  EXPECT_EQ(Submit(m_key, "fee", 1).m_verdict, KeyVerdict::kWait);
  EXPECT_EQ(Submit(m_key, "fee", 2).m_verdict, KeyVerdict::kWait);
  m_ledger.RemoveWaiter(m_key, KeyWaiter(1));
  const auto waiters =
      m_ledger.Resolve(m_key, RequestOutcome::kAnswered, MakeResponse("paid"));
  EXPECT_EQ(waiters, std::vector<KeyWaiter>{KeyWaiter(2)});
  const KeyDecision again = Submit(m_key, "fee");
  EXPECT_EQ(again.m_verdict, KeyVerdict::kAnswered);
  ASSERT_NE(again.m_response, nullptr);
  EXPECT_EQ(*again.m_response, "paid");
}

TEST_F(KeyLedgerTest, AnotherRequestNeverGetsTheResponse) {
  Submit(m_key, "fee");
  EXPECT_EQ(Submit(m_key, "other").m_verdict, KeyVerdict::kMismatch);
  m_ledger.Resolve(m_key, RequestOutcome::kAnswered, MakeResponse("paid"));
  const KeyDecision other = Submit(m_key, "other");
  EXPECT_EQ(other.m_verdict, KeyVerdict::kMismatch);
  EXPECT_EQ(other.m_response, nullptr);
  EXPECT_EQ(m_ledger.LookUp(m_issuer, m_key, WallTimeAt(0)).m_response,
            nullptr);
}

TEST_F(KeyLedgerTest, NotRunCanBeDispatchedAgainButUnknownCannot) {
  Submit(m_key, "fee");
  m_ledger.Resolve(m_key, RequestOutcome::kNotRun, nullptr);
  EXPECT_EQ(m_ledger.LookUp(m_issuer, m_key, WallTimeAt(0)).m_verdict,
            KeyVerdict::kUnused);
  EXPECT_EQ(Submit(m_key, "other").m_verdict, KeyVerdict::kMismatch);
  EXPECT_EQ(Submit(m_key, "fee").m_verdict, KeyVerdict::kDispatch);
  m_ledger.Resolve(m_key, RequestOutcome::kUnknown, nullptr);
  EXPECT_EQ(Submit(m_key, "fee").m_verdict, KeyVerdict::kUnknown);
}

TEST_F(KeyLedgerTest, ExpiredKeysNeverRunAndFreeTheirMemory) {
  for (int i = 0; i < 3; ++i) {
    const IdempotencyKey key = m_issuer.Issue(WallTimeAt(0));
    Submit(key, "fee");
    m_ledger.Resolve(key, RequestOutcome::kUnknown, nullptr);
  }
  EXPECT_EQ(Submit(m_key, "fee").m_verdict, KeyVerdict::kFull);
  EXPECT_EQ(Submit(m_key, "fee", 0, 1000).m_verdict, KeyVerdict::kExpired);
  EXPECT_EQ(m_ledger.Stats().m_keys, 0u);
  EXPECT_EQ(Submit(m_key, "fee", 0, 10).m_verdict, KeyVerdict::kExpired);
}

TEST_F(KeyLedgerTest, RunningKeyIsResolvedAfterItsExpiry) {
  Submit(m_key, "fee");
  Submit(m_key, "fee", 5);
  EXPECT_EQ(Submit(m_key, "fee", 6, 2000).m_verdict, KeyVerdict::kExpired);
  EXPECT_EQ(
      m_ledger.Resolve(m_key, RequestOutcome::kAnswered, MakeResponse("x"))
          .size(),
      1u);
}

TEST_F(KeyLedgerTest, DropsTheOldestResponsesAboveTheLimit) {
  const IdempotencyKey second = m_issuer.Issue(WallTimeAt(0));
  Submit(m_key, "fee");
  m_ledger.Resolve(m_key, RequestOutcome::kAnswered, MakeResponse("12345"));
  Submit(second, "fee");
  m_ledger.Resolve(second, RequestOutcome::kAnswered, MakeResponse("67890"));
  EXPECT_EQ(Submit(m_key, "fee").m_verdict, KeyVerdict::kResponseDropped);
  EXPECT_EQ(Submit(second, "fee").m_verdict, KeyVerdict::kAnswered);
  EXPECT_EQ(m_ledger.Stats().m_response_bytes, 5u);
}

TEST_F(KeyLedgerTest, OnlyTheIssuingIncarnationDecides) {
  IdempotencyKey forged = m_key;
  ++forged.m_counter;
  EXPECT_EQ(Submit(forged, "fee").m_verdict, KeyVerdict::kForged);
  EXPECT_EQ(Submit(MakeIssuer(2).Issue(WallTimeAt(0)), "fee").m_verdict,
            KeyVerdict::kOtherIncarnation);
  forged.m_owner = NodeId(Endpoint{.m_ip = 1, .m_port = 1});
  EXPECT_EQ(Submit(forged, "fee").m_verdict, KeyVerdict::kOtherOwner);
  EXPECT_EQ(m_ledger.Stats().m_keys, 0u);
}

}  // namespace
}  // namespace sequoiastage
