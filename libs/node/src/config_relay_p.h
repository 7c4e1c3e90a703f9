#ifndef SEQUOIASTAGE_NODE_CONFIG_RELAY_P_H_
#define SEQUOIASTAGE_NODE_CONFIG_RELAY_P_H_

#include <asio/io_context.hpp>
#include <random>
#include <vector>

#include "config_feed_p.h"
#include "peer_links_p.h"
#include "sequoiastage/membership/membership.h"

namespace sequoiastage {

// Gets configuration from peers. A few nodes of each failure domain read the
// log; the others see in the member list that a peer is ahead and ask it. While
// the log is down all nodes do. Owned by the control thread.
class ConfigRelay {
 public:
  ConfigRelay(asio::io_context& io,
              const PeerLinks::Options& options,
              const Membership* membership,
              ConfigFeed* feed);

  // To be called every 100 ms.
  void OnTick(TimePoint now);
  void Stop() { m_links.CloseAll(); }

 private:
  bool IsOwnReader() const;
  // A peer that is ahead, of the own failure domain where there is one.
  std::optional<NodeId> PickPeerAhead();
  void Ask(NodeId peer, TimePoint now);

  const Membership* m_membership;
  ConfigFeed* m_feed;
  PeerLinks m_links;
  PeerLinks::Options m_options;
  std::mt19937_64 m_random;
  uint64_t m_last_request = 0;
  TimePoint m_next_look;
  // No other request is sent before.
  TimePoint m_answer_until;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_NODE_CONFIG_RELAY_P_H_
