#include <gtest/gtest.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <functional>
#include <optional>
#include <string>

#include "sequoiastage/http/http_client.h"
#include "sequoiastage/http/http_server.h"

namespace sequoiastage {
namespace {

constexpr uint32_t kLoopback = 0x7f000001;

// Returns an endpoint with a port that was free at the time of the call.
Endpoint FreeEndpoint(asio::io_context& io) {
  asio::ip::tcp::acceptor acceptor(io, {asio::ip::address_v4(kLoopback), 0});
  return {.m_ip = kLoopback, .m_port = acceptor.local_endpoint().port()};
}

// Runs `io` until `result` is set, or no event arrives for 10 s.
void RunUntil(asio::io_context& io,
              const std::optional<HttpCallResult>& result) {
  while (!result && io.run_one_for(std::chrono::seconds(10)) > 0) {
  }
}

class HttpTest : public testing::Test {
 protected:
  HttpTest() : m_client(m_io), m_server_at(FreeEndpoint(m_io)) {}

  HttpCallResult Call(HttpRequest request, bool is_idempotent = true) {
    std::optional<HttpCallResult> result;
    m_client.Start({.m_server = m_server_at, .m_is_idempotent = is_idempotent},
                   std::move(request),
                   [&result](HttpCallResult got) { result = std::move(got); });
    RunUntil(m_io, result);
    return result.value_or(HttpCallResult{.m_error = HttpCallError::kTimeout});
  }

