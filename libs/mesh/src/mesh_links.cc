#include "sequoiastage/mesh/mesh_links.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "sequoiastage/base/boot_clock.h"
#include "sequoiastage/logging/log_event.h"

namespace sequoiastage {

namespace {

constexpr uint32_t kMaxBackoffDoublings = 6;
// While load is managed, the open timeout is waited for in this number of
// steps. A pause of this process ends one step only, so what the other node
// sent in the meantime is read before the link counts as lost.
constexpr uint32_t kOpenSteps = 3;

}  // namespace

MeshLinks::MeshLinks(asio::io_context& io,
                     PeerKey self,
                     const MeshLinksOptions& options,
                     Handlers handlers)
    : m_io(io),
      m_self(self),
      m_options(options),
      m_handlers(std::move(handlers)),
      m_listener(io),
      m_connection_options(std::make_shared<PeerConnectionOptions>(
          PeerConnectionOptions{.m_budget = options.m_budget})) {}

MeshLinks::~MeshLinks() {
  Stop();
}

bool MeshLinks::Start(const Endpoint& listen) {
  return m_listener.Start(listen, [this](asio::ip::tcp::socket socket) {
    OnAccepted(std::move(socket));
  });
}

bool MeshLinks::Send(NodeId node, const Message& message) {
  if (m_is_stopped) {
    return false;
  }
  auto& link = m_links[node];
  if (!link) {
    link = std::make_shared<Link>(m_io);
    Open(node, link);
  }
  link->m_last_used_at = BootNow();
  if (link->m_state == State::kLost) {
    return false;
  }
  if (link->m_connection) {
    return link->m_connection->Send(message);
  }
  link->m_pending.push_back(message);
  return true;
}

bool MeshLinks::IsUsable(NodeId node) const {
  const auto found = m_links.find(node);
  return found == m_links.end() || found->second->m_state != State::kLost;
}

bool MeshLinks::HasReceivedSince(NodeId node, TimePoint time) const {
  const auto found = m_links.find(node);
  return found != m_links.end() && found->second->m_last_received_at >= time;
}

void MeshLinks::Open(NodeId node, const LinkPtr& link) {
  link->m_state = link->m_failures == 0 ? State::kOpening : State::kLost;
  link->m_socket = std::make_shared<asio::ip::tcp::socket>(m_io);
  const uint32_t steps = m_connection_options->m_manages_load ? kOpenSteps : 1;
  AwaitOpen(node, link, m_options.m_open_timeout / steps, steps);
  const Endpoint& endpoint = node.Get();
  link->m_socket->async_connect(
      asio::ip::tcp::endpoint(asio::ip::address_v4(endpoint.m_ip),
                              endpoint.m_port),
      [this, node, weak = std::weak_ptr(link),
       socket = link->m_socket](const asio::error_code& error) {
        const LinkPtr self = weak.lock();
        if (!self || self->m_socket != socket) {
          return;
        }
        if (error) {
          OnLost(node, self, error.message());
        } else {
          OnConnected(node, self);
        }
      });
}

void MeshLinks::AwaitOpen(NodeId node,
                          const LinkPtr& link,
                          Duration step,
                          uint32_t steps) {
  link->m_timer.expires_after(step);
  link->m_timer.async_wait(
      [this, node, step, steps, weak = std::weak_ptr(link),
       socket = link->m_socket](const asio::error_code& error) {
        const LinkPtr self = weak.lock();
        // The link may have opened after the timer expired and before this.
        if (error || !self || self->m_socket != socket ||
            self->m_state == State::kOpen) {
          return;
        }
        if (steps > 1) {
          AwaitOpen(node, self, step, steps - 1);
        } else {
          OnLost(node, self, "the node does not answer");
        }
      });
}

void MeshLinks::OnConnected(NodeId node, const LinkPtr& link) {
  auto connection = std::make_shared<PeerConnection>(std::move(*link->m_socket),
                                                     m_connection_options);
  link->m_connection = connection;
  const std::weak_ptr<Link> weak = link;
  connection->Start(
      {.m_on_message =
           [this, node, weak, connection](Message message) {
             const LinkPtr self = weak.lock();
             if (!self || self->m_connection != connection) {
               return;
             }
             self->m_last_received_at = BootNow();
             if (const auto* hello = std::get_if<HelloMessage>(&message)) {
               self->m_timer.cancel();
               self->m_state = State::kOpen;
               self->m_failures = 0;
               self->m_incarnation = hello->m_incarnation;
               m_handlers.m_on_opened(node, hello->m_incarnation);
             } else if (self->m_incarnation) {
               m_handlers.m_on_reply(
                   {.m_node = node, .m_incarnation = *self->m_incarnation},
                   std::move(message));
             }
           },
       .m_on_closed =
           [this, node, weak, connection](const std::string& reason) {
             const LinkPtr self = weak.lock();
             if (self && self->m_connection == connection) {
               OnLost(node, self, reason);
             }
           }});
  connection->Send(HelloMessage{.m_node = m_self.m_node,
                                .m_incarnation = m_self.m_incarnation});
  for (const Message& message : std::exchange(link->m_pending, {})) {
    connection->Send(message);
  }
}

void MeshLinks::OnLost(NodeId node,
                       const LinkPtr& link,
                       const std::string& reason) {
  if (m_is_stopped) {
    return;
  }
  const bool was_usable = link->m_state != State::kLost;
  link->m_state = State::kLost;
  link->m_incarnation.reset();
  link->m_pending.clear();
  asio::error_code ignored;
  if (link->m_socket) {
    link->m_socket->close(ignored);
    link->m_socket.reset();
  }
  if (auto connection = std::exchange(link->m_connection, {})) {
    connection->Close(reason);
  }
  const auto doublings = std::min(link->m_failures, kMaxBackoffDoublings);
  ++link->m_failures;
  link->m_timer.expires_after(std::min(
      m_options.m_max_backoff, m_options.m_min_backoff * (1 << doublings)));
  link->m_timer.async_wait(
      [this, node, weak = std::weak_ptr(link)](const asio::error_code& error) {
        const LinkPtr self = weak.lock();
        if (error || !self) {
          return;
        }
        if (BootNow() - self->m_last_used_at > m_options.m_reconnect_period) {
          m_links.erase(node);
          return;
        }
        Open(node, self);
      });
  if (was_usable) {
    LogEvent(LogLevel::kInfo, "link_lost")
        .Add("node", ToString(node))
        .Add("reason", reason);
    m_handlers.m_on_lost(node, reason);
  }
}

void MeshLinks::Drop(NodeId node, const std::string& reason) {
  const auto found = m_links.find(node);
  if (found != m_links.end() && found->second->m_state != State::kLost) {
    OnLost(node, LinkPtr(found->second), reason);
  }
}

void MeshLinks::Broadcast(const Message& message) {
  for (const auto& [node, link] : m_links) {
    if (link->m_connection) {
      link->m_connection->Send(message);
    }
  }
  for (const auto& [peer, latest] : m_latest_by_peer) {
    if (const auto connection = latest.lock()) {
      connection->Send(message);
    }
  }
}

void MeshLinks::OnAccepted(asio::ip::tcp::socket socket) {
  auto connection =
      std::make_shared<PeerConnection>(std::move(socket), m_connection_options);
  m_accepted.insert(connection);
  auto peer = std::make_shared<std::optional<PeerKey>>();
  const std::weak_ptr<PeerConnection> weak = connection;
  const MessageSink sink = [weak](const Message& message) {
    if (const auto self = weak.lock()) {
      self->Send(message);
    }
  };
  connection->Start(
      {.m_on_message =
           [this, peer, sink, weak](Message message) {
             if (const auto* hello = std::get_if<HelloMessage>(&message)) {
               *peer = PeerKey{.m_node = hello->m_node,
                               .m_incarnation = hello->m_incarnation};
               m_latest_by_peer[**peer] = weak;
               sink(HelloMessage{.m_node = m_self.m_node,
                                 .m_incarnation = m_self.m_incarnation});
               m_handlers.m_on_peer_opened(**peer, sink);
             } else if (*peer) {
               m_handlers.m_on_request(**peer, std::move(message), sink);
             }
           },
       .m_on_closed =
           [this, peer, weak](const std::string&) {
             const auto self = weak.lock();
             if (self) {
               m_accepted.erase(self);
             }
             if (!*peer || m_is_stopped) {
               return;
             }
             // The peer may have opened another connection before this one was
             // detected as closed.
             const auto latest = m_latest_by_peer.find(**peer);
             if (latest != m_latest_by_peer.end() &&
                 latest->second.lock() == self) {
               m_latest_by_peer.erase(latest);
               m_handlers.m_on_peer_lost(**peer);
             }
           }});
}

void MeshLinks::Stop() {
  m_is_stopped = true;
  m_listener.Stop();
  for (const auto& [node, link] : m_links) {
    link->m_timer.cancel();
    if (link->m_connection) {
      link->m_connection->Close("stopped");
    }
    link->m_connection.reset();
    link->m_socket.reset();
  }
  m_links.clear();
  for (const auto& connection : std::exchange(m_accepted, {})) {
    connection->Close("stopped");
  }
}

}  // namespace sequoiastage
