#include <fmt/core.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "report.h"
#include "sections.h"
#include "src/target_picker_p.h"
#include "src/view_builder_p.h"

namespace sequoiastage {
namespace {

using std::chrono::hours;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint32_t kNodes = 6'600;
constexpr uint32_t kInstances = 58'000;
constexpr uint32_t kServices = 2'100;
constexpr int kRequestsPerSecond = 73;
/// Idle time after which PeerLinks closes a connection.
constexpr Duration kIdleTimeout = seconds(60);
/// Seven failure domains and the region of each.
constexpr uint32_t kDomains = 7;
constexpr uint32_t kRegionOfDomain[kDomains] = {0, 0, 0, 1, 1, 2, 2};

/// Distribution of instances and requests over the services.
enum class Distribution : uint8_t {
  /// Equal weight for all services.
  kEven,
  /// Weight is the rank of the service to the power of -0.8.
  kSkewed,
};

const char* ToString(Distribution distribution) {
  return distribution == Distribution::kEven ? "even" : "skewed";
}

MemberEntry MakeNode(uint32_t index) {
  const uint32_t domain = index % kDomains;
  MemberEntry node;
  node.m_node = NodeId({.m_ip = 1 + index, .m_port = 7000});
  node.m_region = std::to_string(kRegionOfDomain[domain]);
  node.m_failure_domain = std::to_string(domain);
  return node;
}

/// Member list of a fleet of the full size.
class FullFleet {
 public:
  FullFleet(Distribution distribution, uint64_t seed) : m_random(seed) {
    std::vector<double> weights(kServices);
    for (uint32_t i = 0; i < kServices; ++i) {
      weights[i] =
          distribution == Distribution::kEven ? 1 : std::pow(i + 1, -0.8);
    }
    m_services =
        std::discrete_distribution<uint32_t>(weights.begin(), weights.end());
    for (uint32_t i = 0; i < kNodes; ++i) {
      m_members.push_back(MakeNode(i));
    }
    for (uint32_t i = 0; i < kInstances; ++i) {
      m_members[i % kNodes].m_instances.push_back(
          {.m_id =
               InstanceId({.m_ip = 1 + i % kNodes,
                           .m_port = static_cast<uint16_t>(80 + i / kNodes)}),
           .m_service = DrawService(),
           .m_slots = 3});
    }
  }

  ServiceId DrawService() { return ServiceId(m_services(m_random)); }

  /// Builds the view from which the ingress at `index` selects.
  std::shared_ptr<NodeView> BuildView(uint32_t index) const {
    std::vector<MemberView> members;
    members.reserve(m_members.size());
    for (const MemberEntry& member : m_members) {
      members.push_back({.m_entry = &member});
    }
    auto view = std::make_shared<NodeView>();
    view->m_instances =
        BuildInstanceViews(members, m_members[index],
                           [](InstanceId, Incarnation) { return false; });
    return view;
  }

