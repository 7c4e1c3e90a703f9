#include "sequoiastage/routing/placement.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace sequoiastage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

PlacementCandidate At(uint64_t key, Distance distance) {
  return {.m_key = CandidateKey(key), .m_distance = distance, .m_slots = 3};
}

class PlacementTest : public testing::Test {
 protected:
  std::optional<PlacementStep> Next() {
    return m_placement.Next(m_candidates, m_random);
  }

  std::vector<PlacementCandidate> m_candidates = {At(1, Distance::kDomain),
                                                  At(2, Distance::kRegion),
                                                  At(3, Distance::kRemote)};
  Placement m_placement;
  std::mt19937_64 m_random{1};
};

TEST_F(PlacementTest, PrefersTheNearestFreeInstance) {
  EXPECT_EQ(Next()->m_key, CandidateKey(1));
  m_candidates[0].m_busy = 2;
  EXPECT_EQ(Next()->m_key, CandidateKey(2));
}

// Load pattern: a nearly full service, whose work is slow. A copy takes no last
// slot, no queue and no path to another region.
TEST_F(PlacementTest, CopiesGoOnlyWhereSlotsAreToSpare) {
  m_candidates[0].m_busy = 2;
  EXPECT_EQ(m_placement.NextSpare(m_candidates, m_random)->m_key,
            CandidateKey(2));
  m_placement.OnRan(CandidateKey(2));
  EXPECT_FALSE(m_placement.NextSpare(m_candidates, m_random));
  m_candidates[0].m_busy = 1;
  m_candidates[0].m_hold_left = milliseconds(100);
  EXPECT_FALSE(m_placement.NextSpare(m_candidates, m_random));
}

// Held back or not, an instance behind a lost path is no step and takes no turn
// of those that are held back.
TEST_F(PlacementTest, LostPathsAreNoSteps) {
  for (PlacementCandidate& candidate : m_candidates) {
    candidate.m_is_path_open = false;
  }
  EXPECT_FALSE(Next());
  m_candidates[2].m_is_path_open = true;
  m_candidates[2].m_hold_left = milliseconds(100);
  const auto step = Next();
  ASSERT_TRUE(step);
  EXPECT_EQ(step->m_key, CandidateKey(3));
  EXPECT_TRUE(step->m_accepts_held);
}

TEST_F(PlacementTest, AsksTheWholeRegionBeforeAnotherOne) {
  m_placement.OnRefused(CandidateKey(1), PlacementRefusal::kHeld, {});
  EXPECT_EQ(Next()->m_key, CandidateKey(2));
  m_placement.OnRefused(CandidateKey(2), PlacementRefusal::kHeld, {});
  EXPECT_EQ(Next()->m_key, CandidateKey(3));
}

TEST_F(PlacementTest, WaitsNearbyWhenThatIsShorterThanTheWayToAnotherRegion) {
  m_placement.OnRefused(CandidateKey(1), PlacementRefusal::kBusy,
                        milliseconds(30));
  m_placement.OnRefused(CandidateKey(2), PlacementRefusal::kBusy,
                        milliseconds(200));
  const auto step = Next();
  EXPECT_EQ(step->m_key, CandidateKey(1));
  EXPECT_TRUE(step->m_may_wait);
}

TEST_F(PlacementTest, GoesToAnotherRegionRatherThanWaitLong) {
  for (const uint64_t key : {1, 2}) {
    m_placement.OnRefused(CandidateKey(key), PlacementRefusal::kBusy,
                          milliseconds(200));
  }
  EXPECT_EQ(Next()->m_key, CandidateKey(3));
  m_placement.OnRefused(CandidateKey(3), PlacementRefusal::kBusy,
                        milliseconds(200));
  EXPECT_TRUE(Next()->m_may_wait);
}

TEST_F(PlacementTest, ShortDeadlinesStayInTheRegion) {
  for (const uint64_t key : {1, 2}) {
    m_placement.OnRefused(CandidateKey(key), PlacementRefusal::kBusy,
                          milliseconds(200));
  }
  const auto step =
      m_placement.Next(m_candidates, m_random, false, milliseconds(190));
  EXPECT_NE(step->m_key, CandidateKey(3));
  EXPECT_TRUE(step->m_may_wait);
}

