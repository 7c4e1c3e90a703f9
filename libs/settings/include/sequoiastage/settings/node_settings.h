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

/// What one node has to know at its start. All else comes from its peers and
/// from the log.
///
/// The file is one JSON object; the key of each setting is the member's name
/// without "m_" (and without its unit). Endpoints are objects, sizes and times
/// are texts with a unit:
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
  /// Where callers send HTTP requests. Required.
  Endpoint m_listen;
  /// TCP and UDP between nodes; also the node's identity. Required.
  Endpoint m_peer;
  /// Where the node binds for its peers, when something that translates
  /// addresses stands between it and `m_peer`.
  std::optional<Endpoint> m_peer_bind;
  /// Administration API and metrics. Required.
  Endpoint m_admin;
  /// Bearer token of the administration API. Without one, `m_admin` has to be
  /// in 127.0.0.0/8.
  std::string m_admin_token;
  /// Where the instances on this host announce themselves. Required, in
  /// 127.0.0.0/8.
  Endpoint m_announce;
  /// Required.
  std::string m_region;
  /// Required.
  std::string m_failure_domain;
  /// Names the configuration overlay this node takes. Required.
  std::string m_site;
  /// The platform's append-only log service. Required.
  Endpoint m_log;
  /// Peer endpoints of nodes to ask for members first. May be empty.
  std::vector<Endpoint> m_seeds;
  /// Instances that may announce themselves here. Empty: any on this node's
  /// own address or on loopback.
  std::vector<Endpoint> m_allowed_instances;

  /// Largest header section of a caller's request. Key "max_header".
  uint32_t m_max_header_bytes = 32 * 1024;
  /// Largest body of a request or an answer. Key "max_body".
  uint32_t m_max_body_bytes = 4 * 1024 * 1024;
  /// Requests that may be in flight from callers at once.
  uint32_t m_max_in_flight = 4096;
  /// Deadline of a request that names none.
  std::chrono::milliseconds m_default_deadline{10'000};
  /// How long a shutdown waits for requests in flight.
  std::chrono::milliseconds m_drain_timeout{30'000};
};

/// Reads the settings from JSON `text`. Empty when anything is wrong; every
/// fault is then in `findings`, each with `source` and the JSON pointer.
std::optional<NodeSettings> ParseNodeSettings(std::string_view text,
                                              const std::string& source,
                                              Findings* findings);

/// As ParseNodeSettings() on the content of the file `path`. A file that
/// can't be read is a finding too.
std::optional<NodeSettings> LoadNodeSettings(const std::string& path,
                                             Findings* findings);

/// `m_peer_bind`, or `m_peer` without one.
Endpoint PeerBindOf(const NodeSettings& settings);

/// True for 127.0.0.0/8. `ip` is in host byte order.
bool IsLoopback(uint32_t ip);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_SETTINGS_NODE_SETTINGS_H_
