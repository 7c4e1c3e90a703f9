#ifndef SEQUOIASTAGE_ROUTING_PATH_JUDGE_H_
#define SEQUOIASTAGE_ROUTING_PATH_JUDGE_H_

#include <chrono>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "sequoiastage/base/ids.h"
#include "sequoiastage/base/time.h"

namespace sequoiastage {

struct PathJudgeOptions {
  /// Silence with work under way after which the peer is probed.
  Duration m_probe_after = std::chrono::milliseconds(100);
  /// Silence after a probe that makes the path suspect. Has to exceed the round
  /// trip to the farthest region.
  Duration m_suspect_after = std::chrono::milliseconds(250);
  /// A path that had work in the last m_idle_probe_time, but has none now, is
  /// probed after this silence. At most one of all such paths in each
  /// m_idle_probe_spacing, the longest silent first.
  Duration m_idle_probe_after = std::chrono::milliseconds(1500);
  Duration m_idle_probe_time = std::chrono::seconds(10);
  Duration m_idle_probe_spacing = std::chrono::milliseconds(500);
  /// Wait between probes of a suspect path, doubled each time.
  Duration m_backoff_min = std::chrono::milliseconds(500);
  Duration m_backoff_max = std::chrono::seconds(30);
  /// A path that was good for so long starts again with the shortest wait.
  Duration m_backoff_reset = std::chrono::seconds(60);
};

/// This node's own evidence about the paths to its peers: no connection, no
/// answer, a cut in one direction, a frozen peer. Says nothing about instances:
/// a peer that answers probes while its work is slow has a good path. The
/// verdict orders for this node alone. One owner thread.
class PathJudge {
 public:
  explicit PathJudge(PathJudgeOptions options = {}) : m_options(options) {}

  /// Work went out to `peer`.
  void OnSent(NodeId peer, TimePoint now);
  /// Work at `peer` is over for this node: answered, cancelled or out of time.
  void OnEnded(NodeId peer, TimePoint now);
  /// A whole frame of any kind came from `peer`.
  void OnFrame(NodeId peer, TimePoint now);
  /// A connection could not be opened or was lost.
  void OnConnectionFailed(NodeId peer, TimePoint now);

  /// The peers to send a probe to now; a peer answers one with a frame at once.
  /// For a peer without connection the probe is to open one. To be called every
  /// 50 ms or so.
  std::vector<NodeId> OnTick(TimePoint now);

  bool IsSuspect(NodeId peer) const;
  /// Suspect paths.
  std::size_t SuspectCount() const;

 private:
  enum class State : uint8_t { kGood, kProbing, kSuspect };
  struct Path {
    State m_state = State::kGood;
    uint32_t m_in_flight = 0;
    TimePoint m_worked_at{};
    TimePoint m_heard_at{};
    /// Start of the silence that counts: the last frame, or the first work
    /// sent after a time without any.
    TimePoint m_silent_since{};
    TimePoint m_probed_at{};
    TimePoint m_good_since{};
    Duration m_backoff{};
  };

  void MakeSuspect(Path& path, TimePoint now);
  bool TickPath(Path& path, TimePoint now);
  bool IsIdleAndUnheard(const Path& path, TimePoint now) const;
  void ProbeLongestIdle(TimePoint now, std::vector<NodeId>& probes);

  PathJudgeOptions m_options;
  std::unordered_map<NodeId, Path> m_paths;
  TimePoint m_next_idle_probe{};
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_ROUTING_PATH_JUDGE_H_
