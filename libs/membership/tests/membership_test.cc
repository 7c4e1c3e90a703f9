#include "sequoiastage/membership/membership.h"

#include <gtest/gtest.h>

#include <set>

#include "fake_network.h"

namespace sequoiastage {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

LocalState StateWithInstance(uint16_t slots, uint32_t service = 1) {
  LocalState state;
  state.m_instances.push_back({.m_id = InstanceId({.m_ip = 9, .m_port = 80}),
                               .m_service = ServiceId(service),
                               .m_incarnation = Incarnation(1),
                               .m_slots = slots});
  return state;
}

bool IsUnreachable(Membership& at, NodeId node) {
  const auto view = at.Find(node);
  return view && view->m_unreachable;
}

TEST(MembershipTest, SmallFleetConvergesFromSeeds) {
  FakeNetwork network({});
  const auto took =
      network.RunUntil([&] { return network.IsConverged(); }, seconds(10));
  ASSERT_TRUE(took);
  EXPECT_LT(*took, seconds(3));
}

TEST(MembershipTest, LocalChangeReachesSmallFleetInASecond) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    FakeNetwork network({.m_seed = seed});
    network.Run(seconds(5));
    network.At(3).SetLocalState(StateWithInstance(4), network.Time());
    const auto took =
        network.RunUntil([&] { return network.IsConverged(); }, seconds(5));
    ASSERT_TRUE(took);
    EXPECT_LT(*took, seconds(1)) << "seed " << seed;
  }
}

TEST(MembershipTest, ConfigurationVersionReachesSmallFleetInASecond) {
  FakeNetwork network({});
  network.Run(seconds(5));
  for (uint32_t i = 0; i < network.Size(); ++i) {
    network.At(i).SetLocalState({.m_config_version = LogOffset(77)},
                                network.Time());
  }
  const auto took =
      network.RunUntil([&] { return network.IsConverged(); }, seconds(5));
  ASSERT_TRUE(took);
  EXPECT_LT(*took, seconds(1));
}

TEST(MembershipTest, NewestConfigurationVersionIsAnnouncedAtOnce) {
  FakeNetwork network({.m_nodes = 60});
  network.Run(seconds(30));
  for (uint64_t version = 1; version <= 5; ++version) {
    network.At(5).SetLocalState({.m_config_version = LogOffset(version)},
                                network.Time());
    const auto has_version = [version](Membership& at) {
      const auto view = at.Find(FakeNetwork::Id(5));
      return view && view->m_entry->m_config_version == LogOffset(version);
    };
    ASSERT_TRUE(network.RunUntil(
        [&] { return network.AllRunning(has_version); }, seconds(3)));
    // The other nodes adopt the version and announce it later.
    for (uint32_t i = 0; i < 60; ++i) {
      network.At(i).SetLocalState({.m_config_version = LogOffset(version)},
                                  network.Time());
    }
  }
}

TEST(MembershipTest, KilledNodeIsHintedWithinThreeSeconds) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    FakeNetwork network({.m_seed = seed});
    network.Run(seconds(5));
    network.Kill(4);
    const auto took = network.RunUntil(
        [&] {
          return network.AllRunning([](Membership& at) {
            return IsUnreachable(at, FakeNetwork::Id(4));
          });
        },
        seconds(10));
    ASSERT_TRUE(took) << "seed " << seed;
    EXPECT_LE(*took, seconds(3)) << "seed " << seed;
  }
}

TEST(MembershipTest, RestartReplacesTheOldIncarnation) {
  FakeNetwork network({});
  network.Run(seconds(5));
  for (uint16_t i = 1; i <= 9; ++i) {
    network.At(4).SetLocalState(StateWithInstance(i), network.Time());
  }
  network.Run(seconds(2));
  const Incarnation before = network.At(4).LocalEntry().m_incarnation;
  network.Start(4);
  ASSERT_GT(network.At(4).LocalEntry().m_incarnation, before);
  const auto took =
      network.RunUntil([&] { return network.IsConverged(); }, seconds(10));
  ASSERT_TRUE(took);
  EXPECT_LT(*took, seconds(3));
}

TEST(MembershipTest, FrozenNodeRecoversWhenResumed) {
  FakeNetwork network({});
  network.Run(seconds(5));
  network.SetFrozen(2, true);
  network.Run(seconds(20));
  EXPECT_TRUE(IsUnreachable(network.At(0), FakeNetwork::Id(2)));
  network.SetFrozen(2, false);
  EXPECT_TRUE(
      network.RunUntil([&] { return network.IsConverged(); }, seconds(10)));
}

TEST(MembershipTest, OneWayCutBetweenTwoNodesCausesNoHint) {
  FakeNetwork network({});
  network.Run(seconds(5));
  network.SetCut(1, 4, true);
  const TimePoint end = network.Time() + minutes(3);
  while (network.Time() < end) {
    network.Run(milliseconds(200));
    ASSERT_TRUE(network.IsConverged());
  }
}

