#include "sequoiastage/routing/selector.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <optional>

namespace sequoiastage {
namespace {

InstanceId Instance(uint32_t index) {
  return InstanceId({.m_ip = index + 1, .m_port = 80});
}

/// A service of instances with random states, as seen by one ingress.
std::vector<Candidate> RandomService(std::mt19937_64& random) {
  std::vector<Candidate> service(1 + random() % 24);
  for (uint32_t i = 0; i < service.size(); ++i) {
    service[i] = {.m_instance = Instance(i),
                  .m_locality = static_cast<Locality>(random() % 4),
                  .m_health = static_cast<InstanceHealth>(random() % 3),
                  .m_draining = random() % 8 == 0,
                  .m_warm_up = random() % 4 == 0,
                  .m_unreachable = random() % 8 == 0,
                  .m_slots = static_cast<uint16_t>(1 + random() % 4),
                  .m_load = static_cast<double>(random() % 5)};
  }
  return service;
}

bool HasRoom(const Candidate& candidate) {
  return !candidate.IsExcluded() && candidate.HasFreeSlot();
}

/// Selector under test: the first instance of the order with a free slot.
struct OrderedSelection {
  std::optional<uint32_t> operator()(const std::vector<Candidate>& service,
                                     bool idempotent,
                                     std::mt19937_64& random) const {
    const SelectionRequest request{.m_idempotent = idempotent};
    for (const Choice& choice : Selector().Order(service, request, random)) {
      if (service[choice.m_index].HasFreeSlot()) {
        return choice.m_index;
      }
    }
    return std::nullopt;
  }
};

/// Baseline: a random instance that is not excluded.
struct RandomSelection {
  std::optional<uint32_t> operator()(const std::vector<Candidate>& service,
                                     bool /*idempotent*/,
                                     std::mt19937_64& random) const {
    std::vector<uint32_t> usable;
    for (uint32_t i = 0; i < service.size(); ++i) {
      if (!service[i].IsExcluded()) {
        usable.push_back(i);
      }
    }
    if (usable.empty()) {
      return std::nullopt;
    }
    const uint32_t chosen = usable[random() % usable.size()];
    return HasRoom(service[chosen]) ? std::optional(chosen) : std::nullopt;
  }
};

/// Baseline: excludes suspect instances.
struct FilteringSelection {
  std::optional<uint32_t> operator()(const std::vector<Candidate>& service,
                                     bool /*idempotent*/,
                                     std::mt19937_64& /*random*/) const {
    for (uint32_t i = 0; i < service.size(); ++i) {
      if (HasRoom(service[i]) && !service[i].m_unreachable &&
          service[i].m_health == InstanceHealth::kHealthy) {
        return i;
      }
    }
    return std::nullopt;
  }
};

/// Sends requests until one is shed. Returns whether no request was shed while
/// an instance that is not excluded had a free slot.
template <class Selection>
bool UsesAllCapacity(uint64_t seed) {
  std::mt19937_64 random(seed);
  std::vector<Candidate> service = RandomService(random);
  for (;;) {
    const auto chosen = Selection()(service, random() % 2 == 0, random);
    if (!chosen) {
      return std::none_of(service.begin(), service.end(), HasRoom);
    }
    if (!HasRoom(service[*chosen])) {
      return false;
    }
    service[*chosen].m_load += 1;
  }
}

/// Returns whether a non-idempotent request avoids suspect instances while a
/// healthy, reachable instance has a free slot.
template <class Selection>
bool KeepsNonIdempotentOffSuspects(uint64_t seed) {
  std::mt19937_64 random(seed);
  const std::vector<Candidate> service = RandomService(random);
  const bool has_healthy = std::any_of(
      service.begin(), service.end(), [](const Candidate& candidate) {
        return HasRoom(candidate) && !candidate.m_unreachable &&
               candidate.m_health == InstanceHealth::kHealthy;
      });
  const auto chosen = Selection()(service, false, random);
  return !has_healthy ||
         (chosen && service[*chosen].m_health == InstanceHealth::kHealthy);
}

template <class Property>
int CountFailures(Property property) {
  int failures = 0;
  for (uint64_t seed = 0; seed < 500; ++seed) {
    failures += property(seed) ? 0 : 1;
  }
  return failures;
}

RC_GTEST_PROP(SelectorTest, NothingIsShedWhileASlotIsFree, (uint64_t seed)) {
  RC_ASSERT(UsesAllCapacity<OrderedSelection>(seed));
}

TEST(SelectorTest, NaiveSelectionShedsWhileASlotIsFree) {
  EXPECT_GT(CountFailures(UsesAllCapacity<FilteringSelection>), 100);
  EXPECT_GT(CountFailures(UsesAllCapacity<RandomSelection>), 100);
}

RC_GTEST_PROP(SelectorTest,
              SuspectGetsNoNonIdempotentWorkWhileAHealthySlotIsFree,
              (uint64_t seed)) {
  RC_ASSERT(KeepsNonIdempotentOffSuspects<OrderedSelection>(seed));
}

TEST(SelectorTest, RandomSelectionGivesNonIdempotentWorkToSuspects) {
  EXPECT_GT(CountFailures(KeepsNonIdempotentOffSuspects<RandomSelection>), 50);
}

RC_GTEST_PROP(SelectorTest,
              OrderContainsEachUsableInstanceOnce,
              (uint64_t seed, bool idempotent)) {
  std::mt19937_64 random(seed);
  const std::vector<Candidate> service = RandomService(random);
  const std::vector<InstanceId> tried{Instance(0), Instance(3)};
  const auto order = Selector().Order(
      service, {.m_idempotent = idempotent, .m_tried = tried}, random);
  std::vector<uint32_t> indexes;
  for (const Choice& choice : order) {
    RC_ASSERT(!service[choice.m_index].IsExcluded());
    indexes.push_back(choice.m_index);
  }
  std::sort(indexes.begin(), indexes.end());
  RC_ASSERT(std::unique(indexes.begin(), indexes.end()) == indexes.end());
  const auto in_service =
      std::count_if(service.begin(), service.end(),
                    [](const Candidate& c) { return !c.IsExcluded(); });
  RC_ASSERT(indexes.size() == static_cast<std::size_t>(in_service));
}

RC_GTEST_PROP(SelectorTest,
              OtherRegionsAreUsedOnlyWithoutAFreeHealthyLocalSlot,
              (uint64_t seed)) {
  std::mt19937_64 random(seed);
  const std::vector<Candidate> service = RandomService(random);
  const auto order = Selector().Order(service, {.m_idempotent = true}, random);
  const bool has_near = std::any_of(
      service.begin(), service.end(), [](const Candidate& candidate) {
        return HasRoom(candidate) && !candidate.m_unreachable &&
               candidate.m_health == InstanceHealth::kHealthy &&
               candidate.m_locality != Locality::kOtherRegion;
      });
  if (has_near) {
    RC_ASSERT(service[order[0].m_index].m_locality != Locality::kOtherRegion);
  }
}

RC_GTEST_PROP(SelectorTest, TriedInstancesComeLast, (uint64_t seed)) {
  std::mt19937_64 random(seed);
  const std::vector<Candidate> service = RandomService(random);
  const std::vector<InstanceId> tried{Instance(0), Instance(1)};
  const auto order = Selector().Order(
      service, {.m_idempotent = true, .m_tried = tried}, random);
  bool is_tried = false;
  for (const Choice& choice : order) {
    const bool is_now = choice.m_index <= 1;
    RC_ASSERT(is_now || !is_tried);
    is_tried = is_now;
  }
}

std::vector<Candidate> HealthyService(uint32_t size) {
  std::vector<Candidate> service(size);
  for (uint32_t i = 0; i < size; ++i) {
    service[i] = {.m_instance = Instance(i),
                  .m_locality = Locality::kOwnRegion,
                  .m_slots = 3};
  }
  return service;
}

TEST(SelectorTest, SuspectGetsSmallShareOfIdempotentWork) {
  std::mt19937_64 random(1);
  std::vector<Candidate> service = HealthyService(10);
  service[4].m_health = InstanceHealth::kSuspect;
  int probation_count = 0;
  for (int i = 0; i < 100'000; ++i) {
    const auto order =
        Selector().Order(service, {.m_idempotent = true}, random);
    if (order[0].m_index == 4) {
      ++probation_count;
      EXPECT_EQ(order[0].m_reason, ChoiceReason::kProbation);
    }
  }
  // 5% of a tenth of the requests.
  EXPECT_NEAR(probation_count, 500, 100);
}

TEST(SelectorTest, TwoChoicesBalanceLoad) {
  std::mt19937_64 random(1);
  std::vector<Candidate> service = HealthyService(12);
  for (Candidate& candidate : service) {
    candidate.m_slots = 1000;
  }
  for (int i = 0; i < 1200; ++i) {
    const auto order = Selector().Order(service, {}, random);
    service[order[0].m_index].m_load += 1;
  }
  for (const Candidate& candidate : service) {
    EXPECT_NEAR(candidate.m_load, 100, 10);
  }
}

TEST(SelectorTest, InstanceInWarmUpGetsHalfTheLoad) {
  std::mt19937_64 random(1);
  std::vector<Candidate> service = HealthyService(2);
  service[0].m_warm_up = true;
  service[0].m_slots = service[1].m_slots = 1000;
  for (int i = 0; i < 900; ++i) {
    const auto order = Selector().Order(service, {}, random);
    service[order[0].m_index].m_load += 1;
  }
  EXPECT_NEAR(service[0].m_load, 300, 30);
}

TEST(SelectorTest, ShortDeadlineStaysInTheOwnRegion) {
  std::mt19937_64 random(1);
  std::vector<Candidate> service = HealthyService(2);
  service[0].m_locality = Locality::kOtherRegion;
  service[1].m_load = 3;
  const auto order = Selector().Order(
      service, {.m_time_left = std::chrono::milliseconds(20)}, random);
  EXPECT_EQ(order[0], (Choice{.m_index = 1, .m_reason = ChoiceReason::kBusy}));
}

}  // namespace
}  // namespace sequoiastage
