#ifndef SEQUOIASTAGE_MEMBERSHIP_TESTS_FAKE_NETWORK_H_
#define SEQUOIASTAGE_MEMBERSHIP_TESTS_FAKE_NETWORK_H_

#include <algorithm>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "sequoiastage/membership/membership.h"

namespace sequoiastage {

/// Nodes and the datagrams between them, in memory and in virtual time.
/// Datagrams can be lost, duplicated, delayed and cut in one direction; nodes
/// can be killed, frozen and restarted.
class FakeNetwork {
 public:
  struct Options {
    uint32_t m_nodes = 6;
    uint32_t m_regions = 3;
    uint32_t m_domains_per_region = 2;
    uint64_t m_seed = 1;
    double m_loss_rate = 0;
    double m_duplicate_rate = 0;
    Duration m_delay_min = std::chrono::milliseconds(1);
    Duration m_delay_max = std::chrono::milliseconds(40);
    Duration m_time_step = std::chrono::milliseconds(20);
    Duration m_tick = std::chrono::milliseconds(100);
    MembershipOptions m_membership{};
  };

  /// Traffic of the nodes since the last TakeTraffic(), including IP and UDP
  /// headers.
  struct Traffic {
    uint64_t m_datagrams = 0;
    uint64_t m_bytes = 0;
    uint64_t m_bytes_between_regions = 0;
  };

  explicit FakeNetwork(Options options)
      : m_options(std::move(options)), m_random(m_options.m_seed) {
    m_nodes.resize(m_options.m_nodes);
    for (uint32_t i = 0; i < m_options.m_nodes; ++i) {
      Start(i);
    }
  }

  static NodeId Id(uint32_t index) {
    return NodeId({.m_ip = 0x7f000001 + index, .m_port = 7000});
  }
  uint32_t Size() const { return m_options.m_nodes; }
  TimePoint Time() const { return m_now; }
  Membership& At(uint32_t index) { return *m_nodes[index].m_membership; }
  bool IsRunning(uint32_t index) const {
    return m_nodes[index].m_membership.has_value() && !m_nodes[index].m_frozen;
  }

  /// Starts or restarts a node without any state but a greater incarnation.
  void Start(uint32_t index) {
    MembershipOptions options = m_options.m_membership;
    const uint32_t domain =
        index % (m_options.m_regions * m_options.m_domains_per_region);
    const uint32_t region = domain / m_options.m_domains_per_region;
    options.m_node = Id(index);
    options.m_incarnation = Incarnation(++m_incarnations);
    options.m_region = "region-" + std::to_string(region);
    options.m_failure_domain = "domain-" + std::to_string(domain);
    options.m_site = "site-" + std::to_string(region);
    options.m_seeds = {Id(0), Id(1), Id(2)};
    options.m_random_seed = m_random();
    Node& node = m_nodes[index];
    node.m_membership.emplace(options, m_now);
    node.m_frozen = false;
    node.m_next_tick = m_now + RandomDuration(Duration(0), m_options.m_tick);
  }
  void Kill(uint32_t index) { m_nodes[index].m_membership.reset(); }
  void SetFrozen(uint32_t index, bool frozen) {
    m_nodes[index].m_frozen = frozen;
  }
  /// Cuts or heals the link from one node to another; the opposite direction is
  /// unaffected.
  void SetCut(uint32_t from, uint32_t to, bool cut) {
    if (cut) {
      m_cuts.insert({from, to});
    } else {
      m_cuts.erase({from, to});
    }
  }
  void HealAll() {
    m_cuts.clear();
    m_options.m_loss_rate = 0;
    m_options.m_duplicate_rate = 0;
    for (uint32_t i = 0; i < Size(); ++i) {
      m_nodes[i].m_frozen = false;
      if (!m_nodes[i].m_membership) {
        Start(i);
      }
    }
  }

  Traffic TakeTraffic() { return std::exchange(m_traffic, {}); }

  void Run(Duration duration) {
    for (const TimePoint end = m_now + duration; m_now < end;) {
      Step();
    }
  }

  /// Runs until `condition` holds. Returns the time it took, empty if it does
  /// not hold within `limit`.
  template <class Condition>
  std::optional<Duration> RunUntil(Condition condition, Duration limit) {
    const TimePoint start = m_now;
    while (m_now - start <= limit) {
      if (condition()) {
        return m_now - start;
      }
      Step();
    }
    return std::nullopt;
  }

