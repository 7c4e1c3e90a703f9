#ifndef SEQUOIASTAGE_HTTP_STREAM_SERVER_H_
#define SEQUOIASTAGE_HTTP_STREAM_SERVER_H_

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "sequoiastage/base/byte_budget.h"
#include "sequoiastage/base/http_message.h"
#include "sequoiastage/base/ids.h"
#include "sequoiastage/base/time.h"
#include "sequoiastage/http/message_parser.h"
#include "sequoiastage/http/tcp_socket.h"

namespace sequoiastage {

struct StreamLimits {
  MessageLimits m_message{};
  /// Timeout from the first byte of a request to the end of its header, and
  /// again for its body.
  Duration m_header_timeout = std::chrono::seconds(3);
  /// A connection without requests is closed after this time.
  Duration m_idle_timeout = std::chrono::seconds(15);
  /// Limit on the request bodies buffered over all connections, from reading to
  /// the response. A body that exceeds it is rejected with 503. Further copies
  /// inside the node take up to three times as much again.
  size_t m_max_held_bytes = size_t{24} << 20;
  /// Apply the byte budget of the server instead of m_max_held_bytes. A large
  /// body is read once the budget has room for the whole of it; after
  /// m_max_room_wait without room it is rejected with 503. While responses
  /// exceed the budget, all requests are.
  bool m_applies_budget = false;
  Duration m_max_room_wait = std::chrono::milliseconds(500);
  /// Concurrent requests of one connection; further ones are left unread.
  size_t m_max_pipelined = 32;
  /// A connection whose caller reads nothing of a response for this long is
  /// closed.
  Duration m_unread_timeout = std::chrono::seconds(10);
  /// Connections at a time; 0: not limited. At the limit, the one that has had
  /// no request in progress for longest is closed.
  size_t m_max_connections = 0;
};

/// Sends the response to one request. Call at most once, at any time.
using StreamResponder = std::function<void(HttpResponse)>;

/// Builds the response to a request that is rejected before it is complete.
using ErrorResponseBuilder = std::function<HttpResponse(uint16_t status)>;

/// Called when the caller disconnects before its response. Can be empty.
using CancelHook = std::function<void()>;

/// HTTP/1.1 server on one thread. Unlike HttpServer it handles pipelined
/// requests concurrently (responses are sent in order), reports when a caller
/// disconnects, and limits the time to read a header. All calls and handlers
/// run on the thread of the io_context.
class StreamServer {
 public:
  using Handler = std::function<CancelHook(HttpRequest, StreamResponder)>;

  StreamServer(asio::io_context& io, Handler handler);
  StreamServer(const StreamServer&) = delete;
  StreamServer& operator=(const StreamServer&) = delete;
  ~StreamServer();

  /// Binds and listens. Returns false and sets LastReason() on failure.
  bool Start(const Endpoint& listen);

  /// Applies to later connections and requests.
  void SetLimits(const StreamLimits& limits);

  /// Counts request bodies, and responses until their callers have read them.
  /// While the budget is short, connections are closed whose callers don't read
  /// their responses. Applies to later connections.
  void SetBudget(std::shared_ptr<ByteBudget> budget);

  /// Without a builder such responses have no body.
  void SetErrorResponseBuilder(ErrorResponseBuilder builder);

  /// Closes each connection after its pending responses or, without any, after
  /// its next response.
  void StartDrain();

  /// Stops listening, closes idle connections, and closes the others after
  /// their responses.
  void Stop();

  size_t ConnectionCount() const;
  /// Bytes of request bodies buffered, as limited by m_max_held_bytes.
  size_t HeldBytes() const;
  const std::string& LastReason() const { return m_listener.LastReason(); }

 private:
  class Connection;
  struct Shared;

  void AddConnection(asio::ip::tcp::socket socket);
  std::vector<std::shared_ptr<Connection>> Connections() const;

  TcpListener m_listener;
  std::shared_ptr<Shared> m_shared;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_HTTP_STREAM_SERVER_H_
