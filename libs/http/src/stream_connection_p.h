#ifndef SEQUOIASTAGE_HTTP_STREAM_CONNECTION_P_H_
#define SEQUOIASTAGE_HTTP_STREAM_CONNECTION_P_H_

#include <algorithm>
#include <array>
#include <asio/buffer.hpp>
#include <asio/steady_timer.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "response_text_p.h"
#include "sequoiastage/base/boot_clock.h"
#include "sequoiastage/http/stream_server.h"
#include "sequoiastage/http/tcp_socket.h"
#include "stream_shared_p.h"

namespace sequoiastage {

namespace stream_detail {

inline constexpr uint16_t kRequestTimeout = 408;
inline constexpr uint16_t kInternalError = 500;
inline constexpr uint16_t kUnavailable = 503;
// Time for the caller to close first after its last response. Closing before it
// has read everything would reset the connection.
inline constexpr Duration kLinger = std::chrono::seconds(1);
// A caller that does not acknowledge bytes for this long counts as
// disconnected.
inline constexpr Duration kUserTimeout = std::chrono::seconds(10);
// Bytes of responses that the kernel takes in advance. Without a limit it takes
// some megabytes for each slow caller, which the byte budget does not count.
inline constexpr int kMaxUnsentBytes = 64 << 10;
// Interval at which a body that waits for room in the byte budget is tried
// again.
inline constexpr Duration kRoomInterval = std::chrono::milliseconds(20);

}  // namespace stream_detail

class StreamServer::Connection
    : public std::enable_shared_from_this<StreamServer::Connection> {
 public:
  Connection(asio::ip::tcp::socket socket,
             ConnectionNumber number,
             std::shared_ptr<Shared> shared)
      : m_socket(std::move(socket)),
        m_timer(m_socket.get_executor()),
        m_room_timer(m_socket.get_executor()),
        m_unread_timer(m_socket.get_executor()),
        m_number(number),
        m_shared(std::move(shared)),
        m_parser(m_shared->m_limits.m_message),
        m_held_requests(m_shared->m_budget, HeldKind::kCallerRequests),
        m_held_responses(m_shared->m_budget, HeldKind::kCallerResponses) {
    TuneSocket(m_socket, stream_detail::kUserTimeout);
  }

  void Start() {
    SetTimer();
    Read();
  }

  bool IsIdle() const {
    return m_slots.empty() && m_output.empty() && m_unsent.empty() &&
           m_parser.State() == ParseState::kIdle;
  }

  // Closes an idle connection. A new connection, or one with unread bytes,
  // stays open for stream_detail::kLinger, so that a request in transit still
  // gets a response.
  void CloseIfIdle() {
    asio::error_code error;
    if (!IsIdle()) {
      return;
    }
    if (m_has_received_request && m_socket.available(error) == 0) {
      Close();
      return;
    }
    StartTimer(stream_detail::kLinger);
  }

  void Close() {
    if (m_is_closed) {
      return;
    }
    m_is_closed = true;
    asio::error_code ignored;
    m_socket.close(ignored);
    m_timer.cancel();
    m_room_timer.cancel();
    m_unread_timer.cancel();
    // A hook can respond synchronously, so the slots are moved out first.
    for (auto& slot : std::exchange(m_slots, {})) {
      if (slot->m_cancel && !slot->m_response) {
        slot->m_cancel();
      }
    }
    UpdateHeldBytes();
    m_shared->m_ledger.Remove(m_number);
    m_shared->m_connections.erase(m_number);
  }

 private:
  // A request whose response has not been queued for sending.
  struct Slot {
    bool m_is_head = false;
    size_t m_body_bytes = 0;
    std::optional<HttpResponse> m_response;
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
                               if (!self->m_is_closing) {
                                 self->m_input.append(self->m_chunk.data(),
                                                      count);
                                 self->Parse();
                               }
                               if (self->ShouldRead()) {
                                 self->Read();
                               }
                             });
  }

  // Reading continues while requests are pending, to detect a disconnect.
  bool ShouldRead() const {
    return !m_is_closed && !m_awaits_room &&
           (m_is_closing || m_input.empty() ||
            m_slots.size() < m_shared->m_limits.m_max_pipelined);
  }

  void Parse() {
    if (std::exchange(m_is_parsing, true)) {
      return;  // Reentered by a synchronous response.
    }
    std::string_view rest = m_input;
    while (!rest.empty() && !m_is_closing && !m_is_closed && !m_awaits_room &&
           m_slots.size() < m_shared->m_limits.m_max_pipelined) {
      if (m_parser.State() == ParseState::kIdle) {
        m_parser.SetLimits(m_shared->m_limits.m_message);
      }
      const ParseState before = m_parser.State();
      rest.remove_prefix(m_parser.Feed(rest));
      UpdateHeldBytes();
      if (!m_shared->m_limits.m_applies_budget &&
          m_parser.State() == ParseState::kInBody &&
          m_shared->m_held_bytes > m_shared->m_limits.m_max_held_bytes) {
        Reject(stream_detail::kUnavailable);
        break;
      }
      if (m_shared->m_limits.m_applies_budget && !ReserveRoom()) {
        AwaitRoom();
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

  // Reserves room in the byte budget for the body that the parser has begun.
  // Returns false when there is none. Waiting for the whole body at once keeps
  // callers from filling the budget with parts of bodies.
  bool ReserveRoom() {
    const ParseState state = m_parser.State();
    if (!m_shared->m_budget ||
        (state != ParseState::kInBody && state != ParseState::kComplete)) {
      return true;
    }
    const size_t needed =
        std::max(m_parser.StatedBodyBytes(), m_parser.BodyBytes());
    const size_t counted = std::max(m_reserved_bytes, m_parser.BodyBytes());
    if ((needed > m_reserved_bytes || needed == 0) &&
        !m_shared->m_budget->Admits(needed - counted, needed)) {
      return false;
    }
    m_reserved_bytes = needed;
    UpdateHeldBytes();
    return true;
  }

  // Stops reading until the budget has room for the large body whose header was
  // read; rejects it after a while. Other requests are rejected at once.
  void AwaitRoom() {
    const bool may_wait = m_parser.State() == ParseState::kInBody &&
                          m_parser.StatedBodyBytes() > 0 &&
                          m_room_wait < m_shared->m_limits.m_max_room_wait;
    if (!may_wait) {
      m_shared->m_budget->CountRefusal();
      Reject(stream_detail::kUnavailable);
      return;
    }
    m_awaits_room = true;
    m_room_wait += stream_detail::kRoomInterval;
    m_room_timer.expires_after(stream_detail::kRoomInterval);
    m_room_timer.async_wait(
        [weak = weak_from_this()](const asio::error_code& error) {
          const auto self = weak.lock();
          if (error || !self || self->m_is_closed) {
            return;
          }
          self->m_awaits_room = false;
          if (!self->m_is_closing && !self->ReserveRoom()) {
            self->AwaitRoom();
          } else {
            self->Parse();
          }
          if (self->ShouldRead()) {
            self->Read();
          }
        });
  }

  void OnRequest() {
    const bool keeps_alive = m_parser.KeepsAlive();
    auto slot = std::make_shared<Slot>();
    HttpRequest request = m_parser.TakeRequest();
    slot->m_is_head = request.m_method == "HEAD";
    slot->m_body_bytes = request.m_body.size();
    m_slot_body_bytes += slot->m_body_bytes;
    m_reserved_bytes = 0;
    m_room_wait = {};
    m_slots.push_back(slot);
    m_shared->m_ledger.SetBusy(m_number, true, BootNow());
    m_is_closing = !keeps_alive || m_shared->m_is_draining;
    m_has_received_request = true;
    SetTimer();
    const StreamResponder respond = [weak = weak_from_this(),
                                     slot](HttpResponse response) {
      const auto self = weak.lock();
      if (self && !slot->m_response) {
        slot->m_response = std::move(response);
        self->m_ready_bytes += slot->m_response->m_body.size();
        self->SendReady();
      }
    };
    try {
      slot->m_cancel = m_shared->m_handler(std::move(request), respond);
    } catch (const std::exception&) {
      RethrowLater(m_socket.get_executor());
      m_is_closing = true;
      respond(BuildErrorResponse(stream_detail::kInternalError));
    }
  }

  HttpResponse BuildErrorResponse(uint16_t status) const {
    return m_shared->m_build_error_response
               ? m_shared->m_build_error_response(status)
               : HttpResponse{.m_status = status};
  }

  // Responds with an error status and parses no further request.
  void Reject(uint16_t status) {
    m_is_closing = true;
    m_parser.TakeRequest();  // Frees the memory of what has been read.
    auto slot = std::make_shared<Slot>();
    slot->m_response = BuildErrorResponse(status);
    if (status == stream_detail::kUnavailable) {
      slot->m_response->m_fields.push_back({"Retry-After", "1"});
    }
    m_ready_bytes += slot->m_response->m_body.size();
    m_slots.push_back(std::move(slot));
    SendReady();
  }

  // Updates the total over all connections.
  void UpdateHeldBytes() {
    const size_t held =
        m_is_closed
            ? 0
            : m_slot_body_bytes + (m_is_closing ? 0
                                                : std::max(m_parser.BodyBytes(),
                                                           m_reserved_bytes));
    m_shared->m_held_bytes += held;
    m_shared->m_held_bytes -= m_held_requests.Get();
    m_held_requests.Set(held);
    const size_t unread =
        m_is_closed ? 0 : m_ready_bytes + m_output.size() + m_unsent.size();
    m_held_responses.Set(unread);
    if (!m_is_closed) {
      m_shared->m_ledger.SetUnread(m_number, unread, BootNow());
    }
  }

  void SendReady() {
    while (!m_slots.empty() && m_slots.front()->m_response) {
      const auto slot = m_slots.front();
      m_slots.pop_front();
      m_slot_body_bytes -= slot->m_body_bytes;
      m_ready_bytes -= slot->m_response->m_body.size();
      if (m_shared->m_is_draining && m_slots.empty() &&
          m_parser.State() == ParseState::kIdle) {
        m_is_closing = true;
      }
      const bool is_last = m_is_closing && m_slots.empty();
      AppendResponse(m_unsent, *slot->m_response, slot->m_is_head, is_last);
    }
    if (m_slots.empty()) {
      m_shared->m_ledger.SetBusy(m_number, false, BootNow());
    }
    UpdateHeldBytes();
    Write();
    if (!m_input.empty() && !m_is_closing) {
      Parse();
    }
    SetTimer();
    if (ShouldRead()) {
      Read();
    }
  }

  void Write() {
    if (!m_output.empty() || m_unsent.empty() || m_is_closed) {
      return;
    }
    m_output.swap(m_unsent);
    m_written = 0;
    if (m_output.size() > size_t{stream_detail::kMaxUnsentBytes} &&
        !m_limits_unsent) {
      m_limits_unsent = true;
      LimitUnsentBytes(m_socket, stream_detail::kMaxUnsentBytes);
    }
    m_taken_at = BootNow();
    AwaitReader();
    WriteSome();
  }

  void WriteSome() {
    m_socket.async_write_some(
        asio::buffer(m_output.data() + m_written, m_output.size() - m_written),
        [self = shared_from_this()](const asio::error_code& error,
                                    size_t count) {
          if (error) {
            self->Close();
          } else if (!self->m_is_closed) {
            self->OnWritten(count);
          }
        });
  }

  void OnWritten(size_t count) {
    m_written += count;
    m_taken_at = BootNow();
    m_shared->m_ledger.OnTaken(m_number, m_taken_at);
    if (m_written < m_output.size()) {
      WriteSome();
      return;
    }
    m_output = {};  // Frees the memory of a large response.
    m_unread_timer.cancel();
    UpdateHeldBytes();
    Write();
    if (m_is_closing && m_slots.empty() && m_output.empty()) {
      asio::error_code ignored;
      m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
      m_is_send_shut_down = true;
      SetTimer();
    }
  }

  // Closes the connection when its caller has read nothing for a while.
  void AwaitReader() {
    m_unread_timer.expires_after(m_shared->m_limits.m_unread_timeout);
    m_unread_timer.async_wait(
        [weak = weak_from_this()](const asio::error_code& error) {
          const auto self = weak.lock();
          if (error || !self || self->m_output.empty()) {
            return;
          }
          if (BootNow() - self->m_taken_at >=
              self->m_shared->m_limits.m_unread_timeout) {
            self->Close();
          } else {
            self->AwaitReader();
          }
        });
  }

  // Sets the connection's only timer: header or body, idle, or linger timeout.
  void SetTimer() {
    if (m_is_closed) {
      return;
    }
    const StreamLimits& limits = m_shared->m_limits;
    const bool is_receiving = m_parser.State() == ParseState::kInHeaders ||
                              m_parser.State() == ParseState::kInBody;
    if (m_is_send_shut_down) {
      StartTimer(stream_detail::kLinger);
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
    if (is_receiving && !m_is_send_shut_down) {
      Reject(stream_detail::kRequestTimeout);
    } else if (m_is_send_shut_down || IsIdle()) {
      Close();
    }
  }

  asio::ip::tcp::socket m_socket;
  asio::steady_timer m_timer;
  asio::steady_timer m_room_timer;
  asio::steady_timer m_unread_timer;
  uint64_t m_timer_number = 0;
  ConnectionNumber m_number;
  std::shared_ptr<Shared> m_shared;
  RequestParser m_parser;
  std::array<char, size_t{16} << 10> m_chunk{};
  // Received and not yet parsed.
  std::string m_input;
  // Being written, and queued for the next write.
  std::string m_output;
  std::string m_unsent;
  // Bytes of m_output that were written, and when the last were.
  size_t m_written = 0;
  TimePoint m_taken_at{};
  std::deque<std::shared_ptr<Slot>> m_slots;
  // Body bytes of m_slots.
  size_t m_slot_body_bytes = 0;
  // Bytes of responses that wait for earlier ones.
  size_t m_ready_bytes = 0;
  // Length of the body being read for which the byte budget has room.
  size_t m_reserved_bytes = 0;
  // The connection's contribution to Shared::m_held_bytes, and to the budget.
  BudgetShare m_held_requests;
  BudgetShare m_held_responses;
  bool m_limits_unsent = false;
  // Reading stopped until the budget has room, and for how long.
  bool m_awaits_room = false;
  Duration m_room_wait{};
  bool m_is_reading = false;
  bool m_is_parsing = false;
  // No further request is parsed; closes after the last response.
  bool m_is_closing = false;
  bool m_is_send_shut_down = false;
  bool m_has_received_request = false;
  bool m_is_closed = false;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_HTTP_STREAM_CONNECTION_P_H_