  void Step() {
    m_now += m_options.m_time_step;
    while (!m_in_flight.empty() && m_in_flight.top().m_arrives_at <= m_now) {
      const InFlight datagram = m_in_flight.top();
      m_in_flight.pop();
      Node& node = m_nodes[datagram.m_to];
      if (node.m_membership && !node.m_frozen) {
        Send(datagram.m_to, node.m_membership->OnDatagram(
                                Id(datagram.m_from), datagram.m_bytes, m_now));
      }
    }
    for (uint32_t i = 0; i < Size(); ++i) {
      Node& node = m_nodes[i];
      if (!node.m_membership || node.m_frozen || node.m_next_tick > m_now) {
        continue;
      }
      node.m_next_tick = m_now + m_options.m_tick;
      Send(i, node.m_membership->OnTick(m_now));
    }
  }

  /// Whether all running nodes have the current entries of all running nodes.
  bool IsConverged() {
    for (uint32_t i = 0; i < Size(); ++i) {
      for (uint32_t j = 0; j < Size(); ++j) {
        if (IsRunning(i) && IsRunning(j) && !HasCurrentView(i, j)) {
          return false;
        }
      }
    }
    return true;
  }

  /// Whether node `i` has the newest entry of node `j` and considers it
  /// reachable.
  bool HasCurrentView(uint32_t i, uint32_t j) {
    const auto view = At(i).Find(Id(j));
    return view && !view->m_unreachable && *view->m_entry == At(j).LocalEntry();
  }

  template <class Predicate>
  bool AllRunning(Predicate predicate) {
    for (uint32_t i = 0; i < Size(); ++i) {
      if (IsRunning(i) && !predicate(At(i))) {
        return false;
      }
    }
    return true;
  }

 private:
  struct Node {
    std::optional<Membership> m_membership;
    bool m_frozen = false;
    TimePoint m_next_tick;
  };
  struct InFlight {
    TimePoint m_arrives_at;
    uint64_t m_sequence = 0;
    uint32_t m_from = 0;
    uint32_t m_to = 0;
    std::vector<uint8_t> m_bytes;

    bool operator<(const InFlight& other) const {
      return std::pair(m_arrives_at, m_sequence) >
             std::pair(other.m_arrives_at, other.m_sequence);
    }
  };

  Duration RandomDuration(Duration low, Duration high) {
    return Duration(std::uniform_int_distribution<int64_t>(
        low.count(), high.count())(m_random));
  }
  bool RandomBool(double probability) {
    return probability > 0 &&
           std::bernoulli_distribution(probability)(m_random);
  }
  uint32_t RegionIndex(uint32_t index) const {
    return index % (m_options.m_regions * m_options.m_domains_per_region) /
           m_options.m_domains_per_region;
  }
  void CountTraffic(uint32_t from, uint32_t to, std::size_t payload) {
    constexpr std::size_t kHeaderBytes = 28;
    ++m_traffic.m_datagrams;
    m_traffic.m_bytes += payload + kHeaderBytes;
    if (RegionIndex(from) != RegionIndex(to)) {
      m_traffic.m_bytes_between_regions += payload + kHeaderBytes;
    }
  }
  void Send(uint32_t from, const std::vector<OutgoingDatagram>& datagrams) {
    for (const OutgoingDatagram& datagram : datagrams) {
      const uint32_t to = datagram.m_to.Get().m_ip - 0x7f000001;
      CountTraffic(from, to, datagram.m_bytes.size());
      if (to >= Size() || m_cuts.contains({from, to}) ||
          RandomBool(m_options.m_loss_rate)) {
        continue;
      }
      const int copies = RandomBool(m_options.m_duplicate_rate) ? 2 : 1;
      for (int i = 0; i < copies; ++i) {
        const Duration delay =
            RandomDuration(m_options.m_delay_min, m_options.m_delay_max);
        m_in_flight.push({.m_arrives_at = m_now + delay,
                          .m_sequence = ++m_sequence,
                          .m_from = from,
                          .m_to = to,
                          .m_bytes = datagram.m_bytes});
      }
    }
  }

  Options m_options;
  std::mt19937_64 m_random;
  TimePoint m_now{std::chrono::hours(1)};
  uint64_t m_incarnations = 0;
  uint64_t m_sequence = 0;
  std::vector<Node> m_nodes;
  std::set<std::pair<uint32_t, uint32_t>> m_cuts;
  std::priority_queue<InFlight> m_in_flight;
  Traffic m_traffic;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MEMBERSHIP_TESTS_FAKE_NETWORK_H_
