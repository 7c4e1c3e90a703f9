#include "peer_links_p.h"

#include <optional>
#include <utility>

#include "protocol_fields_p.h"

namespace sequoiastage {

namespace {

// Number of checks for idle connections per idle timeout.
constexpr int kIdleChecksPerTimeout = 4;

// Returns the attempt and deadline of `message` if it requires a final reply.
std::optional<std::pair<AttemptId, WallTime>> FindRequest(
    const Message& message) {
  if (const auto* dispatch = std::get_if<DispatchMessage>(&message)) {
    return std::pair(dispatch->m_attempt,
                     DeadlineFromMs(dispatch->m_deadline_ms));
  }
  if (const auto* query = std::get_if<QueryMessage>(&message)) {
    return std::pair(query->m_attempt, DeadlineFromMs(query->m_deadline_ms));
  }
  if (const auto* keyed = std::get_if<KeyedRequestMessage>(&message)) {
    return std::pair(keyed->m_attempt, DeadlineFromMs(keyed->m_deadline_ms));
  }
  return std::nullopt;
}

// Returns the attempt that `message` is the final reply to, if any.
std::optional<AttemptId> FindFinalReply(const Message& message) {
  if (const auto* result = std::get_if<ResultMessage>(&message)) {
    return result->m_result == AttemptResult::kRunning
               ? std::nullopt
               : std::optional(result->m_attempt);
  }
  if (const auto* reply = std::get_if<KeyedReplyMessage>(&message)) {
    return reply->m_attempt;
  }
  return std::nullopt;
}

// Pending connect with a timeout.
struct ConnectAttempt {
  explicit ConnectAttempt(asio::io_context& io) : m_socket(io), m_timer(io) {}

  asio::ip::tcp::socket m_socket;
  asio::steady_timer m_timer;
};

}  // namespace

PeerLinks::PeerLinks(asio::io_context& io, Options options, Handlers handlers)
    : m_io(io),
      m_options(options),
      m_handlers(std::move(handlers)),
      m_idle_timer(io) {}

bool PeerLinks::Send(NodeId node, Message message) {
  auto [it, is_new] = m_links.try_emplace(node);
  Link& link = it->second;
  RecordSent(link, message);
  if (link.m_connection != nullptr) {
    return link.m_connection->Send(message);
  }
  link.m_pending_messages.push_back(std::move(message));
  if (is_new) {
    Connect(node);
  }
  return true;
}

void PeerLinks::RecordSent(Link& link, const Message& message) const {
  link.m_last_used = Now();
  if (const auto request = FindRequest(message)) {
    const auto [attempt, deadline] = *request;
    link.m_open_requests[attempt] =
        deadline + std::chrono::duration_cast<std::chrono::milliseconds>(
                       m_options.m_idle_timeout);
  }
}

bool PeerLinks::Withdraw(NodeId node, const AttemptId& attempt) {
  const auto it = m_links.find(node);
  if (it == m_links.end()) {
    return false;
  }
  const bool is_withdrawn =
      std::erase_if(
          it->second.m_pending_messages, [&attempt](const Message& message) {
            const auto* dispatch = std::get_if<DispatchMessage>(&message);
            return dispatch != nullptr && dispatch->m_attempt == attempt;
          }) > 0;
  if (is_withdrawn) {
    it->second.m_open_requests.erase(attempt);
  }
  return is_withdrawn;
}

void PeerLinks::CloseAll() {
  *m_is_alive = false;
  for (auto& [node, link] : m_links) {
    if (link.m_connection != nullptr) {
      link.m_connection->Close("shutdown");
    }
  }
  m_links.clear();
  m_idle_timer.cancel();
}

void PeerLinks::ArmIdleTimer() {
  if (m_is_idle_timer_armed) {
    return;
  }
  m_is_idle_timer_armed = true;
  m_idle_timer.expires_after(m_options.m_idle_timeout / kIdleChecksPerTimeout);
  m_idle_timer.async_wait(
      [this, alive = m_is_alive](const asio::error_code& error) {
        if (error || !*alive) {
          return;
        }
        m_is_idle_timer_armed = false;
        CloseIdle();
        if (!m_links.empty()) {
          ArmIdleTimer();
        }
      });
}

void PeerLinks::CloseIdle() {
  const TimePoint idle_since = Now() - m_options.m_idle_timeout;
  const WallTime now = WallNow();
  for (auto it = m_links.begin(); it != m_links.end();) {
    Link& link = it->second;
    std::erase_if(link.m_open_requests,
                  [now](const auto& item) { return item.second <= now; });
    const bool is_idle = link.m_connection != nullptr &&
                         link.m_open_requests.empty() &&
                         link.m_last_used <= idle_since;
    if (!is_idle) {
      ++it;
      continue;
    }
    const auto connection = link.m_connection;
    it = m_links.erase(it);
    connection->Close("idle");
  }
}

void PeerLinks::Connect(NodeId node) {
  const auto attempt = std::make_shared<ConnectAttempt>(m_io);
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
  link.m_last_used = Now();
  ArmIdleTimer();
  const auto connection = std::make_shared<PeerConnection>(std::move(socket));
  link.m_connection = connection;
  connection->Start({.m_on_message =
                         [this, node, alive = m_is_alive](Message message) {
                           if (*alive) {
                             OnMessage(node, std::move(message));
                           }
                         },
                     .m_on_closed =
                         [this, node, raw = connection.get(),
                          alive = m_is_alive](const std::string& reason) {
                           if (*alive) {
                             OnClosed(node, raw, reason);
                           }
                         }});
  connection->Send(HelloMessage{.m_node = m_options.m_local_node,
                                .m_incarnation = m_options.m_incarnation});
  const std::vector<Message> pending =
      std::exchange(link.m_pending_messages, {});
  for (const Message& message : pending) {
    connection->Send(message);
  }
}

void PeerLinks::OnMessage(NodeId node, Message message) {
  const auto it = m_links.find(node);
  if (it != m_links.end()) {
    it->second.m_last_used = Now();
    if (const auto replied = FindFinalReply(message)) {
      it->second.m_open_requests.erase(*replied);
    }
  }
  m_handlers.m_on_message(node, std::move(message));
}

void PeerLinks::OnClosed(NodeId node,
                         const PeerConnection* connection,
                         const std::string& reason) {
  const auto it = m_links.find(node);
  // Connections that were closed as idle are already erased.
  if (it == m_links.end() || it->second.m_connection.get() != connection) {
    return;
  }
  m_links.erase(it);
  m_handlers.m_on_lost(node, reason);
}

void PeerLinks::OnConnectFailed(NodeId node) {
  const std::vector<Message> pending =
      std::move(m_links[node].m_pending_messages);
  m_links.erase(node);
  m_handlers.m_on_connect_failed(node, pending);
}

}  // namespace sequoiastage
