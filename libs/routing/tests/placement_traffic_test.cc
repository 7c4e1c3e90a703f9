#include "sequoiastage/routing/placement_traffic.h"

#include <gtest/gtest.h>

namespace sequoiastage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kRecent = milliseconds(300);

PlacementCandidate Known(uint64_t key, Distance distance, uint32_t used) {
  return {.m_key = CandidateKey(key),
          .m_distance = distance,
          .m_slots = 16,
          .m_reported_slots = used,
          .m_report_age = kRecent};
}

PlacementOptions OptionsFor(const ExpectedTraffic& traffic) {
  PlacementOptions options;
  ApplyTraffic(traffic, options);
  return options;
}

ExpectedTraffic Light(Duration objective = seconds(2)) {
  return {.m_bytes = 1500,
          .m_latency_objective = objective,
          .m_shares_service_with_heavy = true};
}

ExpectedTraffic Heavy(Duration objective = seconds(4)) {
  return {.m_bytes = 90'000,
          .m_latency_objective = objective,
          .m_shares_service_with_heavy = true};
}

class PlacementTrafficTest : public testing::Test {
 protected:
  std::optional<PlacementDecision> Next(Placement& placement,
                                        Duration time_left = seconds(10)) {
    return placement.Next(m_candidates, m_random, false, time_left);
  }

  std::optional<PlacementDecision> First(const ExpectedTraffic& traffic) {
    Placement placement(OptionsFor(traffic));
    return Next(placement);
  }

  // Two instances of the region, nearly full, and two of another one.
  std::vector<PlacementCandidate> m_candidates = {
      Known(1, Distance::kRegion, 14), Known(2, Distance::kRegion, 12),
      Known(3, Distance::kRemote, 7), Known(4, Distance::kRemote, 12)};
  std::mt19937_64 m_random{1};
};

TEST(ApplyTrafficTest, BytesDecideFromOnePieceOn) {
  EXPECT_FALSE(OptionsFor({.m_bytes = kHeavyBytes - 1}).m_is_heavy);
  EXPECT_TRUE(OptionsFor({.m_bytes = kHeavyBytes}).m_is_heavy);
  EXPECT_EQ(OptionsFor(Heavy()).m_max_local_wait, seconds(1));
}

// Guards against round trips that use up a short latency objective, and against
// changes for services with light traffic alone.
TEST(ApplyTrafficTest, OnlyLightRequestsWithTimeBesideHeavyOnesMove) {
  EXPECT_EQ(OptionsFor(Light(milliseconds(470))).m_max_moves, 0U);
  EXPECT_EQ(OptionsFor(Light(milliseconds(480))).m_max_moves, 1U);
  EXPECT_EQ(OptionsFor(Heavy()).m_max_moves, 0U);
  ExpectedTraffic alone = Light();
  alone.m_shares_service_with_heavy = false;
  EXPECT_EQ(OptionsFor(alone).m_max_moves, 0U);
}

// Guards against light requests that hold the slots of downloads.
TEST_F(PlacementTrafficTest, LightRequestMakesRoomInANearlyFullRegion) {
  const auto decision = First(Light());
  ASSERT_TRUE(decision);
  EXPECT_EQ(decision->m_key, CandidateKey(3));
  EXPECT_TRUE(decision->m_makes_room);
  EXPECT_FALSE(decision->m_may_wait);
}

TEST_F(PlacementTrafficTest, LightRequestStaysWhileTheRegionHasRoom) {
  m_candidates[0].m_reported_slots = 11;
  EXPECT_NE(First(Light())->m_key, CandidateKey(3));
}

TEST_F(PlacementTrafficTest, HeldInstancesDoNotCountAsRoom) {
  m_candidates[0].m_reported_slots = 0;
  m_candidates[0].m_hold_remaining = milliseconds(100);
  EXPECT_EQ(First(Light())->m_key, CandidateKey(3));
  m_candidates[2].m_hold_remaining = milliseconds(100);
  EXPECT_EQ(First(Light())->m_key, CandidateKey(2));
}

// Guards against light requests that move to instances of unknown load.
TEST_F(PlacementTrafficTest, StaleReportOfAnotherRegionCountsAsNearlyFull) {
  m_candidates[2].m_report_age = seconds(3);
  EXPECT_LE(First(Light())->m_key, CandidateKey(2));
}

