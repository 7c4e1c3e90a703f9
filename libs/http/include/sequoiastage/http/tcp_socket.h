#ifndef SEQUOIASTAGE_HTTP_TCP_SOCKET_H_
#define SEQUOIASTAGE_HTTP_TCP_SOCKET_H_

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <exception>
#include <functional>
#include <memory>
#include <string>

#include "sequoiastage/base/ids.h"
#include "sequoiastage/base/time.h"

namespace sequoiastage {

/// Accepts connections at one address. All calls and handlers run on the thread
/// of the io_context; no handler runs after the listener is destroyed.
class TcpListener {
 public:
  using Handler = std::function<void(asio::ip::tcp::socket)>;

  explicit TcpListener(asio::io_context& io);
  TcpListener(const TcpListener&) = delete;
  TcpListener& operator=(const TcpListener&) = delete;
  ~TcpListener();

  /// Binds and listens. Returns false and sets LastReason() on failure.
  bool Start(const Endpoint& listen, Handler on_accepted);
  const std::string& LastReason() const { return m_last_reason; }

  /// Accepts all connections in the backlog. Closing the listener would reset
  /// them and lose the bytes that they already carry.
  void AcceptPending();

  /// Accepts no new connection. A handler that is already queued still runs.
  void Stop();

 private:
  struct State;

  static void Accept(const std::shared_ptr<State>& state);

  std::shared_ptr<State> m_state;
  std::string m_last_reason;
};

/// Sets TCP_USER_TIMEOUT and TCP_NODELAY. Errors are ignored: they only cost
/// time, which the timeouts of the socket's user bound.
void TuneSocket(asio::ip::tcp::socket& socket, Duration user_timeout);

/// Sets TCP_NOTSENT_LOWAT: the kernel takes further data only while it has less
/// than `bytes` unsent. Errors are ignored: without it, later data waits
/// longer.
void LimitUnsentBytes(asio::ip::tcp::socket& socket, int bytes);

/// Throws the exception that is being handled from a handler of its own, so
/// that the event loop reports it and the caller goes on.
template <class Executor>
void RethrowLater(const Executor& executor) {
  asio::post(executor, [exception = std::current_exception()] {
    std::rethrow_exception(exception);
  });
}

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_HTTP_TCP_SOCKET_H_
