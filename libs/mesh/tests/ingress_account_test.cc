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

std::string RetryAfter(const HttpResponse& response) {
  return FakeCodec::FieldValue(response.m_fields, "Retry-After");
}

// With 404 or 401 a caller would give up, although the next version may mend
// the configuration.
TEST_F(MeshIngressAccountTest,
       FaultsOfTheConfigurationAreNotRunWithRetryAfter) {
  SendRequestWithFields({{"id", "1"}});
  std::string reason;
  auto config = FakeCodec::DecodeConfig({.m_value = "1 a / plans"}, &reason);
  config->m_accounts = {{.m_name = "ferries", .m_keys = {"secret", "shared"}},
                        {.m_name = "trams", .m_keys = {"shared"}}};
  config->m_omitted.m_keys = {"omitted"};
  m_ingress.SetConfig(std::make_shared<const TrafficConfig>(*config));
  SendRequestWithFields({{"id", "2"}, {"key", "omitted"}});
  SendRequestWithFields({{"id", "3"}, {"key", "shared"}});
  config->m_omitted.m_routes = {{.m_name = "omitted",
                                 .m_host = "a",
                                 .m_path_prefix = "/x/",
                                 .m_is_omitted = true}};
  m_ingress.SetConfig(std::make_shared<const TrafficConfig>(*config));
  SendRequestWithFields({{"id", "4"}, {"key", "secret"}});
  config->m_omitted = {.m_has_all_accounts = true};
  config->m_accounts.clear();
  m_ingress.SetConfig(std::make_shared<const TrafficConfig>(*config));
  SendRequestWithFields({{"id", "5"}, {"key", "any"}});
  config->m_omitted = {.m_has_all_routes = true};
  config->m_routes.clear();
  m_ingress.SetConfig(std::make_shared<const TrafficConfig>(*config));
  SendRequestWithFields({{"id", "6"}});
  ASSERT_EQ(m_responses.size(), 6U);
  for (const HttpResponse& response : m_responses) {
    EXPECT_EQ(response.m_status, 503);
    ASSERT_NE(RetryAfter(response), "");
    EXPECT_GE(std::stod(RetryAfter(response)), 0.9);
    EXPECT_LE(std::stod(RetryAfter(response)), 1.6);
  }
  EXPECT_EQ(m_ingress.Stats().m_misconfigured, 5U);
  EXPECT_EQ(m_ingress.Stats().m_unauthorized, 0U);
}

// Accounts that can't be used must not open the routes to requests without a
// key.
TEST_F(MeshIngressAccountTest, OmittedAccountsStillRequireKeys) {
  std::string reason;
  auto config = FakeCodec::DecodeConfig({.m_value = "1 a /x/ plans"}, &reason);
  config->m_omitted.m_has_accounts = true;
  m_ingress.SetConfig(std::make_shared<const TrafficConfig>(*config));
  SendRequestWithFields({{"id", "1"}});
  SendRequestWithFields({{"id", "2"}, {"key", "guess"}});
  config->m_omitted = {.m_has_all_accounts = true};
  m_ingress.SetConfig(std::make_shared<const TrafficConfig>(*config));
  SendRequestWithFields({{"id", "3"}});
  ASSERT_EQ(m_responses.size(), 3U);
  for (const HttpResponse& response : m_responses) {
    EXPECT_EQ(response.m_status, 401);
  }
}

// Two routes of one name must not share their splits: the shares of the longer
// one don't exist in the other.
TEST_F(MeshIngressAccountTest, RoutesOfOneNameKeepTheirOwnSplits) {
  std::string reason;
  auto config = FakeCodec::DecodeConfig({.m_value = "1 a /x/ plans"}, &reason);
  config->m_routes.push_back(config->m_routes[0]);
  config->m_routes[0].m_path_prefix = "/";
  config->m_routes[0].m_shares.assign(
      40, {.m_service = MakeServiceId("other"), .m_weight = 1});
  config->m_routes[1].m_shares.assign(
      2, {.m_service = MakeServiceId("plans"), .m_weight = 1});
  m_ingress.SetConfig(std::make_shared<const TrafficConfig>(*config));
  size_t offers = 0;
  FakeEgressNode egress(m_io, 2, 5);
  m_targets.SetMember(egress.Record());
  egress.m_script = [&](const Message& message, const MessageSink&) {
    const auto* offer = std::get_if<OfferMessage>(&message);
    offers += offer != nullptr && offer->m_service == MakeServiceId("plans");
  };
  SendRequest("/other");
  for (int i = 0; i < 20; ++i) {
    SendRequest("/x/1");
  }
  EXPECT_TRUE(RunUntil(m_io, [&] { return offers == 20; }));
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
