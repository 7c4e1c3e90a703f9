#include "sequoiastage/health/request_quarantine.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>
#include <algorithm>
#include <random>
#include <set>

namespace sequoiastage {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr WallTime kStart{seconds(1'700'000'000)};
constexpr RequestFingerprint kDeadly{1};
constexpr RequestFingerprint kHarmless{2};
constexpr RequestFingerprint kOther{3};

// Crash number `number`, `at` after kStart.
CrashReport Crash(uint32_t number,
                  std::vector<RequestFingerprint> running,
                  milliseconds at = {}) {
  return {.m_node = NodeId(Endpoint{.m_ip = number, .m_port = 1}),
          .m_instance_start_ms = number,
          .m_at = kStart + at,
          .m_running = std::move(running)};
}

bool IsQuarantined(RequestQuarantine& quarantine,
                   RequestFingerprint request,
                   WallTime now = kStart) {
  return quarantine.TimeLeft(request, now).has_value();
}

TEST(RequestQuarantineTest, ThirdCrashQuarantinesARequest) {
  RequestQuarantine quarantine;
  EXPECT_TRUE(quarantine.IsEmpty());
  quarantine.Add(Crash(1, {kDeadly}), kStart);
  quarantine.Add(Crash(2, {kDeadly}), kStart);
  EXPECT_FALSE(IsQuarantined(quarantine, kDeadly));
  quarantine.Add(Crash(3, {kDeadly}), kStart);
  EXPECT_TRUE(IsQuarantined(quarantine, kDeadly));
  EXPECT_FALSE(IsQuarantined(quarantine, kHarmless));
  const auto added = quarantine.TakeNew(kStart);
  ASSERT_EQ(added.size(), 1U);
  EXPECT_EQ(added[0], std::pair(kDeadly, 3U));
  EXPECT_TRUE(quarantine.TakeNew(kStart).empty());
}

// Several nodes report the same crash, with different requests.
TEST(RequestQuarantineTest, ReportsOfOneCrashCountOnce) {
  RequestQuarantine quarantine;
  EXPECT_TRUE(quarantine.Add(Crash(1, {kHarmless}), kStart));
  EXPECT_TRUE(quarantine.Add(Crash(1, {kDeadly, kHarmless}), kStart));
  EXPECT_FALSE(quarantine.Add(Crash(1, {kDeadly}), kStart));
  quarantine.Add(Crash(2, {kDeadly}), kStart);
  EXPECT_FALSE(IsQuarantined(quarantine, kDeadly));
  quarantine.Add(Crash(3, {kDeadly}), kStart);
  EXPECT_TRUE(IsQuarantined(quarantine, kDeadly));
}

TEST(RequestQuarantineTest, RequestsBesideADeadlyOneStayInService) {
  RequestQuarantine quarantine;
  quarantine.Add(Crash(1, {kHarmless, kDeadly}), kStart);
  quarantine.Add(Crash(2, {kDeadly, kHarmless}), kStart);
  quarantine.Add(Crash(3, {kDeadly}), kStart);
  EXPECT_TRUE(IsQuarantined(quarantine, kDeadly));
  // These crashes are explained.
  quarantine.Add(Crash(4, {kDeadly, kHarmless}), kStart);
  quarantine.Add(Crash(5, {kDeadly, kHarmless}), kStart);
  EXPECT_FALSE(IsQuarantined(quarantine, kHarmless));
  // A second deadly request is found beside the first.
  for (uint32_t number = 6; number < 9; ++number) {
    quarantine.Add(Crash(number, {kOther, kHarmless}), kStart);
  }
  EXPECT_TRUE(IsQuarantined(quarantine, kOther));
}

TEST(RequestQuarantineTest, RequestsThatLostTwoInstancesStayInService) {
  RequestQuarantine quarantine;
  quarantine.Add(Crash(1, {kHarmless, kOther}), kStart);
  quarantine.Add(Crash(2, {kHarmless}), kStart);
  EXPECT_FALSE(IsQuarantined(quarantine, kHarmless));
}

TEST(RequestQuarantineTest, ExecutedRequestIsHarmless) {
  RequestQuarantine quarantine;
  quarantine.Add(Crash(1, {kHarmless}), kStart);
  EXPECT_FALSE(quarantine.Add(
      ExecutionReport{.m_request = kHarmless, .m_at = kStart}, kStart));
  quarantine.Add(Crash(2, {kHarmless}, seconds(6)), kStart + seconds(6));
  quarantine.Add(Crash(3, {kHarmless}, seconds(7)), kStart + seconds(7));
  const WallTime later = kStart + seconds(8);
  EXPECT_FALSE(IsQuarantined(quarantine, kHarmless, later));
  // One more crash would quarantine it, so the other nodes have to know.
  EXPECT_TRUE(quarantine.Add(
      ExecutionReport{.m_request = kHarmless, .m_at = later}, later));
  EXPECT_FALSE(quarantine.Add(
      ExecutionReport{.m_request = kHarmless, .m_at = later}, later));
  quarantine.Add(Crash(4, {kHarmless}, seconds(14)), kStart + seconds(14));
  EXPECT_FALSE(IsQuarantined(quarantine, kHarmless, kStart + seconds(14)));
}

TEST(RequestQuarantineTest, ExecutionEndsAQuarantine) {
  RequestQuarantine quarantine;
  for (uint32_t number = 1; number < 4; ++number) {
    quarantine.Add(Crash(number, {kHarmless}), kStart);
  }
  EXPECT_TRUE(IsQuarantined(quarantine, kHarmless));
  EXPECT_TRUE(quarantine.Add(
      ExecutionReport{.m_request = kHarmless, .m_at = kStart}, kStart));
  EXPECT_FALSE(IsQuarantined(quarantine, kHarmless));
}

TEST(RequestQuarantineTest, EndsSomeTimeAfterTheLastCrash) {
  RequestQuarantine quarantine;
  quarantine.Add(Crash(1, {kDeadly}), kStart);
  quarantine.Add(Crash(2, {kDeadly}), kStart);
  const WallTime last = kStart + minutes(20);
  quarantine.Add(Crash(3, {kDeadly}, minutes(20)), last);
  EXPECT_EQ(quarantine.TimeLeft(kDeadly, last), Duration(minutes(30)));
  // Reports of other crashes do not end it, although two of its own are older
  // than reports usually get.
  const WallTime before_end = last + minutes(29);
  quarantine.Add(Crash(4, {kOther}, minutes(49)), before_end);
  EXPECT_TRUE(IsQuarantined(quarantine, kDeadly, before_end));
  const WallTime end = last + minutes(30);
  EXPECT_FALSE(IsQuarantined(quarantine, kDeadly, end));
  quarantine.Add(Crash(5, {kDeadly}, minutes(50)), end);
  EXPECT_FALSE(IsQuarantined(quarantine, kDeadly, end));
  quarantine.RemoveExpired(end);
  EXPECT_EQ(quarantine.ReportCount(), 2U);
}

TEST(RequestQuarantineTest, OldReportsAreIgnored) {
  RequestQuarantine quarantine;
  const WallTime now = kStart + minutes(31);
  EXPECT_FALSE(quarantine.Add(Crash(1, {kDeadly}), now));
  EXPECT_TRUE(quarantine.IsEmpty());
  // The clock of the reporting host is an hour ahead.
  quarantine.Add(Crash(2, {kDeadly}, minutes(90)), now);
  quarantine.Add(Crash(3, {kDeadly}, minutes(90)), now);
  quarantine.Add(Crash(4, {kDeadly}, minutes(90)), now);
  EXPECT_EQ(quarantine.TimeLeft(kDeadly, now), Duration(minutes(30)));
}

TEST(RequestQuarantineTest, MemoryIsBounded) {
  RequestQuarantine quarantine({.m_max_reports = 20, .m_max_running = 4});
  for (uint32_t number = 1; number < 4; ++number) {
    quarantine.Add(Crash(number, {kDeadly}), kStart);
  }
  for (uint32_t number = 4; number < 500; ++number) {
    std::vector<RequestFingerprint> running;
    for (uint64_t i = 0; i < 10; ++i) {
      running.emplace_back(uint64_t{number} * 100 + i);
    }
    const auto at = milliseconds(number);
    quarantine.Add(Crash(number, running, at), kStart + at);
    // No request of a report beyond the limit is known.
    quarantine.Add(ExecutionReport{.m_request = running.back(), .m_at = kStart},
                   kStart + at);
  }
  EXPECT_LE(quarantine.ReportCount(), 20U);
  EXPECT_GE(quarantine.ReportCount(), 17U);
  // The reports behind a quarantine are the last to go.
  EXPECT_TRUE(IsQuarantined(quarantine, kDeadly, kStart + seconds(1)));
  EXPECT_EQ(quarantine.size(), 1U);
}

struct Scene {
  std::vector<CrashReport> m_reports;
  std::set<RequestFingerprint> m_deadly;
};

// Two deadly requests, each in some crashes; beside them, and in crashes
// without a deadly request, others run, some of them often.
Scene DrawScene() {
  Scene scene{.m_reports = {},
              .m_deadly = {RequestFingerprint(1), RequestFingerprint(2)}};
  const auto crashes = *rc::gen::inRange<uint32_t>(5, 30);
  uint64_t unique = 1000;
  for (uint32_t number = 1; number <= crashes; ++number) {
    std::vector<RequestFingerprint> running;
    const auto cause = *rc::gen::inRange<uint64_t>(0, 5);
    if (cause == 1 || cause == 2) {
      running.emplace_back(cause);
    }
    const auto beside = *rc::gen::inRange<uint64_t>(0, 4);
    for (uint64_t i = 0; i < beside; ++i) {
      running.emplace_back(*rc::gen::arbitrary<bool>()
                               ? ++unique
                               : *rc::gen::inRange<uint64_t>(10, 40));
    }
    scene.m_reports.push_back(Crash(number, running, milliseconds(number)));
  }
  return scene;
}

std::set<RequestFingerprint> FindQuarantined(
    const std::vector<CrashReport>& reports) {
  RequestQuarantine quarantine;
  std::set<RequestFingerprint> quarantined;
  for (const CrashReport& report : reports) {
    quarantine.Add(report, kStart + seconds(1));
  }
  for (const CrashReport& report : reports) {
    for (const RequestFingerprint request : report.m_running) {
      if (IsQuarantined(quarantine, request, kStart + seconds(1))) {
        quarantined.insert(request);
      }
    }
  }
  return quarantined;
}

uint32_t CountCrashes(const std::vector<CrashReport>& reports,
                      RequestFingerprint request) {
  return static_cast<uint32_t>(std::count_if(
      reports.begin(), reports.end(), [request](const CrashReport& report) {
        return std::find(report.m_running.begin(), report.m_running.end(),
                         request) != report.m_running.end();
      }));
}

RC_GTEST_PROP(RequestQuarantineTest, DependsOnlyOnTheSetOfReports, ()) {
  Scene scene = DrawScene();
  const auto expected = FindQuarantined(scene.m_reports);
  const auto seed = *rc::gen::arbitrary<uint32_t>();
  std::shuffle(scene.m_reports.begin(), scene.m_reports.end(),
               std::mt19937(seed));
  RC_ASSERT(FindQuarantined(scene.m_reports) == expected);
}

RC_GTEST_PROP(RequestQuarantineTest,
              FindsEveryRequestWithThreeCrashesAlone,
              ()) {
  Scene scene = DrawScene();
  for (CrashReport& report : scene.m_reports) {
    if (!report.m_running.empty() &&
        scene.m_deadly.contains(report.m_running[0])) {
      report.m_running.resize(1);
    }
  }
  const auto found = FindQuarantined(scene.m_reports);
  for (const RequestFingerprint deadly : scene.m_deadly) {
    RC_ASSERT(found.contains(deadly) ==
              (CountCrashes(scene.m_reports, deadly) >= 3));
  }
}

// Counting alone quarantines requests that ran beside a deadly one.
TEST(RequestQuarantineTest, FewHarmlessRequestsAreQuarantined) {
  int harmless = 0;
  int harmless_by_count = 0;
  int deadly = 0;
  std::mt19937_64 random(7);
  for (int run = 0; run < 200; ++run) {
    // 25 crashes by one request, with two others beside it each time: one that
    // is unique and one of a hundred that callers repeat.
    std::vector<CrashReport> reports;
    for (uint32_t number = 1; number <= 25; ++number) {
      reports.push_back(
          Crash(number, {kDeadly, RequestFingerprint(10 + random() % 100),
                         RequestFingerprint(1000 + number)}));
    }
    for (const RequestFingerprint request : FindQuarantined(reports)) {
      (request == kDeadly ? deadly : harmless) += 1;
    }
    for (uint64_t popular = 10; popular < 110; ++popular) {
      harmless_by_count +=
          CountCrashes(reports, RequestFingerprint(popular)) >= 3 ? 1 : 0;
    }
  }
  EXPECT_EQ(deadly, 200);
  EXPECT_EQ(harmless, 0);
  EXPECT_GT(harmless_by_count, 20);
}

}  // namespace
}  // namespace sequoiastage
