#ifndef SEQUOIASTAGE_NODE_CONFIG_RELAY_P_H_
#define SEQUOIASTAGE_NODE_CONFIG_RELAY_P_H_

#include <asio/io_context.hpp>
#include <random>
#include <vector>

#include "config_feed_p.h"
#include "peer_links_p.h"
#include "sequoiastage/membership/membership.h"

namespace sequoiastage {

// Fetches configuration from peers. A few nodes of each failure domain read the
// log; the others request changes from a peer whose member entry has a newer
// version. While the log is unreachable, the log readers do so too. Used on the
// control thread only.
class ConfigRelay {
 public:
  ConfigRelay(asio::io_context& io,
              const PeerLinks::Options& options,
              const Membership* membership,
              ConfigFeed* feed);

  // Must be called about every 100 ms.
  void OnTick(TimePoint now);
  void Stop() { m_links.CloseAll(); }

 private:
  bool ShouldReadLog() const;
  // Returns a random peer with a newer version, from the local failure domain
  // if there is one.
  std::optional<NodeId> PickPeerAhead();
  void RequestConfig(NodeId peer, TimePoint now);

  const Membership* m_membership;
  ConfigFeed* m_feed;
  PeerLinks m_links;
  PeerLinks::Options m_options;
  std::mt19937_64 m_random;
  uint64_t m_last_request = 0;
  TimePoint m_next_check;
  // No other request is sent before this time.
  TimePoint m_reply_deadline;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_NODE_CONFIG_RELAY_P_H_
