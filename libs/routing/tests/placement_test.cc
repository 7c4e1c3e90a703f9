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
  std::optional<PlacementDecision> Next() {
    return m_placement.Next(m_candidates, m_random);
  }

  std::vector<PlacementCandidate> m_candidates = {At(1, Distance::kDomain),
                                                  At(2, Distance::kRegion),
                                                  At(3, Distance::kRemote)};
  Placement m_placement;
  std::mt19937_64 m_random{1};
};

TEST_F(PlacementTest, PrefersNearestFreeInstance) {
  EXPECT_EQ(Next()->m_key, CandidateKey(1));
  m_candidates[0].m_used_slots = 2;
  EXPECT_EQ(Next()->m_key, CandidateKey(2));
}

// Load pattern: a service near capacity has slow requests. A hedged request
// never takes a last slot, a queue or an instance of another region.
TEST_F(PlacementTest, HedgesNeedSpareSlots) {
  m_candidates[0].m_used_slots = 2;
  EXPECT_EQ(m_placement.NextForHedge(m_candidates, m_random)->m_key,
            CandidateKey(2));
  m_placement.OnMaybeStarted(CandidateKey(2));
  EXPECT_FALSE(m_placement.NextForHedge(m_candidates, m_random));
  m_candidates[0].m_used_slots = 1;
  m_candidates[0].m_hold_remaining = milliseconds(100);
  EXPECT_FALSE(m_placement.NextForHedge(m_candidates, m_random));
}

// Load pattern: an instance in trouble limits its request rate, and the other
// instances of the region are full. Another region has room.
TEST_F(PlacementTest, RemoteSlotIsPreferredToALongWaitForTheRateLimit) {
  m_candidates[0].m_used_slots = 3;
  m_candidates[0].m_rate_wait = milliseconds(500);
  m_candidates[1].m_hold_remaining = milliseconds(100);
  EXPECT_EQ(Next()->m_key, CandidateKey(3));
  m_placement.OnRefused(CandidateKey(3), PlacementRefusal::kFinal, {});
  const auto decision = Next();
  ASSERT_TRUE(decision);
  EXPECT_EQ(decision->m_key, CandidateKey(1));
  EXPECT_TRUE(decision->m_may_wait);
}

// An instance behind a lost path is never selected, held or not, and does not
// count against the offers to held instances.
TEST_F(PlacementTest, SkipsUnreachableInstances) {
  for (PlacementCandidate& candidate : m_candidates) {
    candidate.m_is_reachable = false;
  }
  EXPECT_FALSE(Next());
  m_candidates[2].m_is_reachable = true;
  m_candidates[2].m_hold_remaining = milliseconds(100);
  const auto decision = Next();
  ASSERT_TRUE(decision);
  EXPECT_EQ(decision->m_key, CandidateKey(3));
  EXPECT_TRUE(decision->m_accepts_held);
}

TEST_F(PlacementTest, TriesWholeRegionBeforeAnotherOne) {
  m_placement.OnRefused(CandidateKey(1), PlacementRefusal::kHeld, {});
  EXPECT_EQ(Next()->m_key, CandidateKey(2));
  m_placement.OnRefused(CandidateKey(2), PlacementRefusal::kHeld, {});
  EXPECT_EQ(Next()->m_key, CandidateKey(3));
}

TEST_F(PlacementTest, PrefersShortLocalQueueOverAnotherRegion) {
  m_placement.OnRefused(CandidateKey(1), PlacementRefusal::kBusy,
                        milliseconds(30));
  m_placement.OnRefused(CandidateKey(2), PlacementRefusal::kBusy,
                        milliseconds(200));
  const auto decision = Next();
  EXPECT_EQ(decision->m_key, CandidateKey(1));
  EXPECT_TRUE(decision->m_may_wait);
}

TEST_F(PlacementTest, PrefersAnotherRegionOverLongQueue) {
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
  const auto decision =
      m_placement.Next(m_candidates, m_random, false, milliseconds(190));
  EXPECT_NE(decision->m_key, CandidateKey(3));
  EXPECT_TRUE(decision->m_may_wait);
}

TEST_F(PlacementTest, IdempotentRequestsPreferInstancesThatNeedATrial) {
  m_candidates[1].m_needs_trial = true;
  EXPECT_EQ(m_placement.Next(m_candidates, m_random, true)->m_key,
            CandidateKey(2));
  EXPECT_EQ(m_placement.Next(m_candidates, m_random, false)->m_key,
            CandidateKey(1));
}

TEST_F(PlacementTest, UsesHeldInstancesOnlyWhenAllAreHeld) {
  for (const uint64_t key : {1, 2, 3}) {
    EXPECT_FALSE(Next()->m_accepts_held);
    m_placement.OnRefused(CandidateKey(key), PlacementRefusal::kHeld, {});
  }
  EXPECT_TRUE(Next()->m_accepts_held);
  EXPECT_TRUE(Next()->m_accepts_held);
  EXPECT_FALSE(Next());
}

