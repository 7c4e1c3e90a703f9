#include "../src/peer_links_p.h"

#include <gtest/gtest.h>

#include <array>
#include <asio/write.hpp>
#include <string>

namespace sequoiastage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Accepts one connection; sends only what the test passes to Send().
class FakePeer {
 public:
  explicit FakePeer(asio::io_context& io)
      : m_acceptor(io, {asio::ip::make_address_v4("127.0.0.1"), 0}),
        m_socket(io) {
    m_acceptor.async_accept(m_socket, [this](const asio::error_code& error) {
      ++m_accepted;
      if (!error) {
        Read();
      }
    });
  }

  NodeId Id() const {
    const auto local = m_acceptor.local_endpoint();
    return NodeId(
        {.m_ip = local.address().to_v4().to_uint(), .m_port = local.port()});
  }
  void Send(const Message& message) {
    const std::string frame = *EncodeFrame(message);
    asio::write(m_socket, asio::buffer(frame));
  }

  void Close() {
    m_acceptor.close();
    m_socket.close();
  }

  int m_accepted = 0;
  // Error that ended the connection; unset while it is open.
  asio::error_code m_end;

 private:
  void Read() {
    m_socket.async_read_some(asio::buffer(m_chunk),
                             [this](const asio::error_code& error, size_t) {
                               if (error) {
                                 m_end = error;
                               } else if (m_socket.is_open()) {
                                 Read();
                               }
                             });
  }

  asio::ip::tcp::acceptor m_acceptor;
  asio::ip::tcp::socket m_socket;
  std::array<char, 4096> m_chunk;
};

class PeerLinksTest : public testing::Test {
 protected:
  ~PeerLinksTest() override { m_links.CloseAll(); }

  template <class Condition>
  bool RunUntil(Condition condition) {
    const TimePoint deadline = Now() + seconds(20);
    while (!condition() && Now() < deadline) {
      m_io.run_one_for(milliseconds(100));
      m_io.restart();
    }
    return condition();
  }

  DispatchMessage Dispatch() const {
    return {
        .m_attempt = m_attempt,
        .m_deadline_ms = (WallNow() + seconds(60)).time_since_epoch().count()};
  }

  const AttemptId m_attempt{.m_counter = 1};
  asio::io_context m_io;
  FakePeer m_peer{m_io};
  FakePeer m_other{m_io};
  int m_messages = 0;
  int m_lost = 0;
  PeerLinks m_links{
      m_io,
      {.m_idle_timeout = milliseconds(40)},
      {.m_on_message = [this](NodeId, const Message&) { ++m_messages; },
       .m_on_connect_failed = [](NodeId, const std::vector<Message>&) {},
       .m_on_lost = [this](NodeId, const std::string&) { ++m_lost; }}};
};

TEST_F(PeerLinksTest, IdleConnectionIsClosedAndThePeerSeesACleanEnd) {
  m_links.Send(m_peer.Id(), HelloMessage{});
  EXPECT_EQ(m_links.Count(), 1U);
  ASSERT_TRUE(RunUntil([this] { return bool(m_peer.m_end); }));
  EXPECT_EQ(m_peer.m_end, asio::error::eof);
  EXPECT_EQ(m_links.Count(), 0U);
  // Closing an idle connection is not reported as a lost path.
  EXPECT_EQ(m_lost, 0);
}

TEST_F(PeerLinksTest, ConnectionWithAnAttemptInFlightStaysUntilItsReply) {
  m_links.Send(m_peer.Id(), Dispatch());
  ASSERT_TRUE(RunUntil([this] { return m_peer.m_accepted == 1; }));
  m_links.Send(m_other.Id(), HelloMessage{});
  ASSERT_TRUE(RunUntil([this] { return bool(m_other.m_end); }));
  EXPECT_FALSE(m_peer.m_end);
  m_peer.Send(ResultMessage{.m_attempt = m_attempt,
                            .m_result = AttemptResult::kRunning});
  ASSERT_TRUE(RunUntil([this] { return m_messages == 1; }));
  m_peer.Send(ResultMessage{.m_attempt = m_attempt,
                            .m_result = AttemptResult::kAnswered});
  ASSERT_TRUE(RunUntil([this] { return bool(m_peer.m_end); }));
  EXPECT_EQ(m_messages, 2);
  EXPECT_EQ(m_links.Count(), 0U);
}

TEST_F(PeerLinksTest, RunningIsNoFinalReply) {
  m_links.Send(m_peer.Id(), Dispatch());
  ASSERT_TRUE(RunUntil([this] { return m_peer.m_accepted == 1; }));
  m_peer.Send(ResultMessage{.m_attempt = m_attempt,
                            .m_result = AttemptResult::kRunning});
  ASSERT_TRUE(RunUntil([this] { return m_messages == 1; }));
  m_links.Send(m_other.Id(), HelloMessage{});
  ASSERT_TRUE(RunUntil([this] { return bool(m_other.m_end); }));
  EXPECT_FALSE(m_peer.m_end);
  EXPECT_EQ(m_links.Count(), 1U);
}

TEST_F(PeerLinksTest, ConnectionEndedByThePeerIsReportedAsLost) {
  {
    FakePeer closing_peer(m_io);
    m_links.Send(closing_peer.Id(), Dispatch());
    ASSERT_TRUE(
        RunUntil([&closing_peer] { return closing_peer.m_accepted == 1; }));
    closing_peer.Close();
    ASSERT_TRUE(RunUntil([this] { return m_lost == 1; }));
  }
  EXPECT_EQ(m_links.Count(), 0U);
}

}  // namespace
}  // namespace sequoiastage
