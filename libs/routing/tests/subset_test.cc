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

std::set<InstanceId> Chosen(const std::vector<SubsetCandidate>& service,
                            const std::vector<uint32_t>& subset) {
  std::set<InstanceId> chosen;
  for (const uint32_t index : subset) {
    chosen.insert(service[index].m_instance);
  }
  return chosen;
}

/// Deliberately naive: a random sample of the list.
std::vector<uint32_t> SampleOfTheList(std::size_t size, uint32_t ingress) {
  std::vector<uint32_t> indexes(size);
  for (uint32_t i = 0; i < size; ++i) {
    indexes[i] = i;
  }
  std::mt19937_64 random(ingress);
  std::shuffle(indexes.begin(), indexes.end(), random);
  indexes.resize(std::min<std::size_t>(size, 18));
  return indexes;
}

std::size_t Differences(const std::set<InstanceId>& a,
                        const std::set<InstanceId>& b) {
  std::vector<InstanceId> difference;
  std::set_symmetric_difference(a.begin(), a.end(), b.begin(), b.end(),
                                std::back_inserter(difference));
  return difference.size();
}

RC_GTEST_PROP(SubsetTest,
              OneInstanceLessChangesOnePlaceAtMost,
              (uint64_t seed)) {
  std::mt19937_64 random(seed);
  const auto size = static_cast<uint32_t>(30 + random() % 200);
  const std::vector<SubsetCandidate> before = Service(size);
  std::vector<SubsetCandidate> after = before;
  after.erase(after.begin() + static_cast<std::ptrdiff_t>(random() % size));
  const NodeId ingress = Ingress(static_cast<uint32_t>(random() % 1000));
  const auto a =
      Chosen(before, ChooseSubset(before, ingress, kService, "north"));
  const auto b = Chosen(after, ChooseSubset(after, ingress, kService, "north"));
  RC_ASSERT(Differences(a, b) <= 2U);
}

TEST(SubsetTest, SampleOfTheListChangesManyPlaces) {
  const std::vector<SubsetCandidate> before = Service(100);
  std::vector<SubsetCandidate> after = before;
  after.erase(after.begin() + 50);
  const auto a = Chosen(before, SampleOfTheList(before.size(), 1));
  const auto b = Chosen(after, SampleOfTheList(after.size(), 1));
  EXPECT_GT(Differences(a, b), 10U);
}

TEST(SubsetTest, RegionsGetTheirPlaces) {
  const std::vector<SubsetCandidate> service = Service(300);
  const auto subset = ChooseSubset(service, Ingress(1), kService, "south");
  std::map<std::string_view, uint32_t> places;
  for (const uint32_t index : subset) {
    ++places[service[index].m_region];
  }
  EXPECT_EQ(places["south"], 12U);
  EXPECT_EQ(places["north"], 3U);
  EXPECT_EQ(places["west"], 3U);
}

TEST(SubsetTest, IngressesSpreadOverTheInstances) {
  const std::vector<SubsetCandidate> service = Service(120);
  std::vector<uint32_t> users(service.size());
  for (uint32_t i = 0; i < 2000; ++i) {
    for (const uint32_t index :
         ChooseSubset(service, Ingress(i), kService, kRegions[i % 3])) {
      ++users[index];
    }
  }
  // 2,000 ingresses with 18 places each over 120 instances: 300 each.
  for (const uint32_t count : users) {
    EXPECT_GT(count, 200U);
    EXPECT_LT(count, 400U);
  }
}

}  // namespace
}  // namespace sequoiastage
