#ifndef SEQUOIASTAGE_HTTP_STREAM_SHARED_P_H_
#define SEQUOIASTAGE_HTTP_STREAM_SHARED_P_H_

#include <asio/steady_timer.hpp>
#include <memory>
#include <unordered_map>

#include "connection_ledger_p.h"
#include "sequoiastage/http/stream_server.h"

namespace sequoiastage {

/// What the connections of a server share.
struct StreamServer::Shared {
  explicit Shared(asio::io_context& io) : m_unread_timer(io) {}

  Handler m_handler;
  ErrorResponseBuilder m_build_error_response;
  StreamLimits m_limits;
  std::shared_ptr<ByteBudget> m_budget;
  bool m_is_draining = false;
  // Total over all connections.
  size_t m_held_bytes = 0;
  std::unordered_map<ConnectionNumber, std::shared_ptr<Connection>>
      m_connections;
  ConnectionLedger m_ledger;
  uint64_t m_last_connection = 0;
  // Waits for the next call of CloseUnread().
  asio::steady_timer m_unread_timer;
  bool m_is_closing_unread = false;

  // Closes connections with unread responses until the budget has room: those
  // whose callers have taken nothing for a while, and any of them when more is
  // held than the budget.
  static void CloseUnread(const std::shared_ptr<Shared>& self);
  static void CloseUnreadAfter(const std::shared_ptr<Shared>& self,
                               Duration delay);
  // Makes room for a new connection. Returns false when there is none.
  bool MakeRoomForConnection();
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_HTTP_STREAM_SHARED_P_H_