TEST_F(PlacementTrafficTest, LightRequestReturnsAfterItsMoves) {
  Placement placement(OptionsFor(Light(milliseconds(480))));
  EXPECT_EQ(Next(placement)->m_key, CandidateKey(3));
  placement.OnRefused(CandidateKey(3), PlacementRefusal::kHeld, {});
  m_candidates[3].m_reported_slots = 0;
  const auto decision = Next(placement);
  EXPECT_FALSE(decision->m_makes_room);
  EXPECT_NE(decision->m_key, CandidateKey(4));
}

// The other region is cut off.
TEST_F(PlacementTrafficTest, LightRequestStaysWhenOthersAreUnreachable) {
  m_candidates[2].m_is_reachable = false;
  EXPECT_FALSE(First(Light())->m_makes_room);
}

// Guards against downloads that cross while queues of their region are usable,
// and against those that wait in it for longer than a quarter of the objective.
TEST_F(PlacementTrafficTest, HeavyRequestWaitsAQuarterOfItsObjective) {
  Placement placement(OptionsFor(Heavy()));
  for (int i = 0; i < 2; ++i) {
    placement.OnRefused(Next(placement)->m_key, PlacementRefusal::kBusy,
                        milliseconds(900));
  }
  for (int i = 0; i < 2; ++i) {
    const auto queue = Next(placement);
    ASSERT_TRUE(queue);
    EXPECT_TRUE(queue->m_may_wait);
    EXPECT_LE(queue->m_key, CandidateKey(2));
  }
  EXPECT_FALSE(Next(placement, milliseconds(9500)));
  EXPECT_TRUE(placement.WaitsInRegion());
  EXPECT_EQ(Next(placement, seconds(9))->m_key, CandidateKey(3));
}

// Guards against a request that waits in its region until no time is left for
// another one.
TEST_F(PlacementTrafficTest, HeavyRequestWithACloseDeadlineWaitsLess) {
  Placement placement(OptionsFor(Heavy()));
  for (const uint64_t key : {1, 2}) {
    placement.OnRefused(CandidateKey(key), PlacementRefusal::kBusy,
                        milliseconds(300));
  }
  EXPECT_FALSE(Next(placement, seconds(1)));
  EXPECT_TRUE(placement.WaitsInRegion());
  EXPECT_EQ(Next(placement, milliseconds(750))->m_key, CandidateKey(3));
}

TEST_F(PlacementTrafficTest, HeavyRequestNeverGoesToFullOrHeldRemotes) {
  m_candidates[2].m_hold_remaining = milliseconds(100);
  Placement placement(OptionsFor(Heavy()));
  Duration time_left = seconds(10);
  for (int i = 0; i < 50; ++i, time_left -= milliseconds(100)) {
    const auto decision = Next(placement, time_left);
    if (!decision) {
      placement.StartRound();
      continue;
    }
    EXPECT_LE(decision->m_key, CandidateKey(2));
    placement.OnRefused(
        decision->m_key,
        i % 2 == 0 ? PlacementRefusal::kBusy : PlacementRefusal::kHeld,
        milliseconds(100));
  }
}

// Guards against downloads that are refused because all instances of their
// service are in another region.
TEST_F(PlacementTrafficTest, HeavyRequestWithoutLocalInstancesIsNotRestricted) {
  m_candidates = {Known(3, Distance::kRemote, 14)};
  EXPECT_EQ(First(Heavy())->m_key, CandidateKey(3));
}

TEST(HeavyServicesTest, LearnedOnesAreForgotten) {
  constexpr TimePoint kNow(std::chrono::hours(1));
  HeavyServices services({ServiceId(1)});
  services.Observe(ServiceId(2), kNow);
  EXPECT_TRUE(services.Contains(ServiceId(1), kNow + std::chrono::hours(1)));
  EXPECT_TRUE(services.Contains(ServiceId(2), kNow + seconds(59)));
  EXPECT_FALSE(services.Contains(ServiceId(2), kNow + seconds(60)));
  EXPECT_FALSE(services.Contains(ServiceId(3), kNow));
}

}  // namespace
}  // namespace sequoiastage
