#include <gtest/gtest.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <thread>

#include "sequoiastage/logclient/log_client.h"

extern char** environ;

namespace sequoiastage {
namespace {

constexpr uint32_t kLoopback = 0x7f000001;
constexpr Duration kStartTimeout = std::chrono::seconds(20);
constexpr Duration kPollInterval = std::chrono::milliseconds(10);

Endpoint FreeEndpoint() {
  asio::io_context io;
  const asio::ip::tcp::acceptor acceptor(io,
                                         {asio::ip::address_v4(kLoopback), 0});
  return {.m_ip = kLoopback, .m_port = acceptor.local_endpoint().port()};
}

// Runs the log service stand-in as a separate process.
class LogServiceTest : public testing::Test {
 protected:
  LogServiceTest()
      : m_endpoint(FreeEndpoint()),
        m_client({.m_service = m_endpoint,
                  .m_timeout = std::chrono::milliseconds(500)}) {}

  void SetUp() override {
    std::string program = LOG_SERVICE_PROGRAM;
    std::string listen = "--listen=" + ToString(m_endpoint);
    char* argv[] = {program.data(), listen.data(), nullptr};
    ASSERT_EQ(
        posix_spawn(&m_pid, program.c_str(), nullptr, nullptr, argv, environ),
        0);
    const TimePoint deadline = Now() + kStartTimeout;
    while (!m_client.Read(LogOffset(0), 1)) {
      ASSERT_LT(Now(), deadline) << m_client.LastReason();
      std::this_thread::sleep_for(kPollInterval);
    }
  }

  void TearDown() override {
    if (m_pid > 0) {
      kill(m_pid, SIGTERM);
      waitpid(m_pid, nullptr, 0);
    }
  }

  void SetFaults(const std::string& body) {
    BlockingTransport transport;
    const HttpCallResult result = transport.Call(
        {.m_server = m_endpoint},
        {.m_method = "PUT", .m_target = "/faults", .m_body = body});
    ASSERT_EQ(result.m_response.m_status, 200) << result.m_response.m_body;
  }

  Endpoint m_endpoint;
  LogClient m_client;
  pid_t m_pid = 0;
};

TEST_F(LogServiceTest, AppendsAndReadsBack) {
  for (uint64_t i = 0; i < 3; ++i) {
    const AppendResult result = m_client.Append("r" + std::to_string(i));
    ASSERT_EQ(result.m_outcome, AppendOutcome::kAppended) << result.m_reason;
    EXPECT_EQ(result.m_offset, LogOffset(i));
  }
  const auto page = m_client.Read(LogOffset(1), 1);
  ASSERT_TRUE(page.has_value()) << m_client.LastReason();
  EXPECT_EQ(page->m_records, (std::vector<LogRecord>{{LogOffset(1), "r1"}}));
  EXPECT_EQ(page->m_first_retained, LogOffset(0));
  EXPECT_EQ(page->m_end, LogOffset(3));
}

TEST_F(LogServiceTest, AppendWithALostResponseIsAmbiguousAndFoundByReading) {
  SetFaults(R"({"lose_answers": 1})");
  EXPECT_EQ(m_client.Append("lost").m_outcome, AppendOutcome::kAmbiguous);
  const auto page = m_client.Read(LogOffset(0), 10);
  ASSERT_TRUE(page.has_value()) << m_client.LastReason();
  ASSERT_EQ(page->m_records.size(), 1U);
  EXPECT_EQ(page->m_records[0].m_text, "lost");
}

TEST_F(LogServiceTest, FailsDuringOutagesAndDelaysAndRecovers) {
  SetFaults(R"({"outage": true})");
  EXPECT_NE(m_client.Append("x").m_outcome, AppendOutcome::kAppended);
  EXPECT_FALSE(m_client.Read(LogOffset(0), 1));
  SetFaults(R"({"outage": false, "delay": "1h"})");
  EXPECT_FALSE(m_client.Read(LogOffset(0), 1));
  SetFaults(R"({"delay": "0ms"})");
  EXPECT_EQ(m_client.Append("y").m_outcome, AppendOutcome::kAppended);
  EXPECT_TRUE(m_client.Read(LogOffset(0), 1));
}

TEST_F(LogServiceTest, DropsRecordsBeyondTheRetention) {
  SetFaults(R"({"retention": 2})");
  for (int i = 0; i < 5; ++i) {
    m_client.Append("r" + std::to_string(i));
  }
  const auto page = m_client.Read(LogOffset(0), 10);
  ASSERT_TRUE(page.has_value()) << m_client.LastReason();
  EXPECT_EQ(page->m_first_retained, LogOffset(3));
  EXPECT_EQ(page->m_records.size(), 2U);
}

}  // namespace
}  // namespace sequoiastage
