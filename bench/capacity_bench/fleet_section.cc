#include <fmt/core.h>

#include <algorithm>
#include <random>
#include <set>
#include <string>
#include <tuple>

#include "report.h"
#include "sections.h"
#include "src/group_report_p.h"
#include "tests/fake_network.h"

namespace sequoiastage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint32_t kInstancesPerNode = 9;
constexpr uint32_t kInstancesPerService = 28;
/// Size of the report of one instance with all counts written out.
constexpr std::size_t kLongReportBytes = 74;

LocalState MakeLocalState(uint32_t node, uint32_t nodes, uint16_t slots) {
  const uint32_t services =
      std::max(nodes * kInstancesPerNode / kInstancesPerService, 1U);
  LocalState state;
  for (uint32_t i = 0; i < kInstancesPerNode; ++i) {
    const uint32_t instance = node * kInstancesPerNode + i;
    state.m_instances.push_back(
        {.m_id = InstanceId({.m_ip = instance, .m_port = 80}),
         .m_service = ServiceId(instance % services),
         .m_incarnation = Incarnation(1),
         .m_slots = slots});
  }
  return state;
}

/// A fleet that has started and has no pending updates.
class Fleet {
 public:
  Fleet(uint32_t nodes, uint64_t seed)
      : m_nodes(nodes),
        m_random(seed),
        m_network({.m_nodes = nodes,
                   .m_seed = seed,
                   .m_time_step = milliseconds(50)}) {
    for (uint32_t i = 0; i < nodes; ++i) {
      m_network.At(i).SetLocalState(MakeLocalState(i, nodes, 3),
                                    m_network.Time());
    }
    RunUntilIdle();
  }

  FakeNetwork& Network() { return m_network; }

  /// Runs until the queues are empty and nodes send only probes and digests.
  void RunUntilIdle() {
    double before = 0;
    for (int i = 0; i < 60; ++i) {
      const double now = BytesPerNodeSecond(seconds(10));
      if (i > 0 && now < 800 && now > 0.9 * before) {
        return;
      }
      before = now;
    }
  }

  double BytesPerNodeSecond(Duration window) {
    m_network.TakeTraffic();
    m_network.Run(window);
    m_traffic = m_network.TakeTraffic();
    return static_cast<double>(m_traffic.m_bytes) / m_nodes /
           std::chrono::duration<double>(window).count();
  }
  double ShareBetweenRegions() const {
    return static_cast<double>(m_traffic.m_bytes_between_regions) /
           static_cast<double>(m_traffic.m_bytes);
  }

  /// Changes the entry of a random node and returns its index.
  uint32_t ChangeEntry() {
    const auto node = static_cast<uint32_t>(m_random() % m_nodes);
    const auto slots = static_cast<uint16_t>(4 + m_random() % 1000);
    if (m_network.IsRunning(node)) {
      m_network.At(node).SetLocalState(MakeLocalState(node, m_nodes, slots),
                                       m_network.Time());
    }
    return node;
  }

  /// Runs until all nodes hold the newest entry of `node`. Returns the seconds
  /// taken, at most 60.
  double SecondsUntilPropagated(uint32_t node) {
    const auto took = m_network.RunUntil(
        [&] {
          for (uint32_t i = 0; i < m_nodes; ++i) {
            if (m_network.IsRunning(i) && !m_network.HasCurrentView(i, node)) {
              return false;
            }
          }
          return true;
        },
        seconds(60));
    return took ? std::chrono::duration<double>(*took).count() : 60;
  }

 private:
  uint32_t m_nodes;
  std::mt19937_64 m_random;
  FakeNetwork m_network;
  FakeNetwork::Traffic m_traffic;
};

void MeasureIdle(const std::vector<uint32_t>& sizes, uint64_t seed) {
  Series idle("bytes a second of a node at rest", "nodes");
  Series cpu("share of a core of a node at rest, in %", "nodes");
  Series regions("share of bytes between regions, in %", "nodes");
  Series spread("seconds until a change is known everywhere", "nodes");
  for (const uint32_t nodes : sizes) {
    Fleet fleet(nodes, seed);
    const double start = CpuSeconds();
    idle.Add(nodes, fleet.BytesPerNodeSecond(seconds(60)));
    cpu.Add(nodes, (CpuSeconds() - start) / 60 / nodes * 100);
    regions.Add(nodes, 100 * fleet.ShareBetweenRegions());
    double sum = 0;
    for (int i = 0; i < 5; ++i) {
      sum += fleet.SecondsUntilPropagated(fleet.ChangeEntry());
    }
    spread.Add(nodes, sum / 5);
  }
}

