#ifndef SEQUOIASTAGE_MESH_MESH_SETTINGS_H_
#define SEQUOIASTAGE_MESH_MESH_SETTINGS_H_

#include <cstddef>
#include <optional>
#include <string>

#include "sequoiastage/base/ids.h"
#include "sequoiastage/base/time.h"
#include "sequoiastage/limits/repeat_allowance.h"

namespace sequoiastage {

/// What a mesh node has to know at its start. An adapter makes it from the
/// platform's settings file.
struct MeshSettings {
  /// Where callers on this host, and its instance, send requests.
  Endpoint m_callers;
  /// Where the platform asks whether the node is ready.
  Endpoint m_ready;
  /// Where the instance announces itself.
  Endpoint m_control;
  /// Connections between nodes; also the node's identity.
  Endpoint m_peer;
  /// Where the node listens for them when something stands at m_peer.
  std::optional<Endpoint> m_peer_bind;
  /// Metrics as text.
  std::optional<Endpoint> m_metrics;
  std::string m_region;
  std::string m_domain;
  /// Service that runs on this host.
  std::string m_service;
  /// All nodes of the deployment start now for the first time.
  bool m_is_first_start = false;
  /// From the request to stop until the process is killed.
  Duration m_grace = std::chrono::seconds(6);
  RetryAllowanceOptions m_repeats{};
  /// Bodies of callers' requests that are held at a time; a larger one is
  /// refused.
  size_t m_max_held_bytes = size_t{24} << 20;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MESH_MESH_SETTINGS_H_
