#include "sequoiastage/http/stream_server.h"

#include <utility>
#include <vector>

#include "stream_connection_p.h"

namespace sequoiastage {

namespace {

// A caller that has taken nothing for this long has stopped reading.
constexpr Duration kReaderGrace = std::chrono::milliseconds(500);

}  // namespace

void StreamServer::Shared::CloseUnread(const std::shared_ptr<Shared>& self) {
  const ByteBudget& budget = *self->m_budget;
  while (budget.IsShort()) {
    const auto stalest = self->m_ledger.StalestReader();
    if (!stalest) {
      return;
    }
    const Duration stale = BootNow() - self->m_ledger.TakenAt(*stalest);
    if (stale < kReaderGrace && budget.AdmitsNextStep(0)) {
      CloseUnreadAfter(self, kReaderGrace - stale);
      return;
    }
    self->m_connections.at(*stalest)->Close();
  }
}

void StreamServer::Shared::CloseUnreadAfter(const std::shared_ptr<Shared>& self,
                                            Duration delay) {
  self->m_unread_timer.expires_after(delay);
  self->m_unread_timer.async_wait(
      [weak = std::weak_ptr(self)](const asio::error_code& error) {
        if (const auto shared = weak.lock(); !error && shared) {
          shared->m_is_closing_unread = false;
          CloseUnread(shared);
        }
      });
}

bool StreamServer::Shared::MakeRoomForConnection() {
  if (m_limits.m_max_connections == 0 ||
      m_connections.size() < m_limits.m_max_connections) {
    return true;
  }
  const auto idle = m_ledger.LongestWithoutRequest();
  const auto closed = idle ? idle : m_ledger.StalestReader();
  if (closed) {
    m_connections.at(*closed)->Close();
  }
  return closed.has_value();
}

StreamServer::StreamServer(asio::io_context& io, Handler handler)
    : m_listener(io), m_shared(std::make_shared<Shared>(io)) {
  m_shared->m_handler = std::move(handler);
}

StreamServer::~StreamServer() {
  Stop();
  if (m_shared->m_budget) {
    m_shared->m_budget->SetOnShort({});
  }
  for (const auto& connection : Connections()) {
    connection->Close();
  }
}

bool StreamServer::Start(const Endpoint& listen) {
  return m_listener.Start(listen, [this](asio::ip::tcp::socket socket) {
    AddConnection(std::move(socket));
  });
}

void StreamServer::AddConnection(asio::ip::tcp::socket socket) {
  if (!m_shared->MakeRoomForConnection()) {
    return;
  }
  const ConnectionNumber number(++m_shared->m_last_connection);
  auto connection =
      std::make_shared<Connection>(std::move(socket), number, m_shared);
  m_shared->m_connections.emplace(number, connection);
  m_shared->m_ledger.Add(number, BootNow());
  connection->Start();
}

void StreamServer::SetLimits(const StreamLimits& limits) {
  m_shared->m_limits = limits;
}

void StreamServer::SetBudget(std::shared_ptr<ByteBudget> budget) {
  m_shared->m_budget = std::move(budget);
  // Not at once: the caller may be in the midst of handling a connection.
  m_shared->m_budget->SetOnShort([weak = std::weak_ptr(m_shared)] {
    const auto shared = weak.lock();
    if (shared && !std::exchange(shared->m_is_closing_unread, true)) {
      Shared::CloseUnreadAfter(shared, {});
    }
  });
}

void StreamServer::SetErrorResponseBuilder(ErrorResponseBuilder builder) {
  m_shared->m_build_error_response = std::move(builder);
}

void StreamServer::StartDrain() {
  m_shared->m_is_draining = true;
}

void StreamServer::Stop() {
  m_listener.AcceptPending();
  m_listener.Stop();
  StartDrain();
  for (const auto& connection : Connections()) {
    connection->CloseIfIdle();
  }
}

std::vector<std::shared_ptr<StreamServer::Connection>>
StreamServer::Connections() const {
  std::vector<std::shared_ptr<Connection>> connections;
  for (const auto& [number, connection] : m_shared->m_connections) {
    connections.push_back(connection);
  }
  return connections;
}

size_t StreamServer::HeldBytes() const {
  return m_shared->m_held_bytes;
}

size_t StreamServer::ConnectionCount() const {
  return m_shared->m_connections.size();
}

}  // namespace sequoiastage
