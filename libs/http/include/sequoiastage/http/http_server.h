#ifndef SEQUOIASTAGE_HTTP_HTTP_SERVER_H_
#define SEQUOIASTAGE_HTTP_HTTP_SERVER_H_

#include <asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "sequoiastage/base/http_message.h"
#include "sequoiastage/base/ids.h"
#include "sequoiastage/base/time.h"

/// HTTP/1.1 server on one io_context, run by one thread.
namespace sequoiastage {

struct HttpServerOptions {
  Endpoint m_listen;
  /// A request with a larger body is rejected with 413.
  size_t m_max_body_bytes = size_t{2} << 20;
  /// A request with more header bytes, target included, is rejected with 431.
  size_t m_max_header_bytes = size_t{32} << 10;
  /// A connection that is idle for this long is closed.
  Duration m_idle_timeout = std::chrono::seconds(60);
};

/// Sends the response to one request. Call Send() once, on the server's thread;
/// destroying an unused responder sends status 500.
class HttpResponder {
 public:
  class Impl;
  explicit HttpResponder(std::unique_ptr<Impl> impl);
  HttpResponder(HttpResponder&&) noexcept;
  HttpResponder& operator=(HttpResponder&&) noexcept;
  ~HttpResponder();

  /// Sends `response`; with `close` the connection is closed after it. For a
  /// HEAD request the body is omitted and the Content-Length field is sent as
  /// given.
  void Send(HttpResponse response, bool close = false);

 private:
  std::unique_ptr<Impl> m_impl;
};

/// Handles one complete request. Runs on the server's thread.
using HttpHandler = std::function<void(HttpRequest, HttpResponder)>;

class HttpServer {
 public:
  HttpServer(asio::io_context& io,
             const HttpServerOptions& options,
             HttpHandler handler);
  ~HttpServer();

  /// Binds and listens. Returns false and sets LastReason() on failure.
  bool Start();

  /// Accepts no more connections. Open connections stay until they end.
  void Stop();

  const std::string& LastReason() const { return m_last_reason; }

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
  std::string m_last_reason;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_HTTP_HTTP_SERVER_H_
