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

}  // namespace

PeerConnection::PeerConnection(asio::ip::tcp::socket socket)
    : m_socket(std::move(socket)) {}

void PeerConnection::Start(Handlers handlers) {
  m_handlers = std::move(handlers);
  TuneSocket(m_socket, kUserTimeout);
  Read();
}

bool PeerConnection::Send(const Message& message) {
  if (!m_is_open) {
    return false;
  }
  auto frame = EncodeFrame(message);
  if (!frame || m_queued_bytes + frame->size() > kMaxQueuedBytes) {
    return false;
  }
  m_queued_bytes += frame->size();
  m_queue.push_back(std::move(*frame));
  if (!m_is_writing) {
    Write();
  }
  return true;
}

void PeerConnection::Close(const std::string& reason) {
  if (!m_is_open) {
    return;
  }
  m_is_open = false;
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
    m_handlers.m_on_message(std::move(*message));
  }
  if (m_decoder.IsBroken()) {
    Close(m_decoder.LastReason());
  }
}

void PeerConnection::Write() {
  m_is_writing = true;
  asio::async_write(
      m_socket, asio::buffer(m_queue.front()),
      [self = shared_from_this()](const asio::error_code& error, size_t count) {
        self->m_is_writing = false;
        if (error) {
          self->Close(error.message());
          return;
        }
        self->m_queued_bytes -= count;
        self->m_queue.pop_front();
        if (!self->m_queue.empty() && self->m_is_open) {
          self->Write();
        }
      });
}

}  // namespace sequoiastage
