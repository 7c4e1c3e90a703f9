#ifndef SEQUOIASTAGE_HTTP_STREAM_SERVER_H_
#define SEQUOIASTAGE_HTTP_STREAM_SERVER_H_

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

#include "sequoiastage/base/http_message.h"
#include "sequoiastage/base/ids.h"
#include "sequoiastage/base/time.h"
#include "sequoiastage/http/message_parser.h"
#include "sequoiastage/http/tcp_socket.h"

namespace sequoiastage {

struct StreamLimits {
  MessageLimits m_message{};
  /// From the first byte of a request to the end of its header; its body has
  /// this time again.
  Duration m_header_timeout = std::chrono::seconds(3);
  /// A connection without requests is closed after this.
  Duration m_idle_timeout = std::chrono::seconds(15);
  /// Bodies of all connections that are being read or not yet answered. A body
  /// that would exceed it gets 503; copies on their way through the node take
  /// up to three times as much again.
  size_t m_max_held_bytes = size_t{24} << 20;
  /// Requests of one connection that are answered at the same time; more are
  /// left unread.
  size_t m_max_pipelined = 32;
};

/// Answers one request; called at most once, at any later time.
using StreamResponder = std::function<void(HttpResponse)>;

/// Makes the answer to bytes that are no request that can be served.
using StreamRefusal = std::function<HttpResponse(uint16_t status)>;

/// Called when the caller has left before its answer. May be empty.
using CancelHook = std::function<void()>;

/// Serves HTTP/1.1 on one thread. Unlike HttpServer it answers pipelined
/// requests side by side (the answers go out in order), tells when a caller
/// leaves, and bounds the time of a header. All calls and handlers on the
/// thread of the io_context.
class StreamServer {
 public:
  using Handler = std::function<CancelHook(HttpRequest, StreamResponder)>;

  StreamServer(asio::io_context& io, Handler handler);
  StreamServer(const StreamServer&) = delete;
  StreamServer& operator=(const StreamServer&) = delete;
  ~StreamServer();

  /// Listens. False with LastReason() when the address can't be had.
  bool Start(const Endpoint& listen);

  /// For connections and requests from now on.
  void SetLimits(const StreamLimits& limits);

  /// Without it such answers have no body.
  void SetRefusal(StreamRefusal refusal);

  /// Every answer from now on is the last of its connection.
  void StartDrain();

  /// Closes what is idle, and the rest behind its answers.
  void Stop();

  size_t ConnectionCount() const;
  /// Bodies being read or not yet answered.
  size_t HeldBytes() const;
  const std::string& LastReason() const { return m_listener.LastReason(); }

 private:
  class Connection;
  struct Shared;

  void AddConnection(asio::ip::tcp::socket socket);

  TcpListener m_listener;
  std::shared_ptr<Shared> m_shared;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_HTTP_STREAM_SERVER_H_
