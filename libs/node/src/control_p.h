#ifndef SEQUOIASTAGE_NODE_CONTROL_P_H_
#define SEQUOIASTAGE_NODE_CONTROL_P_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "config_feed_p.h"
#include "config_relay_p.h"
#include "egress_p.h"
#include "ejection_keeper_p.h"
#include "gossip_socket_p.h"
#include "instance_table_p.h"
#include "node_admin_p.h"
#include "node_view_p.h"
#include "sequoiastage/http/http_server.h"
#include "sequoiastage/membership/membership.h"
#include "sequoiastage/settings/node_settings.h"

namespace sequoiastage {

// Owns what the node knows of the fleet: members, own instances, configuration.
// Hands the traffic threads whole, immutable views. Owned by the control
// thread.
class Control {
 public:
  struct Outputs {
    std::function<void(NodeViewPtr)> m_on_view;
    std::function<void(std::vector<LocalInstance>)> m_on_instances;
    std::function<void(InstanceId, PeerBaseline)> m_on_baseline;
    // Loads of instances beside other nodes, for a service of an own instance.
    std::function<void(ServiceId, std::vector<InstanceLoad>)> m_on_siblings;
    // The fleet knows a greater incarnation of this node. Called once.
    std::function<void(Incarnation)> m_on_superseded;
    // Asks for the outcome of an idempotency key; calls back on the control
    // thread.
    std::function<void(const std::string&, std::function<void(HttpResponse)>)>
        m_look_up_key;
  };

  Control(asio::io_context& io,
          const NodeSettings& settings,
          Incarnation incarnation,
          Outputs outputs);

  // Binds. False with LastReason() when an address can't be had.
  bool Start();
  void Stop();
  const std::string& LastReason() const { return m_last_reason; }

  // The egress's news of its instances, a few times a second.
  void OnReports(const std::vector<InstanceReport>& reports);

  // The counters of the traffic threads, a few times a second.
  void SetTraffic(const TrafficStats& traffic) { m_traffic = traffic; }

  // What a peer asks for of the configuration.
  ConfigReplyMessage AnswerPeer(const ConfigRequestMessage& request) const {
    return m_config.AnswerPeer(request);
  }

  // The node takes no new work (kDraining) or has ended (kLeft).
  void SetHostState(HostState state);

 private:
  void Tick();
  void ArmTick();
  void Publish();
  void PublishOwn();
  void PublishView();
  void CheckIncarnation();
  void TakeGroupReports();
  void UpdateSiblings();
  std::vector<InstanceLoad> LoadsElsewhere(ServiceId service,
                                           TimePoint now) const;
  void SetGroupReports(const std::vector<InstanceReport>& reports);
  std::vector<LocalInstance> MakeLocalInstances() const;

  void OnAnnounceRequest(const HttpRequest& request, HttpResponder responder);
  HttpResponse Announce(const std::string& body);
  HttpResponse Leave(const std::string& body);
  bool IsAllowed(InstanceId id) const;

  NodeAdminParts MakeAdminParts();

  const NodeSettings& m_settings;
  Outputs m_outputs;
  Membership m_membership;
  GossipSocket m_gossip;
  HttpServer m_announce;
  ConfigFeed m_config;
  ConfigRelay m_relay;
  EjectionKeeper m_ejections;
  InstanceTable m_instances;
  Siblings m_siblings;
  TrafficStats m_traffic;
  NodeAdmin m_admin;
  asio::steady_timer m_tick;
  HostState m_host_state = HostState::kLive;
  uint64_t m_published_change = 0;
  bool m_is_superseded = false;
  bool m_is_view_due = true;
  TimePoint m_next_view;
  std::vector<LocalInstance> m_published_instances;
  std::string m_last_reason;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_NODE_CONTROL_P_H_
