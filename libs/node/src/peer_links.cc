#include "peer_links_p.h"

#include <utility>

namespace sequoiastage {

namespace {

// One try to open a connection, bounded in time.
struct ConnectTry {
  explicit ConnectTry(asio::io_context& io) : m_socket(io), m_timer(io) {}

  asio::ip::tcp::socket m_socket;
  asio::steady_timer m_timer;
};

}  // namespace

PeerLinks::PeerLinks(asio::io_context& io, Options options, Handlers handlers)
    : m_io(io), m_options(options), m_handlers(std::move(handlers)) {}

bool PeerLinks::Send(NodeId node, Message message) {
  auto [it, is_new] = m_links.try_emplace(node);
  Link& link = it->second;
  if (link.m_connection != nullptr) {
    return link.m_connection->Send(message);
  }
  link.m_waiting.push_back(std::move(message));
  if (is_new) {
    Connect(node);
  }
  return true;
}

bool PeerLinks::Withdraw(NodeId node, const AttemptId& attempt) {
  const auto it = m_links.find(node);
  if (it == m_links.end()) {
    return false;
  }
  return std::erase_if(
             it->second.m_waiting, [&attempt](const Message& message) {
               const auto* dispatch = std::get_if<DispatchMessage>(&message);
               return dispatch != nullptr && dispatch->m_attempt == attempt;
             }) > 0;
}

void PeerLinks::CloseAll() {
  *m_is_alive = false;
  for (auto& [node, link] : m_links) {
    if (link.m_connection != nullptr) {
      link.m_connection->Close("shutdown");
    }
  }
  m_links.clear();
}

void PeerLinks::Connect(NodeId node) {
  const auto attempt = std::make_shared<ConnectTry>(m_io);
  const auto alive = m_is_alive;
  attempt->m_timer.expires_after(m_options.m_connect_timeout);
  attempt->m_timer.async_wait([attempt](const asio::error_code& error) {
    if (!error) {
      asio::error_code ignored;
      attempt->m_socket.close(ignored);
    }
  });
  const asio::ip::tcp::endpoint peer(asio::ip::address_v4(node.Get().m_ip),
                                     node.Get().m_port);
  asio::error_code open_error;
  attempt->m_socket.open(asio::ip::tcp::v4(), open_error);
  attempt->m_socket.bind({asio::ip::address_v4(m_options.m_bind_ip), 0},
                         open_error);
  attempt->m_socket.async_connect(
      peer, [this, attempt, alive, node](const asio::error_code& error) {
        attempt->m_timer.cancel();
        if (!*alive) {
          return;
        }
        if (error || !attempt->m_socket.is_open()) {
          OnConnectFailed(node);
          return;
        }
        OnConnected(node, std::move(attempt->m_socket));
      });
}

void PeerLinks::OnConnected(NodeId node, asio::ip::tcp::socket socket) {
  Link& link = m_links[node];
  const auto connection = std::make_shared<PeerConnection>(std::move(socket));
  link.m_connection = connection;
  connection->Start(
      {.m_on_message =
           [this, node, alive = m_is_alive](Message message) {
             if (*alive) {
               m_handlers.m_on_message(node, std::move(message));
             }
           },
       .m_on_closed =
           [this, node, alive = m_is_alive](const std::string& reason) {
             if (*alive) {
               m_links.erase(node);
               m_handlers.m_on_lost(node, reason);
             }
           }});
  connection->Send(HelloMessage{.m_node = m_options.m_own,
                                .m_incarnation = m_options.m_incarnation});
  const std::vector<Message> waiting = std::exchange(link.m_waiting, {});
  for (const Message& message : waiting) {
    connection->Send(message);
  }
}

void PeerLinks::OnConnectFailed(NodeId node) {
  const std::vector<Message> waiting = std::move(m_links[node].m_waiting);
  m_links.erase(node);
  m_handlers.m_on_connect_failed(node, waiting);
}

}  // namespace sequoiastage
