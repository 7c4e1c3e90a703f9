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

// Outgoing connections of one thread to other nodes, opened on demand.
class PeerLinks {
 public:
  struct Handlers {
    std::function<void(NodeId, Message)> m_on_message;
    // Opening a connection failed. The messages were waiting for it and are
    // never sent.
    std::function<void(NodeId, const std::vector<Message>&)>
        m_on_connect_failed;
    // A connection was closed or failed; messages sent on it may or may not
    // have arrived.
    std::function<void(NodeId, const std::string&)> m_on_lost;
  };

  struct Options {
    NodeId m_local_node;
    Incarnation m_incarnation;
    // Source address of the connections.
    uint32_t m_bind_ip = 0;
    Duration m_connect_timeout = std::chrono::milliseconds(500);
    // A connection with no message for this long and no request without a
    // final reply is closed.
    Duration m_idle_timeout = std::chrono::seconds(60);
  };

  PeerLinks(asio::io_context& io, Options options, Handlers handlers);

  // Sends `message`; opens a connection first if there is none. Returns false
  // when the message can't be queued.
  bool Send(NodeId node, Message message);

  // Removes a dispatch that is still waiting for a connection. True means that
  // it is never sent.
  bool Withdraw(NodeId node, const AttemptId& attempt);

  // Number of connections that are open or being opened.
  size_t Count() const { return m_links.size(); }

  void CloseAll();

 private:
  struct Link {
    std::shared_ptr<PeerConnection> m_connection;
    // Messages to send once the connection is open.
    std::vector<Message> m_pending_messages;
    // Time of the last message in either direction.
    TimePoint m_last_used;
    // Requests without a final reply, each with the time after which it no
    // longer keeps the connection open.
    std::unordered_map<AttemptId, WallTime> m_open_requests;
  };

  void RecordSent(Link& link, const Message& message) const;
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
