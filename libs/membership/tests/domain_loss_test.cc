#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <random>

#include "../src/member_table_p.h"
#include "fake_network.h"

namespace sequoiastage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Failure domains of a FakeNetwork with its default options.
constexpr uint32_t kDomains = 6;
constexpr uint32_t kNodes = 60;
/// Two probe rounds: a node's failed probe of a member stays in effect until
/// its next probe of that member.
constexpr Duration kTwoProbeRounds = seconds(60);

uint64_t LossesIssued(FakeNetwork& network) {
  uint64_t issued = 0;
  for (uint32_t i = 0; i < network.Size(); ++i) {
    issued +=
        network.IsRunning(i) ? network.At(i).Stats().m_domain_losses_issued : 0;
  }
  return issued;
}

/// Whether all running nodes consider all of `lost` unreachable.
bool AllSeeUnreachable(FakeNetwork& network,
                       const std::vector<uint32_t>& lost) {
  return std::all_of(lost.begin(), lost.end(), [&](uint32_t index) {
    return network.AllRunning([index](Membership& at) {
      const auto view = at.Find(FakeNetwork::Id(index));
      return !view || view->m_unreachable;
    });
  });
}

bool IsUnreachable(FakeNetwork& network, uint32_t at, uint32_t node) {
  const auto view = network.At(at).Find(FakeNetwork::Id(node));
  return view && view->m_unreachable;
}

/// Every `step`th node of failure domain 2.
std::vector<uint32_t> NodesOfDomain(uint32_t step = 1) {
  std::vector<uint32_t> nodes;
  for (uint32_t i = 2; i < kNodes; i += step * kDomains) {
    nodes.push_back(i);
  }
  return nodes;
}

TEST(DomainLossTest, LossSpreadsToAllNodesAndClearsAfterRestart) {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    FakeNetwork network({.m_nodes = kNodes, .m_seed = seed});
    network.Run(seconds(30));
    const std::vector<uint32_t> lost = NodesOfDomain();
    for (const uint32_t i : lost) {
      network.Kill(i);
    }
    ASSERT_TRUE(network.RunUntil(
        [&] { return AllSeeUnreachable(network, lost); }, seconds(15)))
        << "seed " << seed;
    network.Run(seconds(10));
    EXPECT_GE(LossesIssued(network), 1U) << "seed " << seed;
    for (const uint32_t i : lost) {
      network.Start(i);
    }
    ASSERT_TRUE(network.RunUntil([&] { return network.IsConverged(); },
                                 kTwoProbeRounds))
        << "seed " << seed;
  }
}

TEST(DomainLossTest, FrozenDomainRecoversWhenResumed) {
  FakeNetwork network({.m_nodes = kNodes});
  network.Run(seconds(30));
  const std::vector<uint32_t> lost = NodesOfDomain();
  for (const uint32_t i : lost) {
    network.SetFrozen(i, true);
  }
  network.Run(seconds(15));
  ASSERT_GE(LossesIssued(network), 1U);
  for (const uint32_t i : lost) {
    network.SetFrozen(i, false);
  }
  EXPECT_TRUE(
      network.RunUntil([&] { return network.IsConverged(); }, kTwoProbeRounds));
}

TEST(DomainLossTest, HalfADomainDownIsNotReportedAsLoss) {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    FakeNetwork network({.m_nodes = kNodes, .m_seed = seed});
    network.Run(seconds(30));
    for (const uint32_t i : NodesOfDomain(2)) {
      network.Kill(i);
    }
    network.Run(seconds(60));
    EXPECT_EQ(LossesIssued(network), 0U) << "seed " << seed;
  }
}

TEST(DomainLossTest, OneWayCutsCauseNoDomainLoss) {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    std::mt19937_64 random(seed);
    FakeNetwork network({.m_nodes = kNodes, .m_seed = seed});
    network.Run(seconds(30));
    // A fifth of all one-way links is cut, and domain 2 receives nothing from
    // region 0.
    for (uint32_t from = 0; from < kNodes; ++from) {
      for (uint32_t to = 0; to < kNodes; ++to) {
        const bool is_blocked = to % kDomains == 2 && from % kDomains < 2;
        network.SetCut(from, to, is_blocked || random() % 5 == 0);
      }
    }
    network.Run(seconds(60));
    EXPECT_EQ(LossesIssued(network), 0U) << "seed " << seed;
  }
}

// No node reaches the domain, so each of its members would be hinted even
// without a domain loss.
TEST(DomainLossTest, IsolatedDomainRecoversWhenTheCutHeals) {
  FakeNetwork network({.m_nodes = kNodes});
  network.Run(seconds(30));
  const auto cut = [&network](bool is_cut) {
    for (uint32_t from = 0; from < kNodes; ++from) {
      for (const uint32_t to : NodesOfDomain()) {
        network.SetCut(from, to, is_cut && from % kDomains != 2);
      }
    }
  };
  cut(true);
  network.Run(seconds(60));
  EXPECT_TRUE(IsUnreachable(network, 0, 2));
  cut(false);
  EXPECT_TRUE(
      network.RunUntil([&] { return network.IsConverged(); }, kTwoProbeRounds));
}