 private:
  std::vector<MemberEntry> m_members;
  std::mt19937_64 m_random;
  std::discrete_distribution<uint32_t> m_services;
};

void DisableSubsets(NodeView& view) {
  for (auto& [service, instances] : view.m_instances) {
    for (InstanceView& instance : instances) {
      instance.m_is_in_subset = true;
    }
  }
}

/// Simulates one hour of an ingress while all instances have free slots.
void MeasureIngress(Distribution distribution,
                    bool has_subsets,
                    uint64_t seed) {
  FullFleet fleet(distribution, seed);
  const uint32_t ingress = 77;
  const auto view = fleet.BuildView(ingress);
  if (!has_subsets) {
    DisableSubsets(*view);
  }
  TargetPicker picker(MakeNode(ingress).m_node, seed);
  picker.SetView(view);
  std::unordered_map<NodeId, TimePoint> last_use;
  TimePoint now(hours(1));
  const TimePoint end = now + hours(1);
  uint64_t opened = 0;
  uint64_t picks = 0;
  const double start = CpuSeconds();
  for (; now < end; now += Duration(seconds(1)) / kRequestsPerSecond) {
    const Target target = picker.Pick(fleet.DrawService(), {}, now);
    ++picks;
    if (target.m_instance == nullptr) {
      continue;
    }
    const NodeId node = target.m_instance->m_node;
    picker.OnSent(target.m_instance->m_id, node, now);
    picker.OnEnded(target.m_instance->m_id, node, now);
    const auto [it, is_new] = last_use.try_emplace(node, now);
    opened += is_new || now - it->second >= kIdleTimeout ? 1 : 0;
    it->second = now;
  }
  const double pick_us = 1e6 * (CpuSeconds() - start) / picks;
  const auto open = std::count_if(
      last_use.begin(), last_use.end(),
      [end](const auto& item) { return end - item.second < kIdleTimeout; });
  const std::string name =
      fmt::format("{} services, {}", ToString(distribution),
                  has_subsets ? "with subsets" : "without subsets");
  PrintFigure(name + ": peers used in an hour",
              static_cast<double>(last_use.size()));
  PrintFigure(name + ": peers used in the last 60 s",
              static_cast<double>(open));
  PrintFigure(name + ": connections opened a second",
              static_cast<double>(opened) / 3600);
  PrintFigure(name + ": us to pick and book a request", pick_us);
}

/// Distributes the requests of all ingresses over one service of `size`
/// instances. Prints the maximum and the standard deviation per instance,
/// relative to the mean.
void MeasureSpread(uint32_t size, bool has_subsets, uint64_t seed) {
  std::mt19937_64 random(seed);
  std::vector<uint32_t> hosts(kNodes);
  for (uint32_t i = 0; i < kNodes; ++i) {
    hosts[i] = i;
  }
  std::shuffle(hosts.begin(), hosts.end(), random);
  hosts.resize(size);
  std::vector<MemberEntry> members;
  for (const uint32_t host : hosts) {
    members.push_back(MakeNode(host));
    members.back().m_instances.push_back(
        {.m_id = InstanceId({.m_ip = 1 + host, .m_port = 80}),
         .m_service = ServiceId(1),
         .m_slots = 3});
  }
  std::vector<MemberView> views;
  views.reserve(members.size());
  for (const MemberEntry& member : members) {
    views.push_back({.m_entry = &member});
  }
  constexpr int kRequests = 20;
  std::unordered_map<InstanceId, double> load;
  for (uint32_t i = 0; i < kNodes; ++i) {
    auto view = std::make_shared<NodeView>();
    view->m_instances = BuildInstanceViews(
        views, MakeNode(i), [](InstanceId, Incarnation) { return false; });
    if (!has_subsets) {
      DisableSubsets(*view);
    }
    TargetPicker picker(MakeNode(i).m_node, seed + i);
    picker.SetView(view);
    for (int k = 0; k < kRequests; ++k) {
      const Target target = picker.Pick(ServiceId(1), {}, TimePoint(hours(1)));
      load[target.m_instance->m_id] += 1;
    }
  }
  const double mean = static_cast<double>(kNodes) * kRequests / size;
  double most = 0;
  double squares = 0;
  for (const MemberEntry& member : members) {
    const double of_mean = load[member.m_instances.front().m_id] / mean;
    most = std::max(most, of_mean);
    squares += (of_mean - 1) * (of_mean - 1);
  }
  const std::string name =
      fmt::format("service of {}, {}", size,
                  has_subsets ? "with subsets" : "without subsets");
  PrintFigure(name + ": requests of the busiest instance, of the mean", most);
  PrintFigure(name + ": standard deviation over the instances, of the mean",
              std::sqrt(squares / size));
}

void MeasureView(uint64_t seed) {
  const FullFleet fleet(Distribution::kEven, seed);
  PrintFigure("ms to build the instances of a view with subsets",
              1e3 * SecondsPerCall([&] { fleet.BuildView(77); }));
}

}  // namespace

void MeasureConnections(uint64_t seed) {
  PrintHeading("connections: one ingress before 6,600 nodes");
  MeasureView(seed);
  for (const Distribution distribution :
       {Distribution::kEven, Distribution::kSkewed}) {
    MeasureIngress(distribution, false, seed);
    MeasureIngress(distribution, true, seed);
  }
  PrintHeading("connections: spread of all ingresses' requests");
  for (const uint32_t size : {28U, 280U}) {
    MeasureSpread(size, false, seed);
    MeasureSpread(size, true, seed);
  }
}

}  // namespace sequoiastage
