#include "sequoiastage/routing/subset.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <map>
#include <random>
#include <set>

namespace sequoiastage {
namespace {

constexpr std::array<std::string_view, 3> kRegions{"north", "south", "west"};
const ServiceId kService(5);

NodeId Ingress(uint32_t index) {
  return NodeId({.m_ip = 1000 + index, .m_port = 7000});
}

std::vector<SubsetCandidate> Service(uint32_t size) {
  std::vector<SubsetCandidate> service;
  for (uint32_t i = 0; i < size; ++i) {
    service.push_back({.m_instance = InstanceId({.m_ip = i + 1, .m_port = 80}),
                       .m_region = kRegions[i % 3]});
  }
  return service;
}

std::set<InstanceId> SelectedInstances(
    const std::vector<SubsetCandidate>& service,
    const std::vector<uint32_t>& subset) {
  std::set<InstanceId> chosen;
  for (const uint32_t index : subset) {
    chosen.insert(service[index].m_instance);
  }
  return chosen;
}

/// Baseline: a random sample of the list.
std::vector<uint32_t> RandomSample(std::size_t size, uint32_t ingress) {
  std::vector<uint32_t> indexes(size);
  for (uint32_t i = 0; i < size; ++i) {
    indexes[i] = i;
  }
  std::mt19937_64 random(ingress);
  std::shuffle(indexes.begin(), indexes.end(), random);
  indexes.resize(std::min<std::size_t>(size, 18));
  return indexes;
}

std::size_t CountDifferences(const std::set<InstanceId>& a,
                             const std::set<InstanceId>& b) {
  std::vector<InstanceId> difference;
  std::set_symmetric_difference(a.begin(), a.end(), b.begin(), b.end(),
                                std::back_inserter(difference));
  return difference.size();
}

RC_GTEST_PROP(SubsetTest,
              RemovedInstanceChangesAtMostOneMember,
              (uint64_t seed)) {
  std::mt19937_64 random(seed);
  const auto size = static_cast<uint32_t>(30 + random() % 200);
  const std::vector<SubsetCandidate> before = Service(size);
  std::vector<SubsetCandidate> after = before;
  after.erase(after.begin() + static_cast<std::ptrdiff_t>(random() % size));
  const NodeId ingress = Ingress(static_cast<uint32_t>(random() % 1000));
  const auto a = SelectedInstances(
      before, ChooseSubset(before, ingress, kService, "north"));
  const auto b =
      SelectedInstances(after, ChooseSubset(after, ingress, kService, "north"));
  RC_ASSERT(CountDifferences(a, b) <= 2U);
}

TEST(SubsetTest, RandomSampleChangesManyMembers) {
  const std::vector<SubsetCandidate> before = Service(100);
  std::vector<SubsetCandidate> after = before;
  after.erase(after.begin() + 50);
  const auto a = SelectedInstances(before, RandomSample(before.size(), 1));
  const auto b = SelectedInstances(after, RandomSample(after.size(), 1));
  EXPECT_GT(CountDifferences(a, b), 10U);
}

TEST(SubsetTest, RespectsTheLimitOfEachRegion) {
  const std::vector<SubsetCandidate> service = Service(300);
  const auto subset = ChooseSubset(service, Ingress(1), kService, "south");
  std::map<std::string_view, uint32_t> member_counts;
  for (const uint32_t index : subset) {
    ++member_counts[service[index].m_region];
  }
  EXPECT_EQ(member_counts["south"], 12U);
  EXPECT_EQ(member_counts["north"], 3U);
  EXPECT_EQ(member_counts["west"], 3U);
}

TEST(SubsetTest, IngressesSpreadEvenlyOverInstances) {
  const std::vector<SubsetCandidate> service = Service(120);
  std::vector<uint32_t> ingress_counts(service.size());
  for (uint32_t i = 0; i < 2000; ++i) {
    for (const uint32_t index :
         ChooseSubset(service, Ingress(i), kService, kRegions[i % 3])) {
      ++ingress_counts[index];
    }
  }
  // 2,000 ingresses with 18 instances each, over 120 instances: 300 ingresses
  // per instance.
  for (const uint32_t count : ingress_counts) {
    EXPECT_GT(count, 200U);
    EXPECT_LT(count, 400U);
  }
}

}  // namespace
}  // namespace sequoiastage
