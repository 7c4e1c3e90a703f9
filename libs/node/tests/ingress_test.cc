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

// A port that was free a moment ago.
Endpoint FreeEndpoint(asio::io_context& io) {
  asio::ip::tcp::acceptor acceptor(io, {asio::ip::address_v4(kLoopback), 0});
  return {.m_ip = kLoopback, .m_port = acceptor.local_endpoint().port()};
}

class IngressTest : public testing::Test {
 protected:
  IngressTest()
      : m_at(FreeEndpoint(m_io)),
        m_ingress(
            m_io,
            {.m_node = NodeId(m_at),
             .m_bind_ip = kLoopback,
             .m_incarnation = Incarnation(1),
             .m_listen = m_at,
             .m_http = {.m_header_timeout = std::chrono::milliseconds(200)}},
            [](const Message&) {}) {
    EXPECT_TRUE(m_ingress.Start()) << m_ingress.LastReason();
  }

  asio::ip::tcp::socket Connect(const std::string& bytes) {
    asio::ip::tcp::socket socket(m_io);
    socket.connect({asio::ip::address_v4(kLoopback), m_at.m_port});
    asio::write(socket, asio::buffer(bytes));
    return socket;
  }

  // What comes until the node closes the connection; "reset" when it resets it.
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
  Endpoint m_at;
  Ingress m_ingress;
};

// The caller has connected and sent its request; the listener closes before
// the node has accepted the connection.
TEST_F(IngressTest, StopAcceptingAnswersWhatWasSentBeforeIt) {
  m_ingress.StartDraining();
  asio::ip::tcp::socket caller = Connect(kGet);
  m_ingress.StopAccepting();
  const std::string answer = ReadAll(caller);
  EXPECT_EQ(answer.find("HTTP/1.1 503"), 0u) << answer;
  EXPECT_EQ(answer.find("reset"), std::string::npos) << answer;
}

TEST_F(IngressTest, DrainingClosesBehindEachAnswer) {
  m_ingress.StartDraining();
  asio::ip::tcp::socket caller = Connect(kGet);
  const std::string answer = ReadAll(caller);
  EXPECT_NE(answer.find("Connection: close"), std::string::npos) << answer;
}

TEST_F(IngressTest, HalfAHeaderDoesNotHoldItsConnection) {
  asio::ip::tcp::socket caller = Connect("GET / HTTP/1.1\r\nHo");
  EXPECT_EQ(ReadAll(caller).find("HTTP/1.1 408"), 0u);
}

// Refusals are problem details too, so that the outcome stands in them.
TEST_F(IngressTest, BytesThatAreNoRequestGetAProblem) {
  asio::ip::tcp::socket caller = Connect("what is this\r\n\r\n");
  const std::string answer = ReadAll(caller);
  EXPECT_EQ(answer.find("HTTP/1.1 400"), 0u) << answer;
  EXPECT_NE(answer.find("not-run"), std::string::npos) << answer;
}

}  // namespace
}  // namespace sequoiastage
