#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <random>
#include <tuple>

#include "../src/member_table_p.h"
#include "fake_network.h"

namespace sequoiastage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Orders the copies of an entry by age.
using VersionKey = std::tuple<uint64_t, uint32_t, uint64_t>;

VersionKey GetVersionKey(const MemberEntry& entry) {
  return {entry.m_incarnation.Get(), entry.m_version,
          entry.m_config_version.Get()};
}

/// Checks that no node's copy of an entry is replaced by an older one.
class RegressionChecker {
 public:
  bool Check(FakeNetwork& network) {
    for (uint32_t i = 0; i < network.Size(); ++i) {
      if (!network.IsRunning(i)) {
        continue;
      }
      const Incarnation run = network.At(i).LocalEntry().m_incarnation;
      for (const MemberView& view : network.At(i).Members()) {
        VersionKey& newest = m_newest[{run, view.m_entry->m_node}];
        const VersionKey now = GetVersionKey(*view.m_entry);
        if (now < newest) {
          return false;
        }
        newest = now;
      }
    }
    return true;
  }

 private:
  std::map<std::pair<Incarnation, NodeId>, VersionKey> m_newest;
};

/// Injects one random fault or state change.
void InjectRandomFault(FakeNetwork& network,
                       std::mt19937_64& random,
                       uint64_t round) {
  const uint32_t size = network.Size();
  const auto a = static_cast<uint32_t>(random() % size);
  const auto b = static_cast<uint32_t>(random() % size);
  switch (random() % 6) {
    case 0:
      network.Start(a);
      return;
    case 1:
      network.Kill(a);
      return;
    case 2:
      network.SetFrozen(a, random() % 2 == 0);
      return;
    case 3:
      network.SetCut(a, b, random() % 2 == 0);
      return;
    default:
      break;
  }
  if (!network.IsRunning(a)) {
    return;
  }
  LocalState state{.m_config_version = LogOffset(round)};
  state.m_instances.resize(random() % 4);
  network.At(a).SetLocalState(state, network.Time());
}

RC_GTEST_PROP(ConvergenceTest,
              EntriesNeverRegressAndConvergeAfterRandomFaults,
              (uint64_t seed)) {
  std::mt19937_64 random(seed);
  FakeNetwork network({.m_seed = seed,
                       .m_loss_rate = 0.2,
                       .m_duplicate_rate = 0.2,
                       .m_delay_max = milliseconds(400)});
  RegressionChecker checker;
  for (uint64_t round = 1; round <= 30; ++round) {
    InjectRandomFault(network, random, round);
    network.Run(milliseconds(100 + random() % 500));
    RC_ASSERT(checker.Check(network));
  }
  network.HealAll();
  const auto took = network.RunUntil(
      [&] { return !checker.Check(network) || network.IsConverged(); },
      seconds(60));
  RC_ASSERT(took.has_value());
  RC_ASSERT(checker.Check(network));
}

/// Deliberately naive table: the last datagram wins.
class LastDatagramWins {
 public:
  void MergeEntry(const EntryMessage& message, TimePoint /*now*/) {
    m_entries[message.m_entry.m_node] = message.m_entry;
  }
  const MemberEntry* Copy(NodeId node) const {
    const auto found = m_entries.find(node);
    return found == m_entries.end() ? nullptr : &found->second;
  }

 private:
  std::map<NodeId, MemberEntry> m_entries;
};

class CopyTable : public MemberTable {
 public:
  const MemberEntry* Copy(NodeId node) const {
    const MemberRecord* record = Find(node);
    return record == nullptr ? nullptr : &record->m_entry;
  }
};

/// Delivers the updates of one node in random order with duplicates. Returns
/// whether the copy never went back to an older version and ended at the
/// newest.
template <class Table>
bool SurvivesReordering(uint64_t seed) {
  std::mt19937_64 random(seed);
  std::vector<EntryMessage> history;
  for (uint64_t incarnation = 1; incarnation <= 3; ++incarnation) {
    for (uint32_t version = 1; version <= 4; ++version) {
      history.push_back({.m_entry = {.m_incarnation = Incarnation(incarnation),
                                     .m_version = version},
                         .m_status_version = version});
    }
  }
  std::vector<EntryMessage> deliveries = history;
  deliveries.insert(deliveries.end(), history.begin(), history.end());
  std::shuffle(deliveries.begin(), deliveries.end(), random);
  Table table;
  VersionKey newest;
  for (const EntryMessage& message : deliveries) {
    table.MergeEntry(message, TimePoint());
    const VersionKey now = GetVersionKey(*table.Copy(NodeId()));
    if (now < newest) {
      return false;
    }
    newest = now;
  }
  return newest == GetVersionKey(history.back().m_entry);
}

RC_GTEST_PROP(ConvergenceTest,
              ReorderedEntriesMergeToTheNewest,
              (uint64_t seed)) {
  RC_ASSERT(SurvivesReordering<CopyTable>(seed));
}

TEST(ConvergenceTest, LastDatagramWinsFailsTheSameProperty) {
  int failures = 0;
  for (uint64_t seed = 0; seed < 100; ++seed) {
    failures += SurvivesReordering<LastDatagramWins>(seed) ? 0 : 1;
  }
  EXPECT_GT(failures, 90);
}

// Time until all nodes have received that node 17 drains; empty after 30 s.
std::optional<Duration> MeasurePropagation(FakeNetwork& network) {
  network.At(17).SetLocalState({.m_state = HostState::kDraining},
                               network.Time());
  const auto has_change = [](Membership& at) {
    return at.Find(FakeNetwork::Id(17))->m_entry->m_state ==
           HostState::kDraining;
  };
  return network.RunUntil([&] { return network.AllRunning(has_change); },
                          seconds(30));
}

TEST(ConvergenceTest, ChangeReachesAThousandIdleNodesInThreeSeconds) {
  FakeNetwork network(
      {.m_nodes = 1000, .m_seed = 7, .m_time_step = milliseconds(50)});
  const auto has_all_members = [](Membership& at) {
    return at.Members().size() == 1000;
  };
  int start_seconds = 0;
  while (!network.AllRunning(has_all_members) && start_seconds < 120) {
    network.Run(seconds(1));
    ++start_seconds;
  }
  ASSERT_LT(start_seconds, 120);
  // The updates from the simultaneous start of all nodes take about a minute to
  // spread.
  network.Run(seconds(60));
  const auto took = MeasurePropagation(network);
  ASSERT_TRUE(took);
  EXPECT_LE(*took, seconds(3));
}

// Starts 20 s after all nodes started together, while many updates from the
// start are still queued.
TEST(ConvergenceTest, ChangeReachesAThousandNodesDuringStartInThreeSeconds) {
  FakeNetwork network(
      {.m_nodes = 1000, .m_seed = 7, .m_time_step = milliseconds(50)});
  const auto all_have_all_members = [&] {
    return network.AllRunning(
        [](Membership& at) { return at.Members().size() == 1000; });
  };
  ASSERT_TRUE(network.RunUntil(all_have_all_members, seconds(120)));
  network.Run(seconds(20));
  const auto took = MeasurePropagation(network);
  ASSERT_TRUE(took);
  EXPECT_LE(*took, seconds(3));
}

}  // namespace
}  // namespace sequoiastage
