#include "sequoiastage/http/stream_server.h"

#include <fmt/format.h>

#include <array>
#include <asio/buffer.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include "sequoiastage/http/tcp_socket.h"

namespace sequoiastage {

namespace {

constexpr uint16_t kNoContent = 204;
constexpr uint16_t kNotModified = 304;
constexpr uint16_t kRequestTimeout = 408;
constexpr uint16_t kUnavailable = 503;
// A caller that has got its last answer has this long to close first; closing
// before it has read everything would reset the connection.
constexpr Duration kLinger = std::chrono::seconds(1);
// A caller that does not acknowledge bytes for this long is gone.
constexpr Duration kUserTimeout = std::chrono::seconds(10);

// Appends the answer as it goes over the wire.
void AppendAnswer(std::string& bytes,
                  const HttpResponse& answer,
                  bool is_head,
                  bool is_last) {
  bytes += fmt::format("HTTP/1.1 {} {}\r\n", answer.m_status,
                       HttpStatusText(answer.m_status));
  const bool has_own_length = is_head && answer.m_body.empty();
  for (const HttpField& field : answer.m_fields) {
    if (!has_own_length && EqualsIgnoringCase(field.m_name, "Content-Length")) {
      continue;  // Written below for the body as it is.
    }
    bytes.append(field.m_name)
        .append(": ")
        .append(field.m_value)
        .append("\r\n");
  }
  if (answer.m_status != kNoContent && answer.m_status != kNotModified &&
      !has_own_length) {
    bytes += fmt::format("Content-Length: {}\r\n", answer.m_body.size());
  }
  if (is_last) {
    bytes += "Connection: close\r\n";
  }
  bytes += "\r\n";
  if (!is_head) {
    bytes += answer.m_body;
  }
}

}  // namespace

struct StreamServer::Shared {
  Handler m_handler;
  StreamRefusal m_refusal;
  StreamLimits m_limits;
  bool m_is_draining = false;
  // Sum over all connections.
  size_t m_held_bytes = 0;
  std::unordered_set<std::shared_ptr<Connection>> m_connections;
};

class StreamServer::Connection
    : public std::enable_shared_from_this<StreamServer::Connection> {
 public:
  Connection(asio::ip::tcp::socket socket, std::shared_ptr<Shared> shared)
      : m_socket(std::move(socket)),
        m_timer(m_socket.get_executor()),
        m_shared(std::move(shared)),
        m_parser(m_shared->m_limits.m_message) {
    TuneSocket(m_socket, kUserTimeout);
  }

  void Start() {
    SetTimer();
    Read();
  }

  bool IsIdle() const {
    return m_slots.empty() && m_output.empty() && m_unsent.empty() &&
           m_parser.State() == ParseState::kIdle;
  }

  // Closes an idle connection; one that has just been made still gets an answer
  // to the request that is on its way.
  void CloseIfIdle() {
    asio::error_code error;
    if (!IsIdle()) {
      return;
    }
    if (m_has_served && m_socket.available(error) == 0) {
      Close();
      return;
    }
    StartTimer(kLinger);
  }

  void Close() {
    if (m_is_closed) {
      return;
    }
    m_is_closed = true;
    asio::error_code ignored;
    m_socket.close(ignored);
    m_timer.cancel();
    // The hooks may answer at once; the slots are not touched by that.
    for (auto& slot : std::exchange(m_slots, {})) {
      if (slot->m_cancel && !slot->m_answer) {
        slot->m_cancel();
      }
    }
    CountHeldBytes();
    m_shared->m_connections.erase(shared_from_this());
  }

 private:
  // A request that is not yet answered on the wire.
  struct Slot {
    bool m_is_head = false;
    size_t m_body_bytes = 0;
    std::optional<HttpResponse> m_answer;
    CancelHook m_cancel;
  };

  void Read() {
    if (m_is_reading || m_is_closed) {
      return;
    }
    m_is_reading = true;
    m_socket.async_read_some(asio::buffer(m_chunk),
                             [self = shared_from_this()](
                                 const asio::error_code& error, size_t count) {
                               self->m_is_reading = false;
                               if (error) {
                                 self->Close();
                                 return;
                               }
                               if (!self->m_is_ending) {
                                 self->m_input.append(self->m_chunk.data(),
                                                      count);
                                 self->Parse();
                               }
                               if (self->MayRead()) {
                                 self->Read();
                               }
                             });
  }

  // Reading goes on while requests are answered, to see the caller leave.
  bool MayRead() const {
    return !m_is_closed &&
           (m_is_ending || m_input.empty() ||
            m_slots.size() < m_shared->m_limits.m_max_pipelined);
  }

  void Parse() {
    if (std::exchange(m_is_parsing, true)) {
      return;  // Called by an answer that was given at once.
    }
    std::string_view rest = m_input;
    while (!rest.empty() && !m_is_ending && !m_is_closed &&
           m_slots.size() < m_shared->m_limits.m_max_pipelined) {
      if (m_parser.State() == ParseState::kIdle) {
        m_parser.SetLimits(m_shared->m_limits.m_message);
      }
      const ParseState before = m_parser.State();
      rest.remove_prefix(m_parser.Feed(rest));
      CountHeldBytes();
      if (m_parser.State() == ParseState::kInBody &&
          m_shared->m_held_bytes > m_shared->m_limits.m_max_held_bytes) {
        Reject(kUnavailable);
        break;
      }
      if (m_parser.State() == ParseState::kFailed) {
        Reject(m_parser.FailureStatus());
        break;
      }
      if (m_parser.State() == ParseState::kComplete) {
        OnRequest();
      } else if (m_parser.State() != before) {
        SetTimer();
      }
    }
    m_input.erase(0, m_input.size() - rest.size());
    m_is_parsing = false;
  }

  void OnRequest() {
    const bool keeps_alive = m_parser.KeepsAlive();
    auto slot = std::make_shared<Slot>();
    HttpRequest request = m_parser.Take();
    slot->m_is_head = request.m_method == "HEAD";
    slot->m_body_bytes = request.m_body.size();
    m_taken_bytes += slot->m_body_bytes;
    m_slots.push_back(slot);
    m_is_ending = !keeps_alive || m_shared->m_is_draining;
    m_has_served = true;
    SetTimer();
    const std::weak_ptr<Connection> weak = weak_from_this();
    CancelHook cancel = m_shared->m_handler(
        std::move(request), [weak, slot](HttpResponse answer) {
          const auto self = weak.lock();
          if (self && !slot->m_answer) {
            slot->m_answer = std::move(answer);
            self->SendReady();
          }
        });
    slot->m_cancel = std::move(cancel);
  }

  // Answers what is no request that can be served; nothing more is read.
  void Reject(uint16_t status) {
    m_is_ending = true;
    auto slot = std::make_shared<Slot>();
    slot->m_answer = m_shared->m_refusal ? m_shared->m_refusal(status)
                                         : HttpResponse{.m_status = status};
    if (status == kUnavailable) {
      slot->m_answer->m_fields.push_back({"Retry-After", "1"});
    }
    m_slots.push_back(std::move(slot));
    SendReady();
  }

  // Brings the sum over all connections up to date.
  void CountHeldBytes() {
    const size_t held =
        m_is_closed ? 0
                    : m_taken_bytes + (m_is_ending ? 0 : m_parser.BodyBytes());
    m_shared->m_held_bytes += held;
    m_shared->m_held_bytes -= m_held_bytes;
    m_held_bytes = held;
  }

  void SendReady() {
    while (!m_slots.empty() && m_slots.front()->m_answer) {
      const auto slot = m_slots.front();
      m_slots.pop_front();
      m_taken_bytes -= slot->m_body_bytes;
      if (m_shared->m_is_draining && m_slots.empty() &&
          m_parser.State() == ParseState::kIdle) {
        m_is_ending = true;
      }
      const bool is_last = m_is_ending && m_slots.empty();
      AppendAnswer(m_unsent, *slot->m_answer, slot->m_is_head, is_last);
    }
    CountHeldBytes();
    Write();
    if (!m_input.empty() && !m_is_ending) {
      Parse();
    }
    SetTimer();
    if (MayRead()) {
      Read();
    }
  }

  void Write() {
    if (!m_output.empty() || m_unsent.empty() || m_is_closed) {
      return;
    }
    m_output.swap(m_unsent);
    asio::async_write(
        m_socket, asio::buffer(m_output),
        [self = shared_from_this()](const asio::error_code& error, size_t) {
          self->m_output.clear();
          if (error) {
            self->Close();
            return;
          }
          self->Write();
          if (self->m_is_ending && self->m_slots.empty() &&
              self->m_output.empty()) {
            asio::error_code ignored;
            self->m_socket.shutdown(asio::ip::tcp::socket::shutdown_send,
                                    ignored);
            self->m_is_shut = true;
            self->SetTimer();
          }
        });
  }

  // The one timer of the connection: for its header, its idle time or its end.
  void SetTimer() {
    if (m_is_closed) {
      return;
    }
    const StreamLimits& limits = m_shared->m_limits;
    const bool is_receiving = m_parser.State() == ParseState::kInHeaders ||
                              m_parser.State() == ParseState::kInBody;
    if (m_is_shut) {
      StartTimer(kLinger);
    } else if (is_receiving) {
      StartTimer(limits.m_header_timeout);
    } else if (m_slots.empty()) {
      StartTimer(limits.m_idle_timeout);
    } else {
      ++m_timer_number;
      m_timer.cancel();
    }
  }

  void StartTimer(Duration time) {
    m_timer.expires_after(time);
    m_timer.async_wait([weak = weak_from_this(), number = ++m_timer_number](
                           const asio::error_code& error) {
      const auto self = weak.lock();
      if (!error && self && number == self->m_timer_number) {
        self->OnTimer();
      }
    });
  }

  void OnTimer() {
    const bool is_receiving = m_parser.State() == ParseState::kInHeaders ||
                              m_parser.State() == ParseState::kInBody;
    if (is_receiving && !m_is_shut) {
      Reject(kRequestTimeout);
    } else if (m_is_shut || IsIdle()) {
      Close();
    }
  }

  asio::ip::tcp::socket m_socket;
  asio::steady_timer m_timer;
  uint64_t m_timer_number = 0;
  std::shared_ptr<Shared> m_shared;
  RequestParser m_parser;
  std::array<char, size_t{16} << 10> m_chunk{};
  // Read and not yet parsed.
  std::string m_input;
  // Being written, and to be written next.
  std::string m_output;
  std::string m_unsent;
  std::deque<std::shared_ptr<Slot>> m_slots;
  // Bodies of m_slots, and with what is being read; as counted last.
  size_t m_taken_bytes = 0;
  size_t m_held_bytes = 0;
  bool m_is_reading = false;
  bool m_is_parsing = false;
  // No further request is read; closes behind the last answer.
  bool m_is_ending = false;
  bool m_is_shut = false;
  bool m_has_served = false;
  bool m_is_closed = false;
};

StreamServer::StreamServer(asio::io_context& io, Handler handler)
    : m_listener(io), m_shared(std::make_shared<Shared>()) {
  m_shared->m_handler = std::move(handler);
}

StreamServer::~StreamServer() {
  Stop();
  for (const auto& connection : std::vector(m_shared->m_connections.begin(),
                                            m_shared->m_connections.end())) {
    connection->Close();
  }
}

bool StreamServer::Start(const Endpoint& listen) {
  return m_listener.Start(listen, [this](asio::ip::tcp::socket socket) {
    AddConnection(std::move(socket));
  });
}

void StreamServer::AddConnection(asio::ip::tcp::socket socket) {
  auto connection = std::make_shared<Connection>(std::move(socket), m_shared);
  m_shared->m_connections.insert(connection);
  connection->Start();
}

void StreamServer::SetLimits(const StreamLimits& limits) {
  m_shared->m_limits = limits;
}

void StreamServer::SetRefusal(StreamRefusal refusal) {
  m_shared->m_refusal = std::move(refusal);
}

void StreamServer::StartDrain() {
  m_shared->m_is_draining = true;
}

void StreamServer::Stop() {
  m_listener.TakePending();
  m_listener.Stop();
  StartDrain();
  const std::vector<std::shared_ptr<Connection>> connections(
      m_shared->m_connections.begin(), m_shared->m_connections.end());
  for (const auto& connection : connections) {
    connection->CloseIfIdle();
  }
}

size_t StreamServer::HeldBytes() const {
  return m_shared->m_held_bytes;
}

size_t StreamServer::ConnectionCount() const {
  return m_shared->m_connections.size();
}

}  // namespace sequoiastage
