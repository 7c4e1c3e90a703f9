#ifndef SEQUOIASTAGE_SETTINGS_NODE_SETTINGS_H_
#define SEQUOIASTAGE_SETTINGS_NODE_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sequoiastage/base/findings.h"
#include "sequoiastage/base/ids.h"

namespace sequoiastage {

/// Local settings of one node. All other configuration comes from its peers and
/// from the log.
///
/// The file is one JSON object. The key of each setting is the name of the
/// member without "m_" and without its unit. Endpoints are objects; sizes and
/// times are strings with a unit:
///
///   {"listen": {"ip": "127.0.1.1", "port": 8080},
///    "peer": {"ip": "127.0.1.1", "port": 8081},
///    "admin": {"ip": "127.0.1.1", "port": 8082},
///    "announce": {"ip": "127.0.1.1", "port": 8083},
///    "region": "south", "failure_domain": "south-a", "site": "znojmo",
///    "log": {"ip": "127.0.0.2", "port": 9000},
///    "seeds": [{"ip": "127.0.2.1", "port": 8081}],
///    "max_body": "4MiB", "drain_timeout": "30s"}
struct NodeSettings {
  /// Endpoint for HTTP requests of callers. Required.
  Endpoint m_listen;
  /// Endpoint for TCP and UDP traffic between nodes; also the identity of the
  /// node. Required.
  Endpoint m_peer;
  /// Local endpoint to bind for traffic between nodes, when `m_peer` is reached
  /// through network address translation. See PeerBindEndpoint().
  std::optional<Endpoint> m_peer_bind;
  /// Endpoint of the administration API and of the metrics. Required.
  Endpoint m_admin;
  /// Bearer token of the administration API: at least 16 characters of
  /// printable ASCII without spaces. Without a token, `m_admin` must be in
  /// 127.0.0.0/8.
  std::string m_admin_token;
  /// Endpoint at which instances on this host announce themselves. Required, in
  /// 127.0.0.0/8.
  Endpoint m_announce;
  /// Required.
  std::string m_region;
  /// Required.
  std::string m_failure_domain;
  /// Name of the configuration overlay that applies to this node. Required.
  std::string m_site;
  /// Endpoint of the platform's append-only log service. Required.
  Endpoint m_log;
  /// Peer endpoints of the nodes to query first for the member list. Optional.
  std::vector<Endpoint> m_seeds;
  /// Instances allowed to announce themselves to this node. Empty: any instance
  /// on an address of this node or on loopback.
  std::vector<Endpoint> m_allowed_instances;

  /// Largest header section of a caller request, in bytes. Key "max_header"; 1
  /// KiB to 1 MiB.
  uint32_t m_max_header_bytes = 32 * 1024;
  /// Largest body of a request or a response, in bytes. Key "max_body"; 1 KiB
  /// to 256 MiB.
  uint32_t m_max_body_bytes = 4 * 1024 * 1024;
  /// Requests and responses of callers held in memory, in bytes: above three
  /// quarters of it, connections are closed whose callers don't read their
  /// responses. Key "max_held"; 1 MiB to 64 GiB.
  uint64_t m_max_held_bytes = uint64_t{64} << 20;
  /// Largest number of connections of callers; 0: half of the descriptors that
  /// the process may open. At the limit, the connection that has had no request
  /// for longest is closed. Up to 1,000,000.
  uint32_t m_max_connections = 0;
  /// Largest number of caller requests in flight; 1 to 1,000,000.
  uint32_t m_max_in_flight = 4096;
  /// Deadline of a request that specifies none; 1 ms to 1 h.
  std::chrono::milliseconds m_default_deadline{10'000};
  /// How long a shutdown waits for requests in flight; 1 ms to 1 h.
  std::chrono::milliseconds m_drain_timeout{30'000};
};

/// Parses the settings from JSON `text`. Empty when there is any fault; each
/// fault is then added to `findings` with `source` and its JSON pointer.
std::optional<NodeSettings> ParseNodeSettings(std::string_view text,
                                              const std::string& source,
                                              Findings* findings);

/// Like ParseNodeSettings() for the content of the file `path`. A file that
/// can't be read is also a finding.
std::optional<NodeSettings> LoadNodeSettings(const std::string& path,
                                             Findings* findings);

/// Local endpoint to bind for traffic between nodes: `m_peer_bind` if set,
/// otherwise `m_peer`.
Endpoint PeerBindEndpoint(const NodeSettings& settings);

/// Whether `ip`, in host byte order, is in 127.0.0.0/8.
bool IsLoopback(uint32_t ip);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_SETTINGS_NODE_SETTINGS_H_
