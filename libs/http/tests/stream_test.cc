#include <gtest/gtest.h>
#include <unistd.h>

#include <asio/connect.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <deque>

#include "sequoiastage/base/boot_clock.h"
#include "sequoiastage/http/exchange_connection.h"
#include "sequoiastage/http/stream_server.h"
#include "sequoiastage/testing/raw_caller.h"

namespace sequoiastage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

Endpoint TestEndpoint() {
  const auto pid = static_cast<uint32_t>(getpid());
  return {.m_ip = 0x7f000000U | (30 + pid / 250 % 30) << 16 |
                  (1 + pid % 250) << 8 | 1,
          .m_port = 8000};
}

bool RunUntil(asio::io_context& io,
              const std::function<bool()>& done,
              milliseconds limit = seconds(5)) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!done() && std::chrono::steady_clock::now() < end) {
    io.restart();
    io.run_for(milliseconds(5));
  }
  return done();
}

size_t CountOccurrences(const std::string& text, const std::string& part) {
  size_t count = 0;
  for (size_t at = text.find(part); at != std::string::npos;
       at = text.find(part, at + 1)) {
    ++count;
  }
  return count;
}

class StreamServerTest : public testing::Test {
 protected:
  StreamServerTest()
      : m_server(m_io, [this](HttpRequest request, StreamResponder responder) {
          m_requests.push_back(std::move(request));
          m_responders.push_back(std::move(responder));
          return CancelHook([this] { ++m_cancelled; });
        }) {
    EXPECT_TRUE(m_server.Start(TestEndpoint())) << m_server.LastReason();
  }

  bool WaitForRequests(size_t count) {
    return RunUntil(m_io, [&] { return m_requests.size() >= count; });
  }

  static std::string Get(const std::string& target) {
    return "GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n";
  }

  asio::io_context m_io;
  std::vector<HttpRequest> m_requests;
  std::deque<StreamResponder> m_responders;
  int m_cancelled = 0;
  StreamServer m_server;
};

TEST_F(StreamServerTest, SendsPipelinedResponsesInRequestOrder) {
  RawCaller caller(m_io, TestEndpoint());
  caller.Write(Get("/1") + Get("/2") + Get("/3"));
  ASSERT_TRUE(WaitForRequests(3));
  for (const int i : {2, 0, 1}) {
    m_responders[i]({.m_status = 200, .m_body = "answer " + std::to_string(i)});
  }
  ASSERT_TRUE(RunUntil(m_io, [&] {
    return caller.m_received.find("answer 2") != std::string::npos;
  }));
  EXPECT_LT(caller.m_received.find("answer 0"),
            caller.m_received.find("answer 1"));
  EXPECT_LT(caller.m_received.find("answer 1"),
            caller.m_received.find("answer 2"));
}

TEST_F(StreamServerTest, CancelsPendingRequestsOfADisconnectedCaller) {
  RawCaller caller(m_io, TestEndpoint());
  caller.Write(Get("/1") + Get("/2"));
  ASSERT_TRUE(WaitForRequests(2));
  m_responders[0]({.m_status = 200});
  ASSERT_TRUE(RunUntil(m_io, [&] { return !caller.m_received.empty(); }));
  caller.Close();
  EXPECT_TRUE(RunUntil(m_io, [this] { return m_cancelled > 0; }));
  EXPECT_EQ(m_cancelled, 1);
  m_responders[1]({.m_status = 200});  // After the disconnect; has no effect.
}

TEST_F(StreamServerTest, IncompleteHeaderTimesOut) {
  m_server.SetLimits({.m_header_timeout = milliseconds(200)});
  RawCaller caller(m_io, TestEndpoint());
  caller.Write("GET / HTTP/1.1\r\nHo");
  ASSERT_TRUE(RunUntil(m_io, [&] { return caller.m_is_closed; }));
  EXPECT_EQ(CountOccurrences(caller.m_received, "HTTP/1.1 408"), 1U);
  EXPECT_TRUE(
      RunUntil(m_io, [this] { return m_server.ConnectionCount() == 0; }));
}

