#include <gtest/gtest.h>

#include <atomic>
#include <nlohmann/json.hpp>
#include <thread>

#include "execution_check.h"
#include "fleet.h"
#include "load.h"

namespace sequoiastage {
namespace {

using std::chrono::milliseconds;
using Json = nlohmann::json;

constexpr int kNodes = 6;
constexpr int kRegions = 3;
constexpr milliseconds kInForceLimit{9000};
constexpr milliseconds kDeadline{3000};

int RegionOf(int node) {
  return node / 2;
}

std::string FormatReasons(const LoadResult& result) {
  std::string text;
  for (const auto& [reason, count] : result.m_not_run_reasons) {
    text += std::to_string(count) + " times: " + reason + "\n";
  }
  return text;
}

// Polls the configuration version of each node on a thread of its own.
class VersionPoller {
 public:
  explicit VersionPoller(const Fleet& fleet)
      : m_thread([this, &fleet] {
          while (!m_is_stopping) {
            PollNodes(fleet);
            std::this_thread::sleep_for(milliseconds(20));
          }
        }) {}
  ~VersionPoller() {
    m_is_stopping = true;
    m_thread.join();
  }

  int Polls() const { return m_polls; }
  int Reverts() const { return m_reverts; }

 private:
  void PollNodes(const Fleet& fleet) {
    for (int node = 0; node < kNodes; ++node) {
      const CallerResponse response =
          Call({.m_to = fleet.Admin(node), .m_target = "/v1/status"});
      const Json status = Json::parse(response.m_body, nullptr, false);
      if (!status.is_object() || !status.contains("config_version")) {
        continue;
      }
      const auto version = status["config_version"].get<int64_t>();
      m_reverts += version < m_versions[node] ? 1 : 0;
      m_versions[node] = version;
      ++m_polls;
    }
  }

  std::array<int64_t, kNodes> m_versions{};
  std::atomic<int> m_polls{0};
  std::atomic<int> m_reverts{0};
  std::atomic<bool> m_is_stopping{false};
  std::thread m_thread;
};

class RegionCutTest : public testing::Test {
 protected:
  void SetUp() override { ASSERT_EQ(m_fleet.Start(), ""); }

  // Cuts the region from the other regions and the log, in both directions.
  void CutOff(int region) {
    for (int node = 0; node < kNodes; ++node) {
      if (RegionOf(node) != region) {
        continue;
      }
      m_fleet.Links().CutBothDirections(node, m_fleet.Links().Log());
      for (int other = 0; other < kNodes; ++other) {
        if (RegionOf(other) != region) {
          m_fleet.Links().CutBothDirections(node, other);
        }
      }
    }
  }

  int ServingIn(int region, bool is_inside, const std::string& path) {
    int count = 0;
    for (int node = 0; node < kNodes; ++node) {
      if ((RegionOf(node) == region) == is_inside) {
        count += m_fleet.Serves(node, path) ? 1 : 0;
      }
    }
    return count;
  }

  // True when no node of the region can read the log.
  bool HasLostLog(int region) {
    for (int node = 0; node < kNodes; ++node) {
      const CallerResponse response =
          Call({.m_to = m_fleet.Admin(node), .m_target = "/v1/status"});
      const Json status = Json::parse(response.m_body, nullptr, false);
      if (RegionOf(node) == region && status.value("log_reachable", true)) {
        return false;
      }
    }
    return true;
  }

  Fleet m_fleet{
      {.m_nodes = kNodes, .m_instances_per_node = 1, .m_has_relay = true}};
};

// Callers within one region see no failure. Callers of all regions may receive
// unknown, and none of their requests runs twice.
TEST_F(RegionCutTest, RegionsServeTheirCallersAndTakeTheChangeWhenHealed) {
  const uint64_t seed = ScheduleSeed();
  const int region = static_cast<int>(seed % kRegions);
  VersionPoller poller(m_fleet);
  std::vector<std::unique_ptr<Load>> near;
  near.reserve(kRegions);
  for (int own = 0; own < kRegions; ++own) {
    near.push_back(std::make_unique<Load>(
        m_fleet, LoadOptions{.m_name = "near" + std::to_string(own) + "-",
                             .m_nodes = {2 * own, 2 * own + 1},
                             .m_callers = 2,
                             .m_deadline = kDeadline,
                             .m_seed = seed}));
  }
  Load far(m_fleet, {.m_name = "far-",
                     .m_callers = 3,
                     .m_keyed_every = 2,
                     .m_deadline = kDeadline,
                     .m_seed = seed});
  ASSERT_TRUE(
      WaitUntil(milliseconds(10'000), [&far] { return far.Answered() > 50; }));
  CutOff(region);
  const auto cut = std::chrono::steady_clock::now();
  ASSERT_TRUE(m_fleet.Publish("/added"));
  EXPECT_TRUE(WaitUntil(kInForceLimit, [&] {
    return ServingIn(region, false, "/added") == kNodes - 2;
  }));
  EXPECT_TRUE(
      WaitUntil(milliseconds(10'000), [&] { return HasLostLog(region); }));
  for (const auto& load : near) {
    const int goal = load->Answered() + 200;
    EXPECT_TRUE(WaitUntil(milliseconds(10'000),
                          [&] { return load->Answered() >= goal; }));
  }
  EXPECT_EQ(ServingIn(region, true, "/added"), 0) << "the region is not cut";
  m_fleet.Links().HealAll();
  const auto healed = std::chrono::steady_clock::now();
  EXPECT_TRUE(WaitUntil(
      kInForceLimit, [&] { return ServingIn(region, true, "/added") == 2; }));
  const auto in_force = std::chrono::steady_clock::now();
  const int goal = far.Answered() + 100;
  EXPECT_TRUE(
      WaitUntil(milliseconds(10'000), [&] { return far.Answered() >= goal; }));
  for (int own = 0; own < kRegions; ++own) {
    const LoadResult result = near[own]->Stop();
    EXPECT_EQ(result.m_answered, result.m_requests) << "region " << own;
    EXPECT_EQ(result.m_wrong, 0) << result.m_first_wrong;
    EXPECT_EQ(result.m_not_run + result.m_unknown + result.m_no_response, 0)
        << "region " << own << " not_run=" << result.m_not_run
        << " unknown=" << result.m_unknown << " " << FormatReasons(result);
    CheckExecutions(result, m_fleet.Executions());
  }
  const LoadResult result = far.Stop();
  // No execution starts after the deadline of the last request, so the counts
  // are final then.
  const auto end = std::chrono::steady_clock::now() + kDeadline;
  WaitUntil(2 * kDeadline,
            [end] { return std::chrono::steady_clock::now() > end; });
  CheckExecutions(result, m_fleet.Executions());
  EXPECT_EQ(result.m_wrong, 0) << result.m_first_wrong;
  EXPECT_EQ(
      ServingIn(region, true, "/added") + ServingIn(region, false, "/added"),
      kNodes);
  EXPECT_EQ(poller.Reverts(), 0);
  EXPECT_GT(poller.Polls(), 100);
  const auto ms = [](auto time) {
    return static_cast<long long>(
        std::chrono::duration_cast<milliseconds>(time).count());
  };
  std::printf(
      "region %d cut for %lld ms, change in force %lld ms after it; all "
      "regions: "
      "requests=%d answered=%d not_run=%d unknown=%d\n",
      region, ms(healed - cut), ms(in_force - healed), result.m_requests,
      result.m_answered, result.m_not_run, result.m_unknown);
}

}  // namespace
}  // namespace sequoiastage