// Load pattern: the open instances of a service are full. A retry that
// overflows to a held one is broken there and uses up the retry budget.
TEST_F(PlacementTest, RetriesUseHeldInstancesOnlyWhenAllAreHeld) {
  m_placement = Placement({.m_spares_held = true});
  m_candidates[0].m_hold_remaining = milliseconds(500);
  m_candidates[1].m_used_slots = 3;
  m_placement.OnMaybeStarted(CandidateKey(3));
  const auto queued = Next();
  ASSERT_TRUE(queued);
  EXPECT_EQ(queued->m_key, CandidateKey(2));
  EXPECT_TRUE(queued->m_may_wait);
  m_placement.OnRefused(CandidateKey(2), PlacementRefusal::kBusy, {});
  EXPECT_FALSE(Next());
  m_placement.OnRefused(CandidateKey(2), PlacementRefusal::kHeld, {});
  EXPECT_TRUE(Next()->m_accepts_held);
}

TEST_F(PlacementTest, LaterRoundsUseHeldInstancesOnlyWhenAllAreHeld) {
  m_placement = Placement({.m_spares_held = true});
  m_candidates.resize(2);
  m_candidates[0].m_hold_remaining = milliseconds(500);
  m_candidates[1].m_used_slots = 3;
  EXPECT_EQ(Next()->m_key, CandidateKey(2));
  m_placement.OnRefused(CandidateKey(2), PlacementRefusal::kBusy, {});
  EXPECT_TRUE(Next()->m_accepts_held);
  m_placement.StartRound();
  EXPECT_EQ(Next()->m_key, CandidateKey(2));
  m_placement.OnRefused(CandidateKey(2), PlacementRefusal::kBusy, {});
  EXPECT_FALSE(Next());
}

TEST_F(PlacementTest, NeverReturnsToInstanceThatMayHaveStartedTheRequest) {
  m_placement.OnMaybeStarted(CandidateKey(1));
  m_placement.OnMaybeStarted(CandidateKey(2));
  EXPECT_EQ(Next()->m_key, CandidateKey(3));
  m_placement.OnMaybeStarted(CandidateKey(3));
  EXPECT_FALSE(Next());
}

RC_GTEST_PROP(PlacementPropertyTest, EndsWithinBoundedNumberOfDecisions, ()) {
  std::mt19937_64 random(*rc::gen::arbitrary<uint64_t>());
  std::vector<PlacementCandidate> candidates;
  const auto count = *rc::gen::inRange<uint64_t>(0, 40);
  for (uint64_t key = 0; key < count; ++key) {
    PlacementCandidate candidate =
        At(key, *rc::gen::element(Distance::kDomain, Distance::kRegion,
                                  Distance::kRemote));
    candidate.m_is_reachable = *rc::gen::arbitrary<bool>();
    candidate.m_hold_remaining = milliseconds(*rc::gen::inRange(0, 2));
    candidate.m_used_slots = *rc::gen::inRange<uint32_t>(0, 5);
    candidates.push_back(candidate);
  }
  const PlacementOptions options;
  Placement placement(options);
  uint64_t decisions = 0;
  std::set<uint64_t> started;
  while (const auto decision = placement.Next(candidates, random)) {
    RC_ASSERT(!started.contains(decision->m_key.Get()));
    RC_ASSERT(++decisions <= count + options.m_max_remote_offers +
                                 options.m_max_queue_offers +
                                 options.m_max_held_offers);
    if (*rc::gen::inRange(0, 4) == 0) {
      placement.OnMaybeStarted(decision->m_key);
      started.insert(decision->m_key.Get());
    } else {
      placement.OnRefused(
          decision->m_key,
          *rc::gen::element(PlacementRefusal::kBusy, PlacementRefusal::kHeld,
                            PlacementRefusal::kFinal),
          milliseconds(*rc::gen::inRange(0, 500)));
    }
  }
}

// Three in ten instances are held, which is visible only to their egresses.
TEST(PlacementLoadTest, FindsOpenInstanceWhileThreeInTenAreHeld) {
  std::mt19937_64 random(1);
  std::bernoulli_distribution is_held(0.3);
  int served = 0;
  int remote = 0;
  constexpr int kRequests = 2000;
  for (int i = 0; i < kRequests; ++i) {
    std::vector<PlacementCandidate> candidates;
    std::set<uint64_t> held;
    for (uint64_t key = 0; key < 12; ++key) {
      candidates.push_back(
          At(key, key < 4 ? Distance::kRegion : Distance::kRemote));
      if (is_held(random)) {
        held.insert(key);
      }
    }
    Placement placement;
    while (const auto decision = placement.Next(candidates, random)) {
      if (decision->m_accepts_held) {
        break;
      }
      if (!held.contains(decision->m_key.Get())) {
        ++served;
        remote += decision->m_key.Get() < 4 ? 0 : 1;
        break;
      }
      placement.OnRefused(decision->m_key, PlacementRefusal::kHeld, {});
    }
  }
  EXPECT_GT(served, kRequests * 0.998);
  EXPECT_LT(remote, kRequests * 0.02);
}

}  // namespace
}  // namespace sequoiastage
