#ifndef SEQUOIASTAGE_ROUTING_PATH_MONITOR_H_
#define SEQUOIASTAGE_ROUTING_PATH_MONITOR_H_

#include <chrono>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "sequoiastage/base/ids.h"
#include "sequoiastage/base/time.h"

namespace sequoiastage {

struct PathMonitorOptions {
  /// With requests in flight, the peer is probed after this silence.
  Duration m_probe_after = std::chrono::milliseconds(100);
  /// Silence after a probe that makes the path suspect. Must exceed the round
  /// trip time to the farthest region.
  Duration m_suspect_after = std::chrono::milliseconds(250);
  /// An idle path that was used within m_idle_probe_window is probed after this
  /// silence. At most one idle path is probed per m_idle_probe_spacing, the one
  /// with the longest silence first.
  Duration m_idle_probe_after = std::chrono::milliseconds(1500);
  Duration m_idle_probe_window = std::chrono::seconds(10);
  Duration m_idle_probe_spacing = std::chrono::milliseconds(500);
  /// Interval between probes of a suspect path; doubles after each probe.
  Duration m_backoff_min = std::chrono::milliseconds(500);
  Duration m_backoff_max = std::chrono::seconds(30);
  /// The backoff is reset after the path has been good for longer than this.
  Duration m_backoff_reset = std::chrono::seconds(60);
};

/// Detects failed paths from this node to its peers: lost connections, missing
/// responses, one-way partitions and frozen peers. It does not assess
/// instances: a peer that responds to probes has a good path even if its work
/// is slow. The result affects only this node's routing order. Not thread-safe.
class PathMonitor {
 public:
  explicit PathMonitor(PathMonitorOptions options = {}) : m_options(options) {}

  /// A request was sent to `peer`.
  void OnSent(NodeId peer, TimePoint now);
  /// A request to `peer` was answered, was cancelled or timed out.
  void OnEnded(NodeId peer, TimePoint now);
  /// A complete frame of any kind was received from `peer`.
  void OnFrame(NodeId peer, TimePoint now);
  /// A connection to `peer` could not be opened or was lost.
  void OnConnectionFailed(NodeId peer, TimePoint now);

  /// Returns the peers to probe now. A peer responds to a probe immediately
  /// with a frame; for a peer without a connection, the probe opens one. Call
  /// about every 50 ms.
  std::vector<NodeId> OnTick(TimePoint now);

  bool IsSuspect(NodeId peer) const;
  /// Number of suspect paths.
  std::size_t SuspectCount() const;

 private:
  enum class State : uint8_t { kGood, kProbing, kSuspect };
  struct Path {
    State m_state = State::kGood;
    uint32_t m_in_flight = 0;
    TimePoint m_last_sent_at{};
    TimePoint m_last_frame_at{};
    /// Start of the silence: the last frame, or the first request sent after an
    /// idle period.
    TimePoint m_silent_since{};
    TimePoint m_last_probe_at{};
    TimePoint m_good_since{};
    Duration m_backoff{};
  };

  void MarkSuspect(Path& path, TimePoint now);
  bool UpdatePath(Path& path, TimePoint now);
  bool IsIdleProbeDue(const Path& path, TimePoint now) const;
  void ProbeLongestIdle(TimePoint now, std::vector<NodeId>& probes);

  PathMonitorOptions m_options;
  std::unordered_map<NodeId, Path> m_paths;
  TimePoint m_next_idle_probe{};
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_ROUTING_PATH_MONITOR_H_
