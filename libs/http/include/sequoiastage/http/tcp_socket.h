#ifndef SEQUOIASTAGE_HTTP_TCP_SOCKET_H_
#define SEQUOIASTAGE_HTTP_TCP_SOCKET_H_

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>

#include "sequoiastage/base/ids.h"
#include "sequoiastage/base/time.h"

namespace sequoiastage {

/// Accepts connections at one address. All calls and handlers on the thread of
/// the io_context; no handler runs after the listener's end.
class TcpListener {
 public:
  using Handler = std::function<void(asio::ip::tcp::socket)>;

  explicit TcpListener(asio::io_context& io);
  TcpListener(const TcpListener&) = delete;
  TcpListener& operator=(const TcpListener&) = delete;
  ~TcpListener();

  /// Binds and listens. False with LastReason() when the address can't be had.
  bool Start(const Endpoint& listen, Handler on_accepted);
  const std::string& LastReason() const { return m_last_reason; }

  /// Hands over what waits to be accepted. Closing the listener would reset it,
  /// with the bytes that were sent there already.
  void TakePending();

  /// Accepts nothing new. A connection whose handler is due still gets there.
  void Stop();

 private:
  struct State;

  static void Accept(const std::shared_ptr<State>& state);

  std::shared_ptr<State> m_state;
  std::string m_last_reason;
};

/// Sets TCP_USER_TIMEOUT and TCP_NODELAY. Failures only cost time, so they are
/// left to the time-outs of whoever uses the socket.
void TuneSocket(asio::ip::tcp::socket& socket, Duration user_timeout);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_HTTP_TCP_SOCKET_H_
