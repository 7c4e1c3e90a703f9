#include "sequoiastage/link/peer_connection.h"

#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <utility>

#include "sequoiastage/http/tcp_socket.h"

namespace sequoiastage {

namespace {

// Messages are refused while a slow peer would have more than this queued.
constexpr size_t kMaxQueuedBytes = size_t{64} << 20;
// The connection is closed when sent data is unacknowledged for this long.
constexpr Duration kUserTimeout = std::chrono::seconds(3);
// Data that the kernel takes before it has sent what it has; a small frame
// waits for it. 3 ms at 10 Mbit/s.
constexpr int kMaxUnsentBytes = 4 << 10;

}  // namespace

PeerConnection::PeerConnection(
    asio::ip::tcp::socket socket,
    std::shared_ptr<const PeerConnectionOptions> options)
    : m_socket(std::move(socket)),
      m_options(std::move(options)),
      m_held(m_options->m_budget, HeldKind::kLinks) {}

void PeerConnection::Start(Handlers handlers) {
  m_handlers = std::move(handlers);
  TuneSocket(m_socket, kUserTimeout);
  Read();
}

bool PeerConnection::Send(const Message& message) {
  if (!m_is_open) {
    return false;
  }
  if (const auto* cancel = std::get_if<CancelMessage>(&message)) {
    Abandon(cancel->m_attempt);
  }
  auto frame = EncodeFrame(message);
  if (!frame || m_held.Get() + frame->size() > kMaxQueuedBytes ||
      !IsAdmitted(message, frame->size())) {
    return false;
  }
  if (m_options->m_manages_load && !m_limits_unsent) {
    m_limits_unsent = true;
    LimitUnsentBytes(m_socket, kMaxUnsentBytes);
  }
  m_queue.Push(std::move(*frame), SequenceOf(message),
               m_options->m_manages_load);
  UpdateHeldBytes();
  if (!m_is_writing) {
    Write();
  }
  return true;
}

bool PeerConnection::IsAdmitted(const Message& message, size_t bytes) const {
  if (!m_options->m_manages_load || !m_options->m_budget ||
      bytes <= ByteBudget::kSmallBytes) {
    return true;
  }
  const bool is_request = std::holds_alternative<OfferMessage>(message) ||
                          std::holds_alternative<TaggedOfferMessage>(message) ||
                          std::holds_alternative<StartMessage>(message);
  if (!is_request || m_options->m_budget->AdmitsNextStep(bytes)) {
    return true;
  }
  m_options->m_budget->CountRefusal();
  return false;
}

void PeerConnection::Abandon(AttemptNumber attempt) {
  m_queue.Abandon(SequenceKey(attempt.Get()));
  UpdateHeldBytes();
}

void PeerConnection::UpdateHeldBytes() {
  m_held.Set(m_is_open
                 ? m_queue.Bytes() + m_output.size() + m_decoder.BufferedBytes()
                 : 0);
}

void PeerConnection::Close(const std::string& reason) {
  if (!m_is_open) {
    return;
  }
  m_is_open = false;
  UpdateHeldBytes();
  asio::error_code ignored;
  m_socket.close(ignored);
  if (!m_handlers.m_on_closed) {
    return;
  }
  asio::post(m_socket.get_executor(), [self = shared_from_this(), reason] {
    const Handlers handlers = std::move(self->m_handlers);
    self->m_handlers = {};
    if (handlers.m_on_closed) {
      handlers.m_on_closed(reason);
    }
  });
}

void PeerConnection::Read() {
  m_socket.async_read_some(
      asio::buffer(m_chunk),
      [self = shared_from_this()](const asio::error_code& error, size_t count) {
        if (error) {
          self->Close(error.message());
          return;
        }
        self->HandleBytes(count);
        if (self->m_is_open) {
          self->Read();
        }
      });
}

void PeerConnection::HandleBytes(size_t count) {
  m_decoder.Feed(std::string_view(m_chunk.data(), count));
  while (m_is_open) {
    auto message = m_decoder.Next();
    if (!message) {
      break;
    }
    if (const auto* cancel = std::get_if<CancelMessage>(&*message)) {
      Abandon(cancel->m_attempt);  // Nobody waits for the response.
    }
    try {
      m_handlers.m_on_message(std::move(*message));
    } catch (const std::exception&) {
      RethrowLater(m_socket.get_executor());
    }
  }
  UpdateHeldBytes();
  if (m_decoder.IsBroken()) {
    Close(m_decoder.LastReason());
  }
}

void PeerConnection::Write() {
  m_output = m_queue.Next();
  UpdateHeldBytes();
  if (m_output.empty()) {
    return;
  }
  m_is_writing = true;
  asio::async_write(
      m_socket, asio::buffer(m_output),
      [self = shared_from_this()](const asio::error_code& error, size_t) {
        self->m_is_writing = false;
        self->m_output.clear();
        if (error) {
          self->Close(error.message());
          return;
        }
        if (self->m_is_open) {
          self->Write();
        }
      });
}

}  // namespace sequoiastage
