#include <gtest/gtest.h>

#include <fmt/format.h>

#include <numeric>
#include <string>
#include <vector>

#include "account_fleet.h"

namespace sequoiastage {
namespace {

using std::chrono::seconds;

struct CalmLoad {
  double m_rate = 0;
  double m_burst = 0;
  // Nodes that the requests arrive at.
  uint32_t m_nodes = 1;
  seconds m_time{};
};

class AccountCalmTest : public testing::TestWithParam<CalmLoad> {};

// Equal shares per node, buckets without borrowing between regions, and a
// bucket of just rate and burst all reject several percent here.
TEST_P(AccountCalmTest, RejectsAlmostNothingBelowTheLimit) {
  const CalmLoad& load = GetParam();
  AccountFleet fleet({.m_nodes = 104,
                      .m_limit = {.m_rate = RequestRate(load.m_rate),
                                  .m_burst = load.m_burst}});
  std::vector<uint32_t> nodes(load.m_nodes);
  std::iota(nodes.begin(), nodes.end(), 0);
  fleet.RunUntil(AccountFleet::kStart + seconds(2));
  fleet.SendLoad(nodes, 0.9 * load.m_rate);
  fleet.RunUntil(AccountFleet::kStart + load.m_time);
  const double refused = static_cast<double>(fleet.Refused()) /
                         static_cast<double>(fleet.Requests());
  RecordProperty("requests", static_cast<int>(fleet.Requests()));
  RecordProperty("refused", fmt::format("{:.5f}", refused));
  fmt::print(
      "rate {} burst {} at {} of 104 nodes: {} requests, refused {:.3f} "
      "%, {:.1f} messages/s per node, {:.2f} between regions\n",
      load.m_rate, load.m_burst, load.m_nodes, fleet.Requests(), 100 * refused,
      static_cast<double>(fleet.Messages()) / 104 /
          static_cast<double>(load.m_time.count()),
      static_cast<double>(fleet.RemoteMessages()) / 104 /
          static_cast<double>(load.m_time.count()));
  EXPECT_LT(refused, 0.005);
  const AccountQuotaOptions quota;
  EXPECT_LE(
      static_cast<double>(MaxRunsInWindow(fleet.Runs(), quota.m_window)),
      (load.m_rate * 5 + load.m_burst) * (1 + quota.m_overage) + quota.m_slack);
}

struct RemoteLoad {
  uint32_t m_accounts = 1;
  AccountLimit m_limit{};
  // Requests sent, as a part of all limits together.
  double m_part = 0;
  // Nodes that the requests arrive at.
  uint32_t m_nodes = 1;
};

class AccountBytesTest : public testing::TestWithParam<RemoteLoad> {};

// Guards against loans that cost more traffic between regions than A6 allows:
// requests at one node only or above the limit keep its region borrowing.
TEST_P(AccountBytesTest, TrafficBetweenRegionsIsSmall) {
  constexpr double kMaxBytesPerNodeAndSecond = 500;
  constexpr seconds kTime(30);
  const RemoteLoad& load = GetParam();
  AccountFleet fleet(
      {.m_nodes = 104, .m_accounts = load.m_accounts, .m_limit = load.m_limit});
  std::vector<uint32_t> nodes(load.m_nodes);
  std::iota(nodes.begin(), nodes.end(), 0);
  fleet.SendLoad(nodes,
                 load.m_part * load.m_accounts * load.m_limit.m_rate.Get());
  fleet.RunUntil(AccountFleet::kStart + kTime);
  const double bytes = static_cast<double>(fleet.RemoteBytes()) / 104 /
                       static_cast<double>(kTime.count());
  fmt::print(
      "{} accounts, rate {} burst {}, {} of the limit at {} of 104 nodes: "
      "{:.1f} "
      "bytes/s per node between regions\n",
      load.m_accounts, load.m_limit.m_rate.Get(), load.m_limit.m_burst,
      load.m_part, load.m_nodes, bytes);
  EXPECT_LT(bytes, kMaxBytesPerNodeAndSecond);
}

INSTANTIATE_TEST_SUITE_P(
    Loads,
    AccountBytesTest,
    testing::Values(
        RemoteLoad{1, {.m_rate = RequestRate(2), .m_burst = 2}, 0.9, 104},
        RemoteLoad{1, {.m_rate = RequestRate(50), .m_burst = 20}, 0.9, 1},
        RemoteLoad{1, {.m_rate = RequestRate(1000)}, 0.9, 1},
        RemoteLoad{1, {.m_rate = RequestRate(1000)}, 0.9, 104},
        RemoteLoad{1, {.m_rate = RequestRate(50), .m_burst = 20}, 3, 1},
        RemoteLoad{1, {.m_rate = RequestRate(50), .m_burst = 20}, 3, 104},
        RemoteLoad{10, {.m_rate = RequestRate(50), .m_burst = 20}, 0.9, 3},
        RemoteLoad{10, {.m_rate = RequestRate(50), .m_burst = 20}, 3, 104}));

INSTANTIATE_TEST_SUITE_P(Loads,
                         AccountCalmTest,
                         testing::Values(CalmLoad{2, 2, 1, seconds(1200)},
                                         CalmLoad{2, 2, 3, seconds(1200)},
                                         CalmLoad{2, 2, 104, seconds(1200)},
                                         CalmLoad{50, 20, 1, seconds(120)},
                                         CalmLoad{50, 20, 3, seconds(120)},
                                         CalmLoad{50, 20, 104, seconds(120)},
                                         CalmLoad{1000, 0, 1, seconds(20)},
                                         CalmLoad{1000, 0, 3, seconds(20)},
                                         CalmLoad{1000, 0, 104, seconds(20)}));

}  // namespace
}  // namespace sequoiastage
