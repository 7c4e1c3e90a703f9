#include "sequoiastage/routing/path_monitor.h"

#include <algorithm>

namespace sequoiastage {

void PathMonitor::OnSent(NodeId peer, TimePoint now) {
  Path& path = m_paths[peer];
  path.m_last_sent_at = now;
  if (path.m_in_flight++ == 0 && path.m_state == State::kGood) {
    path.m_silent_since = now;
  }
}

void PathMonitor::OnEnded(NodeId peer, TimePoint /*now*/) {
  const auto found = m_paths.find(peer);
  if (found != m_paths.end() && found->second.m_in_flight > 0) {
    --found->second.m_in_flight;
  }
}

void PathMonitor::OnFrame(NodeId peer, TimePoint now) {
  Path& path = m_paths[peer];
  path.m_silent_since = now;
  path.m_last_frame_at = now;
  if (path.m_state == State::kSuspect) {
    path.m_good_since = now;
  }
  path.m_state = State::kGood;
}

void PathMonitor::OnConnectionFailed(NodeId peer, TimePoint now) {
  Path& path = m_paths[peer];
  if (path.m_state != State::kSuspect) {
    MarkSuspect(path, now);
  }
}

std::vector<NodeId> PathMonitor::OnTick(TimePoint now) {
  std::vector<NodeId> probes;
  for (auto& [peer, path] : m_paths) {
    if (UpdatePath(path, now)) {
      probes.push_back(peer);
    }
  }
  if (now >= m_next_idle_probe) {
    ProbeLongestIdle(now, probes);
  }
  // Remove paths that are good, idle and have no recent failure.
  std::erase_if(m_paths, [&](const auto& item) {
    const Path& path = item.second;
    return path.m_state == State::kGood && path.m_in_flight == 0 &&
           now - path.m_silent_since > m_options.m_backoff_reset &&
           now - path.m_good_since > m_options.m_backoff_reset;
  });
  return probes;
}

bool PathMonitor::IsIdleProbeDue(const Path& path, TimePoint now) const {
  return path.m_state == State::kGood && path.m_in_flight == 0 &&
         now - path.m_last_sent_at < m_options.m_idle_probe_window &&
         now - path.m_last_frame_at >= m_options.m_idle_probe_after;
}

void PathMonitor::ProbeLongestIdle(TimePoint now, std::vector<NodeId>& probes) {
  const std::pair<const NodeId, Path>* longest = nullptr;
  for (const auto& item : m_paths) {
    if (IsIdleProbeDue(item.second, now) &&
        (longest == nullptr ||
         item.second.m_last_frame_at < longest->second.m_last_frame_at)) {
      longest = &item;
    }
  }
  if (longest == nullptr) {
    return;
  }
  Path& path = m_paths[longest->first];
  path.m_state = State::kProbing;
  path.m_last_probe_at = now;
  probes.push_back(longest->first);
  m_next_idle_probe = now + m_options.m_idle_probe_spacing;
}

bool PathMonitor::IsSuspect(NodeId peer) const {
  const auto found = m_paths.find(peer);
  return found != m_paths.end() && found->second.m_state == State::kSuspect;
}

std::size_t PathMonitor::SuspectCount() const {
  return std::count_if(m_paths.begin(), m_paths.end(), [](const auto& item) {
    return item.second.m_state == State::kSuspect;
  });
}

void PathMonitor::MarkSuspect(Path& path, TimePoint now) {
  const bool was_good_long =
      now - path.m_good_since > m_options.m_backoff_reset;
  path.m_backoff = was_good_long || path.m_backoff == Duration::zero()
                       ? m_options.m_backoff_min
                       : std::min(2 * path.m_backoff, m_options.m_backoff_max);
  path.m_state = State::kSuspect;
  path.m_last_probe_at = now;
}

bool PathMonitor::UpdatePath(Path& path, TimePoint now) {
  switch (path.m_state) {
    case State::kGood:
      if (path.m_in_flight == 0 ||
          now - path.m_silent_since < m_options.m_probe_after) {
        return false;
      }
      path.m_state = State::kProbing;
      path.m_last_probe_at = now;
      return true;
    case State::kProbing:
      if (now - path.m_last_probe_at >= m_options.m_suspect_after) {
        MarkSuspect(path, now);
      }
      return false;
    case State::kSuspect:
      if (now - path.m_last_probe_at < path.m_backoff) {
        return false;
      }
      path.m_last_probe_at = now;
      path.m_backoff = std::min(2 * path.m_backoff, m_options.m_backoff_max);
      return true;
  }
  return false;
}

}  // namespace sequoiastage
