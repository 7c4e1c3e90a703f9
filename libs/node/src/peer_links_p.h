#ifndef SEQUOIASTAGE_NODE_PEER_LINKS_P_H_
#define SEQUOIASTAGE_NODE_PEER_LINKS_P_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "sequoiastage/base/ids.h"
#include "sequoiastage/base/time.h"
#include "sequoiastage/link/peer_connection.h"

namespace sequoiastage {

// Outgoing connections of one thread to other nodes, opened on first use.
class PeerLinks {
 public:
  struct Handlers {
    std::function<void(NodeId, Message)> m_on_message;
    // No connection could be opened; with the messages that waited for it and
    // so were never sent.
    std::function<void(NodeId, const std::vector<Message>&)>
        m_on_connect_failed;
    // A connection ended: messages sent on it may or may not have arrived.
    std::function<void(NodeId, const std::string&)> m_on_lost;
  };

  struct Options {
    NodeId m_own;
    Incarnation m_incarnation;
    // Source address of the connections.
    uint32_t m_bind_ip = 0;
    Duration m_connect_timeout = std::chrono::milliseconds(500);
    // A connection that carried nothing for so long and has no request
    // without a final reply is closed.
    Duration m_idle_timeout = std::chrono::seconds(60);
  };

  PeerLinks(asio::io_context& io, Options options, Handlers handlers);

  // Sends `message`, after opening a connection where there is none. False
  // when it can't be queued.
  bool Send(NodeId node, Message message);

  // Takes a dispatch back that still waits for a connection. True: it was
  // not sent and never will be.
  bool Withdraw(NodeId node, const AttemptId& attempt);

  // Connections that are open or being opened.
  size_t Count() const { return m_links.size(); }

  void CloseAll();

 private:
  struct Link {
    std::shared_ptr<PeerConnection> m_connection;
    // Messages that wait for the connection to open.
    std::vector<Message> m_waiting;
    // Last message either way.
    TimePoint m_used_at;
    // Requests without a final reply, each with the time after which none is
    // waited for.
    std::unordered_map<AttemptId, WallTime> m_open;
  };

  void NoteSent(Link& link, const Message& message) const;
  void OnMessage(NodeId node, Message message);
  void OnClosed(NodeId node,
                const PeerConnection* connection,
                const std::string& reason);
  void ArmIdleTimer();
  void CloseIdle();

  void Connect(NodeId node);
  void OnConnected(NodeId node, asio::ip::tcp::socket socket);
  void OnConnectFailed(NodeId node);

  asio::io_context& m_io;
  Options m_options;
  Handlers m_handlers;
  std::unordered_map<NodeId, Link> m_links;
  asio::steady_timer m_idle_timer;
  bool m_is_idle_timer_armed = false;
  std::shared_ptr<bool> m_is_alive = std::make_shared<bool>(true);
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_NODE_PEER_LINKS_P_H_
