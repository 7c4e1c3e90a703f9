#include <array>
#include <random>
#include <string_view>

#include "report.h"
#include "sections.h"
#include "sequoiastage/routing/load_table.h"
#include "sequoiastage/routing/path_monitor.h"
#include "sequoiastage/routing/selector.h"
#include "sequoiastage/routing/subset.h"

namespace sequoiastage {
namespace {

constexpr std::array<std::string_view, 3> kRegions{"north", "south", "west"};

InstanceId MakeInstanceId(uint32_t index) {
  return InstanceId({.m_ip = index, .m_port = 80});
}

void MeasureSelection(uint64_t seed) {
  std::mt19937_64 random(seed);
  Series order("us to order the candidates of a request", "candidates");
  for (const uint32_t count : {6U, 18U, 28U, 100U}) {
    std::vector<Candidate> candidates(count);
    for (uint32_t i = 0; i < count; ++i) {
      candidates[i] = {.m_instance = MakeInstanceId(i),
                       .m_locality = static_cast<Locality>(1 + i % 3),
                       .m_health = i % 9 == 0 ? InstanceHealth::kSuspect
                                              : InstanceHealth::kHealthy,
                       .m_slots = 3,
                       .m_load = static_cast<double>(random() % 4)};
    }
    const Selector selector;
    order.Add(count, 1e6 * SecondsPerCall([&] {
                       selector.Order(candidates, {.m_idempotent = true},
                                      random);
                     }));
  }
}

void MeasureSubsets() {
  Series subset("us to choose a subset", "instances");
  for (const uint32_t count : {28U, 280U, 2800U}) {
    std::vector<SubsetCandidate> service;
    for (uint32_t i = 0; i < count; ++i) {
      service.push_back(
          {.m_instance = MakeInstanceId(i), .m_region = kRegions[i % 3]});
    }
    subset.Add(count, 1e6 * SecondsPerCall([&] {
                        ChooseSubset(service, NodeId({.m_ip = 1, .m_port = 1}),
                                     ServiceId(1), "north");
                      }));
  }
}

void MeasureLoads(uint64_t seed) {
  std::mt19937_64 random(seed);
  Series heap("bytes of heap of the load table", "instances");
  Series update("us for a request sent, reported and ended", "instances");
  for (const uint32_t count : {1'000U, 10'000U, 40'000U}) {
    const double before = HeapBytes();
    LoadTable table;
    const TimePoint now(std::chrono::hours(1));
    for (uint32_t i = 0; i < count; ++i) {
      table.OnReport(MakeInstanceId(i), {.m_in_use = 1}, now);
    }
    heap.Add(count, HeapBytes() - before);
    update.Add(count, 1e6 * SecondsPerCall([&] {
                        const InstanceId id = MakeInstanceId(
                            static_cast<uint32_t>(random() % count));
                        table.OnSent(id, now);
                        table.OnReport(id, {.m_in_use = 2}, now);
                        table.OnEnded(id, now);
                      }));
  }
}

void MeasurePaths() {
  Series heap("bytes of heap of the path judge", "peers");
  Series tick("us for a tick (20 a second)", "peers");
  for (const uint32_t count : {500U, 2'000U, 6'600U}) {
    const double before = HeapBytes();
    PathMonitor monitor;
    TimePoint now(std::chrono::hours(1));
    for (uint32_t i = 0; i < count; ++i) {
      monitor.OnFrame(NodeId({.m_ip = i, .m_port = 7000}), now);
    }
    heap.Add(count, HeapBytes() - before);
    tick.Add(count, 1e6 * SecondsPerCall([&] { monitor.OnTick(now); }));
  }
}

}  // namespace

void MeasureRouting(uint64_t seed) {
  PrintHeading("routing: selection, subsets, load and paths");
  MeasureSelection(seed);
  MeasureSubsets();
  MeasureLoads(seed);
  MeasurePaths();
}

}  // namespace sequoiastage