TEST(MembershipTest, RegionCutCausesNoHintWhileAThirdRegionReachesBoth) {
  FakeNetwork network({.m_nodes = 12});
  network.Run(seconds(5));
  for (uint32_t i = 0; i < 12; ++i) {
    for (uint32_t j = 0; j < 12; ++j) {
      const uint32_t from = i % 6 / 2;
      const uint32_t to = j % 6 / 2;
      network.SetCut(i, j, from == 0 && to == 1);
    }
  }
  network.Run(minutes(2));
  for (uint32_t i = 0; i < 12; ++i) {
    EXPECT_EQ(network.At(i).Stats().m_hints_issued, 0U);
  }
  EXPECT_TRUE(network.IsConverged());
}

TEST(MembershipTest, IsolatedNodeIssuesNoHint) {
  FakeNetwork network({});
  network.Run(seconds(5));
  for (uint32_t i = 0; i < 5; ++i) {
    network.SetCut(i, 5, true);
  }
  network.Run(minutes(2));
  EXPECT_EQ(network.At(5).Stats().m_hints_issued, 0U);
  uint64_t changes = network.At(0).ChangeCount();
  for (uint32_t i = 0; i < 5; ++i) {
    EXPECT_TRUE(IsUnreachable(network.At(i), FakeNetwork::Id(5)));
    for (uint32_t j = 0; j < 5; ++j) {
      EXPECT_TRUE(network.HasCurrentView(i, j));
    }
  }
  network.Run(minutes(2));
  EXPECT_EQ(network.At(0).ChangeCount(), changes) << "view flaps";
}

TEST(MembershipTest, MemberThatStillSendsIsNotRemovedWhenProbesFail) {
  FakeNetwork network({});
  network.Run(seconds(5));
  for (uint32_t i = 0; i < 5; ++i) {
    network.SetCut(i, 5, true);
  }
  network.Run(minutes(25));
  for (uint32_t i = 0; i < 5; ++i) {
    EXPECT_TRUE(network.At(i).Find(FakeNetwork::Id(5))) << i;
  }
}

TEST(MembershipTest, KilledNodeIsRemovedAfterMinutesAndStaysRemoved) {
  FakeNetwork network({});
  network.Run(seconds(5));
  network.Kill(4);
  network.Run(minutes(9));
  EXPECT_TRUE(network.AllRunning(
      [](Membership& at) { return at.Find(FakeNetwork::Id(4)).has_value(); }));
  network.Run(minutes(3));
  const TimePoint end = network.Time() + minutes(30);
  while (network.Time() < end) {
    network.Run(seconds(5));
    ASSERT_TRUE(network.AllRunning([](Membership& at) {
      return !at.Find(FakeNetwork::Id(4)).has_value();
    }));
  }
  network.Start(4);
  EXPECT_TRUE(
      network.RunUntil([&] { return network.IsConverged(); }, seconds(10)));
}

TEST(MembershipTest, NodeFrozenPastItsRemovalRejoins) {
  FakeNetwork network({});
  network.Run(seconds(5));
  network.SetFrozen(4, true);
  network.Run(minutes(13));
  ASSERT_FALSE(network.At(0).Find(FakeNetwork::Id(4)));
  network.SetFrozen(4, false);
  EXPECT_TRUE(
      network.RunUntil([&] { return network.IsConverged(); }, seconds(30)));
}

TEST(MembershipTest, NodeThatLeftIsRemoved) {
  FakeNetwork network({});
  network.Run(seconds(5));
  network.At(4).SetLocalState({.m_state = HostState::kLeft}, network.Time());
  network.Run(seconds(2));
  network.Kill(4);
  EXPECT_EQ(network.At(0).Find(FakeNetwork::Id(4))->m_entry->m_state,
            HostState::kLeft);
  network.Run(seconds(90));
  EXPECT_FALSE(network.At(0).Find(FakeNetwork::Id(4)));
}

TEST(MembershipTest, HalvesThatRemovedEachOtherRejoinThroughSeeds) {
  FakeNetwork network({.m_nodes = 6});
  network.Run(seconds(5));
  const auto set_cut = [&](bool cut) {
    for (uint32_t i = 0; i < 6; ++i) {
      for (uint32_t j = 0; j < 6; ++j) {
        network.SetCut(i, j, cut && (i < 3) != (j < 3));
      }
    }
  };
  set_cut(true);
  network.Run(minutes(40));
  ASSERT_FALSE(network.At(0).Find(FakeNetwork::Id(4)));
  ASSERT_FALSE(network.At(4).Find(FakeNetwork::Id(0)));
  set_cut(false);
  EXPECT_TRUE(
      network.RunUntil([&] { return network.IsConverged(); }, seconds(60)));
}