/// Builds the report of an instance that sent 83 responses in 10 s.
std::vector<uint8_t> MakeTypicalReport(uint64_t seed) {
  std::mt19937_64 random(seed);
  std::lognormal_distribution<double> latency_ms(3, 0.5);
  InstanceUpdate update{
      .m_load = {.m_slots = 3, .m_in_use = 1},
      .m_summary = {.m_recent_outcomes = 12, .m_outcomes = 83}};
  for (int i = 0; i < 83; ++i) {
    update.m_summary.m_latencies.Add(
        milliseconds(static_cast<int>(latency_ms(random))));
  }
  return EncodeGroupReport({update});
}

/// Measures fleets whose nodes exchange `report` for each of their services.
void MeasureGroupReports(const std::vector<uint32_t>& sizes,
                         const std::vector<uint8_t>& report,
                         uint64_t seed) {
  const std::string name = fmt::format("reports of {} B: ", report.size());
  Series rate(name + "bytes a second of a node", "nodes");
  Series interval(name + "seconds between two reports of a sibling", "nodes");
  Series fresh(name + "siblings of a service heard in 3 s", "nodes");
  constexpr uint32_t kWatched = 50;
  for (const uint32_t nodes : sizes) {
    Fleet fleet(nodes, seed);
    FakeNetwork& network = fleet.Network();
    for (uint32_t i = 0; i < nodes; ++i) {
      for (const InstanceEntry& instance :
           network.At(i).LocalEntry().m_instances) {
        network.At(i).SetGroupReport(instance.m_service, report);
      }
    }
    network.Run(seconds(10));
    for (uint32_t i = 0; i < kWatched; ++i) {
      network.At(i).TakeGroupReports();
    }
    rate.Add(nodes, fleet.BytesPerNodeSecond(seconds(60)));
    double received = 0;
    std::set<std::tuple<uint32_t, NodeId, ServiceId>> pairs;
    for (uint32_t i = 0; i < kWatched; ++i) {
      for (const GroupReport& group_report : network.At(i).TakeGroupReports()) {
        pairs.insert({i, group_report.m_from, group_report.m_service});
        ++received;
      }
    }
    interval.Add(nodes, 60 * static_cast<double>(pairs.size()) / received);
    network.Run(seconds(3));
    pairs.clear();
    for (uint32_t i = 0; i < kWatched; ++i) {
      for (const GroupReport& group_report : network.At(i).TakeGroupReports()) {
        pairs.insert({i, group_report.m_from, group_report.m_service});
      }
    }
    fresh.Add(nodes,
              static_cast<double>(pairs.size()) / kWatched / kInstancesPerNode);
  }
}

void MeasureChanges(uint32_t nodes, uint64_t seed) {
  Series bytes(fmt::format("bytes a second of a node, {} nodes", nodes),
               "changes/s");
  Series cpu(fmt::format("share of a core in %, {} nodes", nodes), "changes/s");
  Fleet fleet(nodes, seed);
  for (const uint32_t tenths : {0U, 5U, 10U, 20U}) {
    const double start = CpuSeconds();
    double sum = 0;
    constexpr int kSteps = 400;
    for (int step = 0; step < kSteps; ++step) {
      if (step * tenths / 100 != (step + 1) * tenths / 100) {
        fleet.ChangeEntry();
      }
      sum += fleet.BytesPerNodeSecond(milliseconds(100));
    }
    bytes.Add(tenths / 10.0, sum / kSteps);
    cpu.Add(tenths / 10.0,
            (CpuSeconds() - start) / (kSteps * 0.1) / nodes * 100);
    fleet.Network().Run(seconds(20));
  }
}

constexpr uint32_t kLogReaders = 18;

/// Whether the member list of `node` shows a log reader with `version` or a
/// later one.
bool HasReaderReported(FakeNetwork& network, uint32_t node, LogOffset version) {
  for (uint32_t reader = 0; reader < kLogReaders; ++reader) {
    const auto view = network.At(node).Find(FakeNetwork::Id(reader));
    if (view && view->m_entry->m_config_version >= version) {
      return true;
    }
  }
  return false;
}

