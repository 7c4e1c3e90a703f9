#ifndef SEQUOIASTAGE_MESH_PEER_KEY_H_
#define SEQUOIASTAGE_MESH_PEER_KEY_H_

#include <compare>
#include <functional>

#include "sequoiastage/base/ids.h"
#include "sequoiastage/wire/messages.h"

namespace sequoiastage {

/// Identifies one incarnation of a peer node.
struct PeerKey {
  NodeId m_node;
  /// Random number drawn at each process start. Only equality matters.
  Incarnation m_incarnation;

  friend auto operator<=>(const PeerKey&, const PeerKey&) = default;
};

/// Sends a message to a peer. Does nothing once its connection is closed.
using MessageSink = std::function<void(const Message&)>;

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MESH_PEER_KEY_H_