  asio::io_context m_io;
  HttpClient m_client;
  Endpoint m_server_at;
};

TEST_F(HttpTest, DeliversTheRequestAndItsResponse) {
  HttpServer server(m_io, {.m_listen = m_server_at},
                    [](const HttpRequest& request, HttpResponder responder) {
                      EXPECT_EQ(request.m_method, "POST");
                      EXPECT_EQ(request.m_host, "labels.example");
                      responder.Send({.m_status = 201,
                                      .m_fields = {{"X-Kind", "echo"}},
                                      .m_body = request.m_body});
                    });
  ASSERT_TRUE(server.Start()) << server.LastReason();
  for (int i = 0; i < 3; ++i) {
    const auto result = Call({.m_method = "POST",
                              .m_target = "/a?b=c",
                              .m_fields = {{"Host", "labels.example:80"}},
                              .m_body = "body " + std::to_string(i)});
    EXPECT_EQ(result.m_error, HttpCallError::kNone) << result.m_reason;
    EXPECT_EQ(result.m_response.m_status, 201);
    EXPECT_EQ(result.m_response.m_body, "body " + std::to_string(i));
    EXPECT_NE(FindField(result.m_response.m_fields, "x-kind"), nullptr);
  }
  server.Stop();
}

// Guards against reads of a large response that end at the same timeout each
// time, so that none is ever complete.
TEST_F(HttpTest, ResponseThatArrivesSteadilyIsNotAbandoned) {
  asio::ip::tcp::acceptor acceptor(
      m_io, {asio::ip::address_v4(kLoopback), m_server_at.m_port});
  asio::ip::tcp::socket socket(m_io);
  asio::steady_timer timer(m_io);
  int pieces = 0;
  std::function<void()> send_piece = [&] {
    timer.expires_after(std::chrono::milliseconds(250));
    timer.async_wait([&](const asio::error_code&) {
      asio::error_code ignored;
      asio::write(socket, asio::buffer(std::string(1000, 'x')), ignored);
      if (++pieces < 20) {
        send_piece();
      }
    });
  };
  acceptor.async_accept(socket, [&](const asio::error_code&) {
    asio::write(socket,
                asio::buffer(std::string(
                    "HTTP/1.1 200 OK\r\nContent-Length: 20000\r\n\r\n")));
    send_piece();
  });
  std::optional<HttpCallResult> result;
  m_client.Start({.m_server = m_server_at,
                  .m_timeout = std::chrono::seconds(2),
                  .m_max_duration = std::chrono::seconds(20)},
                 {.m_method = "GET", .m_target = "/"},
                 [&result](HttpCallResult got) { result = std::move(got); });
  RunUntil(m_io, result);
  ASSERT_TRUE(result);
  EXPECT_EQ(result->m_error, HttpCallError::kNone) << result->m_reason;
  EXPECT_EQ(result->m_response.m_body.size(), 20'000U);
}

TEST_F(HttpTest, RejectsRequestsAboveItsLimits) {
  HttpServer server(m_io,
                    {.m_listen = m_server_at,
                     .m_max_body_bytes = 1000,
                     .m_max_header_bytes = 1000},
                    [](const HttpRequest&, HttpResponder responder) {
                      responder.Send({.m_status = 200});
                    });
  ASSERT_TRUE(server.Start());
  const std::string large(2000, 'x');
  EXPECT_EQ(Call({.m_method = "POST", .m_target = "/", .m_body = large})
                .m_response.m_status,
            413);
  EXPECT_EQ(Call({.m_method = "GET",
                  .m_target = "/",
                  .m_fields = {{"X-Large", large}}})
                .m_response.m_status,
            431);
  server.Stop();
}

TEST_F(HttpTest, SucceedsOnAnIdleConnection) {
  HttpServer server(m_io, {.m_listen = m_server_at},
                    [](const HttpRequest&, HttpResponder responder) {
                      responder.Send({.m_status = 200, .m_body = "x"});
                    });
  ASSERT_TRUE(server.Start());
  for (int i = 0; i < 3; ++i) {
    EXPECT_EQ(Call({.m_method = "GET", .m_target = "/"}).m_error,
              HttpCallError::kNone);
    m_io.run_for(std::chrono::milliseconds(600));
  }
  server.Stop();
}

TEST_F(HttpTest, ReportsConnectFailedWhenNothingListens) {
  EXPECT_EQ(Call({.m_method = "GET", .m_target = "/"}).m_error,
            HttpCallError::kConnectFailed);
}

// Responds to each connection with fixed bytes, then closes it.
class RawServer {
 public:
  RawServer(asio::io_context& io, Endpoint at, std::string response)
      : m_acceptor(io, {asio::ip::address_v4(at.m_ip), at.m_port}),
        m_response(std::move(response)) {
    Accept();
  }

  int Connections() const { return m_connections; }

 private:
  void Accept() {
    m_acceptor.async_accept([this](const asio::error_code& error,
                                   asio::ip::tcp::socket socket) {
      if (error) {
        return;
      }
      ++m_connections;
      std::string head;
      asio::error_code ignored;
      asio::read_until(socket, asio::dynamic_buffer(head), "\r\n\r\n", ignored);
      asio::write(socket, asio::buffer(m_response), ignored);
      socket.close();
      Accept();
    });
  }

  asio::ip::tcp::acceptor m_acceptor;
  std::string m_response;
  int m_connections = 0;
};

// Responds to the first request on its only connection; on the second it stops
// listening and closes the connection without a response.
class ClosingServer {
 public:
  ClosingServer(asio::io_context& io, Endpoint at)
      : m_acceptor(io, {asio::ip::address_v4(at.m_ip), at.m_port}),
        m_socket(io) {
    m_acceptor.async_accept(m_socket, [this](const asio::error_code& error) {
      if (!error) {
        Read();
      }
    });
  }

  int Requests() const { return m_requests; }

 private:
  void Read() {
    asio::async_read_until(m_socket, asio::dynamic_buffer(m_head), "\r\n\r\n",
                           [this](const asio::error_code& error, size_t) {
                             if (!error) {
                               OnRequest();
                             }
                           });
  }

  void OnRequest() {
    m_head.clear();
    if (++m_requests > 1) {
      m_acceptor.close();
      m_socket.close();
      return;
    }
    const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    asio::write(m_socket, asio::buffer(response));
    Read();
  }

  asio::ip::tcp::acceptor m_acceptor;
  asio::ip::tcp::socket m_socket;
  std::string m_head;
  int m_requests = 0;
};

TEST_F(HttpTest, CountsBytesSentOnAClosedReusedConnection) {
  ClosingServer server(m_io, m_server_at);
  ASSERT_EQ(Call({.m_method = "GET", .m_target = "/"}).m_error,
            HttpCallError::kNone);
  EXPECT_EQ(Call({.m_method = "GET", .m_target = "/"}).m_error,
            HttpCallError::kFailed);
  EXPECT_EQ(server.Requests(), 2);
}

TEST_F(HttpTest, ReportsConnectFailedWhenTheConnectTimesOut) {
  // With a full backlog the kernel drops further SYN packets.
  asio::ip::tcp::acceptor acceptor(m_io);
  acceptor.open(asio::ip::tcp::v4());
  acceptor.bind({asio::ip::address_v4(m_server_at.m_ip), m_server_at.m_port});
  acceptor.listen(0);
  asio::ip::tcp::socket first(m_io);
  first.connect(acceptor.local_endpoint());
  EXPECT_EQ(Call({.m_method = "POST", .m_target = "/"}, false).m_error,
            HttpCallError::kConnectFailed);
}

TEST_F(HttpTest, TruncatedResponseIsIncomplete) {
  RawServer server(m_io, m_server_at,
                   "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort");
  EXPECT_EQ(Call({.m_method = "GET", .m_target = "/"}).m_error,
            HttpCallError::kIncomplete);
}

TEST_F(HttpTest, ResponseWithoutLengthIsIncomplete) {
  RawServer server(m_io, m_server_at, "HTTP/1.1 200 OK\r\n\r\nall of it?");
  EXPECT_EQ(Call({.m_method = "GET", .m_target = "/"}).m_error,
            HttpCallError::kIncomplete);
}

TEST_F(HttpTest, NeverSendsANonIdempotentRequestTwice) {
  RawServer server(m_io, m_server_at, "");
  const auto result = Call({.m_method = "POST", .m_target = "/"}, false);
  EXPECT_EQ(result.m_error, HttpCallError::kFailed);
  EXPECT_EQ(server.Connections(), 1);
}

}  // namespace
}  // namespace sequoiastage
