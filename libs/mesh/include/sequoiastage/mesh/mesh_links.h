#ifndef SEQUOIASTAGE_MESH_MESH_LINKS_H_
#define SEQUOIASTAGE_MESH_MESH_LINKS_H_

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "sequoiastage/base/time.h"
#include "sequoiastage/http/tcp_socket.h"
#include "sequoiastage/link/peer_connection.h"
#include "sequoiastage/mesh/peer_key.h"

namespace sequoiastage {

struct MeshLinksOptions {
  /// Timeout for the TCP connection and the first message of the other node.
  Duration m_open_timeout = std::chrono::milliseconds(600);
  /// Backoff before a lost link is reopened; doubled with each consecutive
  /// failure up to m_max_backoff.
  Duration m_min_backoff = std::chrono::milliseconds(100);
  Duration m_max_backoff = std::chrono::seconds(3);
  /// A lost link is reopened automatically for this long after its last use.
  Duration m_reconnect_period = std::chrono::seconds(30);
  /// Counts the bytes queued on links; may be null.
  std::shared_ptr<ByteBudget> m_budget;
};

/// Connections to and from other nodes. Outgoing links are opened on first use
/// and reopened after a loss. Each node sends its offers over links that it
/// opened; replies return over the same link.
class MeshLinks {
 public:
  struct Handlers {
    /// Message received over a link that this node opened, with the process
    /// that sent it.
    std::function<void(const PeerKey&, Message)> m_on_reply;
    /// A link that this node opened is ready; carries the incarnation of the
    /// remote node.
    std::function<void(NodeId, Incarnation)> m_on_opened;
    /// A link was lost, with the reason. Messages sent over it may not have
    /// been delivered.
    std::function<void(NodeId, const std::string&)> m_on_lost;
    /// Message received over a connection that another node opened. The sink
    /// sends replies.
    std::function<void(const PeerKey&, Message, const MessageSink&)>
        m_on_request;
    /// Another node has opened a connection. The sink sends messages over it.
    std::function<void(const PeerKey&, const MessageSink&)> m_on_peer_opened;
    std::function<void(const PeerKey&)> m_on_peer_lost;
  };

  MeshLinks(asio::io_context& io,
            PeerKey self,
            const MeshLinksOptions& options,
            Handlers handlers);
  MeshLinks(const MeshLinks&) = delete;
  MeshLinks& operator=(const MeshLinks&) = delete;
  ~MeshLinks();

  /// Listens at `listen`. Returns false when it cannot be bound; see
  /// LastReason().
  bool Start(const Endpoint& listen);
  const std::string& LastReason() const { return m_listener.LastReason(); }

  /// Sends `message` over the link to `node` and opens the link if needed.
  /// Returns false while a lost link has not been reopened.
  bool Send(NodeId node, const Message& message);

  /// Whether links send large messages in pieces and refuse large requests
  /// when the byte budget is short. Applies to open links too.
  void SetManagesLoad(bool manages_load) {
    m_connection_options->m_manages_load = manages_load;
  }

  /// Whether Send() would accept a message.
  bool IsUsable(NodeId node) const;

  /// Whether a message was received over the link to `node` at or after `time`.
  bool HasReceivedSince(NodeId node, TimePoint time) const;

  /// Closes an unresponsive link; it is reopened after the backoff.
  void Drop(NodeId node, const std::string& reason);

  /// Sends `message` to all nodes that know this process, over links in either
  /// direction.
  void Broadcast(const Message& message);

  void Stop();

 private:
  enum class State : uint8_t { kOpening, kOpen, kLost };

  struct Link {
    explicit Link(asio::io_context& io) : m_timer(io) {}

    State m_state = State::kOpening;
    std::shared_ptr<asio::ip::tcp::socket> m_socket;
    std::shared_ptr<PeerConnection> m_connection;
    // Process at the other end, once it has said hello.
    std::optional<Incarnation> m_incarnation;
    // Messages queued until the connection is established.
    std::vector<Message> m_pending;
    asio::steady_timer m_timer;
    uint32_t m_failures = 0;
    TimePoint m_last_used_at{};
    TimePoint m_last_received_at{};
  };
  using LinkPtr = std::shared_ptr<Link>;

  void Open(NodeId node, const LinkPtr& link);
  // Drops the link unless it is open after `steps` times `step`.
  void AwaitOpen(NodeId node,
                 const LinkPtr& link,
                 Duration step,
                 uint32_t steps);
  void OnConnected(NodeId node, const LinkPtr& link);
  void OnLost(NodeId node, const LinkPtr& link, const std::string& reason);
  void OnAccepted(asio::ip::tcp::socket socket);

  asio::io_context& m_io;
  PeerKey m_self;
  MeshLinksOptions m_options;
  Handlers m_handlers;
  TcpListener m_listener;
  std::shared_ptr<PeerConnectionOptions> m_connection_options;
  std::unordered_map<NodeId, LinkPtr> m_links;
  std::unordered_set<std::shared_ptr<PeerConnection>> m_accepted;
  // Newest connection opened by each peer.
  std::map<PeerKey, std::weak_ptr<PeerConnection>> m_latest_by_peer;
  bool m_is_stopped = false;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MESH_MESH_LINKS_H_