TEST(MembershipTest, GreaterIncarnationAtOwnEndpointIsReported) {
  const NodeId self = FakeNetwork::Id(0);
  const NodeId other = FakeNetwork::Id(1);
  const TimePoint now(seconds(1));
  Membership old_incarnation({.m_node = self, .m_incarnation = Incarnation(1)},
                             now);
  Membership new_incarnation({.m_node = self, .m_incarnation = Incarnation(2)},
                             now);
  Membership witness(
      {.m_node = other, .m_incarnation = Incarnation(1), .m_seeds = {self}},
      now);
  std::vector<OutgoingDatagram> to_witness = new_incarnation.OnTick(now);
  EXPECT_FALSE(old_incarnation.SupersededBy());
  for (const auto& first : witness.OnTick(now)) {
    for (const auto& reply :
         new_incarnation.OnDatagram(other, first.m_bytes, now)) {
      to_witness.push_back(reply);
    }
  }
  for (const auto& datagram : to_witness) {
    for (const auto& request :
         witness.OnDatagram(self, datagram.m_bytes, now)) {
      for (const auto& reply :
           new_incarnation.OnDatagram(other, request.m_bytes, now)) {
        witness.OnDatagram(self, reply.m_bytes, now);
      }
    }
  }
  ASSERT_TRUE(witness.Find(self));
  for (const auto& datagram : witness.OnTick(now + seconds(1))) {
    old_incarnation.OnDatagram(other, datagram.m_bytes, now);
  }
  EXPECT_EQ(old_incarnation.SupersededBy(), Incarnation(2));
}

TEST(MembershipTest, TooManyInstancesAreRejectedWithAReason) {
  Membership node({.m_node = FakeNetwork::Id(0)}, TimePoint());
  LocalState state;
  state.m_instances.resize(kMaxInstancesPerNode + 1);
  EXPECT_FALSE(node.SetLocalState(state, TimePoint()));
  EXPECT_FALSE(node.LastReason().empty());
  EXPECT_TRUE(node.LocalEntry().m_instances.empty());
}

TEST(MembershipTest, GroupReportsOfNodesStartedTogetherAreSpreadOverTime) {
  FakeNetwork network({.m_nodes = 60});
  network.Run(seconds(20));
  for (uint32_t i = 0; i < 60; ++i) {
    network.At(i).SetLocalState(StateWithInstance(3), network.Time());
  }
  network.Run(seconds(10));
  for (uint32_t i = 0; i < 60; ++i) {
    network.At(i).SetGroupReport(ServiceId(1), std::vector<uint8_t>(400));
  }
  // Less than 4 reports per second to 59 peers: a round takes 16 s.
  network.Run(seconds(18));
  for (int window = 0; window < 5; ++window) {
    network.At(0).TakeGroupReports();
    network.Run(seconds(3));
    EXPECT_GE(network.At(0).TakeGroupReports().size(), 5U);
  }
}

TEST(MembershipTest, GroupReportsReachOnlyTheHostsOfTheService) {
  FakeNetwork network({});
  for (uint32_t i = 0; i < 6; ++i) {
    const uint32_t service = i < 3 ? 1 : 2;
    network.At(i).SetLocalState(StateWithInstance(3, service), network.Time());
    ASSERT_TRUE(network.At(i).SetGroupReport(ServiceId(service),
                                             {static_cast<uint8_t>(i)}));
  }
  network.Run(seconds(5));
  for (uint32_t i = 0; i < 6; ++i) {
    network.At(i).TakeGroupReports();
  }
  network.Run(seconds(3));
  for (uint32_t i = 0; i < 6; ++i) {
    std::set<uint8_t> senders;
    for (const GroupReport& report : network.At(i).TakeGroupReports()) {
      EXPECT_EQ(report.m_service, ServiceId(i < 3 ? 1 : 2));
      senders.insert(report.m_bytes.at(0));
    }
    EXPECT_EQ(senders.size(), 2U) << "node " << i;
  }
}

TEST(MembershipTest, RejectsADatagramThatNamesAnotherSender) {
  const TimePoint now(seconds(1));
  Membership sender(
      {.m_node = FakeNetwork::Id(0), .m_seeds = {FakeNetwork::Id(1)}}, now);
  Membership receiver({.m_node = FakeNetwork::Id(1)}, now);
  const auto datagrams = sender.OnTick(now);
  ASSERT_FALSE(datagrams.empty());
  receiver.OnDatagram(FakeNetwork::Id(2), datagrams[0].m_bytes, now);
  EXPECT_EQ(receiver.Stats().m_datagrams_refused, 1U);
  EXPECT_EQ(receiver.Members().size(), 1U);
}

}  // namespace
}  // namespace sequoiastage
