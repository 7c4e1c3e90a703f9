#ifndef SEQUOIASTAGE_MESH_PEER_KEY_H_
#define SEQUOIASTAGE_MESH_PEER_KEY_H_

#include <compare>
#include <functional>

#include "sequoiastage/base/ids.h"
#include "sequoiastage/wire/messages.h"

namespace sequoiastage {

/// One run of another node's ingress.
struct PeerKey {
  NodeId m_node;
  /// Drawn at random at each start: it only has to differ.
  Incarnation m_run;

  friend auto operator<=>(const PeerKey&, const PeerKey&) = default;
};

/// Sends a message to a peer; does nothing when the peer is gone.
using MessageSink = std::function<void(const Message&)>;

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MESH_PEER_KEY_H_
