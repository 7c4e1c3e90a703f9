#include "sequoiastage/http/exchange_connection.h"

#include <fmt/format.h>

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <charconv>
#include <string_view>
#include <utility>

#include "sequoiastage/base/boot_clock.h"
#include "sequoiastage/http/tcp_socket.h"

namespace sequoiastage {

namespace {

constexpr uint16_t kFirstFinalStatus = 200;
// Share of the server's idle timeout that is used; the rest covers the network
// delay to the server.
constexpr double kIdleShare = 0.6;

// Interim responses and responses to other requests that are skipped before the
// response. A server that sends them without end would occupy the thread.
constexpr uint32_t kMaxSkippedResponses = 16;

bool IsHopByHopField(std::string_view name) {
  constexpr std::string_view kNames[] = {
      "connection",       "keep-alive",    "te",
      "trailer",          "upgrade",       "transfer-encoding",
      "proxy-connection", "content-length"};
  return std::any_of(
      std::begin(kNames), std::end(kNames),
      [name](std::string_view hop) { return EqualsIgnoringCase(name, hop); });
}

// Whether the comma-separated list contains `name`.
bool ListContains(std::string_view list, std::string_view name) {
  while (!list.empty()) {
    const size_t comma = list.find(',');
    std::string_view item = list.substr(0, comma);
    while (!item.empty() && item.front() == ' ') {
      item.remove_prefix(1);
    }
    while (!item.empty() && item.back() == ' ') {
      item.remove_suffix(1);
    }
    if (EqualsIgnoringCase(item, name)) {
      return true;
    }
    list = comma == std::string_view::npos ? "" : list.substr(comma + 1);
  }
  return false;
}

bool HasBodyByDefault(std::string_view method) {
  return method == "POST" || method == "PUT" || method == "PATCH";
}

// Idle time allowed by the server's Keep-Alive field, at most `max_idle`.
Duration IdleLimit(const HttpResponse& response, Duration max_idle) {
  const std::string* field = FindField(response.m_fields, "keep-alive");
  const size_t at =
      field == nullptr ? std::string::npos : field->find("timeout=");
  if (at == std::string::npos) {
    return max_idle;
  }
  int64_t seconds = 0;
  const char* begin = field->data() + at + std::string_view("timeout=").size();
  std::from_chars(begin, field->data() + field->size(), seconds);
  return std::min(
      max_idle,
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
          static_cast<double>(seconds) * kIdleShare)));
}

}  // namespace

std::string SerializeRequest(const HttpRequest& request) {
  std::string bytes =
      fmt::format("{} {} HTTP/1.1\r\n", request.m_method, request.m_target);
  for (const HttpField& field : request.m_fields) {
    bytes.append(field.m_name)
        .append(": ")
        .append(field.m_value)
        .append("\r\n");
  }
  if (!request.m_body.empty() || HasBodyByDefault(request.m_method)) {
    bytes += fmt::format("Content-Length: {}\r\n", request.m_body.size());
  }
  return bytes.append("\r\n").append(request.m_body);
}

void RemoveHopByHopFields(std::vector<HttpField>& fields) {
  std::string named;
  for (const HttpField& field : fields) {
    if (EqualsIgnoringCase(field.m_name, "connection")) {
      named.append(field.m_value).append(",");
    }
  }
  std::erase_if(fields, [&named](const HttpField& field) {
    return IsHopByHopField(field.m_name) || ListContains(named, field.m_name);
  });
}

ExchangeConnection::ExchangeConnection(asio::io_context& io,
                                       const Endpoint& server,
                                       const ExchangeOptions& options)
    : m_socket(io),
      m_timer(io),
      m_server(server),
      m_options(options),
      m_parser(options.m_limits),
      m_body_share(options.m_budget),
      m_counted_request(options.m_byte_budget, HeldKind::kInstanceRequests),
      m_counted_response(options.m_byte_budget, HeldKind::kInstanceResponses) {}

