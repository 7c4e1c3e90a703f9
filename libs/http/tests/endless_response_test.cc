#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "sequoiastage/http/exchange_connection.h"

// A server that sends bytes without end, in a head or a body, until the client
// closes the connection.
namespace sequoiastage {
namespace {

using std::chrono::seconds;

constexpr size_t kMaxBody = size_t{1} << 20;
// Both socket buffers of a loopback connection.
constexpr size_t kInFlight = size_t{12} << 20;

Endpoint ServerEndpoint() {
  const auto pid = static_cast<uint32_t>(getpid());
  return {.m_ip = 0x7f000000U | (30 + pid / 250 % 30) << 16 |
                  (1 + pid % 250) << 8 | 7,
          .m_port = 8000};
}

class EndlessServer {
 public:
  // Answers each request with `begin` and then with `repeated` without end.
  EndlessServer(asio::io_context& io,
                const Endpoint& listen,
                std::string begin,
                const std::string& repeated)
      : m_acceptor(io, {asio::ip::address_v4(listen.m_ip), listen.m_port}),
        m_socket(io),
        m_begin(std::move(begin)) {
    constexpr size_t kBlockBytes = size_t{64} << 10;
    while (m_block.size() < kBlockBytes) {
      m_block += repeated;
    }
    m_acceptor.async_accept(m_socket, [this](const asio::error_code& error) {
      if (!error) {
        asio::async_read_until(
            m_socket, m_input, "\r\n\r\n",
            [this](const asio::error_code&, size_t) { Write(m_begin); });
      }
    });
  }

  size_t m_sent = 0;
  bool m_is_closed = false;

 private:
  void Write(const std::string& bytes) {
    asio::async_write(m_socket, asio::buffer(bytes),
                      [this](const asio::error_code& error, size_t count) {
                        m_sent += count;
                        m_is_closed = bool{error};
                        if (!error) {
                          Write(m_block);
                        }
                      });
  }

  asio::ip::tcp::acceptor m_acceptor;
  asio::ip::tcp::socket m_socket;
  asio::streambuf m_input;
  std::string m_begin;
  std::string m_block;
};

struct EndlessCase {
  const char* m_name;
  const char* m_begin;
  std::string m_repeated;
};

class EndlessResponseTest : public testing::TestWithParam<EndlessCase> {};

TEST_P(EndlessResponseTest, EndsTheExchangeAndTheConnection) {
  asio::io_context io;
  EndlessServer server(io, ServerEndpoint(), GetParam().m_begin,
                       GetParam().m_repeated);
  auto connection = std::make_shared<ExchangeConnection>(
      io, ServerEndpoint(),
      ExchangeOptions{.m_limits = {.m_max_body_bytes = kMaxBody}});
  std::optional<ExchangeResult> result;
  connection->Send(
      {.m_method = "GET", .m_target = "/"}, seconds(60),
      [](const HttpResponse& response) {
        return FindField(response.m_fields, "id") == nullptr;
      },
      [&result](ExchangeResult end) { result = std::move(end); });
  const auto end = std::chrono::steady_clock::now() + seconds(10);
  while (!(result && server.m_is_closed) &&
         std::chrono::steady_clock::now() < end) {
    io.restart();
    io.run_for(std::chrono::milliseconds(5));
  }
  ASSERT_TRUE(result);
  EXPECT_EQ(result->m_outcome, ExchangeOutcome::kBroken);
  EXPECT_TRUE(server.m_is_closed);
  EXPECT_LE(server.m_sent, kMaxBody + kInFlight);
}

constexpr char kChunked[] =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr char kChunkExtension[] =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10;";
constexpr char kTrailer[] =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";

// Endless bodies on several connections to one server.
TEST(EndlessResponsesTest, TogetherStayWithinTheBudget) {
  asio::io_context io;
  const auto budget =
      std::make_shared<BodyBudget>(BodyBudget{.m_max_bytes = kMaxBody});
  std::vector<std::unique_ptr<EndlessServer>> servers;
  std::vector<std::shared_ptr<ExchangeConnection>> connections;
  size_t broken = 0;
  for (uint16_t i = 0; i < 4; ++i) {
    Endpoint endpoint = ServerEndpoint();
    endpoint.m_port += i;
    servers.push_back(std::make_unique<EndlessServer>(
        io, endpoint, "HTTP/1.1 200 OK\r\n\r\n", "x"));
    connections.push_back(std::make_shared<ExchangeConnection>(
        io, endpoint, ExchangeOptions{.m_budget = budget}));
    connections.back()->Send({.m_method = "GET", .m_target = "/"}, seconds(60),
                             {}, [&broken](const ExchangeResult& end) {
                               EXPECT_EQ(end.m_outcome,
                                         ExchangeOutcome::kBroken);
                               ++broken;
                             });
  }
  size_t max_held = 0;
  const auto end = std::chrono::steady_clock::now() + seconds(10);
  while (broken < 4 && std::chrono::steady_clock::now() < end) {
    io.restart();
    io.run_one_for(std::chrono::milliseconds(5));
    max_held = std::max(max_held, budget->m_held_bytes);
  }
  EXPECT_EQ(broken, 4U);
  EXPECT_LE(max_held, kMaxBody);
  EXPECT_EQ(budget->m_held_bytes, 0U);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    EndlessResponseTest,
    testing::Values(
        EndlessCase{"NoResponse", "", "garbage"},
        EndlessCase{"EmptyLines", "", "\r\n"},
        EndlessCase{"FieldValue", "HTTP/1.1 200 OK\r\nX: ", "x"},
        EndlessCase{"Fields", "HTTP/1.1 200 OK\r\n", "X: x\r\n"},
        EndlessCase{"BodyUntilClose", "HTTP/1.1 200 OK\r\n\r\n", "x"},
        EndlessCase{"ChunkedBody", kChunked, "10\r\n0123456789abcdef\r\n"},
        EndlessCase{"ChunkExtension", kChunkExtension, "x"},
        EndlessCase{"Trailers", kTrailer, "X: x\r\n"},
        EndlessCase{"InterimResponses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
        EndlessCase{"ResponsesToOthers", "",
                    "HTTP/1.1 200 OK\r\nid: 1\r\nContent-Length: 1\r\n\r\nx"}),
    [](const testing::TestParamInfo<EndlessCase>& info) {
      return info.param.m_name;
    });

}  // namespace
}  // namespace sequoiastage
