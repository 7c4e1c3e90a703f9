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

/// HTTP/1.1 client on one io_context that one thread runs. It never sends a
/// request twice by itself unless `m_is_idempotent` allows it.
namespace sequoiastage {

struct HttpCallOptions {
  Endpoint m_server;
  /// Time for the whole call.
  Duration m_timeout = std::chrono::seconds(30);
  /// Time to open a connection.
  Duration m_connect_timeout = std::chrono::seconds(1);
  /// Answers with a larger body fail as kIncomplete.
  size_t m_max_body_bytes = size_t{8} << 20;
  /// The HTTP library sends a request again when a connection that it kept
  /// alive turns out closed. So other than idempotent requests always get a
  /// new connection.
  bool m_is_idempotent = false;
};

enum class HttpCallError : uint8_t {
  kNone,
  /// No connection; no byte of the request was sent.
  kConnectFailed,
  kTimeout,
  /// The answer ended before its end, or its end can't be told.
  kIncomplete,
  /// Any other failure after the request may have been sent.
  kFailed,
};

struct HttpCallResult {
  HttpCallError m_error = HttpCallError::kNone;
  /// Text of the error.
  std::string m_reason;
  /// Whole answer when m_error is kNone.
  HttpResponse m_answer;
};

class HttpClient {
 public:
  using CallId = uint64_t;
  using Callback = std::function<void(HttpCallResult)>;

  explicit HttpClient(asio::io_context& io);
  ~HttpClient();

  /// Starts a call; `callback` runs on the io_context's thread, never inside
  /// Start().
  CallId Start(const HttpCallOptions& options,
               HttpRequest request,
               Callback callback);

  /// Ends a call at once by closing its connection; its callback never runs.
  void Cancel(CallId call);

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_HTTP_HTTP_CLIENT_H_
