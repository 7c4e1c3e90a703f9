#include <gtest/gtest.h>

#include <asio/io_context.hpp>
#include <string>
#include <thread>

#include "metrics_client.h"
#include "node_api.h"
#include "sequoiastage/logclient/log_client.h"
#include "sequoiastage/testing/resident_memory.h"
#include "sequoiastage/testing/scripted_server.h"

// Nodes and logs in trouble, read by the operators' commands.
namespace sequoiastage {
namespace {

constexpr char kChunked[] =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

// A server on a thread of its own.
class ServerThread {
 public:
  explicit ServerThread(const ServerScript& script)
      : m_server(m_io, script), m_thread([this] { m_io.run(); }) {}
  ~ServerThread() {
    m_io.stop();
    m_thread.join();
  }
  ServerThread(const ServerThread&) = delete;
  ServerThread& operator=(const ServerThread&) = delete;

  Endpoint Address() const { return m_server.Address(); }

 private:
  asio::io_context m_io;
  ScriptedServer m_server;
  std::thread m_thread;
};

// Expects that no command takes what the server sends for an answer.
void ExpectNoAnswer(const ServerScript& script) {
  ServerThread server(script);
  const ApiResponse node = NodeApi(server.Address(), "").Get("/v1/instances");
  EXPECT_EQ(node.m_status, 0);
  EXPECT_NE(node.m_reason, "");
  const auto metrics = FetchMetrics({server.Address()}, {});
  ASSERT_EQ(metrics.size(), 1U);
  EXPECT_NE(metrics.front().m_reason, "");
  LogClient log({.m_service = server.Address()});
  EXPECT_FALSE(log.Read(LogOffset(0), 10));
  EXPECT_EQ(log.Append("x").m_outcome, AppendOutcome::kAmbiguous);
}

TEST(BrokenAnswerCommandTest, MalformedAnswersAreNone) {
  const std::string rest = "Content-Length: 2\r\n\r\n{}";
  for (const std::string head :
       {"HTTP/1.1 000 OK\r\n", "HTTP/1.1 200 OK\r\nX Y: 1\r\n",
        "HTTP/1.1 200 OK\r\nX\x01Y: 1\r\n", "HTTP/1.1 200 OK\r\n X: 1\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length : 1\r\n"}) {
    SCOPED_TRACE(head);
    ExpectNoAnswer(
        {.m_response = head + rest, .m_end = ConnectionEnd::kStayOpen});
  }
}

TEST(BrokenAnswerCommandTest, AnswersWithoutEndTakeLittleMemory) {
  constexpr size_t kMaxGrowth = size_t{64} << 20;
  ResetPeakMemory();
  const size_t before = PeakMemory();
  ExpectNoAnswer({.m_response = "", .m_repeated = "x"});
  ExpectNoAnswer({.m_response = "HTTP/1.1 200 OK\r\n\r\n", .m_repeated = "x"});
  ExpectNoAnswer(
      {.m_response = std::string(kChunked) + "1;", .m_repeated = "x"});
  ExpectNoAnswer({.m_response = std::string(kChunked) + "0\r\n",
                  .m_repeated = "X: x\r\n"});
  EXPECT_LE(PeakMemory() - before, kMaxGrowth);
}

}  // namespace
}  // namespace sequoiastage
