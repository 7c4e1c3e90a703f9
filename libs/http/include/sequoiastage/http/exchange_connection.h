#ifndef SEQUOIASTAGE_HTTP_EXCHANGE_CONNECTION_H_
#define SEQUOIASTAGE_HTTP_EXCHANGE_CONNECTION_H_

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "sequoiastage/base/byte_budget.h"
#include "sequoiastage/base/http_message.h"
#include "sequoiastage/base/ids.h"
#include "sequoiastage/base/time.h"
#include "sequoiastage/http/body_budget.h"
#include "sequoiastage/http/message_parser.h"

namespace sequoiastage {

enum class ExchangeOutcome : uint8_t {
  /// A complete response.
  kAnswered,
  /// No connection; no byte of the request was sent.
  kConnectFailed,
  /// Reset, closed early, or malformed response; the request may have been
  /// executed.
  kBroken,
  /// No complete response within the timeout; the request may have been
  /// executed.
  kTimeout,
};

enum class ConnectOutcome : uint8_t {
  kConnected,
  /// Nothing listens at the server's address.
  kRefused,
  /// Timed out or failed for another reason.
  kFailed,
};

struct ExchangeResult {
  ExchangeOutcome m_outcome = ExchangeOutcome::kBroken;
  /// Set for kAnswered.
  HttpResponse m_response{};
  /// Error text; empty for kAnswered.
  std::string m_reason{};
  /// Whether the connection had carried an earlier exchange.
  bool m_was_reused = false;
};

struct ExchangeOptions {
  MessageLimits m_limits{};
  /// Shared by connections of one thread; null: only m_limits applies.
  std::shared_ptr<BodyBudget> m_budget;
  /// Counts requests until they are written, and responses being read; may be
  /// null.
  std::shared_ptr<ByteBudget> m_byte_budget;
  /// A server on the same host or in the same data center accepts far sooner.
  Duration m_connect_timeout = std::chrono::seconds(1);
  /// Sent data unacknowledged for this long closes the connection
  /// (TCP_USER_TIMEOUT).
  Duration m_user_timeout = std::chrono::seconds(3);
  /// Each part of the response that arrives starts the timeout of the exchange
  /// anew, up to this time after its start; 0: the timeout is for the whole.
  Duration m_max_duration{};
  /// Maximum idle time before reuse; a shorter limit in the server's Keep-Alive
  /// field takes precedence.
  Duration m_max_idle = std::chrono::seconds(6);
};

/// One client connection, one exchange at a time. Unlike HttpClient it reports
/// whether a byte of the request was sent, drops responses to other requests,
/// and keeps a connection only when no bytes follow the response. All calls and
/// handlers run on the thread of its io_context.
class ExchangeConnection
    : public std::enable_shared_from_this<ExchangeConnection> {
 public:
  using Handler = std::function<void(ExchangeResult)>;
  using ConnectHandler = std::function<void(ConnectOutcome)>;
  /// Returns false for a response to another request, which is then dropped.
  using Filter = std::function<bool(const HttpResponse&)>;

  ExchangeConnection(asio::io_context& io,
                     const Endpoint& server,
                     const ExchangeOptions& options);
  ExchangeConnection(const ExchangeConnection&) = delete;
  ExchangeConnection& operator=(const ExchangeConnection&) = delete;
  ~ExchangeConnection() = default;

  /// Sends `request` with its fields unchanged, plus Content-Length if it has a
  /// body or its method is POST, PUT or PATCH. `timeout` applies to the
  /// exchange after the connect. `handler` runs once, unless Abort() is called
  /// first.
  void Send(const HttpRequest& request,
            Duration timeout,
            Filter filter,
            Handler handler);

  /// Opens the connection without a request, so that it can be used later.
  /// `handler` runs once, unless Abort() is called first.
  void Connect(Duration timeout, ConnectHandler handler);

  /// Closes the connection without calling the handler of a running exchange.
  void Abort();

  /// When bytes last arrived during the exchange in progress; empty before the
  /// first, or when there is none.
  std::optional<TimePoint> LastReceivedAt() const {
    return m_handler ? m_last_received_at : std::nullopt;
  }

  /// Whether the connection is open, has no exchange in progress and no unread
  /// bytes, and has not been idle for too long.
  bool IsReusable(TimePoint now) const;

 private:
  void OnConnected();
  void FinishConnect(ConnectOutcome outcome);
  void StartTimer(Duration timeout);
  void StopTimer();
  void Write();
  void Read();
  // Ends the write, so that its result tells how the connection ended.
  void StopWriting();
  // The server has ended the connection, and no write is in progress.
  void OnEof();
  void OnBytes(std::string_view bytes);
  void OnResponse();
  // Ends the exchange when the server sends too many responses that do not
  // belong to the request.
  void SkipResponse();
  // Counts the body read so far. Returns false when the budget is exceeded.
  bool CountBody(size_t bytes);
  void Finish(ExchangeOutcome outcome,
              std::string reason,
              HttpResponse response = {});
  void Close();

  asio::ip::tcp::socket m_socket;
  asio::steady_timer m_timer;
  Endpoint m_server;
  ExchangeOptions m_options;
  ResponseParser m_parser;
  std::array<char, size_t{16} << 10> m_chunk{};
  std::string m_output;
  BodyShare m_body_share;
  BudgetShare m_counted_request;
  BudgetShare m_counted_response;
  uint32_t m_skipped_responses = 0;
  Filter m_filter;
  Handler m_handler;
  ConnectHandler m_connect_handler;
  bool m_is_head = false;
  bool m_is_open = false;
  bool m_is_closed = false;
  bool m_is_writing = false;
  bool m_is_at_eof = false;
  // Result of the last write.
  asio::error_code m_write_error;
  bool m_was_reused = false;
  TimePoint m_started_at{};
  Duration m_timeout{};
  std::optional<TimePoint> m_last_received_at;
  uint64_t m_timer_number = 0;
  TimePoint m_idle_until{};
};

/// Returns the bytes of `request` with its fields unchanged, plus
/// Content-Length if it has a body or its method is POST, PUT or PATCH.
std::string SerializeRequest(const HttpRequest& request);

/// Removes the hop-by-hop fields (RFC 9110, 7.6.1): Connection, the fields it
/// lists, Keep-Alive, TE, Trailer, Transfer-Encoding, Upgrade and
/// Proxy-Connection; also Content-Length.
void RemoveHopByHopFields(std::vector<HttpField>& fields);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_HTTP_EXCHANGE_CONNECTION_H_
