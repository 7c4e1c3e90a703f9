#ifndef SEQUOIASTAGE_NODE_TRANSPORT_P_H_
#define SEQUOIASTAGE_NODE_TRANSPORT_P_H_

#include <functional>

#include "peer_links_p.h"
#include "sequoiastage/wire/messages.h"

namespace sequoiastage {

// Takes the ingress's messages to any node; to the own one without a
// connection. Owned by the ingress thread.
class Transport {
 public:
  // Hands a message to the own egress; results come back by OnMessage().
  using LocalSender = std::function<void(Message)>;

  Transport(asio::io_context& io,
            const PeerLinks::Options& options,
            PeerLinks::Handlers handlers,
            LocalSender local)
      : m_own(options.m_own),
        m_links(io, options, std::move(handlers)),
        m_local(std::move(local)) {}

  // False when the message can't be queued; it was not sent then.
  bool Send(NodeId node, Message message) {
    if (node == m_own) {
      m_local(std::move(message));
      return true;
    }
    return m_links.Send(node, std::move(message));
  }

  // Takes a dispatch back that still waits for a connection. True: it was
  // not sent and never will be.
  bool Withdraw(NodeId node, const AttemptId& attempt) {
    return node != m_own && m_links.Withdraw(node, attempt);
  }

  void CloseAll() { m_links.CloseAll(); }

 private:
  NodeId m_own;
  PeerLinks m_links;
  LocalSender m_local;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_NODE_TRANSPORT_P_H_