/// Activates a configuration every 2.5 s: at three nodes of each failure
/// domain, which read the log within a second, and at each other node once its
/// member list shows the version.
void MeasureConfigVersions(const std::vector<uint32_t>& sizes, uint64_t seed) {
  Series bytes("bytes a second of a node, 0.4 configurations/s", "nodes");
  for (const uint32_t nodes : sizes) {
    Fleet fleet(nodes, seed);
    FakeNetwork& network = fleet.Network();
    double sum = 0;
    constexpr uint64_t kVersions = 40;
    constexpr uint32_t kSteps = 50;
    for (uint64_t step = 0; step < kVersions * kSteps; ++step) {
      const LogOffset version(step / kSteps + 1);
      for (uint32_t i = 0; i < nodes; ++i) {
        const bool is_reader = i < kLogReaders;
        const bool can_activate = is_reader
                                      ? i <= step % kSteps
                                      : HasReaderReported(network, i, version);
        if (can_activate &&
            network.At(i).LocalEntry().m_config_version < version) {
          LocalState state = MakeLocalState(i, nodes, 3);
          state.m_config_version = version;
          network.At(i).SetLocalState(state, network.Time());
        }
      }
      sum += fleet.BytesPerNodeSecond(milliseconds(50));
    }
    bytes.Add(nodes, sum / (kVersions * kSteps));
  }
}

/// Failure domains of a FakeNetwork with its default options.
constexpr uint32_t kDomains = 6;

/// Returns the nodes of the first failure domain, which the fleet loses.
std::vector<uint32_t> LostNodes(uint32_t nodes) {
  std::vector<uint32_t> lost;
  for (uint32_t i = 0; i < nodes; i += kDomains) {
    lost.push_back(i);
  }
  return lost;
}

/// Measures fleets that lose one of six failure domains at once.
void MeasureDomainLoss(const std::vector<uint32_t>& sizes, uint64_t seed) {
  Series first("seconds until the first lost node is hinted everywhere",
               "nodes");
  Series last("seconds until all lost nodes are hinted everywhere", "nodes");
  Series rate("bytes a second of a node meanwhile", "nodes");
  Series after("bytes a second of a node in the 30 s after", "nodes");
  for (const uint32_t nodes : sizes) {
    Fleet fleet(nodes, seed);
    FakeNetwork& network = fleet.Network();
    const std::vector<uint32_t> lost = LostNodes(nodes);
    for (const uint32_t i : lost) {
      network.Kill(i);
    }
    network.TakeTraffic();
    const TimePoint start = network.Time();
    double first_seconds = -1;
    bool is_all_hinted = false;
    while (!is_all_hinted && network.Time() - start < seconds(600)) {
      network.Run(milliseconds(500));
      std::size_t hinted = 0;
      for (const uint32_t i : lost) {
        const NodeId node = FakeNetwork::Id(i);
        hinted += network.AllRunning([node](Membership& at) {
          const auto view = at.Find(node);
          return !view || view->m_unreachable;
        });
      }
      const double elapsed =
          std::chrono::duration<double>(network.Time() - start).count();
      if (hinted > 0 && first_seconds < 0) {
        first_seconds = elapsed;
        first.Add(nodes, elapsed);
      }
      is_all_hinted = hinted == lost.size();
    }
    const double elapsed =
        std::chrono::duration<double>(network.Time() - start).count();
    const auto left = static_cast<double>(nodes - lost.size());
    last.Add(nodes, elapsed);
    rate.Add(nodes, static_cast<double>(network.TakeTraffic().m_bytes) / left /
                        elapsed);
    network.Run(seconds(30));
    after.Add(nodes,
              static_cast<double>(network.TakeTraffic().m_bytes) / left / 30);
  }
}

}  // namespace

void MeasureFleets(uint64_t seed) {
  PrintHeading("fleets: 9 instances a node, 28 a service, 3 regions");
  MeasureIdle({125, 250, 500, 1000}, seed);
  PrintHeading("fleets: changes of entries");
  MeasureChanges(250, seed);
  MeasureChanges(500, seed);
}

void MeasureGroups(uint64_t seed) {
  PrintHeading("groups: reports between the nodes of a service");
  const std::vector<uint32_t> sizes{125, 250, 500};
  MeasureGroupReports(sizes, std::vector<uint8_t>(kLongReportBytes), seed);
  MeasureGroupReports(sizes, MakeTypicalReport(seed), seed);
}

void MeasureDomains(uint64_t seed) {
  PrintHeading("domains: loss of one failure domain of six");
  MeasureDomainLoss({125, 250, 500, 1000}, seed);
}

void MeasureVersions(uint64_t seed) {
  PrintHeading("versions: configurations come in force in whole fleets");
  MeasureConfigVersions({125, 250, 500}, seed);
}

}  // namespace sequoiastage
