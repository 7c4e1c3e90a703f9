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
/// Two rounds of probes: a node's own failed probe holds until its next one.
constexpr Duration kTwoRounds = seconds(60);

uint64_t LossesIssued(FakeNetwork& network) {
  uint64_t issued = 0;
  for (uint32_t i = 0; i < network.Size(); ++i) {
    issued +=
        network.IsUp(i) ? network.At(i).Stats().m_domain_losses_issued : 0;
  }
  return issued;
}

/// Whether all running nodes take all of `lost` for unreachable.
bool AllKnow(FakeNetwork& network, const std::vector<uint32_t>& lost) {
  return std::all_of(lost.begin(), lost.end(), [&](uint32_t index) {
    return network.AllUp([index](Membership& at) {
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

TEST(DomainLossTest, LossIsKnownEverywhereAndClearedByTheReturn) {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    FakeNetwork network({.m_nodes = kNodes, .m_seed = seed});
    network.Run(seconds(30));
    const std::vector<uint32_t> lost = NodesOfDomain();
    for (const uint32_t i : lost) {
      network.Kill(i);
    }
    ASSERT_TRUE(
        network.RunUntil([&] { return AllKnow(network, lost); }, seconds(15)))
        << "seed " << seed;
    network.Run(seconds(10));
    EXPECT_GE(LossesIssued(network), 1U) << "seed " << seed;
    for (const uint32_t i : lost) {
      network.Start(i);
    }
    ASSERT_TRUE(
        network.RunUntil([&] { return network.IsConverged(); }, kTwoRounds))
        << "seed " << seed;
  }
}

TEST(DomainLossTest, FrozenDomainComesBackByItself) {
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
      network.RunUntil([&] { return network.IsConverged(); }, kTwoRounds));
}

TEST(DomainLossTest, HalfADomainIsNotTakenForAll) {
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

TEST(DomainLossTest, OneWayCutsMarkNoDomain) {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    std::mt19937_64 random(seed);
    FakeNetwork network({.m_nodes = kNodes, .m_seed = seed});
    network.Run(seconds(30));
    // A fifth of all ways is cut, and domain 2 hears nothing of region 0.
    for (uint32_t from = 0; from < kNodes; ++from) {
      for (uint32_t to = 0; to < kNodes; ++to) {
        const bool is_deaf = to % kDomains == 2 && from % kDomains < 2;
        network.SetCut(from, to, is_deaf || random() % 5 == 0);
      }
    }
    network.Run(seconds(60));
    EXPECT_EQ(LossesIssued(network), 0U) << "seed " << seed;
  }
}

// Nobody reaches it, so that each of its members would be hinted anyway.
TEST(DomainLossTest, DomainThatHearsNobodyComesBackWhenItDoes) {
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
      network.RunUntil([&] { return network.IsConverged(); }, kTwoRounds));
}

TEST(DomainLossTest, AnyFaultsOfDomainsHealToOneView) {
  for (uint64_t seed = 1; seed <= 15; ++seed) {
    std::mt19937_64 random(seed);
    FakeNetwork network({.m_nodes = kNodes,
                         .m_seed = seed,
                         .m_loss = 0.2,
                         .m_duplicates = 0.2,
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

/// Words about one member and its domain, as they could be sent.
std::vector<DatagramPart> History() {
  const MemberEntry entry{.m_incarnation = Incarnation(1),
                          .m_version = 1,
                          .m_region = "north",
                          .m_failure_domain = "n1"};
  const FailureDomain domain{.m_region = "north", .m_name = "n1"};
  MemberEntry later = entry;
  later.m_version = 2;
  return {
      EntryPart{.m_entry = entry, .m_status = 1},
      StatusPart{.m_incarnation = Incarnation(1), .m_status = 2},
      DomainLossPart{.m_domain = domain, .m_loss = 1},
      HintPart{.m_incarnation = Incarnation(1), .m_status = 2},
      StatusPart{
          .m_incarnation = Incarnation(1), .m_status = 3, .m_refuted_loss = 1},
      EntryPart{.m_entry = later, .m_status = 3, .m_refuted_loss = 1},
      DomainLossPart{.m_domain = domain, .m_loss = 2},
      StatusPart{
          .m_incarnation = Incarnation(1), .m_status = 4, .m_refuted_loss = 2}};
}

void Merge(MemberTable& table, const DatagramPart& part) {
  if (const auto* entry = std::get_if<EntryPart>(&part)) {
    table.MergeEntry(*entry, TimePoint());
  } else if (const auto* status = std::get_if<StatusPart>(&part)) {
    table.MergeStatus(*status, TimePoint());
  } else if (const auto* hint = std::get_if<HintPart>(&part)) {
    table.MergeHint(*hint);
  } else if (const auto* loss = std::get_if<DomainLossPart>(&part)) {
    table.MergeLoss(*loss);
  }
}

/// Status, refuted loss and hint of the member after the first `length` words
/// came in random order with duplicates.
std::tuple<uint32_t, uint16_t, bool> Merged(uint64_t seed, size_t length) {
  std::mt19937_64 random(seed);
  std::vector<DatagramPart> words = History();
  words.resize(length);
  const std::vector<DatagramPart> again = words;
  words.insert(words.end(), again.begin(), again.end());
  std::shuffle(words.begin(), words.end(), random);
  MemberTable table;
  // Word of a member that is not known is dropped, and repaired later.
  Merge(table, History().front());
  for (const DatagramPart& word : words) {
    Merge(table, word);
  }
  const MemberRecord& record = *table.Find(NodeId());
  return {record.m_status, record.m_refuted_loss, record.IsHinted()};
}

RC_GTEST_PROP(DomainLossTest, AnyOrderOfWordsGivesTheSame, (uint64_t seed)) {
  const std::vector<bool> is_hinted{false, false, true, true,
                                    false, false, true, false};
  for (size_t length = 1; length <= is_hinted.size(); ++length) {
    const auto merged = Merged(seed, length);
    RC_ASSERT(merged == Merged(seed + 1, length));
    RC_ASSERT(std::get<2>(merged) == is_hinted[length - 1]);
  }
}

}  // namespace
}  // namespace sequoiastage
