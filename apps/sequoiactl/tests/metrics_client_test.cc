#include "../metrics_client.h"

#include <gtest/gtest.h>

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <string>
#include <thread>

namespace sequoiastage {
namespace {

using asio::ip::tcp;

// Listens on a free port of the loopback interface. Connections are established
// by the kernel; nothing answers them unless the test calls Answer().
class Listener {
 public:
  Endpoint Address() const {
    return {.m_ip = asio::ip::address_v4::loopback().to_uint(),
            .m_port = m_acceptor.local_endpoint().port()};
  }

  // Accepts one connection and sends it `response`. Returns the first line of
  // the request.
  std::string Answer(const std::string& response) {
    tcp::socket socket = m_acceptor.accept();
    std::string request;
    asio::error_code error;
    asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", error);
    asio::write(socket, asio::buffer(response), error);
    return request.substr(0, request.find("\r\n"));
  }

  void Close() { m_acceptor.close(); }

 private:
  asio::io_context m_io;
  tcp::acceptor m_acceptor{m_io, {asio::ip::address_v4::loopback(), 0}};
};

// Nodes that are down or hang must neither end the command nor delay it by one
// timeout each.
TEST(MetricsClientTest, FetchesFromTheNodesThatRespond) {
  Listener closed;
  const Endpoint closed_address = closed.Address();
  closed.Close();
  std::array<Listener, 5> silent;
  Listener serving;
  std::string request;
  std::thread server([&] {
    request =
        serving.Answer("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\na 1\n");
  });
  const auto begin = std::chrono::steady_clock::now();
  std::vector<Endpoint> nodes = {closed_address};
  for (const Listener& listener : silent) {
    nodes.push_back(listener.Address());
  }
  nodes.push_back(serving.Address());
  const std::vector<MetricsResponse> responses = FetchMetrics(nodes);
  const auto elapsed = std::chrono::steady_clock::now() - begin;
  server.join();
  ASSERT_EQ(responses.size(), nodes.size());
  for (size_t i = 0; i < nodes.size(); ++i) {
    EXPECT_EQ(responses[i].m_node, nodes[i]);
    EXPECT_EQ(responses[i].m_status, i + 1 < nodes.size() ? 0 : 200);
    EXPECT_EQ(responses[i].m_reason.rfind("no answer: ", 0) == 0,
              i + 1 < nodes.size());
  }
  EXPECT_EQ(responses.back().m_body, "a 1\n");
  EXPECT_EQ(request, "GET /metrics HTTP/1.1");
  EXPECT_GE(elapsed, std::chrono::milliseconds(1900));
  // One after the other, they would take 10 s.
  EXPECT_LT(elapsed, std::chrono::seconds(8));
}

// More nodes than calls that run at a time: each is still queried.
TEST(MetricsClientTest, QueriesEveryNodeWithFewCallsAtATime) {
  std::vector<Endpoint> nodes;
  for (int i = 0; i < 10; ++i) {
    Listener listener;
    nodes.push_back(listener.Address());
  }
  const auto responses = FetchMetrics(nodes, {.m_max_calls = 3});
  ASSERT_EQ(responses.size(), nodes.size());
  for (size_t i = 0; i < nodes.size(); ++i) {
    EXPECT_EQ(responses[i].m_node, nodes[i]);
    EXPECT_FALSE(responses[i].m_reason.empty());
  }
}

}  // namespace
}  // namespace sequoiastage
