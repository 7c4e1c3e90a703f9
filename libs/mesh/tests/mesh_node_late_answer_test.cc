// Answers of an instance that arrive once the next one has registered at its
// address.
#include <functional>
#include <memory>
#include <utility>

#include "mesh_node_fixture.h"
#include "sequoiastage/testing/raw_caller.h"

namespace sequoiastage {
namespace {

class LateAnswerTest : public MeshNodeTest {
 protected:
  void SetUp() override {
    PublishConfig("1 a /x/ plans");
    ASSERT_EQ(Announce(*m_second), 200);
    ASSERT_TRUE(WaitForStatus(*m_second, "/x/", 200));
  }

  // Sends a request to the instance, which answers it once the result is
  // called.
  std::function<void(HttpResponse)> HoldAnswer() {
    auto held = std::make_shared<StreamResponder>();
    m_second->m_instance.m_behavior = [held](const HttpRequest&,
                                             const StreamResponder& responder) {
      *held = responder;
      return CancelHook();
    };
    m_held = std::make_shared<ExchangeConnection>(
        m_io, m_second->m_settings.m_callers, ExchangeOptions{});
    m_held->Send({.m_method = "POST",
                  .m_target = "/x/",
                  .m_fields = {{"Host", "a"}, {"id", "7"}}},
                 std::chrono::seconds(5), {}, [](const ExchangeResult&) {});
    EXPECT_TRUE(RunUntil(m_io, [&] { return *held != nullptr; }));
    m_second->m_instance.m_behavior = [](const HttpRequest& request,
                                         const StreamResponder& responder) {
      responder(FakeInstance::BuildResponse(request));
      return CancelHook();
    };
    return [held](HttpResponse response) {
      response.m_fields.push_back({"id", "7"});
      (*held)(std::move(response));
    };
  }

  std::string Heartbeat(const std::string& name, int start_time_ms) {
    const std::string body =
        "plans " + ToString(m_second->m_instance.m_endpoint) + " " +
        std::to_string(start_time_ms) + " " + std::to_string(++m_sequence);
    return "POST /announce/" + name + " HTTP/1.1\r\nHost: a\r\n" +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  std::shared_ptr<ExchangeConnection> m_held;
};

// The node reads the 421 of the new instance and its heartbeat in one turn of
// the event loop.
TEST_F(LateAnswerTest, MismatchEndsNoInstanceThatRegistersBeforeItIsHandled) {
  RawCaller control(m_io, m_second->m_settings.m_control);
  control.Write(Heartbeat("i-1", 10));
  ASSERT_TRUE(RunUntil(m_io, [&] { return !control.m_received.empty(); }));
  const auto answer = HoldAnswer();
  control.m_received.clear();
  answer({.m_status = 421});
  control.Write(Heartbeat("i-2", 20));
  ASSERT_TRUE(RunUntil(m_io, [&] { return !control.m_received.empty(); }));
  EXPECT_TRUE(WaitForStatus(*m_second, "/x/", 200));
  EXPECT_EQ(FakeCodec::FieldValue(
                m_second->m_instance.m_requests.back().m_fields, "instance"),
            "i-2");
}

// The earlier incarnation goes on for a while, as after a deregistration.
TEST_F(LateAnswerTest, StatedDepartureEndsNoLaterIncarnationOfTheName) {
  const auto answer = HoldAnswer();
  ASSERT_EQ(Announce(*m_second, "", "20"), 200);
  answer({.m_status = 200, .m_fields = {{"seal", "1"}, {"leaving", "1"}}});
  ASSERT_EQ(Announce(*m_second, "", "20"), 200);
  EXPECT_TRUE(WaitForStatus(*m_second, "/x/", 200));
}

}  // namespace
}  // namespace sequoiastage
