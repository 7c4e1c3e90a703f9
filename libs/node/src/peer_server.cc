#include "peer_server_p.h"

#include <utility>

#include "sequoiastage/http/exchange_connection.h"

namespace sequoiastage {

PeerServer::PeerServer(asio::io_context& io,
                       NodeId own,
                       Incarnation incarnation,
                       Handler handler)
    : m_acceptor(io),
      m_own(own),
      m_incarnation(incarnation),
      m_handler(std::move(handler)) {}

bool PeerServer::Start(const Endpoint& bind) {
  if (!OpenListener(m_acceptor, bind, &m_last_reason)) {
    return false;
  }
  Accept();
  return true;
}

void PeerServer::Stop() {
  *m_is_alive = false;
  asio::error_code ignored;
  m_acceptor.close(ignored);
  const auto connections = std::exchange(m_connections, {});
  for (const Connection& connection : connections) {
    connection->Close("shutdown");
  }
}

void PeerServer::Accept() {
  m_acceptor.async_accept(
      [this, alive = m_is_alive](const asio::error_code& error,
                                 asio::ip::tcp::socket socket) {
        if (!*alive || error == asio::error::operation_aborted) {
          return;
        }
        if (!error) {
          OnAccepted(std::move(socket));
        }
        Accept();
      });
}

void PeerServer::OnAccepted(asio::ip::tcp::socket socket) {
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
      HelloMessage{.m_node = m_own, .m_incarnation = m_incarnation});
}

}  // namespace sequoiastage
