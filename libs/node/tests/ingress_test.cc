#include "../src/ingress_p.h"

#include <gtest/gtest.h>

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

namespace sequoiastage {
namespace {

constexpr uint32_t kLoopback = 0x7f000001;
constexpr std::chrono::seconds kTestLimit{10};

// An endpoint whose port was free when this returned.
Endpoint FreeEndpoint(asio::io_context& io) {
  asio::ip::tcp::acceptor acceptor(io, {asio::ip::address_v4(kLoopback), 0});
  return {.m_ip = kLoopback, .m_port = acceptor.local_endpoint().port()};
}

class IngressTest : public testing::Test {
 protected:
  IngressTest()
      : m_endpoint(FreeEndpoint(m_io)),
        m_ingress(
            m_io,
            {.m_node = NodeId(m_endpoint),
             .m_bind_ip = kLoopback,
             .m_incarnation = Incarnation(1),
             .m_listen = m_endpoint,
             .m_http = {.m_header_timeout = std::chrono::milliseconds(200)}},
            [](const Message&) {}) {
    EXPECT_TRUE(m_ingress.Start()) << m_ingress.LastReason();
  }

  asio::ip::tcp::socket Connect(const std::string& bytes) {
    asio::ip::tcp::socket socket(m_io);
    socket.connect({asio::ip::address_v4(kLoopback), m_endpoint.m_port});
    asio::write(socket, asio::buffer(bytes));
    return socket;
  }

  // Bytes received until the node closes the connection; ends in "reset" after
  // a connection reset.
  std::string ReadAll(asio::ip::tcp::socket& socket) {
    std::string received;
    bool has_ended = false;
    std::array<char, 4096> chunk{};
    std::function<void()> read = [&] {
      socket.async_read_some(asio::buffer(chunk),
                             [&](const asio::error_code& error, size_t n) {
                               received.append(chunk.data(), n);
                               has_ended = static_cast<bool>(error);
                               if (error == asio::error::connection_reset) {
                                 received += "reset";
                               }
                               if (!error) {
                                 read();
                               }
                             });
    };
    read();
    const auto end = std::chrono::steady_clock::now() + kTestLimit;
    while (!has_ended && std::chrono::steady_clock::now() < end) {
      m_io.restart();
      m_io.run_one_for(std::chrono::milliseconds(50));
    }
    return received;
  }

  static constexpr char kGet[] = "GET /jobs/1 HTTP/1.1\r\nHost: a\r\n\r\n";

  asio::io_context m_io;
  Endpoint m_endpoint;
  Ingress m_ingress;
};

// The caller has connected and sent its request, and the listener closes before
// the node accepts the connection.
TEST_F(IngressTest, StopAcceptingAnswersRequestsSentEarlier) {
  m_ingress.StartDraining();
  asio::ip::tcp::socket caller = Connect(kGet);
  m_ingress.StopAccepting();
  const std::string response = ReadAll(caller);
  EXPECT_EQ(response.find("HTTP/1.1 503"), 0u) << response;
  EXPECT_EQ(response.find("reset"), std::string::npos) << response;
}

TEST_F(IngressTest, DrainingClosesTheConnectionAfterEachResponse) {
  m_ingress.StartDraining();
  asio::ip::tcp::socket caller = Connect(kGet);
  const std::string response = ReadAll(caller);
  EXPECT_NE(response.find("Connection: close"), std::string::npos) << response;
}

TEST_F(IngressTest, IncompleteHeaderTimesOut) {
  asio::ip::tcp::socket caller = Connect("GET / HTTP/1.1\r\nHo");
  EXPECT_EQ(ReadAll(caller).find("HTTP/1.1 408"), 0u);
}

// Parse errors also get problem details, so that the outcome is included.
TEST_F(IngressTest, MalformedRequestGetsAProblemResponse) {
  asio::ip::tcp::socket caller = Connect("what is this\r\n\r\n");
  const std::string response = ReadAll(caller);
  EXPECT_EQ(response.find("HTTP/1.1 400"), 0u) << response;
  EXPECT_NE(response.find("not-run"), std::string::npos) << response;
}

}  // namespace
}  // namespace sequoiastage
