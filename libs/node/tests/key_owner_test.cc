#include "src/key_owner_p.h"

#include <gtest/gtest.h>

#include <optional>

namespace sequoiastage {
namespace {

// A key owner whose only instance is on its own host, with the test as the
// egress.
class KeyOwnerTest : public testing::Test {
 protected:
  KeyOwnerTest() {
    auto view = std::make_shared<NodeView>();
    view->m_instances[kService].push_back(
        {.m_id = InstanceId(*ParseEndpoint("127.0.1.1:9001")),
         .m_node = m_node,
         .m_node_incarnation = m_incarnation,
         .m_locality = Locality::kOwnHost,
         .m_slots = 3});
    m_runner.SetView(view);
    m_key = *ParseKey(m_owner.Issue(), nullptr);
  }

  void Submit() {
    m_owner.Submit(
        m_key, "account",
        {.m_request = {.m_method = "POST", .m_target = "/"},
         .m_service = kService,
         .m_deadline = WallNow() + std::chrono::seconds(60)},
        [this](KeyedResponse response) { m_response = std::move(response); });
  }

  // Sends a result of the egress for the latest attempt.
  void CompleteAttempt() {
    ASSERT_FALSE(m_sent.empty());
    const auto* dispatch = std::get_if<DispatchMessage>(&m_sent.back());
    ASSERT_NE(dispatch, nullptr);
    m_runner.OnResult({.m_attempt = dispatch->m_attempt,
                       .m_result = AttemptResult::kAnswered,
                       .m_response = {.m_status = 201, .m_body = "secret"}});
  }

  static inline const ServiceId kService = MakeServiceId("bookings");
  const NodeId m_node{*ParseEndpoint("127.0.1.1:8081")};
  const Incarnation m_incarnation{7};
  asio::io_context m_io;
  std::vector<Message> m_sent;
  Transport m_transport{
      m_io,
      {.m_local_node = m_node, .m_incarnation = m_incarnation},
      {.m_on_message = [](NodeId, const Message&) {},
       .m_on_connect_failed = [](NodeId, const std::vector<Message>&) {},
       .m_on_lost = [](NodeId, const std::string&) {}},
      [this](Message message) { m_sent.push_back(std::move(message)); }};
  RequestRunner m_runner{m_io,
                         {.m_node = m_node, .m_incarnation = m_incarnation},
                         m_transport};
  KeyOwner m_owner{m_io, m_node, m_incarnation, m_runner};
  IdempotencyKey m_key;
  std::optional<KeyedResponse> m_response;
};

TEST_F(KeyOwnerTest, LookUpReportsEveryStateOfAKey) {
  EXPECT_EQ(m_owner.LookUp(m_key).m_outcome, RequestOutcome::kNotRun);
  Submit();
  const KeyedResponse running = m_owner.LookUp(m_key);
  EXPECT_EQ(running.m_outcome, RequestOutcome::kUnknown);
  EXPECT_EQ(running.m_response.m_status, 202);
  CompleteAttempt();
  ASSERT_TRUE(m_response);
  EXPECT_EQ(m_response->m_response.m_body, "secret");
  EXPECT_EQ(m_owner.LookUp(m_key).m_outcome, RequestOutcome::kAnswered);
}

TEST_F(KeyOwnerTest, LookUpNeverReturnsTheStoredResponse) {
  Submit();
  CompleteAttempt();
  EXPECT_EQ(m_owner.LookUp(m_key).m_response.m_body.find("secret"),
            std::string::npos);
}

TEST_F(KeyOwnerTest, RetryWithTheSameKeyGetsTheStoredResponse) {
  Submit();
  CompleteAttempt();
  const size_t sent = m_sent.size();
  m_response.reset();
  Submit();
  ASSERT_TRUE(m_response);
  EXPECT_EQ(m_response->m_response.m_body, "secret");
  EXPECT_EQ(m_sent.size(), sent);
}

}  // namespace
}  // namespace sequoiastage
