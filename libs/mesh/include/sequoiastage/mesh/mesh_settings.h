#ifndef SEQUOIASTAGE_MESH_MESH_SETTINGS_H_
#define SEQUOIASTAGE_MESH_MESH_SETTINGS_H_

#include <cstddef>
#include <optional>
#include <string>

#include "sequoiastage/base/ids.h"
#include "sequoiastage/base/time.h"
#include "sequoiastage/limits/account_quota.h"
#include "sequoiastage/limits/retry_allowance.h"

namespace sequoiastage {

/// Startup settings of a mesh node. An adapter fills them from the platform's
/// settings file.
struct MeshSettings {
  /// Listens for requests of callers on this host, including its instance.
  Endpoint m_callers;
  /// Listens for readiness probes of the platform.
  Endpoint m_ready;
  /// Listens for announcements of the instance.
  Endpoint m_control;
  /// Address that other nodes connect to; also the identity of the node.
  Endpoint m_peer;
  /// Address to listen on for other nodes when a forwarder listens at m_peer;
  /// empty: m_peer.
  std::optional<Endpoint> m_peer_bind;
  /// Listens for scrapes of the Prometheus metrics; empty: not served.
  std::optional<Endpoint> m_metrics;
  std::string m_region;
  std::string m_domain;
  /// Service of the instance on this host.
  std::string m_service;
  /// All nodes of the deployment are starting for the first time, at the same
  /// time.
  bool m_is_first_start = false;
  /// Time from the stop request until the process is killed.
  Duration m_grace = std::chrono::seconds(6);
  RetryAllowanceOptions m_retry_budget{};
  AccountQuotaOptions m_quota{};
  /// See EgressOptions::m_limits_callers. Off: where instances shed at random,
  /// the limits refused requests that would have been served.
  bool m_limits_callers = false;
  /// Limit on callers' request bodies held in memory at a time, in bytes. A
  /// larger body is refused.
  size_t m_max_held_bytes = size_t{24} << 20;
  /// Budget for all message bytes that the node holds; see ByteBudget. Requests
  /// are refused for it only while the configuration manages load; connections
  /// whose callers don't read are closed for it at any time.
  size_t m_byte_budget = size_t{64} << 20;
  /// Connections of callers at a time.
  size_t m_max_connections = 4096;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MESH_MESH_SETTINGS_H_
