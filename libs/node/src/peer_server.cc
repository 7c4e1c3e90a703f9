#include "peer_server_p.h"

#include <utility>

namespace sequoiastage {

PeerServer::PeerServer(asio::io_context& io,
                       NodeId local_node,
                       Incarnation incarnation,
                       Handler handler)
    : m_listener(io),
      m_local_node(local_node),
      m_incarnation(incarnation),
      m_handler(std::move(handler)) {}

bool PeerServer::Start(const Endpoint& bind) {
  return m_listener.Start(bind, [this](asio::ip::tcp::socket socket) {
    OnAccepted(std::move(socket));
  });
}

void PeerServer::Stop() {
  *m_is_alive = false;
  m_listener.Stop();
  const auto connections = std::exchange(m_connections, {});
  for (const Connection& connection : connections) {
    connection->Close("shutdown");
  }
}

void PeerServer::OnAccepted(asio::ip::tcp::socket socket) {
  if (!*m_is_alive) {
    return;
  }
  const auto connection = std::make_shared<PeerConnection>(std::move(socket));
  m_connections.insert(connection);
  const std::weak_ptr<PeerConnection> weak = connection;
  connection->Start(
      {.m_on_message =
           [this, weak, alive = m_is_alive](Message message) {
             const Connection from = weak.lock();
             if (*alive && from != nullptr) {
               m_handler(from, std::move(message));
             }
           },
       .m_on_closed =
           [this, weak, alive = m_is_alive](const std::string& /*reason*/) {
             if (*alive) {
               m_connections.erase(weak.lock());
             }
           }});
  connection->Send(
      HelloMessage{.m_node = m_local_node, .m_incarnation = m_incarnation});
}

}  // namespace sequoiastage
