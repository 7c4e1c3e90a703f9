#ifndef SEQUOIASTAGE_MESH_TESTS_FAKE_PEER_H_
#define SEQUOIASTAGE_MESH_TESTS_FAKE_PEER_H_

#include <gtest/gtest.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "sequoiastage/http/tcp_socket.h"
#include "sequoiastage/link/peer_connection.h"
#include "sequoiastage/mesh/peer_key.h"

namespace sequoiastage {

// One process of a node as others see it over their connections. It executes
// every offer and answers with 200.
class FakePeer {
 public:
  FakePeer(asio::io_context& io, const PeerKey& self)
      : m_io(io), m_self(self), m_listener(io) {
    EXPECT_TRUE(m_listener.Start(self.m_node.Get(),
                                 [this](asio::ip::tcp::socket socket) {
                                   Serve(std::move(socket), m_accepted);
                                 }))
        << m_listener.LastReason();
  }
  FakePeer(const FakePeer&) = delete;
  FakePeer& operator=(const FakePeer&) = delete;
  ~FakePeer() { CloseConnections(); }

  // Frees the address for the next process; open connections stay.
  void StopListening() { m_listener.Stop(); }

  void ConnectTo(const Endpoint& node) {
    asio::ip::tcp::socket socket(m_io);
    socket.connect({asio::ip::address_v4(node.m_ip), node.m_port});
    Serve(std::move(socket), m_opened);
    m_opened.back()->Send(Hello());
  }

  // Sends `message` over the connections that other nodes have opened, followed
  // by a request. The nodes have handled it when m_replies grows.
  void SendOverAccepted(const Message& message) {
    Send(m_accepted, message);
    Send(m_accepted, RelayRequestMessage{});
  }

  // The same over the connections that this process has opened.
  void SendOverOpened(const Message& message) {
    Send(m_opened, message);
    Send(m_opened, OutcomeQueryMessage{});
  }

  void CloseConnections() {
    for (const Connections& connections :
         {std::exchange(m_accepted, {}), std::exchange(m_opened, {})}) {
      for (const auto& connection : connections) {
        connection->Close("closed");
      }
    }
  }

  int m_offers = 0;
  // Messages other than those of requests.
  int m_replies = 0;

 private:
  using Connections = std::vector<std::shared_ptr<PeerConnection>>;

  HelloMessage Hello() const {
    return {.m_node = m_self.m_node, .m_incarnation = m_self.m_incarnation};
  }

  static void Send(const Connections& connections, const Message& message) {
    EXPECT_FALSE(connections.empty());
    for (const auto& connection : connections) {
      connection->Send(message);
    }
  }

  void Serve(asio::ip::tcp::socket socket, Connections& connections) {
    const auto connection = std::make_shared<PeerConnection>(std::move(socket));
    connections.push_back(connection);
    const bool is_accepted = &connections == &m_accepted;
    connection->Start(
        {.m_on_message =
             [this, is_accepted,
              weak = std::weak_ptr(connection)](const Message& message) {
               if (const auto self = weak.lock()) {
                 OnMessage(*self, is_accepted, message);
               }
             },
         .m_on_closed = [](const std::string&) {}});
  }

  void OnMessage(PeerConnection& connection,
                 bool is_accepted,
                 const Message& message) {
    if (std::holds_alternative<HelloMessage>(message)) {
      if (is_accepted) {
        connection.Send(Hello());
      }
    } else if (const auto* offer = std::get_if<OfferMessage>(&message)) {
      ++m_offers;
      const OfferVerdict verdict = offer->m_starts_immediately
                                       ? OfferVerdict::kStarted
                                       : OfferVerdict::kReady;
      connection.Send(OfferReplyMessage{.m_attempt = offer->m_attempt,
                                        .m_verdict = verdict});
      if (offer->m_starts_immediately) {
        Answer(connection, offer->m_attempt);
      }
    } else if (const auto* start = std::get_if<StartMessage>(&message)) {
      Answer(connection, start->m_attempt);
    } else {
      ++m_replies;
    }
  }

  static void Answer(PeerConnection& connection, AttemptNumber attempt) {
    connection.Send(OutcomeMessage{.m_attempt = attempt,
                                   .m_result = AttemptResult::kAnswered,
                                   .m_response = {.m_status = 200}});
  }

  asio::io_context& m_io;
  PeerKey m_self;
  TcpListener m_listener;
  // Connections that other nodes have opened, and those that this one has.
  Connections m_accepted;
  Connections m_opened;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MESH_TESTS_FAKE_PEER_H_
