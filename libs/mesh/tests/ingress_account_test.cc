#include <gtest/gtest.h>

#include "ingress_fixture.h"

namespace sequoiastage {
namespace {

using MeshIngressAccountTest = MeshIngressTest;

TEST_F(MeshIngressAccountTest, RejectsUnknownKeysAtOnce) {
  SetConfigWithAccount();
  SendRequestWithFields({{"id", "7"}});
  SendRequestWithFields({{"id", "8"}, {"key", "guess"}});
  ASSERT_EQ(m_responses.size(), 2U);
  EXPECT_EQ(m_responses[0].m_status, 401);
  EXPECT_EQ(m_responses[1].m_status, 401);
  EXPECT_EQ(m_ingress.Stats().m_unauthorized, 2U);
}

TEST_F(MeshIngressAccountTest, PublicRouteNeedsNoKey) {
  std::string reason;
  auto config = FakeCodec::DecodeConfig({.m_value = "1 a /x/ plans"}, &reason);
  config->m_accounts = {{.m_name = "ferries", .m_keys = {"secret"}}};
  config->m_routes[0].m_is_public = true;
  m_ingress.SetConfig(std::make_shared<const TrafficConfig>(*config));
  SendRequestWithFields({{"id", "7"}});
  ASSERT_EQ(m_responses.size(), 1U);
  // Accepted; there is no instance.
  EXPECT_EQ(m_responses[0].m_status, 503);
}

TEST_F(MeshIngressAccountTest, OffersCarryTheAccountAndNeverTheKey) {
  SetConfigWithAccount();
  std::vector<OfferMessage> offers;
  FakeEgressNode egress(m_io, 2, 5);
  m_targets.SetMember(egress.Record());
  egress.m_script = [&](const Message& message, const MessageSink&) {
    if (const auto* tagged = std::get_if<TaggedOfferMessage>(&message)) {
      offers.push_back(tagged->m_offer);
    }
  };
  SendRequestWithFields(
      {{"id", "7"}, {"key", "secret"}, {"account", "forged"}});
  ASSERT_TRUE(RunUntil(m_io, [&] { return !offers.empty(); }));
  EXPECT_EQ(offers[0].m_account, "ferries");
  EXPECT_EQ(offers[0].m_share_account, MakeAccountId("ferries"));
  EXPECT_EQ(offers[0].m_urgency, 2);
  EXPECT_FALSE(offers[0].m_is_call);
  for (const HttpField& field : offers[0].m_request.m_fields) {
    EXPECT_NE(field.m_name, "key");
    EXPECT_NE(field.m_name, "account");
  }
}

// A call has no key. Its slot time counts for the account whose request makes
// it, but the instance must not take it for a request of that account.
TEST_F(MeshIngressAccountTest, CallsAreChargedToTheAccountOfTheirParent) {
  SetConfigWithAccount();
  std::vector<OfferMessage> offers;
  FakeEgressNode egress(m_io, 2, 5);
  m_targets.SetMember(egress.Record());
  egress.m_script = [&](const Message& message, const MessageSink&) {
    if (const auto* tagged = std::get_if<TaggedOfferMessage>(&message)) {
      offers.push_back(tagged->m_offer);
    }
  };
  std::string reason;
  auto config = FakeCodec::DecodeConfig({.m_value = "2 a /x/ plans"}, &reason);
  config->m_accounts = {{.m_name = "ferries", .m_keys = {"secret"}}};
  config->m_routes[0].m_is_public = true;
  m_ingress.SetConfig(std::make_shared<const TrafficConfig>(*config));
  SendRequestWithFields({{"id", "call"}});
  ASSERT_TRUE(RunUntil(m_io, [&] { return !offers.empty(); }));
  EXPECT_EQ(offers[0].m_account, "");
  EXPECT_EQ(offers[0].m_share_account, AccountId(9));
  EXPECT_EQ(offers[0].m_urgency, 4);
  EXPECT_TRUE(offers[0].m_is_call);
}

}  // namespace
}  // namespace sequoiastage
