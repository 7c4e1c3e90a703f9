#include <array>

#include "mesh_node_fixture.h"
#include "sequoiastage/testing/raw_caller.h"

namespace sequoiastage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Load pattern: callers go on using a node that stops, on connections that they
// opened before and have not used yet, and with requests that they send slowly.
class MeshNodeShutdownTest : public MeshNodeTest {
 protected:
  // The first node ends its requests 4.05 s after the stop. Requests on the
  // route /x/ take up to 1.5 s.
  explicit MeshNodeShutdownTest(milliseconds grace = milliseconds(4500)) {
    m_first.reset();
    m_first = std::make_unique<TestNode>(m_io, m_log, 3,
                                         TestNodeOptions{.m_grace = grace});
  }

  void RunFor(milliseconds time) {
    RunUntil(
        m_io, [] { return false; }, time);
  }

  // Announces the instance of the second node and opens the connections some
  // time after the stop.
  void StopWithOpenConnections(milliseconds time = milliseconds(2700)) {
    PublishConfig("1 a /x/ plans once");
    ASSERT_EQ(Announce(*m_second), 200);
    ASSERT_TRUE(WaitForStatus(*m_first, "/x/", 200));
    m_begin = std::chrono::steady_clock::now();
    m_first->m_node.StartShutdown();
    RunFor(time);
    for (auto& caller : m_callers) {
      caller = std::make_unique<RawCaller>(m_io, m_first->m_settings.m_callers);
    }
    m_second->m_instance.m_requests.clear();
  }

  // Runs until `time` has passed since the stop.
  void RunTo(milliseconds time) {
    RunUntil(m_io, [this, time] {
      return std::chrono::steady_clock::now() - m_begin >= time;
    });
  }

  bool WaitForText(const RawCaller& caller, const std::string& text) {
    return RunUntil(
        m_io, [&] { return caller.m_received.find(text) != std::string::npos; },
        milliseconds(500));
  }

  static std::string Head(const std::string& id, milliseconds left) {
    return "POST /x/ HTTP/1.1\r\nHost: a\r\nid: " + id +
           "\r\nleft: " + std::to_string(left.count()) +
           "\r\nContent-Length: 4\r\n\r\n";
  }

  std::chrono::steady_clock::time_point m_begin;
  std::array<std::unique_ptr<RawCaller>, 2> m_callers;
};

// Guards against requests that a stopping node takes and breaks off.
TEST_F(MeshNodeShutdownTest, RejectsRequestsThatItCannotFinish) {
  StopWithOpenConnections();
  RawCaller slow(m_io, m_first->m_settings.m_callers);
  slow.Write(Head("slow", seconds(9)) + "bo");
  RunTo(milliseconds(3100));
  m_callers[0]->Write(Head("late", seconds(9)) + "body");
  slow.Write("dy");
  EXPECT_TRUE(WaitForText(*m_callers[0], "HTTP/1.1 503"));
  EXPECT_TRUE(WaitForText(*m_callers[0], "Retry-After: "));
  EXPECT_TRUE(WaitForText(slow, "HTTP/1.1 503"));
  EXPECT_TRUE(m_second->m_instance.m_requests.empty());
}

TEST_F(MeshNodeShutdownTest, ServesLateRequestsThatItCanFinish) {
  StopWithOpenConnections();
  RunTo(milliseconds(3100));
  m_callers[0]->Write(Head("late", milliseconds(400)) + "body");
  EXPECT_TRUE(WaitForText(*m_callers[0], "answer to body"));
}

// A request that was taken in time is finished, however long it may take.
TEST_F(MeshNodeShutdownTest, FinishesRequestsTakenBefore) {
  StopWithOpenConnections();
  StreamResponder respond_later;
  HttpRequest received;
  m_second->m_instance.m_behavior = [&](const HttpRequest& request,
                                        const StreamResponder& responder) {
    received = request;
    respond_later = responder;
    return CancelHook();
  };
  m_callers[0]->Write(Head("early", seconds(9)) + "body");
  ASSERT_TRUE(RunUntil(m_io, [&] { return bool{respond_later}; }));
  RunTo(milliseconds(3800));
  respond_later(FakeInstance::BuildResponse(received));
  EXPECT_TRUE(WaitForText(*m_callers[0], "answer to body"));
}

// The first node ends its requests 1.8 s after the stop.
class MeshNodeShortGraceTest : public MeshNodeShutdownTest {
 protected:
  MeshNodeShortGraceTest() : MeshNodeShutdownTest(seconds(2)) {}
};

// Guards against a node that takes requests until it ends.
TEST_F(MeshNodeShortGraceTest, RejectsRequestsThatItCannotFinish) {
  StopWithOpenConnections(milliseconds(1000));
  m_second->m_instance.m_behavior =
      [](const HttpRequest&, const StreamResponder&) { return CancelHook(); };
  RunTo(milliseconds(1500));
  m_callers[0]->Write(Head("late", seconds(9)) + "body");
  EXPECT_TRUE(WaitForText(*m_callers[0], "HTTP/1.1 503"));
  EXPECT_TRUE(m_second->m_instance.m_requests.empty());
}

}  // namespace
}  // namespace sequoiastage
