#include "sequoiastage/link/peer_connection.h"

#include <gtest/gtest.h>

#include <asio/io_context.hpp>
#include <asio/write.hpp>
#include <optional>
#include <stdexcept>
#include <utility>
#include <vector>

#include "sequoiastage/base/time.h"

namespace sequoiastage {
namespace {

using Tcp = asio::ip::tcp;

constexpr size_t kBodyBytes = 300'000;

Message MakeStart(uint64_t attempt, size_t body_bytes = kBodyBytes) {
  return StartMessage{.m_attempt = AttemptNumber(attempt),
                      .m_request = {.m_body = std::string(body_bytes, 'b')}};
}

Message MakeReply(uint64_t attempt) {
  return OfferReplyMessage{.m_attempt = AttemptNumber(attempt)};
}

Duration SinceEpoch() {
  return std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch());
}

// A connection to a peer that reads at 10 Mbit/s and has little room for data
// that it has not read.
class PeerConnectionTest : public testing::Test {
 protected:
  PeerConnectionTest() : m_peer(m_io) {
    Tcp::acceptor acceptor(m_io, Tcp::endpoint(Tcp::v4(), 0));
    acceptor.set_option(asio::socket_base::receive_buffer_size(2048));
    Tcp::socket socket(m_io);
    socket.connect(Tcp::endpoint(asio::ip::address_v4::loopback(),
                                 acceptor.local_endpoint().port()));
    acceptor.accept(m_peer);
    m_options->m_budget = m_budget;
    m_connection =
        std::make_shared<PeerConnection>(std::move(socket), m_options);
    m_connection->Start(
        {.m_on_message = [](const Message&) {},
         .m_on_closed = [this](const std::string&) { m_is_closed = true; }});
  }

  ~PeerConnectionTest() override { m_connection->Close("test ends"); }

  // Reads for this time, or until a message of `attempt` has arrived.
  void ReadFor(Duration time, std::optional<uint64_t> attempt = {}) {
    const Duration end = SinceEpoch() + time;
    m_peer.non_blocking(true);
    while (SinceEpoch() < end && !(attempt && HasReceived(*attempt))) {
      m_io.run_for(std::chrono::milliseconds(1));
      asio::error_code error;
      std::vector<char> chunk(kBytesPerMs);
      const size_t count = m_peer.read_some(asio::buffer(chunk), error);
      m_decoder.Feed(std::string_view(chunk.data(), count));
      while (auto message = m_decoder.Next()) {
        m_received.push_back(std::move(*message));
      }
    }
  }

  bool HasReceived(uint64_t attempt) const {
    for (const Message& message : m_received) {
      if (SequenceOf(message) == SequenceKey(attempt)) {
        return true;
      }
    }
    return false;
  }

  // Time until a small message arrives that is sent during a large transfer.
  Duration WaitOfSmallMessage() {
    EXPECT_TRUE(m_connection->Send(MakeStart(1)));
    ReadFor(std::chrono::milliseconds(40));
    const Duration sent_at = SinceEpoch();
    EXPECT_TRUE(m_connection->Send(MakeReply(2)));
    ReadFor(std::chrono::seconds(2), 2);
    EXPECT_TRUE(HasReceived(2));
    return SinceEpoch() - sent_at;
  }

  static constexpr size_t kBytesPerMs = 1250;

