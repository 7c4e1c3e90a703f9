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

/// One TCP connection between two nodes, carrying frames both ways. All calls
/// and callbacks on the thread of its io_context.
class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
 public:
  struct Handlers {
    std::function<void(Message)> m_on_message;
    /// Called once, when the connection has ended; with the reason.
    std::function<void(const std::string&)> m_on_closed;
  };

  explicit PeerConnection(asio::ip::tcp::socket socket);

  /// Starts reading. Handlers run until the connection has ended.
  void Start(Handlers handlers);

  /// Queues `message`. False when the connection has ended, the message is too
  /// large or too much is queued already.
  bool Send(const Message& message);

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
