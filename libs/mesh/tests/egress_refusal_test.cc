#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <map>
#include <memory>
#include <set>

#include "egress_fixture.h"
#include "sequoiastage/http/message_parser.h"

namespace sequoiastage {
namespace {

using Tcp = asio::ip::tcp;

// An instance that refuses each request id once. It writes the refusal once
// more when it gets the id again over the same connection, and runs the
// request.
class RepeatingInstance {
 public:
  RepeatingInstance(asio::io_context& io, const Endpoint& listen)
      : m_acceptor(io,
                   {asio::ip::address_v4(listen.m_ip), listen.m_port},
                   true) {
    Accept();
  }

  // Requests that have run, by their id.
  std::map<std::string, int> m_runs;
  int m_connections = 0;
  // Also without a repeated refusal.
  bool m_runs_at_once = false;

 private:
  struct Connection {
    explicit Connection(Tcp::socket socket) : m_socket(std::move(socket)) {}

    Tcp::socket m_socket;
    RequestParser m_parser{MessageLimits{}};
    std::set<std::string> m_refused;
    std::array<char, 4096> m_chunk{};
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  void Accept() {
    m_acceptor.async_accept(
        [this](const asio::error_code& error, Tcp::socket socket) {
          if (!error) {
            ++m_connections;
            Read(std::make_shared<Connection>(std::move(socket)));
            Accept();
          }
        });
  }

  void Read(const ConnectionPtr& connection) {
    connection->m_socket.async_read_some(
        asio::buffer(connection->m_chunk),
        [this, connection](const asio::error_code& error, size_t count) {
          if (error) {
            return;
          }
          std::string_view bytes(connection->m_chunk.data(), count);
          while (!bytes.empty()) {
            bytes.remove_prefix(connection->m_parser.Feed(bytes));
            if (connection->m_parser.State() == ParseState::kComplete) {
              OnRequest(*connection, connection->m_parser.TakeRequest());
            }
          }
          Read(connection);
        });
  }

  void OnRequest(Connection& connection, const HttpRequest& request) {
    const std::string id = FakeCodec::FieldValue(request.m_fields, "id");
    const std::string refusal = "HTTP/1.1 503 Busy\r\nid: " + id +
                                "\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n";
    std::string response;
    if (!m_runs_at_once && m_refused.insert(id).second) {
      connection.m_refused.insert(id);
      response = refusal;
    } else {
      ++m_runs[id];
      response = (connection.m_refused.contains(id) ? refusal : "") +
                 "HTTP/1.1 200 OK\r\nid: " + id +
                 "\r\nseal: 1\r\nContent-Length: 2\r\n\r\nok";
    }
    asio::error_code ignored;
    asio::write(connection.m_socket, asio::buffer(response), ignored);
  }

  Tcp::acceptor m_acceptor;
  std::set<std::string> m_refused;
};

class EgressRefusalTest : public MeshEgressTest {
 protected:
  EgressRefusalTest() : m_repeating(m_io, {.m_ip = TestIp(1), .m_port = 9001}) {
    m_announcement.m_name = "i-2";
    m_announcement.m_address = {.m_ip = TestIp(1), .m_port = 9001};
    m_egress.SetInstance(&m_announcement);
  }

  // Sends the request with this id and returns how the attempt ended.
  AttemptResult Run(const std::string& id) {
    OfferMessage offer = MakeOffer(++m_attempts);
    offer.m_instance = "i-2";
    offer.m_may_wait = true;
    offer.m_accepts_held = true;
    offer.m_request_id = id;
    offer.m_request.m_fields = {{"Host", "a"}, {"id", id}};
    const size_t count = m_outcomes.size();
    Send(offer);
    EXPECT_TRUE(WaitForOutcomes(count + 1));
    return m_outcomes.empty() ? AttemptResult::kOutcomeUnknown
                              : m_outcomes.back().m_result;
  }

  RepeatingInstance m_repeating;
  uint64_t m_attempts = 0;
};

// Guards against "not run" for a request that runs: the refusal of its earlier
// attempt is written once more on the connection that both attempts used.
TEST_F(EgressRefusalTest, RepeatedRefusalIsNoAnswerToTheNextAttempt) {
  ASSERT_EQ(Run("a"), AttemptResult::kNotStarted);
  EXPECT_EQ(Run("a"), AttemptResult::kAnswered);
  EXPECT_EQ(m_repeating.m_runs["a"], 1);
}

TEST_F(EgressRefusalTest, RepeatedRefusalAfterOtherRequestsIsNoAnswer) {
  for (const char* id : {"a", "b", "c"}) {
    ASSERT_EQ(Run(id), AttemptResult::kNotStarted);
  }
  for (const char* id : {"c", "a", "b"}) {
    EXPECT_EQ(Run(id), AttemptResult::kAnswered) << id;
    EXPECT_EQ(m_repeating.m_runs[id], 1) << id;
  }
}

// A refusal alone must not cost a connection.
TEST_F(EgressRefusalTest, ConnectionsAreUsedAgainAfterRefusals) {
  for (int i = 0; i < 20; ++i) {
    ASSERT_EQ(Run("a" + std::to_string(i)), AttemptResult::kNotStarted);
  }
  EXPECT_EQ(m_repeating.m_connections, 1);
  m_repeating.m_runs_at_once = true;
  EXPECT_EQ(Run("b"), AttemptResult::kAnswered);
  EXPECT_EQ(m_repeating.m_connections, 1);
}

}  // namespace
}  // namespace sequoiastage