  asio::io_context m_io;
  std::shared_ptr<ByteBudget> m_budget =
      std::make_shared<ByteBudget>(size_t{1} << 20);
  std::shared_ptr<PeerConnectionOptions> m_options =
      std::make_shared<PeerConnectionOptions>();
  std::shared_ptr<PeerConnection> m_connection;
  Tcp::socket m_peer;
  FrameDecoder m_decoder;
  std::vector<Message> m_received;
  bool m_is_closed = false;
};

TEST_F(PeerConnectionTest, SmallMessagePassesLargeOne) {
  m_options->m_manages_load = true;
  const Duration wait = WaitOfSmallMessage();
  RecordProperty("wait_ms",
                 static_cast<int>(wait / std::chrono::milliseconds(1)));
  EXPECT_FALSE(HasReceived(1));
  // The goal is 20 ms; the rest is for a busy machine.
  EXPECT_LT(wait, std::chrono::milliseconds(100));
  ReadFor(std::chrono::seconds(2), 1);
  EXPECT_TRUE(HasReceived(1));
}

TEST_F(PeerConnectionTest, WithoutLoadManagementMessagesKeepTheirOrder) {
  const Duration wait = WaitOfSmallMessage();
  RecordProperty("wait_ms",
                 static_cast<int>(wait / std::chrono::milliseconds(1)));
  ASSERT_EQ(m_received.size(), 2U);
  EXPECT_EQ(m_received[0], MakeStart(1));
}

TEST_F(PeerConnectionTest, CancelStopsALargeRequestInTransfer) {
  m_options->m_manages_load = true;
  m_connection->Send(MakeStart(1));
  ReadFor(std::chrono::milliseconds(40));
  m_connection->Send(CancelMessage{.m_attempt = AttemptNumber(1)});
  ReadFor(std::chrono::milliseconds(200), 1);
  ASSERT_EQ(m_received.size(), 1U);
  EXPECT_TRUE(std::holds_alternative<CancelMessage>(m_received[0]));
  EXPECT_EQ(m_budget->Held(), 0U);
  EXPECT_FALSE(m_decoder.IsBroken());
}

// Guards against a response that crosses a slow link although its request was
// cancelled.
TEST_F(PeerConnectionTest, ReceivedCancelStopsALargeResponseInTransfer) {
  m_options->m_manages_load = true;
  m_connection->Send(OutcomeMessage{
      .m_attempt = AttemptNumber(1),
      .m_response = {.m_status = 200, .m_body = std::string(kBodyBytes, 'r')}});
  ReadFor(std::chrono::milliseconds(40));
  m_peer.non_blocking(false);
  asio::write(
      m_peer,
      asio::buffer(*EncodeFrame(CancelMessage{.m_attempt = AttemptNumber(1)})));
  ReadFor(std::chrono::milliseconds(100));
  EXPECT_TRUE(m_received.empty());
  EXPECT_FALSE(m_decoder.IsBroken());
  EXPECT_EQ(m_budget->Held(), 0U);
}

// Guards against a slow link whose queue takes the memory of the node: large
// requests are refused, responses and small messages are not.
TEST_F(PeerConnectionTest, QueueIsBoundedByTheByteBudget) {
  m_options->m_manages_load = true;
  uint64_t accepted = 0;
  for (uint64_t i = 1; i <= 20; ++i) {
    accepted += m_connection->Send(MakeStart(i)) ? 1 : 0;
  }
  EXPECT_EQ(accepted, 3U);
  EXPECT_EQ(m_budget->Refusals(), 17U);
  EXPECT_LE(m_budget->Held(), m_budget->Limit());
  EXPECT_EQ(m_budget->Held(HeldKind::kLinks), m_budget->Held());
  EXPECT_TRUE(m_connection->Send(MakeReply(30)));
  EXPECT_TRUE(m_connection->Send(
      OutcomeMessage{.m_attempt = AttemptNumber(31),
                     .m_response = {.m_body = std::string(kBodyBytes, 'r')}}));
  m_connection->Close("lost");
  m_io.run_for(std::chrono::milliseconds(10));
  EXPECT_TRUE(m_is_closed);
  EXPECT_EQ(m_budget->Held(), 0U);
}

// Guards against a link that stays open and reads nothing more.
TEST_F(PeerConnectionTest, ExceptionEndsTheHandlingOfOneMessage) {
  std::vector<Message> received;
  Tcp::acceptor acceptor(m_io, Tcp::endpoint(Tcp::v4(), 0));
  Tcp::socket socket(m_io);
  socket.connect(Tcp::endpoint(asio::ip::address_v4::loopback(),
                               acceptor.local_endpoint().port()));
  Tcp::socket peer(m_io);
  acceptor.accept(peer);
  auto connection =
      std::make_shared<PeerConnection>(std::move(socket), m_options);
  connection->Start({.m_on_message =
                         [&](Message message) {
                           received.push_back(std::move(message));
                           throw std::logic_error("unexpected");
                         },
                     .m_on_closed = [](const std::string&) {}});
  const auto run = [&](size_t count) {
    const Duration end = SinceEpoch() + std::chrono::seconds(2);
    while (received.size() < count && SinceEpoch() < end) {
      try {
        m_io.restart();
        m_io.run_for(std::chrono::milliseconds(1));
      } catch (const std::logic_error&) {
      }
    }
    return received.size();
  };
  asio::write(peer, asio::buffer(*EncodeFrame(MakeReply(1)) +
                                 *EncodeFrame(MakeReply(2))));
  EXPECT_EQ(run(2), 2U);
  asio::write(peer, asio::buffer(*EncodeFrame(MakeReply(3))));
  EXPECT_EQ(run(3), 3U);
  connection->Close("test ends");
}

}  // namespace
}  // namespace sequoiastage