TEST_F(StreamServerTest, IdleConnectionTimesOut) {
  m_server.SetLimits({.m_idle_timeout = milliseconds(200)});
  RawCaller caller(m_io, TestEndpoint());
  EXPECT_TRUE(RunUntil(m_io, [&] { return caller.m_is_closed; }));
}

// Load pattern: many callers send large bodies at once. A body above the limit
// is rejected before it is complete; a response frees its request's bytes.
TEST_F(StreamServerTest, BodiesOfAllConnectionsAreBounded) {
  m_server.SetLimits({.m_max_held_bytes = 10'000});
  const auto head = [](size_t length) {
    return "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
           std::to_string(length) + "\r\n\r\n";
  };
  RawCaller first(m_io, TestEndpoint());
  first.Write(head(8000) + std::string(8000, 'x'));
  ASSERT_TRUE(WaitForRequests(1));
  EXPECT_EQ(m_server.HeldBytes(), 8000U);
  RawCaller second(m_io, TestEndpoint());
  second.Write(head(8000) + std::string(4000, 'x'));
  ASSERT_TRUE(RunUntil(m_io, [&] { return second.m_is_closed; }));
  EXPECT_EQ(CountOccurrences(second.m_received, "HTTP/1.1 503"), 1U);
  EXPECT_EQ(CountOccurrences(second.m_received, "Retry-After: 1"), 1U);
  EXPECT_EQ(m_requests.size(), 1U);
  m_responders[0]({.m_status = 200});
  ASSERT_TRUE(RunUntil(m_io, [&] { return !first.m_received.empty(); }));
  EXPECT_EQ(m_server.HeldBytes(), 0U);
  RawCaller third(m_io, TestEndpoint());
  third.Write(head(8000) + std::string(8000, 'x'));
  EXPECT_TRUE(WaitForRequests(2));
  third.Close();
  EXPECT_TRUE(RunUntil(m_io, [this] { return m_server.HeldBytes() == 0; }));
}

TEST_F(StreamServerTest, RejectsAMalformedRequestAndReadsNoFurther) {
  RawCaller caller(m_io, TestEndpoint());
  caller.Write("what is this\r\n\r\n" + Get("/1"));
  ASSERT_TRUE(RunUntil(m_io, [&] { return caller.m_is_closed; }));
  EXPECT_EQ(CountOccurrences(caller.m_received, "HTTP/1.1 400"), 1U);
  EXPECT_TRUE(m_requests.empty());
}

TEST_F(StreamServerTest, DrainSendsTheLastResponseBeforeClosing) {
  RawCaller caller(m_io, TestEndpoint());
  caller.Write(Get("/1"));
  ASSERT_TRUE(WaitForRequests(1));
  m_server.StartDrain();
  m_server.Stop();
  m_responders[0]({.m_status = 200, .m_body = "late"});
  ASSERT_TRUE(RunUntil(m_io, [&] { return caller.m_is_closed; }));
  EXPECT_NE(caller.m_received.find("Connection: close"), std::string::npos);
  EXPECT_NE(caller.m_received.find("late"), std::string::npos);
}

// The caller has connected and sent its request, and the server stops before
// accepting the connection.
TEST_F(StreamServerTest, StopServesRequestsInTheBacklog) {
  RawCaller waiting(m_io, TestEndpoint());
  waiting.Write(Get("/1"));
  m_server.Stop();
  ASSERT_TRUE(WaitForRequests(1));
  m_responders[0]({.m_status = 200, .m_body = "whole"});
  ASSERT_TRUE(RunUntil(m_io, [&] { return waiting.m_is_closed; }));
  EXPECT_NE(waiting.m_received.find("whole"), std::string::npos);
}

TEST_F(StreamServerTest, SynchronousResponsesKeepTheirOrder) {
  asio::io_context io;
  Endpoint at = TestEndpoint();
  at.m_port = 8001;
  StreamServer server(
      io,
      [](const HttpRequest& request,
         const StreamResponder& responder) -> CancelHook {
        responder({.m_status = 200, .m_body = request.m_target});
        return {};
      });
  ASSERT_TRUE(server.Start(at));
  RawCaller caller(io, at);
  std::string all;
  for (int i = 100; i < 200; ++i) {
    all += Get("/" + std::to_string(i));
  }
  caller.Write(all);
  ASSERT_TRUE(RunUntil(io, [&] {
    return CountOccurrences(caller.m_received, "HTTP/1.1 200") == 100;
  }));
  EXPECT_LT(caller.m_received.find("/100"), caller.m_received.find("/199"));
}

// Accepts one connection and sends the raw bytes that a test provides.
class RawServer {
 public:
  RawServer(asio::io_context& io, const Endpoint& listen)
      : m_acceptor(io,
                   asio::ip::tcp::endpoint(asio::ip::address_v4(listen.m_ip),
                                           listen.m_port)),
        m_socket(io) {
    m_acceptor.async_accept(m_socket, [this](const asio::error_code&) {
      m_is_accepted = true;
      Read();
    });
  }

  void Write(const std::string& bytes) {
    asio::write(m_socket, asio::buffer(bytes));
  }

  void Close() { m_socket.close(); }

  bool m_is_accepted = false;
  std::string m_received;

 private:
  void Read() {
    m_socket.async_read_some(asio::buffer(m_chunk),
                             [this](const asio::error_code& error, size_t n) {
                               if (!error) {
                                 m_received.append(m_chunk.data(), n);
                                 Read();
                               }
                             });
  }

  asio::ip::tcp::acceptor m_acceptor;
  asio::ip::tcp::socket m_socket;
  std::array<char, 4096> m_chunk;
};

class ExchangeConnectionTest : public testing::Test {
 protected:
  ExchangeConnectionTest()
      : m_server(m_io, TestEndpoint()),
        m_connection(std::make_shared<ExchangeConnection>(m_io,
                                                          TestEndpoint(),
                                                          ExchangeOptions{})) {}

  void Send(const std::string& id, milliseconds timeout = seconds(2)) {
    m_result.reset();
    m_connection->Send(
        {.m_method = "GET", .m_target = "/" + id, .m_fields = {{"Host", "a"}}},
        timeout,
        [id](const HttpResponse& response) {
          const std::string* field = FindField(response.m_fields, "id");
          return field != nullptr && *field == id;
        },
        [this](ExchangeResult result) { m_result = std::move(result); });
    RunUntil(m_io, [&] {
      return m_server.m_received.find("/" + id + " ") != std::string::npos;
    });
  }

  bool WaitForResult() {
    return RunUntil(m_io, [this] { return m_result.has_value(); });
  }

  static std::string BuildResponse(const std::string& id,
                                   const std::string& body) {
    return "HTTP/1.1 200 OK\r\nid: " + id +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
  }

  asio::io_context m_io;
  RawServer m_server;
  std::shared_ptr<ExchangeConnection> m_connection;
  std::optional<ExchangeResult> m_result;
};

TEST_F(ExchangeConnectionTest, IsReusedAfterACompleteResponse) {
  Send("1");
  m_server.Write(BuildResponse("1", "one"));
  ASSERT_TRUE(WaitForResult());
  EXPECT_EQ(m_result->m_response.m_body, "one");
  ASSERT_TRUE(m_connection->IsReusable(BootNow()));
  Send("2");
  m_server.Write(BuildResponse("2", "two"));
  ASSERT_TRUE(WaitForResult());
  EXPECT_TRUE(m_result->m_was_reused);
  EXPECT_EQ(m_result->m_response.m_body, "two");
}

// Guards against reads of a large response that end at the same timeout each
// time, so that none is ever complete.
TEST_F(ExchangeConnectionTest, EachPartOfTheResponseStartsTheTimeoutAnew) {
  m_connection = std::make_shared<ExchangeConnection>(
      m_io, TestEndpoint(), ExchangeOptions{.m_max_duration = seconds(20)});
  Send("1", milliseconds(400));
  const std::string response = BuildResponse("1", std::string(1000, 'x'));
  for (size_t at = 0; at < response.size(); at += 150) {
    EXPECT_FALSE(m_result);
    m_server.Write(response.substr(at, 150));
    RunUntil(
        m_io, [this] { return m_result.has_value(); }, milliseconds(150));
  }
  ASSERT_TRUE(WaitForResult());
  EXPECT_EQ(m_result->m_outcome, ExchangeOutcome::kAnswered);
  Send("2", milliseconds(400));
  m_server.Write("HTTP/1.1 200 OK\r\n");
  ASSERT_TRUE(WaitForResult());
  EXPECT_EQ(m_result->m_outcome, ExchangeOutcome::kTimeout);
}

TEST_F(ExchangeConnectionTest, ConnectedWithoutARequestItIsReusable) {
  std::optional<ConnectOutcome> outcome;
  m_connection->Connect(seconds(1),
                        [&](ConnectOutcome result) { outcome = result; });
  ASSERT_TRUE(RunUntil(m_io, [&] { return outcome.has_value(); }));
  EXPECT_EQ(*outcome, ConnectOutcome::kConnected);
  ASSERT_TRUE(m_connection->IsReusable(BootNow()));
  Send("1");
  m_server.Write(BuildResponse("1", "one"));
  ASSERT_TRUE(WaitForResult());
  EXPECT_EQ(m_result->m_response.m_body, "one");
}

TEST(ExchangeConnectTest, TellsARefusedConnectionFromASilentServer) {
  asio::io_context io;
  std::vector<ConnectOutcome> outcomes;
  const auto connect = [&](const Endpoint& server) {
    std::make_shared<ExchangeConnection>(io, server, ExchangeOptions{})
        ->Connect(milliseconds(100),
                  [&](ConnectOutcome outcome) { outcomes.push_back(outcome); });
  };
  connect(TestEndpoint());
  ASSERT_TRUE(RunUntil(io, [&] { return outcomes.size() == 1; }));
  EXPECT_EQ(outcomes[0], ConnectOutcome::kRefused);
  // A listener with a full queue drops further connections.
  asio::ip::tcp::acceptor acceptor(io);
  const asio::ip::tcp::endpoint listen(
      asio::ip::address_v4(TestEndpoint().m_ip), TestEndpoint().m_port);
  acceptor.open(listen.protocol());
  acceptor.set_option(asio::socket_base::reuse_address(true));
  acceptor.bind(listen);
  acceptor.listen(0);
  std::vector<asio::ip::tcp::socket> queued;
  for (int i = 0; i < 4; ++i) {
    queued.emplace_back(io);
    queued.back().async_connect(listen, [](const asio::error_code&) {});
  }
  RunUntil(
      io, [] { return false; }, milliseconds(100));
  connect(TestEndpoint());
  ASSERT_TRUE(RunUntil(io, [&] { return outcomes.size() == 2; }));
  EXPECT_EQ(outcomes[1], ConnectOutcome::kFailed);
}

TEST(ExchangeConnectTest, AbortedConnectCallsNoHandler) {
  asio::io_context io;
  bool was_called = false;
  const auto connection = std::make_shared<ExchangeConnection>(
      io, TestEndpoint(), ExchangeOptions{});
  connection->Connect(milliseconds(50),
                      [&](ConnectOutcome) { was_called = true; });
  connection->Abort();
  RunUntil(
      io, [] { return false; }, milliseconds(100));
  EXPECT_FALSE(was_called);
}

TEST_F(ExchangeConnectionTest, BytesAfterTheResponsePreventReuse) {
  Send("1");
  m_server.Write(BuildResponse("1", "one") + BuildResponse("1", "again"));
  ASSERT_TRUE(WaitForResult());
  EXPECT_EQ(m_result->m_outcome, ExchangeOutcome::kAnswered);
  EXPECT_FALSE(m_connection->IsReusable(BootNow()));
}

TEST_F(ExchangeConnectionTest, DropsALateDuplicateResponse) {
  Send("1");
  m_server.Write(BuildResponse("1", "one"));
  ASSERT_TRUE(WaitForResult());
  Send("2");
  m_server.Write(BuildResponse("1", "again") + BuildResponse("2", "two"));
  ASSERT_TRUE(WaitForResult());
  EXPECT_EQ(m_result->m_response.m_body, "two");
}

TEST_F(ExchangeConnectionTest, UnexpectedBytesOnAnIdleConnectionPreventReuse) {
  Send("1");
  m_server.Write(BuildResponse("1", "one"));
  ASSERT_TRUE(WaitForResult());
  m_server.Write("x");
  EXPECT_TRUE(
      RunUntil(m_io, [this] { return !m_connection->IsReusable(BootNow()); }));
}

TEST_F(ExchangeConnectionTest, TruncatedResponseIsBroken) {
  Send("1");
  m_server.Write("HTTP/1.1 200 OK\r\nid: 1\r\nContent-Length: 9\r\n\r\nhalf");
  m_server.Close();
  ASSERT_TRUE(WaitForResult());
  EXPECT_EQ(m_result->m_outcome, ExchangeOutcome::kBroken);
}

TEST_F(ExchangeConnectionTest, ResponseWithoutLengthEndsAtEof) {
  Send("1");
  m_server.Write("HTTP/1.1 200 OK\r\nid: 1\r\n\r\nwhole");
  m_server.Close();
  ASSERT_TRUE(WaitForResult());
  EXPECT_EQ(m_result->m_outcome, ExchangeOutcome::kAnswered);
  EXPECT_EQ(m_result->m_response.m_body, "whole");
}

TEST_F(ExchangeConnectionTest, MissingResponseTimesOut) {
  Send("1", milliseconds(200));
  ASSERT_TRUE(WaitForResult());
  EXPECT_EQ(m_result->m_outcome, ExchangeOutcome::kTimeout);
}

TEST_F(ExchangeConnectionTest, KeepAliveTimeoutOfTheServerLimitsReuse) {
  Send("1");
  m_server.Write(
      "HTTP/1.1 200 OK\r\nid: 1\r\nKeep-Alive: timeout=2\r\n"
      "Content-Length: 0\r\n\r\n");
  ASSERT_TRUE(WaitForResult());
  EXPECT_TRUE(m_connection->IsReusable(BootNow()));
  EXPECT_FALSE(m_connection->IsReusable(BootNow() + milliseconds(1500)));
}

TEST(ExchangeConnectTest, RefusedConnectionIsConnectFailed) {
  asio::io_context io;
  Endpoint unused = TestEndpoint();
  unused.m_port = 8009;
  auto connection =
      std::make_shared<ExchangeConnection>(io, unused, ExchangeOptions{});
  std::optional<ExchangeResult> result;
  connection->Send({.m_method = "GET", .m_target = "/"}, seconds(1), {},
                   [&](ExchangeResult end) { result = std::move(end); });
  ASSERT_TRUE(RunUntil(io, [&] { return result.has_value(); }));
  EXPECT_EQ(result->m_outcome, ExchangeOutcome::kConnectFailed);
}

TEST(RemoveHopByHopFieldsTest, KeepsEndToEndFieldsOnly) {
  std::vector<HttpField> fields = {
      {"Host", "a"},           {"Connection", "close, X-Mine"},
      {"X-Mine", "1"},         {"Keep-Alive", "timeout=3"},
      {"Content-Length", "3"}, {"X-Other", "2"}};
  RemoveHopByHopFields(fields);
  EXPECT_EQ(fields, (std::vector<HttpField>{{"Host", "a"}, {"X-Other", "2"}}));
}

}  // namespace
}  // namespace sequoiastage
