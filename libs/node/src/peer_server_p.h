#ifndef SEQUOIASTAGE_NODE_PEER_SERVER_P_H_
#define SEQUOIASTAGE_NODE_PEER_SERVER_P_H_

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

#include "sequoiastage/base/ids.h"
#include "sequoiastage/http/tcp_socket.h"
#include "sequoiastage/link/peer_connection.h"

namespace sequoiastage {

// Accepts connections from other nodes and passes their messages to a handler.
class PeerServer {
 public:
  using Connection = std::shared_ptr<PeerConnection>;
  using Handler = std::function<void(const Connection&, Message)>;

  PeerServer(asio::io_context& io,
             NodeId local_node,
             Incarnation incarnation,
             Handler handler);

  // Binds and listens. Returns false and sets LastReason() on failure.
  bool Start(const Endpoint& bind);
  void Stop();
  const std::string& LastReason() const { return m_listener.LastReason(); }

 private:
  void OnAccepted(asio::ip::tcp::socket socket);

  TcpListener m_listener;
  NodeId m_local_node;
  Incarnation m_incarnation;
  Handler m_handler;
  std::unordered_set<Connection> m_connections;
  std::shared_ptr<bool> m_is_alive = std::make_shared<bool>(true);
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_NODE_PEER_SERVER_P_H_
