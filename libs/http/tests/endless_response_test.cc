#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "response_clients.h"
#include "sequoiastage/testing/resident_memory.h"
#include "sequoiastage/testing/scripted_server.h"

// A server that sends bytes without end, in a head or a body, until the client
// closes the connection.
namespace sequoiastage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kMiB = size_t{1} << 20;
// Both socket buffers of a loopback connection.
constexpr size_t kInFlight = 12 * kMiB;
constexpr char kChunked[] =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr char kOther[] =
    "HTTP/1.1 200 OK\r\nid: 1\r\nContent-Length: 1\r\n\r\nx";

struct EndlessCase {
  const char* m_name;
  std::string m_begin;
  std::string m_repeated;
};

const std::vector<EndlessCase>& EndlessCases() {
  static const std::vector<EndlessCase> kCases = {
      {"no response", "", "garbage"},
      {"one line", "", "x"},
      {"zeros", "", std::string(1, '\0')},
      {"empty lines", "", "\r\n"},
      {"status line", "HTTP/1.1 200 ", "x"},
      {"field name", "HTTP/1.1 200 OK\r\n", "x"},
      {"field value", "HTTP/1.1 200 OK\r\nX: ", "x"},
      {"fields", "HTTP/1.1 200 OK\r\n", "X: x\r\n"},
      {"body until close", "HTTP/1.1 200 OK\r\n\r\n", "x"},
      {"body with a huge length",
       "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "x"},
      {"chunked body", kChunked, "10\r\n0123456789abcdef\r\n"},
      {"huge chunk", std::string(kChunked) + "ffffffffff\r\n", "x"},
      {"chunk size", kChunked, "0"},
      {"chunk extension", std::string(kChunked) + "10;", "x"},
      {"trailers", std::string(kChunked) + "0\r\n", "X: x\r\n"},
      {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"}};
  return kCases;
}

template <class Client>
class EndlessResponseTest : public testing::Test {};
TYPED_TEST_SUITE(EndlessResponseTest, ResponseClients, ResponseClientNames);

TYPED_TEST(EndlessResponseTest, EndsTheCallAndTheConnection) {
  constexpr size_t kMaxGrowth = 8 * kMiB;
  for (const EndlessCase& each : EndlessCases()) {
    SCOPED_TRACE(each.m_name);
    asio::io_context io;
    ScriptedServer server(
        io, {.m_response = each.m_begin, .m_repeated = each.m_repeated});
    TypeParam client(io);
    ResetPeakMemory();
    const size_t before = PeakMemory();
    const CallReport report =
        client.Call(server.Address(), {.m_max_body_bytes = kMiB});
    EXPECT_LE(PeakMemory() - before, kMaxGrowth);
    EXPECT_EQ(report.m_end, CallEnd::kBroken);
    const auto end = std::chrono::steady_clock::now() + seconds(5);
    while (server.ClosedByClient() == 0 &&
           std::chrono::steady_clock::now() < end) {
      io.run_one_for(milliseconds(5));
    }
    EXPECT_EQ(server.ClosedByClient(), 1U);
    EXPECT_LE(server.SentBytes(), kMiB + kInFlight);
  }
}

// Endless bodies of several calls.
template <class Client>
class EndlessResponsesTest : public testing::Test {};
TYPED_TEST_SUITE(EndlessResponsesTest, ResponseClients, ResponseClientNames);

TYPED_TEST(EndlessResponsesTest, TogetherStayWithinTheBudget) {
  constexpr size_t kCalls = 32;
  constexpr size_t kBudget = 24 * kMiB;
  // A body that grows is copied, and the heap may keep its earlier copies.
  constexpr size_t kMaxGrowth = 3 * kBudget;
  asio::io_context io;
  ScriptedServer server(
      io, {.m_response = "HTTP/1.1 200 OK\r\n\r\n", .m_repeated = "x"});
  const auto budget =
      std::make_shared<BodyBudget>(BodyBudget{.m_max_bytes = kBudget});
  TypeParam client(io, budget);
  size_t broken = 0;
  ResetPeakMemory();
  const size_t before = PeakMemory();
  for (size_t i = 0; i < kCalls; ++i) {
    client.Start(server.Address(), {.m_max_body_bytes = 8 * kMiB},
                 [&broken](const CallReport& report) {
                   EXPECT_EQ(report.m_end, CallEnd::kBroken);
                   ++broken;
                 });
  }
  size_t max_held = 0;
  const auto end = std::chrono::steady_clock::now() + seconds(20);
  while (broken < kCalls && std::chrono::steady_clock::now() < end) {
    io.run_one_for(milliseconds(5));
    max_held = std::max(max_held, budget->m_held_bytes);
  }
  EXPECT_EQ(broken, kCalls);
  EXPECT_LE(max_held, kBudget);
  EXPECT_EQ(budget->m_held_bytes, 0U);
  const size_t growth = PeakMemory() - before;
  this->RecordProperty("growth_bytes", std::to_string(growth));
  EXPECT_LE(growth, kMaxGrowth);
}

// Only ExchangeConnection skips responses to other requests.
TEST(EndlessOthersTest, EndTheExchange) {
  asio::io_context io;
  ScriptedServer server(io, {.m_response = "", .m_repeated = kOther});
  auto connection = std::make_shared<ExchangeConnection>(io, server.Address(),
                                                         ExchangeOptions{});
  std::optional<ExchangeResult> result;
  connection->Send(
      {.m_method = "GET", .m_target = "/"}, seconds(20),
      [](const HttpResponse& response) {
        return FindField(response.m_fields, "id") == nullptr;
      },
      [&result](ExchangeResult end) { result = std::move(end); });
  while (!result && io.run_one_for(seconds(20)) > 0) {
  }
  ASSERT_TRUE(result);
  EXPECT_EQ(result->m_outcome, ExchangeOutcome::kBroken);
  EXPECT_LE(server.SentBytes(), kInFlight);
}

}  // namespace
}  // namespace sequoiastage
