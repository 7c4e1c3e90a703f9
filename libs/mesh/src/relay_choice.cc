#include "sequoiastage/mesh/relay_choice.h"

#include <algorithm>
#include <functional>

namespace sequoiastage {

void RelayChoice::SetRegion(std::vector<NodeId> nodes) {
  if (std::find(nodes.begin(), nodes.end(), m_own) == nodes.end()) {
    nodes.push_back(m_own);
  }
  std::sort(nodes.begin(), nodes.end(), [](NodeId a, NodeId b) {
    const std::hash<Endpoint> hash;
    return std::pair(hash(a.Get()), a) < std::pair(hash(b.Get()), b);
  });
  m_nodes = std::move(nodes);
}

void RelayChoice::OnRelayed(NodeId relay, Duration age, TimePoint now) {
  if (relay == m_relay) {
    m_fresh_at = std::max(m_fresh_at.value_or(TimePoint{}), now - age);
  }
}

void RelayChoice::OnLost(NodeId relay, TimePoint now) {
  if (relay == m_relay) {
    m_avoid_until[relay] = now + m_options.m_avoid;
  }
}

bool RelayChoice::IsAvoided(NodeId node, TimePoint now) const {
  const auto found = m_avoid_until.find(node);
  return found != m_avoid_until.end() && now < found->second;
}

std::optional<NodeId> RelayChoice::Relay(TimePoint now) {
  if (m_relay && !IsAvoided(*m_relay, now) &&
      now - std::max(m_chosen_at, m_fresh_at.value_or(TimePoint{})) >
          m_options.m_max_age) {
    m_avoid_until[*m_relay] = now + m_options.m_avoid;
  }
  const auto first = std::find_if(
      m_nodes.begin(), m_nodes.end(),
      [&](NodeId node) { return node == m_own || !IsAvoided(node, now); });
  const std::optional<NodeId> relay = first == m_nodes.end() || *first == m_own
                                          ? std::nullopt
                                          : std::optional(*first);
  if (relay != m_relay) {
    m_relay = relay;
    m_chosen_at = now;
    m_fresh_at.reset();
  }
  return m_relay;
}

bool RelayChoice::MustRead(TimePoint now) {
  const auto relay = Relay(now);
  return !relay || !m_fresh_at || now - *m_fresh_at > m_options.m_max_age;
}

std::optional<Duration> RelayChoice::RelayAge(TimePoint now) const {
  if (!m_relay || !m_fresh_at) {
    return std::nullopt;
  }
  return now - *m_fresh_at;
}

}  // namespace sequoiastage