void ExchangeConnection::Send(const HttpRequest& request,
                              Duration timeout,
                              Filter filter,
                              Handler handler) {
  m_output = SerializeRequest(request);
  m_counted_request.Set(m_output.size());
  m_is_head = request.m_method == "HEAD";
  m_filter = std::move(filter);
  m_handler = std::move(handler);
  m_skipped_responses = 0;
  if (m_is_head) {
    m_parser.ExpectNoBody();
  }
  m_was_reused = m_is_open;
  m_started_at = BootNow();
  m_timeout = timeout;
  m_last_received_at.reset();
  StartTimer(m_is_open ? timeout
                       : std::min(timeout, m_options.m_connect_timeout));
  if (m_is_open) {
    Write();
    return;
  }
  m_socket.async_connect(
      asio::ip::tcp::endpoint(asio::ip::address_v4(m_server.m_ip),
                              m_server.m_port),
      [self = shared_from_this(), timeout](const asio::error_code& error) {
        if (!self->m_handler) {
          return;
        }
        if (error) {
          self->Finish(ExchangeOutcome::kConnectFailed, error.message());
          return;
        }
        self->OnConnected();
        self->StartTimer(timeout);
        self->Write();
        self->Read();
      });
}

void ExchangeConnection::Connect(Duration timeout, ConnectHandler handler) {
  m_connect_handler = std::move(handler);
  m_timer.expires_after(timeout);
  m_timer.async_wait([self = shared_from_this(), number = ++m_timer_number](
                         const asio::error_code& error) {
    if (!error && number == self->m_timer_number) {
      self->FinishConnect(ConnectOutcome::kFailed);
    }
  });
  m_socket.async_connect(
      asio::ip::tcp::endpoint(asio::ip::address_v4(m_server.m_ip),
                              m_server.m_port),
      [self = shared_from_this()](const asio::error_code& error) {
        if (error) {
          self->FinishConnect(error == asio::error::connection_refused
                                  ? ConnectOutcome::kRefused
                                  : ConnectOutcome::kFailed);
        } else if (self->m_connect_handler) {
          self->OnConnected();
          self->m_idle_until = BootNow() + self->m_options.m_max_idle;
          self->Read();
          self->FinishConnect(ConnectOutcome::kConnected);
        }
      });
}

void ExchangeConnection::FinishConnect(ConnectOutcome outcome) {
  ConnectHandler handler = std::exchange(m_connect_handler, {});
  if (!handler) {
    return;
  }
  if (outcome == ConnectOutcome::kConnected) {
    StopTimer();
  } else {
    Close();
  }
  handler(outcome);
}

void ExchangeConnection::OnConnected() {
  m_is_open = true;
  TuneSocket(m_socket, m_options.m_user_timeout);
}

void ExchangeConnection::StartTimer(Duration timeout) {
  m_timer.expires_after(timeout);
  // cancel() does not stop a handler that is already queued; the number does.
  m_timer.async_wait([self = shared_from_this(), number = ++m_timer_number](
                         const asio::error_code& error) {
    if (error || number != self->m_timer_number) {
      return;
    }
    if (self->m_is_open) {
      self->Finish(ExchangeOutcome::kTimeout, "no answer in time");
    } else {
      self->Finish(ExchangeOutcome::kConnectFailed, "connect timed out");
    }
  });
}

void ExchangeConnection::StopTimer() {
  ++m_timer_number;
  m_timer.cancel();
}

void ExchangeConnection::Write() {
  m_is_writing = true;
  asio::async_write(
      m_socket, asio::buffer(m_output),
      [self = shared_from_this()](const asio::error_code& error, size_t) {
        // Frees the memory of a large request.
        self->m_output = {};
        self->m_counted_request.Set(0);
        self->m_is_writing = false;
        // A response may have arrived already; the read reports its end.
        self->m_write_error = error;
        if (self->m_is_at_eof) {
          self->OnEof();
        }
      });
}

void ExchangeConnection::Read() {
  m_socket.async_read_some(
      asio::buffer(m_chunk),
      [self = shared_from_this()](const asio::error_code& error, size_t count) {
        if (self->m_is_closed) {
          return;
        }
        if (!error) {
          try {
            self->OnBytes(std::string_view(self->m_chunk.data(), count));
          } catch (const std::exception&) {
            // Bytes that follow the response have not been checked.
            RethrowLater(self->m_socket.get_executor());
            self->Close();
          }
          if (!self->m_is_closed) {
            self->Read();
          }
          return;
        }
        if (self->m_handler && error == asio::error::eof) {
          self->m_is_at_eof = true;
          if (self->m_is_writing) {
            self->StopWriting();
          } else {
            self->OnEof();
          }
          return;
        }
        self->Finish(ExchangeOutcome::kBroken, error.message());
      });
}

