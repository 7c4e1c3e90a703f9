#ifndef SEQUOIASTAGE_LINK_PEER_CONNECTION_H_
#define SEQUOIASTAGE_LINK_PEER_CONNECTION_H_

#include <array>
#include <asio/ip/tcp.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "sequoiastage/wire/frame.h"

namespace sequoiastage {

/// A TCP connection between two nodes that carries frames in both directions.
/// All calls and callbacks are made on the thread of its io_context.
class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
 public:
  struct Handlers {
    std::function<void(Message)> m_on_message;
    /// Called once with the reason when the connection is closed.
    std::function<void(const std::string&)> m_on_closed;
  };

  explicit PeerConnection(asio::ip::tcp::socket socket);

  /// Starts reading. The handlers are called until the connection is closed.
  void Start(Handlers handlers);

  /// Queues `message`. Returns false when the connection is closed, the message
  /// is too large or it would raise the queued data above 64 MiB.
  bool Send(const Message& message);

  /// Closes the connection. `reason` is passed to `m_on_closed`. Has no effect
  /// on a closed connection.
  void Close(const std::string& reason);

 private:
  void Read();
  void Write();
  void HandleBytes(size_t count);

  asio::ip::tcp::socket m_socket;
  Handlers m_handlers;
  FrameDecoder m_decoder;
  std::array<char, size_t{64} << 10> m_chunk;
  std::deque<std::string> m_queue;
  size_t m_queued_bytes = 0;
  bool m_is_writing = false;
  bool m_is_open = true;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_LINK_PEER_CONNECTION_H_
