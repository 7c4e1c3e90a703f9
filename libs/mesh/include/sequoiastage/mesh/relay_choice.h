#ifndef SEQUOIASTAGE_MESH_RELAY_CHOICE_H_
#define SEQUOIASTAGE_MESH_RELAY_CHOICE_H_

#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "sequoiastage/base/ids.h"
#include "sequoiastage/base/time.h"

namespace sequoiastage {

struct RelayChoiceOptions {
  /// Maximum age of a relay's data. A node whose relay falls further behind
  /// reads the store itself, early enough to meet the bound on the propagation
  /// of changes.
  Duration m_max_age = std::chrono::milliseconds(1700);
  /// Time for which a relay that fell behind is not used.
  Duration m_avoid_period = std::chrono::seconds(8);
  /// Number of nodes, in the order of relays, that read the store as soon as
  /// their relay is out of date; in a smaller region, all nodes do.
  size_t m_first_readers = 16;
  /// Time for which the other nodes wait for one of them.
  Duration m_backup_delay = std::chrono::milliseconds(500);
  /// Rate at which the nodes of a region together begin to read the
  /// configuration, in bytes per millisecond (32 Mbit/s).
  size_t m_max_read_rate = 4000;
};

/// Which topics of the store a node reads itself.
enum class ReadScope : uint8_t {
  kNone,
  /// All topics, as a relay or in place of one.
  kAll,
  /// Only the configuration, and less often while the store fails.
  kBackup,
};

std::string_view ToString(ReadScope scope);

/// Decides whether a node reads the store itself or receives updates from
/// another node of its region.
///
/// Load pattern: every change completes the pending read of each reader of the
/// store, and crosses the region boundary once per reader. Therefore one node
/// in each region reads the store and relays its records with the age of its
/// data. All nodes use the same order of relays. A node that finds its relay
/// out of date selects the next one, and reads the store itself until that
/// relay is up to date.
///
/// Load pattern: the store is away, or turns away many nodes, so that no relay
/// of a region is up to date. If all nodes then read the store, the number of
/// failing calls grows with the fleet. Only the first nodes in the order of
/// relays do so at once. The others wait for one of them, then read only the
/// configuration.
///
/// Load pattern: the configuration is large, and the line that the nodes of a
/// region share takes a second for a few copies of it. If all nodes read it as
/// soon as their relay is out of date, none gets it in time. They begin one
/// after the other, so that most are served by those before them.
class RelayChoice {
 public:
  explicit RelayChoice(NodeId self, const RelayChoiceOptions& options = {})
      : m_self(self), m_options(options) {}

  /// Sets the nodes of the region. The local node is added if it is missing.
  void SetRegion(std::vector<NodeId> nodes);

  /// Sets the size of the configuration that a node would read.
  void SetConfigBytes(size_t bytes) { m_config_bytes = bytes; }

  /// Called when a relay reports the age of its data.
  void OnRelayReport(NodeId relay, Duration age, TimePoint now);

  /// Called when the connection to a relay was lost.
  void OnLost(NodeId relay, TimePoint now);

  /// Node to receive updates from; empty when this node is to read the store.
  std::optional<NodeId> Relay(TimePoint now);

  /// What this node has to read from the store now.
  ReadScope Scope(TimePoint now);

  /// The relay that was last found out of date, with the age of its data;
  /// empties the result of the next call.
  std::optional<std::pair<NodeId, Duration>> TakeOutdated() {
    return std::exchange(m_outdated, std::nullopt);
  }

  /// Age of the relay's data; empty before its first report.
  std::optional<Duration> RelayAge(TimePoint now) const;

 private:
  bool IsAvoided(NodeId node, TimePoint now) const;

  NodeId m_self;
  RelayChoiceOptions m_options;
  // Sorted by relay preference.
  std::vector<NodeId> m_nodes;
  size_t m_config_bytes = 0;
  std::unordered_map<NodeId, TimePoint> m_avoid_until;
  std::optional<NodeId> m_relay;
  TimePoint m_chosen_at{};
  std::optional<std::pair<NodeId, Duration>> m_outdated;
  // Since when no relay has been up to date; empty while one is.
  std::optional<TimePoint> m_outdated_since;
  // Time up to which the relay's data is known to be current.
  std::optional<TimePoint> m_current_at;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MESH_RELAY_CHOICE_H_