void ExchangeConnection::StopWriting() {
  asio::error_code ignored;
  m_socket.cancel(ignored);
  // Between two parts of the request, there is nothing to cancel.
  m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

void ExchangeConnection::OnEof() {
  if (m_is_closed) {
    return;
  }
  // A socket reports a reset once. When the write has received it, the read
  // reports the end of the stream, as after an orderly close. EPIPE means that
  // the server closed the connection before it was reset.
  const bool is_reset = m_write_error &&
                        m_write_error != asio::error::operation_aborted &&
                        m_write_error != asio::error::broken_pipe;
  if (is_reset) {
    Finish(ExchangeOutcome::kBroken, m_write_error.message());
    return;
  }
  m_parser.OnEof();
  if (m_parser.State() == ParseState::kComplete) {
    m_is_closed = true;
    OnResponse();
    return;
  }
  Finish(ExchangeOutcome::kBroken, "closed before the end of the answer");
}

void ExchangeConnection::OnBytes(std::string_view bytes) {
  if (!m_handler) {
    Close();  // Bytes without a request.
    return;
  }
  const TimePoint now = BootNow();
  m_last_received_at = now;
  if (now - m_started_at < m_options.m_max_duration) {
    StartTimer(m_timeout);
  }
  while (!bytes.empty() && m_handler) {
    bytes.remove_prefix(m_parser.Feed(bytes));
    if (m_parser.State() == ParseState::kFailed) {
      Finish(ExchangeOutcome::kBroken, "answer can't be read");
      return;
    }
    if (!CountBody(m_parser.BodyBytes())) {
      Finish(ExchangeOutcome::kBroken, "responses exceed the memory limit");
      return;
    }
    if (m_parser.State() != ParseState::kComplete) {
      continue;
    }
    if (!bytes.empty() && m_parser.Status() >= kFirstFinalStatus) {
      m_idle_until = TimePoint{};
      OnResponse();
      if (!m_handler) {
        Close();  // Bytes follow the response.
      }
      continue;
    }
    OnResponse();
  }
}

void ExchangeConnection::OnResponse() {
  const bool keeps_alive = m_parser.KeepsAlive();
  HttpResponse response = m_parser.TakeResponse();
  CountBody(0);
  if (m_is_head) {
    m_parser.ExpectNoBody();
  }
  if (response.m_status < kFirstFinalStatus) {
    SkipResponse();
    return;
  }
  if (m_filter && !m_filter(response)) {
    if (m_is_closed || !keeps_alive) {
      Finish(ExchangeOutcome::kBroken, "connection closed without an answer");
      return;
    }
    SkipResponse();
    return;
  }
  const Duration idle = IdleLimit(response, m_options.m_max_idle);
  // After a response that arrived before the whole request was sent, the server
  // still reads the rest of the request.
  const bool is_written = !m_is_writing && !m_write_error;
  if (!keeps_alive || !is_written || m_is_closed || idle <= Duration{}) {
    Finish(ExchangeOutcome::kAnswered, {}, std::move(response));
    return;
  }
  m_idle_until = BootNow() + idle;
  StopTimer();
  ExchangeResult result{.m_outcome = ExchangeOutcome::kAnswered,
                        .m_response = std::move(response),
                        .m_was_reused = m_was_reused};
  std::exchange(m_handler, {})(std::move(result));
}

void ExchangeConnection::SkipResponse() {
  if (++m_skipped_responses > kMaxSkippedResponses) {
    Finish(ExchangeOutcome::kBroken, "too many responses to other requests");
  }
}

bool ExchangeConnection::CountBody(size_t bytes) {
  m_counted_response.Set(bytes);
  return m_body_share.Set(bytes);
}

void ExchangeConnection::Finish(ExchangeOutcome outcome,
                                std::string reason,
                                HttpResponse response) {
  Close();
  if (Handler handler = std::exchange(m_handler, {})) {
    handler({.m_outcome = outcome,
             .m_response = std::move(response),
             .m_reason = std::move(reason),
             .m_was_reused = m_was_reused});
  }
}

void ExchangeConnection::Abort() {
  m_handler = {};
  m_connect_handler = {};
  Close();
}

void ExchangeConnection::Close() {
  m_is_closed = true;
  m_counted_request.Set(0);
  m_parser.TakeResponse();  // Frees the memory of an incomplete response.
  CountBody(0);
  StopTimer();
  asio::error_code ignored;
  m_socket.close(ignored);
}

bool ExchangeConnection::IsReusable(TimePoint now) const {
  return m_is_open && !m_is_closed && !m_handler && now < m_idle_until;
}

}  // namespace sequoiastage
