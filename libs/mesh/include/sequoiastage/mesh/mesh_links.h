#ifndef SEQUOIASTAGE_MESH_MESH_LINKS_H_
#define SEQUOIASTAGE_MESH_MESH_LINKS_H_

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
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
  /// For connecting and for the other node's first message.
  Duration m_open_timeout = std::chrono::milliseconds(600);
  /// Pause after a link was lost, doubled with each failure in a row.
  Duration m_first_pause = std::chrono::milliseconds(100);
  Duration m_longest_pause = std::chrono::seconds(3);
  /// A lost link is opened again by itself for so long after its last use.
  Duration m_retry_for = std::chrono::seconds(30);
};

/// Connections to other nodes, opened when first used and opened again after a
/// loss, and those that other nodes have opened. Each node sends its offers
/// over connections that it opened; answers come back over the same ones.
class MeshLinks {
 public:
  struct Handlers {
    /// Message over a connection that this node opened.
    std::function<void(NodeId, Message)> m_on_reply;
    /// Such a connection is open; the run of the node at its other end.
    std::function<void(NodeId, Incarnation)> m_on_open;
    /// It was lost: messages sent over it may not have arrived.
    std::function<void(NodeId, const std::string&)> m_on_lost;
    /// Message over a connection that another node opened. The sink answers.
    std::function<void(const PeerKey&, Message, const MessageSink&)>
        m_on_request;
    /// Another node has opened a connection.
    std::function<void(const PeerKey&, const MessageSink&)> m_on_peer;
    std::function<void(const PeerKey&)> m_on_peer_lost;
  };

  MeshLinks(asio::io_context& io,
            PeerKey own,
            const MeshLinksOptions& options,
            Handlers handlers);
  MeshLinks(const MeshLinks&) = delete;
  MeshLinks& operator=(const MeshLinks&) = delete;
  ~MeshLinks();

  /// False with LastReason() when the address can't be had.
  bool Start(const Endpoint& listen);
  const std::string& LastReason() const { return m_listener.LastReason(); }

  /// Sends over the link to `node`, opening it when needed. False while the
  /// link is lost and not yet open again.
  bool Send(NodeId node, const Message& message);

  /// Whether Send() would take a message.
  bool IsUsable(NodeId node) const;

  /// Whether a message has come over the link to `node` at or after `time`.
  bool HasHeardSince(NodeId node, TimePoint time) const;

  /// The link does not answer: it is closed and opened again.
  void Drop(NodeId node, const std::string& reason);

  /// To every node that is linked, in either direction.
  void Broadcast(const Message& message);

  void Stop();

 private:
  enum class State : uint8_t { kOpening, kOpen, kLost };

  struct Link {
    explicit Link(asio::io_context& io) : m_timer(io) {}

    State m_state = State::kOpening;
    std::shared_ptr<asio::ip::tcp::socket> m_socket;
    std::shared_ptr<PeerConnection> m_connection;
    // Sent before the connection was made.
    std::vector<Message> m_waiting;
    asio::steady_timer m_timer;
    uint32_t m_failures = 0;
    TimePoint m_last_use{};
    TimePoint m_last_heard{};
  };
  using LinkPtr = std::shared_ptr<Link>;

  void Open(NodeId node, const LinkPtr& link);
  void OnConnected(NodeId node, const LinkPtr& link);
  void OnLost(NodeId node, const LinkPtr& link, const std::string& reason);
  void OnAccepted(asio::ip::tcp::socket socket);

  asio::io_context& m_io;
  PeerKey m_own;
  MeshLinksOptions m_options;
  Handlers m_handlers;
  TcpListener m_listener;
  std::unordered_map<NodeId, LinkPtr> m_links;
  std::unordered_set<std::shared_ptr<PeerConnection>> m_accepted;
  // The newest connection that each peer has opened.
  std::map<PeerKey, std::weak_ptr<PeerConnection>> m_latest;
  bool m_is_stopped = false;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MESH_MESH_LINKS_H_
