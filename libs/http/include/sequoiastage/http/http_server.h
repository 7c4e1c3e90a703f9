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

/// HTTP/1.1 server on one io_context that one thread runs.
namespace sequoiastage {

struct HttpServerOptions {
  Endpoint m_listen;
  /// Requests with a larger body get 413.
  size_t m_max_body_bytes = size_t{2} << 20;
  /// Requests with more header bytes, target included, get 431.
  size_t m_max_header_bytes = size_t{32} << 10;
  /// A connection without a request is closed after this time.
  Duration m_idle_timeout = std::chrono::seconds(60);
};

/// Way to answer one request. Call Send() once, on the server's thread; a
/// responder that is destroyed unused answers 500.
class HttpResponder {
 public:
  class Impl;
  explicit HttpResponder(std::unique_ptr<Impl> impl);
  HttpResponder(HttpResponder&&) noexcept;
  HttpResponder& operator=(HttpResponder&&) noexcept;
  ~HttpResponder();

  /// Sends `answer`; with `close` the connection ends after it. For a HEAD
  /// request the body is left out and a Content-Length field stands as given.
  void Send(HttpResponse answer, bool close = false);

 private:
  std::unique_ptr<Impl> m_impl;
};

/// Takes one whole request. Runs on the server's thread.
using HttpHandler = std::function<void(HttpRequest, HttpResponder)>;

class HttpServer {
 public:
  HttpServer(asio::io_context& io,
             const HttpServerOptions& options,
             HttpHandler handler);
  ~HttpServer();

  /// Binds and listens. False with LastReason() when the address can't be
  /// had.
  bool Start();

  /// Takes no more connections. Those there are stay until they end.
  void Stop();

  const std::string& LastReason() const { return m_last_reason; }

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
  std::string m_last_reason;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_HTTP_HTTP_SERVER_H_
