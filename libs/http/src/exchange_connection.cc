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
// Part of the server's idle limit that is used; the rest covers the way there.
constexpr double kIdleShare = 0.6;

bool IsHopField(std::string_view name) {
  constexpr std::string_view kNames[] = {
      "connection",       "keep-alive",    "te",
      "trailer",          "upgrade",       "transfer-encoding",
      "proxy-connection", "content-length"};
  return std::any_of(
      std::begin(kNames), std::end(kNames),
      [name](std::string_view hop) { return EqualsIgnoringCase(name, hop); });
}

// Whether the comma-separated list names `name`.
bool Names(std::string_view list, std::string_view name) {
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

std::string RequestBytes(const HttpRequest& request) {
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

// Idle time that the server's Keep-Alive field allows, or `longest`.
Duration IdleLimit(const HttpResponse& answer, Duration longest) {
  const std::string* field = FindField(answer.m_fields, "keep-alive");
  const size_t at =
      field == nullptr ? std::string::npos : field->find("timeout=");
  if (at == std::string::npos) {
    return longest;
  }
  int64_t seconds = 0;
  const char* begin = field->data() + at + std::string_view("timeout=").size();
  std::from_chars(begin, field->data() + field->size(), seconds);
  return std::min(longest, std::chrono::duration_cast<Duration>(
                               std::chrono::duration<double>(
                                   static_cast<double>(seconds) * kIdleShare)));
}

}  // namespace

void RemoveHopFields(std::vector<HttpField>& fields) {
  std::string named;
  for (const HttpField& field : fields) {
    if (EqualsIgnoringCase(field.m_name, "connection")) {
      named.append(field.m_value).append(",");
    }
  }
  std::erase_if(fields, [&named](const HttpField& field) {
    return IsHopField(field.m_name) || Names(named, field.m_name);
  });
}

ExchangeConnection::ExchangeConnection(asio::io_context& io,
                                       const Endpoint& server,
                                       const ExchangeOptions& options)
    : m_socket(io),
      m_timer(io),
      m_server(server),
      m_options(options),
      m_parser(options.m_limits) {}

void ExchangeConnection::Send(const HttpRequest& request,
                              Duration timeout,
                              Filter filter,
                              Handler handler) {
  m_output = RequestBytes(request);
  m_is_head = request.m_method == "HEAD";
  m_filter = std::move(filter);
  m_handler = std::move(handler);
  m_is_written = false;
  if (m_is_head) {
    m_parser.ExpectNoBody();
  }
  m_was_reused = m_is_open;
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
          self->Finish(ExchangeEnd::kConnectFailed, error.message());
          return;
        }
        self->m_is_open = true;
        TuneSocket(self->m_socket, self->m_options.m_user_timeout);
        self->StartTimer(timeout);
        self->Write();
        self->Read();
      });
}

void ExchangeConnection::StartTimer(Duration timeout) {
  m_timer.expires_after(timeout);
  // A handler that is queued already can't be cancelled, hence the number.
  m_timer.async_wait([self = shared_from_this(), number = ++m_timer_number](
                         const asio::error_code& error) {
    if (error || number != self->m_timer_number) {
      return;
    }
    if (self->m_is_open) {
      self->Finish(ExchangeEnd::kTimeout, "no answer in time");
    } else {
      self->Finish(ExchangeEnd::kConnectFailed, "connecting takes too long");
    }
  });
}

void ExchangeConnection::StopTimer() {
  ++m_timer_number;
  m_timer.cancel();
}

void ExchangeConnection::Write() {
  asio::async_write(
      m_socket, asio::buffer(m_output),
      [self = shared_from_this()](const asio::error_code& error, size_t) {
        if (error) {
          // An answer may be there already; reading tells.
          return;
        }
        self->m_is_written = true;
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
          self->OnBytes(std::string_view(self->m_chunk.data(), count));
          if (!self->m_is_closed) {
            self->Read();
          }
          return;
        }
        if (self->m_handler && error == asio::error::eof) {
          self->m_parser.OnEnd();
          if (self->m_parser.State() == ParseState::kComplete) {
            self->m_is_closed = true;
            self->OnAnswer();
            return;
          }
        }
        self->Finish(ExchangeEnd::kBroken, error.message());
      });
}

void ExchangeConnection::OnBytes(std::string_view bytes) {
  if (!m_handler) {
    Close();  // Bytes that no request asked for.
    return;
  }
  while (!bytes.empty() && m_handler) {
    bytes.remove_prefix(m_parser.Feed(bytes));
    if (m_parser.State() == ParseState::kFailed) {
      Finish(ExchangeEnd::kBroken, "answer can't be read");
      return;
    }
    if (m_parser.State() != ParseState::kComplete) {
      continue;
    }
    if (!bytes.empty() && m_parser.Status() >= kFirstFinalStatus) {
      m_idle_until = TimePoint{};
      OnAnswer();
      if (!m_handler) {
        Close();  // More bytes than the answer has.
      }
      continue;
    }
    OnAnswer();
  }
}

void ExchangeConnection::OnAnswer() {
  const bool keeps_alive = m_parser.KeepsAlive();
  HttpResponse answer = m_parser.Take();
  if (m_is_head) {
    m_parser.ExpectNoBody();
  }
  if (answer.m_status < kFirstFinalStatus) {
    return;
  }
  if (m_filter && !m_filter(answer)) {
    if (m_is_closed || !keeps_alive) {
      Finish(ExchangeEnd::kBroken, "the connection ended without an answer");
    }
    return;
  }
  const Duration idle = IdleLimit(answer, m_options.m_max_idle);
  // An answer that came before the whole request was sent leaves a server that
  // still reads the rest of it.
  if (!keeps_alive || !m_is_written || m_is_closed || idle <= Duration{}) {
    Finish(ExchangeEnd::kAnswered, {}, std::move(answer));
    return;
  }
  m_idle_until = BootNow() + idle;
  StopTimer();
  ExchangeResult result{.m_end = ExchangeEnd::kAnswered,
                        .m_answer = std::move(answer),
                        .m_was_reused = m_was_reused};
  std::exchange(m_handler, {})(std::move(result));
}

void ExchangeConnection::Finish(ExchangeEnd end,
                                std::string reason,
                                HttpResponse answer) {
  Close();
  if (Handler handler = std::exchange(m_handler, {})) {
    handler({.m_end = end,
             .m_answer = std::move(answer),
             .m_reason = std::move(reason),
             .m_was_reused = m_was_reused});
  }
}

void ExchangeConnection::Abort() {
  m_handler = {};
  Close();
}

void ExchangeConnection::Close() {
  m_is_closed = true;
  StopTimer();
  asio::error_code ignored;
  m_socket.close(ignored);
}

bool ExchangeConnection::IsReusable(TimePoint now) const {
  return m_is_open && !m_is_closed && !m_handler && now < m_idle_until;
}

}  // namespace sequoiastage