TEST(DomainLossTest, FleetConvergesAfterRandomDomainFaults) {
  for (uint64_t seed = 1; seed <= 15; ++seed) {
    std::mt19937_64 random(seed);
    FakeNetwork network({.m_nodes = kNodes,
                         .m_seed = seed,
                         .m_loss_rate = 0.2,
                         .m_duplicate_rate = 0.2,
                         .m_delay_max = milliseconds(400)});
    for (int round = 0; round < 12; ++round) {
      const auto domain = static_cast<uint32_t>(random() % kDomains);
      const auto fault = random() % 4;
      for (uint32_t i = domain; i < kNodes; i += kDomains) {
        const auto peer = static_cast<uint32_t>(random() % kNodes);
        if (fault == 0 && random() % 10 != 0) {
          network.Kill(i);
        } else if (fault == 1) {
          network.Start(i);
        } else if (fault == 2) {
          network.SetFrozen(i, random() % 10 != 0);
        } else {
          network.SetCut(i, peer, random() % 2 == 0);
        }
      }
      network.Run(milliseconds(1000 + random() % 6000));
    }
    network.HealAll();
    ASSERT_TRUE(
        network.RunUntil([&] { return network.IsConverged(); }, seconds(60)))
        << "seed " << seed;
  }
}

/// Messages about one member and its failure domain, in a valid order.
std::vector<MembershipMessage> SampleMessages() {
  const MemberEntry entry{.m_incarnation = Incarnation(1),
                          .m_version = 1,
                          .m_region = "north",
                          .m_failure_domain = "n1"};
  const FailureDomain domain{.m_region = "north", .m_name = "n1"};
  MemberEntry later = entry;
  later.m_version = 2;
  return {
      EntryMessage{.m_entry = entry, .m_status_version = 1},
      StatusMessage{.m_incarnation = Incarnation(1), .m_status_version = 2},
      DomainLossMessage{.m_domain = domain, .m_loss_version = 1},
      HintMessage{.m_incarnation = Incarnation(1), .m_status_version = 2},
      StatusMessage{.m_incarnation = Incarnation(1),
                    .m_status_version = 3,
                    .m_refuted_loss_version = 1},
      EntryMessage{
          .m_entry = later, .m_status_version = 3, .m_refuted_loss_version = 1},
      DomainLossMessage{.m_domain = domain, .m_loss_version = 2},
      StatusMessage{.m_incarnation = Incarnation(1),
                    .m_status_version = 4,
                    .m_refuted_loss_version = 2}};
}

void Merge(MemberTable& table, const MembershipMessage& message) {
  if (const auto* entry = std::get_if<EntryMessage>(&message)) {
    table.MergeEntry(*entry, TimePoint());
  } else if (const auto* status = std::get_if<StatusMessage>(&message)) {
    table.MergeStatus(*status, TimePoint());
  } else if (const auto* hint = std::get_if<HintMessage>(&message)) {
    table.MergeHint(*hint);
  } else if (const auto* loss = std::get_if<DomainLossMessage>(&message)) {
    table.MergeLoss(*loss);
  }
}

/// Status version, refuted loss version and whether the member is hinted, after
/// the first `length` messages were merged in random order with duplicates.
std::tuple<uint32_t, uint16_t, bool> MergeShuffled(uint64_t seed,
                                                   size_t length) {
  std::mt19937_64 random(seed);
  std::vector<MembershipMessage> messages = SampleMessages();
  messages.resize(length);
  const std::vector<MembershipMessage> duplicates = messages;
  messages.insert(messages.end(), duplicates.begin(), duplicates.end());
  std::shuffle(messages.begin(), messages.end(), random);
  MemberTable table;
  // Messages about an unknown member are dropped, and repaired later.
  Merge(table, SampleMessages().front());
  for (const MembershipMessage& message : messages) {
    Merge(table, message);
  }
  const MemberRecord& record = *table.Find(NodeId());
  return {record.m_status_version, record.m_refuted_loss_version,
          record.IsHinted()};
}

RC_GTEST_PROP(DomainLossTest,
              MessagesMergeToTheSameStateInAnyOrder,
              (uint64_t seed)) {
  const std::vector<bool> is_hinted{false, false, true, true,
                                    false, false, true, false};
  for (size_t length = 1; length <= is_hinted.size(); ++length) {
    const auto merged = MergeShuffled(seed, length);
    RC_ASSERT(merged == MergeShuffled(seed + 1, length));
    RC_ASSERT(std::get<2>(merged) == is_hinted[length - 1]);
  }
}

}  // namespace
}  // namespace sequoiastage