TEST_F(PlacementTest, RepeatableWorkSeeksOutWhatWantsATrial) {
  m_candidates[1].m_wants_trial = true;
  EXPECT_EQ(m_placement.Next(m_candidates, m_random, true)->m_key,
            CandidateKey(2));
  EXPECT_EQ(m_placement.Next(m_candidates, m_random, false)->m_key,
            CandidateKey(1));
}

TEST_F(PlacementTest, ForcesAHeldInstanceOnlyWhenNoneIsOpen) {
  for (const uint64_t key : {1, 2, 3}) {
    EXPECT_FALSE(Next()->m_accepts_held);
    m_placement.OnRefused(CandidateKey(key), PlacementRefusal::kHeld, {});
  }
  EXPECT_TRUE(Next()->m_accepts_held);
  EXPECT_TRUE(Next()->m_accepts_held);
  EXPECT_FALSE(Next());
}

TEST_F(PlacementTest, NeverReturnsToAnInstanceThatMayHaveRunTheRequest) {
  m_placement.OnRan(CandidateKey(1));
  m_placement.OnRan(CandidateKey(2));
  EXPECT_EQ(Next()->m_key, CandidateKey(3));
  m_placement.OnRan(CandidateKey(3));
  EXPECT_FALSE(Next());
}

RC_GTEST_PROP(PlacementPropertyTest, EndsWithinABoundedNumberOfSteps, ()) {
  std::mt19937_64 random(*rc::gen::arbitrary<uint64_t>());
  std::vector<PlacementCandidate> candidates;
  const auto count = *rc::gen::inRange<uint64_t>(0, 40);
  for (uint64_t key = 0; key < count; ++key) {
    PlacementCandidate candidate =
        At(key, *rc::gen::element(Distance::kDomain, Distance::kRegion,
                                  Distance::kRemote));
    candidate.m_is_path_open = *rc::gen::arbitrary<bool>();
    candidate.m_hold_left = milliseconds(*rc::gen::inRange(0, 2));
    candidate.m_busy = *rc::gen::inRange<uint32_t>(0, 5);
    candidates.push_back(candidate);
  }
  const PlacementOptions options;
  Placement placement(options);
  uint64_t steps = 0;
  std::set<uint64_t> ran;
  while (const auto step = placement.Next(candidates, random)) {
    RC_ASSERT(!ran.contains(step->m_key.Get()));
    RC_ASSERT(++steps <= count + options.m_max_far + options.m_max_waits +
                             options.m_max_held);
    if (*rc::gen::inRange(0, 4) == 0) {
      placement.OnRan(step->m_key);
      ran.insert(step->m_key.Get());
    } else {
      placement.OnRefused(
          step->m_key,
          *rc::gen::element(PlacementRefusal::kBusy, PlacementRefusal::kHeld,
                            PlacementRefusal::kFinal),
          milliseconds(*rc::gen::inRange(0, 500)));
    }
  }
}

// Three in ten instances are held back, known to their egresses only.
TEST(PlacementLoadTest, FindsAnOpenInstanceWhileThreeInTenAreHeld) {
  std::mt19937_64 random(1);
  std::bernoulli_distribution is_struck(0.3);
  int served = 0;
  int far = 0;
  constexpr int kRequests = 2000;
  for (int i = 0; i < kRequests; ++i) {
    std::vector<PlacementCandidate> candidates;
    std::set<uint64_t> held;
    for (uint64_t key = 0; key < 12; ++key) {
      candidates.push_back(
          At(key, key < 4 ? Distance::kRegion : Distance::kRemote));
      if (is_struck(random)) {
        held.insert(key);
      }
    }
    Placement placement;
    while (const auto step = placement.Next(candidates, random)) {
      if (step->m_accepts_held) {
        break;
      }
      if (!held.contains(step->m_key.Get())) {
        ++served;
        far += step->m_key.Get() < 4 ? 0 : 1;
        break;
      }
      placement.OnRefused(step->m_key, PlacementRefusal::kHeld, {});
    }
  }
  EXPECT_GT(served, kRequests * 0.998);
  EXPECT_LT(far, kRequests * 0.02);
}

}  // namespace
}  // namespace sequoiastage
