#ifndef SEQUOIASTAGE_NODE_TRANSPORT_P_H_
#define SEQUOIASTAGE_NODE_TRANSPORT_P_H_

#include <functional>

#include "peer_links_p.h"
#include "sequoiastage/wire/messages.h"

namespace sequoiastage {

// Sends the ingress's messages to any node, to the local one without a
// connection. Used on the ingress thread only.
class Transport {
 public:
  // Passes a message to the local egress. Its result is delivered by
  // Ingress::OnLocalResult().
  using LocalSender = std::function<void(Message)>;

  Transport(asio::io_context& io,
            const PeerLinks::Options& options,
            PeerLinks::Handlers handlers,
            LocalSender local_sender)
      : m_local_node(options.m_local_node),
        m_links(io, options, std::move(handlers)),
        m_local_sender(std::move(local_sender)) {}

  // Returns false when the message can't be queued; it is then never sent.
  bool Send(NodeId node, Message message) {
    if (node == m_local_node) {
      m_local_sender(std::move(message));
      return true;
    }
    return m_links.Send(node, std::move(message));
  }

  // Removes a dispatch that is still waiting for a connection. True means that
  // it is never sent.
  bool Withdraw(NodeId node, const AttemptId& attempt) {
    return node != m_local_node && m_links.Withdraw(node, attempt);
  }

  void CloseAll() { m_links.CloseAll(); }

 private:
  NodeId m_local_node;
  PeerLinks m_links;
  LocalSender m_local_sender;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_NODE_TRANSPORT_P_H_
