#include "sequoiastage/mesh/relay_choice.h"

#include <algorithm>
#include <functional>

namespace sequoiastage {

std::string_view ToString(ReadScope scope) {
  switch (scope) {
    case ReadScope::kNone:
      return "none";
    case ReadScope::kAll:
      return "all";
    case ReadScope::kBackup:
      return "backup";
  }
  return "invalid";
}

void RelayChoice::SetRegion(std::vector<NodeId> nodes) {
  if (std::find(nodes.begin(), nodes.end(), m_self) == nodes.end()) {
    nodes.push_back(m_self);
  }
  std::sort(nodes.begin(), nodes.end(), [](NodeId a, NodeId b) {
    const std::hash<Endpoint> hash;
    return std::pair(hash(a.Get()), a) < std::pair(hash(b.Get()), b);
  });
  m_nodes = std::move(nodes);
}

void RelayChoice::OnRelayReport(NodeId relay, Duration age, TimePoint now) {
  if (relay == m_relay) {
    m_current_at = std::max(m_current_at.value_or(TimePoint{}), now - age);
  }
}

void RelayChoice::OnLost(NodeId relay, TimePoint now) {
  if (relay == m_relay) {
    m_avoid_until[relay] = now + m_options.m_avoid_period;
  }
}

bool RelayChoice::IsAvoided(NodeId node, TimePoint now) const {
  const auto found = m_avoid_until.find(node);
  return found != m_avoid_until.end() && now < found->second;
}

std::optional<NodeId> RelayChoice::Relay(TimePoint now) {
  if (m_relay && !IsAvoided(*m_relay, now) &&
      now - std::max(m_chosen_at, m_current_at.value_or(TimePoint{})) >
          m_options.m_max_age) {
    m_avoid_until[*m_relay] = now + m_options.m_avoid_period;
    m_outdated.emplace(
        *m_relay,
        now - std::max(m_chosen_at, m_current_at.value_or(TimePoint{})));
  }
  const auto preferred = std::find_if(
      m_nodes.begin(), m_nodes.end(),
      [&](NodeId node) { return node == m_self || !IsAvoided(node, now); });
  const std::optional<NodeId> relay =
      preferred == m_nodes.end() || *preferred == m_self
          ? std::nullopt
          : std::optional(*preferred);
  if (relay != m_relay) {
    m_relay = relay;
    m_chosen_at = now;
    m_current_at.reset();
  }
  return m_relay;
}

ReadScope RelayChoice::Scope(TimePoint now) {
  const auto relay = Relay(now);
  if (!relay) {
    m_outdated_since.reset();
    return ReadScope::kAll;
  }
  if (m_current_at && now - *m_current_at <= m_options.m_max_age) {
    m_outdated_since.reset();
    return ReadScope::kNone;
  }
  m_outdated_since = m_outdated_since.value_or(now);
  const auto rank = static_cast<size_t>(
      std::find(m_nodes.begin(), m_nodes.end(), m_self) - m_nodes.begin());
  const bool is_first = rank < m_options.m_first_readers;
  const Duration turn = std::chrono::milliseconds(rank * m_config_bytes /
                                                  m_options.m_max_read_rate);
  if (now - *m_outdated_since <
      turn + (is_first ? Duration{} : m_options.m_backup_delay)) {
    return ReadScope::kNone;
  }
  return is_first ? ReadScope::kAll : ReadScope::kBackup;
}

std::optional<Duration> RelayChoice::RelayAge(TimePoint now) const {
  if (!m_relay || !m_current_at) {
    return std::nullopt;
  }
  return now - *m_current_at;
}

}  // namespace sequoiastage
