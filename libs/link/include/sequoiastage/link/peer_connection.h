#ifndef SEQUOIASTAGE_LINK_PEER_CONNECTION_H_
#define SEQUOIASTAGE_LINK_PEER_CONNECTION_H_

#include <array>
#include <asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>

#include "sequoiastage/base/byte_budget.h"
#include "sequoiastage/link/frame_queue.h"
#include "sequoiastage/wire/frame.h"

namespace sequoiastage {

/// Options that the connections of a node share; they may change at any time.
struct PeerConnectionOptions {
  /// Sends large frames in pieces and bounds queued requests by m_budget.
  /// Builds that do not know pieces close the connection on receipt of one.
  bool m_manages_load = false;
  /// Counts the queued frames; may be null.
  std::shared_ptr<ByteBudget> m_budget;
};

/// A TCP connection between two nodes that carries frames in both directions.
/// All calls and callbacks are made on the thread of its io_context.
class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
 public:
  struct Handlers {
    std::function<void(Message)> m_on_message;
    /// Called once with the reason when the connection is closed.
    std::function<void(const std::string&)> m_on_closed;
  };

  explicit PeerConnection(asio::ip::tcp::socket socket,
                          std::shared_ptr<const PeerConnectionOptions> options =
                              std::make_shared<const PeerConnectionOptions>());

  /// Starts reading. The handlers are called until the connection is closed.
  void Start(Handlers handlers);

  /// Queues `message`. Returns false when the connection is closed, the message
  /// is too large, it would raise the queued data above 64 MiB, or it is a
  /// large request and the byte budget is short.
  ///
  /// A cancel message drops a queued request or response of its attempt: the
  /// receiver handles it as if that had never been sent.
  bool Send(const Message& message);

  /// Closes the connection. `reason` is passed to `m_on_closed`. Has no effect
  /// on a closed connection.
  void Close(const std::string& reason);

 private:
  void Read();
  void Write();
  void HandleBytes(size_t count);
  // Whether the byte budget has room for the encoded message.
  bool IsAdmitted(const Message& message, size_t bytes) const;
  // Drops the large message of the attempt that is queued.
  void Abandon(AttemptNumber attempt);
  void UpdateHeldBytes();

  asio::ip::tcp::socket m_socket;
  Handlers m_handlers;
  FrameDecoder m_decoder;
  std::array<char, size_t{64} << 10> m_chunk;
  std::shared_ptr<const PeerConnectionOptions> m_options;
  FrameQueue m_queue;
  // Being written.
  std::string m_output;
  BudgetShare m_held;
  bool m_limits_unsent = false;
  bool m_is_writing = false;
  bool m_is_open = true;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_LINK_PEER_CONNECTION_H_
