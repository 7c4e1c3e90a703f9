#include <gtest/gtest.h>
#include <unistd.h>

#include <asio/io_context.hpp>
#include <stdexcept>

#include "sequoiastage/base/boot_clock.h"
#include "sequoiastage/http/exchange_connection.h"
#include "sequoiastage/http/stream_server.h"
#include "sequoiastage/testing/raw_caller.h"

namespace sequoiastage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// An exception of a handler goes to the event loop, which logs it. The
// connection that called the handler must not be left without an end.
class HandlerExceptionTest : public testing::Test {
 protected:
  HandlerExceptionTest()
      : m_server(
            m_io,
            [](const HttpRequest& request, const StreamResponder& responder) {
              if (request.m_target == "/throws") {
                throw std::logic_error("unexpected");
              }
              responder({.m_status = 200});
              return CancelHook();
            }) {
    EXPECT_TRUE(m_server.Start(m_endpoint)) << m_server.LastReason();
  }

  bool RunUntil(const std::function<bool()>& done) {
    const auto end = std::chrono::steady_clock::now() + seconds(3);
    while (!done() && std::chrono::steady_clock::now() < end) {
      m_io.restart();
      try {
        m_io.run_for(milliseconds(5));
      } catch (const std::logic_error&) {
        ++m_exceptions;
      }
    }
    return done();
  }

  static std::string Get(const std::string& target) {
    return "GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n";
  }

  const Endpoint m_endpoint{.m_ip = 0x7f000000U |
                                    (130 + getpid() / 250 % 30) << 16 |
                                    (1 + getpid() % 250) << 8 | 1,
                            .m_port = 8000};
  asio::io_context m_io;
  int m_exceptions = 0;
  StreamServer m_server;
};

// Guards against callers that wait for a response that nobody sends.
TEST_F(HandlerExceptionTest, CallerGetsAServerError) {
  RawCaller caller(m_io, m_endpoint);
  caller.Write(Get("/") + Get("/throws") + Get("/"));
  ASSERT_TRUE(RunUntil([&] { return caller.m_is_closed; }));
  const size_t first = caller.m_received.find("HTTP/1.1 200");
  const size_t second = caller.m_received.find("HTTP/1.1 500");
  ASSERT_NE(first, std::string::npos);
  ASSERT_NE(second, std::string::npos);
  EXPECT_LT(first, second);
  EXPECT_EQ(caller.m_received.find("HTTP/1.1 200", second), std::string::npos);
  EXPECT_EQ(m_exceptions, 1);
  RawCaller later(m_io, m_endpoint);
  later.Write(Get("/"));
  EXPECT_TRUE(RunUntil([&] {
    return later.m_received.find("HTTP/1.1 200") != std::string::npos;
  }));
}

// Guards against a connection that is used again though nothing reads it.
TEST_F(HandlerExceptionTest, ConnectionWhoseHandlerThrewIsNotReused) {
  auto connection =
      std::make_shared<ExchangeConnection>(m_io, m_endpoint, ExchangeOptions{});
  connection->Send(
      {.m_method = "GET", .m_target = "/"}, seconds(2), {},
      [](const ExchangeResult&) { throw std::logic_error("unexpected"); });
  ASSERT_TRUE(RunUntil([&] { return m_exceptions == 1; }));
  EXPECT_FALSE(connection->IsReusable(BootNow()));
}

// Guards against a listener that accepts nothing more.
TEST_F(HandlerExceptionTest, ListenerGoesOnAccepting) {
  TcpListener listener(m_io);
  Endpoint endpoint = m_endpoint;
  ++endpoint.m_port;
  int accepted = 0;
  ASSERT_TRUE(listener.Start(endpoint, [&](const asio::ip::tcp::socket&) {
    ++accepted;
    throw std::logic_error("unexpected");
  }));
  const RawCaller first(m_io, endpoint);
  const RawCaller second(m_io, endpoint);
  EXPECT_TRUE(RunUntil([&] { return accepted == 2; }));
}

}  // namespace
}  // namespace sequoiastage
