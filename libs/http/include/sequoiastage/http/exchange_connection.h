#ifndef SEQUOIASTAGE_HTTP_EXCHANGE_CONNECTION_H_
#define SEQUOIASTAGE_HTTP_EXCHANGE_CONNECTION_H_

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

#include "sequoiastage/base/http_message.h"
#include "sequoiastage/base/ids.h"
#include "sequoiastage/base/time.h"
#include "sequoiastage/http/message_parser.h"

namespace sequoiastage {

enum class ExchangeEnd : uint8_t {
  /// A whole answer.
  kAnswered,
  /// No connection: no byte of the request was sent.
  kConnectFailed,
  /// Reset, closed, cut or spoiled; the request may have been executed.
  kBroken,
  /// Nothing whole came in time; the request may have been executed.
  kTimeout,
};

struct ExchangeResult {
  ExchangeEnd m_end = ExchangeEnd::kBroken;
  /// Set when answered.
  HttpResponse m_answer{};
  /// Set otherwise.
  std::string m_reason{};
  /// The connection had carried an exchange before.
  bool m_was_reused = false;
};

struct ExchangeOptions {
  MessageLimits m_limits{};
  /// A server on the same host or in the same data centre answers far sooner.
  Duration m_connect_timeout = std::chrono::seconds(1);
  /// Unacknowledged bytes end the connection after this (TCP_USER_TIMEOUT).
  Duration m_user_timeout = std::chrono::seconds(3);
  /// An idle connection is not used again after this, unless the server's
  /// Keep-Alive field says less.
  Duration m_max_idle = std::chrono::seconds(6);
};

/// One client connection, one exchange at a time. Unlike HttpClient it tells
/// whether a byte was sent, drops answers to other requests, and keeps a
/// connection only when exactly the answer's bytes came. All calls and handlers
/// on the thread of its io_context.
class ExchangeConnection
    : public std::enable_shared_from_this<ExchangeConnection> {
 public:
  using Handler = std::function<void(ExchangeResult)>;
  /// False for an answer that belongs to another request; it is dropped.
  using Filter = std::function<bool(const HttpResponse&)>;

  ExchangeConnection(asio::io_context& io,
                     const Endpoint& server,
                     const ExchangeOptions& options);

  /// Sends `request` as its fields stand, with a length if it has a body.
  /// `handler` runs once, unless Abort() comes first.
  void Send(const HttpRequest& request,
            Duration timeout,
            Filter filter,
            Handler handler);

  /// Ends the exchange without calling its handler and closes the connection.
  void Abort();

  /// Open, not in use, nothing unread, and not idle for too long.
  bool IsReusable(TimePoint now) const;

 private:
  void StartTimer(Duration timeout);
  void StopTimer();
  void Write();
  void Read();
  void OnBytes(std::string_view bytes);
  void OnAnswer();
  void Finish(ExchangeEnd end, std::string reason, HttpResponse answer = {});
  void Close();

  asio::ip::tcp::socket m_socket;
  asio::steady_timer m_timer;
  Endpoint m_server;
  ExchangeOptions m_options;
  AnswerParser m_parser;
  std::array<char, size_t{16} << 10> m_chunk{};
  std::string m_output;
  Filter m_filter;
  Handler m_handler;
  bool m_is_head = false;
  bool m_is_open = false;
  bool m_is_closed = false;
  bool m_is_written = false;
  bool m_was_reused = false;
  uint64_t m_timer_number = 0;
  TimePoint m_idle_until{};
};

/// Removes the fields that concern one connection only (RFC 9110, 7.6.1):
/// Connection, what it names, Keep-Alive, TE, Trailer,
/// Transfer-Encoding, Upgrade, Proxy-* and Content-Length.
void RemoveHopFields(std::vector<HttpField>& fields);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_HTTP_EXCHANGE_CONNECTION_H_
