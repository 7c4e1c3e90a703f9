#include <map>
#include <random>
#include <string>

#include "report.h"
#include "sections.h"
#include "sequoiastage/membership/membership.h"
#include "sequoiastage/routing/selector.h"
#include "src/datagram_p.h"

namespace sequoiastage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint32_t kInstancesPerNode = 9;
constexpr uint32_t kServices = 2100;

NodeId MakeNodeId(uint32_t index) {
  return NodeId({.m_ip = 0x0a000000 + index, .m_port = 7000});
}

MemberEntry MakeEntry(uint32_t node, uint32_t version) {
  MemberEntry entry{.m_node = MakeNodeId(node),
                    .m_incarnation = Incarnation(1),
                    .m_version = version,
                    .m_region = "region-" + std::to_string(node % 3),
                    .m_failure_domain = "domain-" + std::to_string(node % 7),
                    .m_site = "site-" + std::to_string(node % 3)};
  for (uint32_t i = 0; i < kInstancesPerNode; ++i) {
    const uint32_t instance = node * kInstancesPerNode + i;
    entry.m_instances.push_back(
        {.m_id = InstanceId({.m_ip = instance, .m_port = 80}),
         .m_service = ServiceId(instance % kServices),
         .m_incarnation = Incarnation(1),
         .m_slots = 3});
  }
  return entry;
}

/// A node that holds the entries of `nodes` other nodes.
class LoadedNode {
 public:
  LoadedNode(uint32_t nodes, uint64_t seed)
      : m_nodes(nodes),
        m_random(seed),
        m_membership({.m_node = MakeNodeId(nodes),
                      .m_incarnation = Incarnation(1),
                      .m_region = "region-0",
                      .m_random_seed = seed},
                     m_now) {
    for (uint32_t node = 0; node < nodes; ++node) {
      Deliver(EntryDatagram(node, 1, true));
    }
  }

  /// Builds a datagram with as many entries as fit, starting at `node`.
  std::vector<uint8_t> EntryDatagram(uint32_t node,
                                     uint32_t version,
                                     bool only_one = false) const {
    DatagramWriter writer(
        {.m_from = MakeNodeId(0), .m_incarnation = Incarnation(1)});
    while (
        writer.Add(EntryMessage{.m_entry = MakeEntry(node % m_nodes, version),
                                .m_status_version = version,
                                .m_is_repair = only_one})) {
      ++node;
      if (only_one) {
        break;
      }
    }
    return writer.Finish();
  }

  std::vector<uint8_t> DigestDatagram() const {
    DatagramWriter writer(
        {.m_from = MakeNodeId(0), .m_incarnation = Incarnation(1)});
    writer.Add(
        DigestMessage{.m_hashes = std::vector<uint32_t>(kDigestBuckets)});
    return writer.Finish();
  }

  std::vector<OutgoingDatagram> Deliver(const std::vector<uint8_t>& bytes) {
    return m_membership.OnDatagram(MakeNodeId(0), bytes, m_now);
  }

  void Tick() {
    m_now += milliseconds(100);
    m_membership.OnTick(m_now);
  }

  uint32_t RandomNode() { return static_cast<uint32_t>(m_random() % m_nodes); }
  Membership& Members() { return m_membership; }

 private:
  uint32_t m_nodes;
  std::mt19937_64 m_random;
  TimePoint m_now{std::chrono::hours(1)};
  Membership m_membership;
};

/// Builds a snapshot as for the traffic threads: candidates by service.
std::map<ServiceId, std::vector<Candidate>> BuildSnapshot(
    const Membership& membership) {
  std::map<ServiceId, std::vector<Candidate>> snapshot;
  for (const MemberView& view : membership.Members()) {
    for (const InstanceEntry& instance : view.m_entry->m_instances) {
      snapshot[instance.m_service].push_back(
          {.m_instance = instance.m_id,
           .m_node = view.m_entry->m_node,
           .m_locality = Locality::kOwnRegion,
           .m_unreachable = view.m_unreachable,
           .m_slots = instance.m_slots});
    }
  }
  return snapshot;
}

}  // namespace

void MeasureMemberState(uint64_t seed) {
  PrintHeading(
      "members: one node with the entries of a fleet, 9 instances a node");
  Series heap("bytes of heap for the entries", "nodes");
  Series fresh("us for a 1,200 B datagram of new entries", "nodes");
  Series known("us for a 1,200 B datagram of known entries", "nodes");
  Series digest("us for a digest that differs everywhere", "nodes");
  Series tick("us for a tick (10 a second)", "nodes");
  Series views("us for Members()", "nodes");
  Series snapshot("us for a snapshot by service", "nodes");
  Series snapshot_heap("bytes of heap for a snapshot", "nodes");
  for (const uint32_t nodes : {500U, 2000U, 4000U, 6600U, 8000U}) {
    const double before = HeapBytes();
    LoadedNode node(nodes, seed);
    heap.Add(nodes, HeapBytes() - before);
    uint32_t version = 2;
    constexpr uint32_t kDatagrams = 512;
    std::vector<std::vector<uint8_t>> update_datagrams;
    for (uint32_t i = 0; i < kDatagrams; ++i) {
      update_datagrams.push_back(
          node.EntryDatagram(node.RandomNode(), ++version));
    }
    const double start = CpuSeconds();
    for (const auto& datagram : update_datagrams) {
      node.Deliver(datagram);
    }
    fresh.Add(nodes, (CpuSeconds() - start) / kDatagrams * 1e6);
    std::size_t next = 0;
    known.Add(nodes, 1e6 * SecondsPerCall([&] {
                       node.Deliver(update_datagrams[next++ % kDatagrams]);
                     }));
    const std::vector<uint8_t> digest_bytes = node.DigestDatagram();
    digest.Add(nodes,
               1e6 * SecondsPerCall([&] { node.Deliver(digest_bytes); }));
    views.Add(nodes, 1e6 * SecondsPerCall([&] { node.Members().Members(); }));
    snapshot.Add(nodes,
                 1e6 * SecondsPerCall([&] { BuildSnapshot(node.Members()); }));
    const double before_snapshot = HeapBytes();
    const auto built = BuildSnapshot(node.Members());
    snapshot_heap.Add(nodes, HeapBytes() - before_snapshot);
    tick.Add(nodes, 1e6 * SecondsPerCall([&] { node.Tick(); }));
  }
}

}  // namespace sequoiastage
