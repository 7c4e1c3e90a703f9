#include "../src/target_picker_p.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

#include "../src/view_builder_p.h"

namespace sequoiastage {
namespace {

const ServiceId kService(1);
const NodeId kOwnNode({.m_ip = 1, .m_port = 7000});
const TimePoint kNow{std::chrono::hours(1)};

// A fleet with one service and members in random states.
std::vector<MemberEntry> RandomFleet(std::mt19937_64& random) {
  std::vector<MemberEntry> fleet(1 + random() % 80);
  for (uint32_t i = 0; i < fleet.size(); ++i) {
    MemberEntry& member = fleet[i];
    member.m_node = NodeId({.m_ip = i + 1, .m_port = 7000});
    member.m_region = "region-" + std::to_string(random() % 3);
    member.m_failure_domain = member.m_region + std::to_string(random() % 2);
    member.m_state =
        random() % 8 == 0 ? HostState::kDraining : HostState::kLive;
    member.m_instances.push_back(
        {.m_id = InstanceId({.m_ip = i + 1, .m_port = 80}),
         .m_service = kService,
         .m_slots = static_cast<uint16_t>(1 + random() % 3),
         .m_suspect = random() % 8 == 0});
  }
  return fleet;
}

NodeViewPtr BuildView(const std::vector<MemberEntry>& fleet,
                      const std::vector<bool>& is_unreachable,
                      const EjectionPredicate& is_ejected) {
  std::vector<MemberView> members;
  for (size_t i = 0; i < fleet.size(); ++i) {
    members.push_back(
        {.m_entry = &fleet[i], .m_unreachable = is_unreachable[i]});
  }
  auto view = std::make_shared<NodeView>();
  view->m_instances = BuildInstanceViews(members, fleet.front(), is_ejected);
  return view;
}

bool IsAvailable(const InstanceView& instance) {
  return !instance.m_is_excluded && !instance.m_is_unreachable;
}

// Deliberately naive: restricts the view to the subset.
NodeViewPtr SubsetOnly(const NodeView& view) {
  auto naive = std::make_shared<NodeView>(view);
  std::erase_if(naive->m_instances[kService], [](const InstanceView& instance) {
    return !instance.m_is_in_subset;
  });
  return naive;
}

// Fills a random fleet with requests of one slot each, all reported to the
// picker. True when each went to a healthy instance with a free slot while
// there was one, and to one in the own region while there was one.
template <class Prepare>
bool UsesAllHealthyCapacity(uint64_t seed, Prepare prepare) {
  std::mt19937_64 random(seed);
  const std::vector<MemberEntry> fleet = RandomFleet(random);
  std::vector<bool> is_unreachable(fleet.size());
  for (size_t i = 1; i < fleet.size(); ++i) {
    is_unreachable[i] = random() % 8 == 0;
  }
  const NodeViewPtr view = BuildView(
      fleet, is_unreachable,
      [&](InstanceId id, Incarnation) { return id.Get().m_ip % 9 == 0; });
  TargetPicker picker(kOwnNode, seed);
  picker.SetView(prepare(view));
  std::unordered_map<InstanceId, int> used;
  for (;;) {
    bool has_in_own_region = false;
    bool has_any = false;
    for (const InstanceView& instance : view->m_instances.at(kService)) {
      const bool has_room = IsAvailable(instance) && !instance.m_is_suspect &&
                            used[instance.m_id] < instance.m_slots;
      has_any |= has_room;
      has_in_own_region |=
          has_room && instance.m_locality != Locality::kOtherRegion;
    }
    const Target target = picker.Pick(kService, {}, kNow);
    if (!has_any) {
      return true;
    }
    if (target.m_instance == nullptr || target.m_accept_suspect ||
        target.m_instance->m_is_suspect ||
        used[target.m_instance->m_id] >= target.m_instance->m_slots ||
        (has_in_own_region &&
         target.m_instance->m_locality == Locality::kOtherRegion)) {
      return false;
    }
    ++used[target.m_instance->m_id];
    picker.OnSent(target.m_instance->m_id, target.m_instance->m_node, kNow);
  }
}

RC_GTEST_PROP(TargetSubsetTest,
              HealthyCapacityOutsideTheSubsetIsNeverLeftUnused,
              (uint64_t seed)) {
  RC_ASSERT(UsesAllHealthyCapacity(
      seed, [](const NodeViewPtr& view) { return view; }));
}

TEST(TargetSubsetTest, SubsetOnlyFailsTheSameProperty) {
  int failures = 0;
  for (uint64_t seed = 0; seed < 100; ++seed) {
    const bool holds = UsesAllHealthyCapacity(
        seed, [](const NodeViewPtr& view) { return SubsetOnly(*view); });
    failures += holds ? 0 : 1;
  }
  EXPECT_GT(failures, 30);
}

RC_GTEST_PROP(TargetSubsetTest, SubsetContainsOnlyAvailableInstances, ()) {
  std::mt19937_64 random(*rc::gen::arbitrary<uint64_t>());
  const std::vector<MemberEntry> fleet = RandomFleet(random);
  std::vector<bool> is_unreachable(fleet.size());
  for (size_t i = 1; i < fleet.size(); ++i) {
    is_unreachable[i] = random() % 4 == 0;
  }
  const NodeViewPtr view = BuildView(
      fleet, is_unreachable,
      [&](InstanceId id, Incarnation) { return id.Get().m_ip % 9 == 0; });
  const auto& instances = view->m_instances.at(kService);
  if (instances.size() <= 36) {
    // Small services are not subsetted.
    RC_ASSERT(std::all_of(
        instances.begin(), instances.end(),
        [](const InstanceView& instance) { return instance.m_is_in_subset; }));
    return;
  }
  size_t held = 0;
  size_t usable = 0;
  for (const InstanceView& instance : instances) {
    const bool is_own = instance.m_locality == Locality::kOwnHost;
    RC_ASSERT(!instance.m_is_in_subset || is_own || IsAvailable(instance));
    held += instance.m_is_in_subset ? 1 : 0;
    usable += IsAvailable(instance) ? 1 : 0;
  }
  RC_ASSERT(held <= 18U + 1U);
  RC_ASSERT(held > 0U || usable == 0U);
}

TEST(TargetSubsetTest, RetryConsidersAllInstances) {
  std::vector<MemberEntry> fleet(200);
  for (uint32_t i = 0; i < fleet.size(); ++i) {
    fleet[i].m_node = NodeId({.m_ip = i + 1, .m_port = 7000});
    fleet[i].m_region = "north";
    fleet[i].m_failure_domain = "n" + std::to_string(1 + i % 2);
    fleet[i].m_instances.push_back(
        {.m_id = InstanceId({.m_ip = i + 1, .m_port = 80}),
         .m_service = kService,
         .m_slots = 3});
  }
  fleet.front().m_instances.clear();
  TargetPicker picker(kOwnNode, 1);
  picker.SetView(BuildView(fleet, std::vector<bool>(fleet.size()),
                           [](InstanceId, Incarnation) { return false; }));
  int outside_first = 0;
  int outside_second = 0;
  for (int i = 0; i < 100; ++i) {
    const Target first = picker.Pick(kService, {}, kNow);
    ASSERT_NE(first.m_instance, nullptr);
    outside_first += first.m_instance->m_is_in_subset ? 0 : 1;
    const std::vector<InstanceId> tried{first.m_instance->m_id};
    const Target second = picker.Pick(kService, {.m_tried = tried}, kNow);
    ASSERT_NE(second.m_instance, nullptr);
    outside_second += second.m_instance->m_is_in_subset ? 0 : 1;
  }
  EXPECT_EQ(outside_first, 0);
  EXPECT_GT(outside_second, 50);
}

}  // namespace
}  // namespace sequoiastage
