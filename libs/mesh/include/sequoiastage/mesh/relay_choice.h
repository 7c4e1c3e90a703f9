#ifndef SEQUOIASTAGE_MESH_RELAY_CHOICE_H_
#define SEQUOIASTAGE_MESH_RELAY_CHOICE_H_

#include <optional>
#include <unordered_map>
#include <vector>

#include "sequoiastage/base/ids.h"
#include "sequoiastage/base/time.h"

namespace sequoiastage {

struct RelayChoiceOptions {
  /// What a relay knows may be so old. A node whose relay falls behind reads
  /// the store itself, in time for the bound on changes.
  Duration m_max_age = std::chrono::milliseconds(1700);
  /// A relay that fell behind is not asked again for so long.
  Duration m_avoid = std::chrono::seconds(8);
};

/// Decides whether a node reads the store itself or has it from another node
/// of its region.
///
/// Load pattern: every change wakes whoever waits for it at the store, and goes
/// once between regions for each of them. So one node in each region reads, and
/// passes on what it reads with the age of its knowledge. The order of nodes is
/// the same everywhere; whoever finds the first one behind takes the next one,
/// and reads for itself until that one is up to date.
class RelayChoice {
 public:
  explicit RelayChoice(NodeId own, const RelayChoiceOptions& options = {})
      : m_own(own), m_options(options) {}

  /// Nodes of the region, the own one included.
  void SetRegion(std::vector<NodeId> nodes);

  /// A relay said how old its knowledge is.
  void OnRelayed(NodeId relay, Duration age, TimePoint now);

  /// The connection to a relay was lost.
  void OnLost(NodeId relay, TimePoint now);

  /// Node to have changes from; empty: this node itself.
  std::optional<NodeId> Relay(TimePoint now);

  /// Whether this node has to read the store now.
  bool MustRead(TimePoint now);

  /// Age of what the relay has told; empty when it has told nothing.
  std::optional<Duration> RelayAge(TimePoint now) const;

 private:
  bool IsAvoided(NodeId node, TimePoint now) const;

  NodeId m_own;
  RelayChoiceOptions m_options;
  // In the order in which they are to be relays.
  std::vector<NodeId> m_nodes;
  std::unordered_map<NodeId, TimePoint> m_avoid_until;
  std::optional<NodeId> m_relay;
  TimePoint m_chosen_at{};
  // When what the relay told last was in force at the store.
  std::optional<TimePoint> m_fresh_at;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MESH_RELAY_CHOICE_H_
