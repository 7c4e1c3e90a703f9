#ifndef SEQUOIASTAGE_HTTP_HTTP_CLIENT_H_
#define SEQUOIASTAGE_HTTP_HTTP_CLIENT_H_

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "sequoiastage/base/http_message.h"
#include "sequoiastage/base/ids.h"
#include "sequoiastage/base/time.h"
#include "sequoiastage/http/body_budget.h"

/// HTTP/1.1 client on one io_context, run by one thread. It never sends a
/// request twice unless `m_is_idempotent` is set.
namespace sequoiastage {

struct HttpCallOptions {
  Endpoint m_server;
  /// Timeout of the whole call, connect included.
  Duration m_timeout = std::chrono::seconds(30);
  /// Unless 0, this is the timeout of the whole call, and m_timeout, in whole
  /// seconds and at least 2, that of a response of which nothing arrives.
  Duration m_max_duration{};
  /// Timeout of the connect.
  Duration m_connect_timeout = std::chrono::seconds(1);
  /// A response with a larger body fails with kIncomplete.
  size_t m_max_body_bytes = size_t{8} << 20;
  /// Allows the use of a kept-alive connection. libcurl resends a request when
  /// such a connection turns out to be closed, so a request that is not
  /// idempotent always gets a new connection.
  bool m_is_idempotent = false;
};

enum class HttpCallError : uint8_t {
  kNone,
  /// No connection; no byte of the request was sent.
  kConnectFailed,
  kTimeout,
  /// The response was truncated, malformed or too large, or has neither
  /// Content-Length nor Transfer-Encoding, so that truncation can't be
  /// detected.
  kIncomplete,
  /// Any other failure; the request may have been sent.
  kFailed,
};

struct HttpCallResult {
  HttpCallError m_error = HttpCallError::kNone;
  /// Error text; empty when m_error is kNone.
  std::string m_reason;
  /// Complete response when m_error is kNone.
  HttpResponse m_response;
};

class HttpClient {
 public:
  using CallId = uint64_t;
  using Callback = std::function<void(HttpCallResult)>;

  /// `budget` applies to the bodies of all calls together; without one, the
  /// client has one of its own.
  explicit HttpClient(asio::io_context& io,
                      std::shared_ptr<BodyBudget> budget = nullptr);
  ~HttpClient();

  /// Starts a call; `callback` runs on the io_context's thread, never inside
  /// Start().
  CallId Start(const HttpCallOptions& options,
               HttpRequest request,
               Callback callback);

  /// Aborts a call and closes its connection; its callback never runs. Does
  /// nothing for a call that has completed.
  void Cancel(CallId call);

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_HTTP_HTTP_CLIENT_H_
