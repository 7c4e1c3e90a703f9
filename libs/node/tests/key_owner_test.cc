#include "src/key_owner_p.h"

#include <gtest/gtest.h>

#include <optional>

namespace sequoiastage {
namespace {

// An owner whose only instance is on its own host; the test plays the egress.
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

  void Present() {
    m_owner.Present(
        m_key, "account",
        {.m_request = {.m_method = "POST", .m_target = "/"},
         .m_service = kService,
         .m_deadline = WallNow() + std::chrono::seconds(60)},
        [this](KeyedAnswer answer) { m_answer = std::move(answer); });
  }

  // The egress's answer to the attempt that was sent last.
  void AnswerAttempt() {
    ASSERT_FALSE(m_sent.empty());
    const auto* dispatch = std::get_if<DispatchMessage>(&m_sent.back());
    ASSERT_NE(dispatch, nullptr);
    m_runner.OnResult({.m_attempt = dispatch->m_attempt,
                       .m_result = AttemptResult::kAnswered,
                       .m_answer = {.m_status = 201, .m_body = "secret"}});
  }

  static inline const ServiceId kService = MakeServiceId("bookings");
  const NodeId m_node{*ParseEndpoint("127.0.1.1:8081")};
  const Incarnation m_incarnation{7};
  asio::io_context m_io;
  std::vector<Message> m_sent;
  Transport m_transport{
      m_io,
      {.m_own = m_node, .m_incarnation = m_incarnation},
      {.m_on_message = [](NodeId, const Message&) {},
       .m_on_connect_failed = [](NodeId, const std::vector<Message>&) {},
       .m_on_lost = [](NodeId, const std::string&) {}},
      [this](Message message) { m_sent.push_back(std::move(message)); }};
  RequestRunner m_runner{m_io,
                         {.m_node = m_node, .m_incarnation = m_incarnation},
                         m_transport};
  KeyOwner m_owner{m_io, m_node, m_incarnation, m_runner};
  IdempotencyKey m_key;
  std::optional<KeyedAnswer> m_answer;
};

TEST_F(KeyOwnerTest, LookTellsEveryStateOfAKey) {
  EXPECT_EQ(m_owner.Look(m_key).m_outcome, RequestOutcome::kNotRun);
  Present();
  const KeyedAnswer running = m_owner.Look(m_key);
  EXPECT_EQ(running.m_outcome, RequestOutcome::kUnknown);
  EXPECT_EQ(running.m_answer.m_status, 202);
  AnswerAttempt();
  ASSERT_TRUE(m_answer);
  EXPECT_EQ(m_answer->m_answer.m_body, "secret");
  EXPECT_EQ(m_owner.Look(m_key).m_outcome, RequestOutcome::kAnswered);
}

TEST_F(KeyOwnerTest, LookNeverGivesTheAnswerItself) {
  Present();
  AnswerAttempt();
  EXPECT_EQ(m_owner.Look(m_key).m_answer.m_body.find("secret"),
            std::string::npos);
}

TEST_F(KeyOwnerTest, KeyShownAgainGetsTheStoredAnswer) {
  Present();
  AnswerAttempt();
  const size_t sent = m_sent.size();
  m_answer.reset();
  Present();
  ASSERT_TRUE(m_answer);
  EXPECT_EQ(m_answer->m_answer.m_body, "secret");
  EXPECT_EQ(m_sent.size(), sent);
}

}  // namespace
}  // namespace sequoiastage
