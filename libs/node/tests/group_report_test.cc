#include "../src/group_report_p.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

namespace sequoiastage {
namespace {

using std::chrono::milliseconds;

InstanceUpdate RandomUpdate(std::mt19937_64& random) {
  const auto count = [&random] {
    return static_cast<uint16_t>(random() >> random() % 64);
  };
  LatencyHistogram::Counts latencies{};
  for (uint16_t& bucket : latencies) {
    bucket = random() % 2 == 0 ? 0 : count();
  }
  return {.m_run = RunTagOf(Incarnation(random())),
          .m_load = {.m_instance = InstanceId({.m_ip = count(), .m_port = 80}),
                     .m_slots = count(),
                     .m_in_use = count(),
                     .m_queued = count(),
                     .m_is_suspect = random() % 2 == 0},
          .m_summary = {.m_recent_outcomes = count(),
                        .m_recent_failures = count(),
                        .m_outcomes = count(),
                        .m_failures = count(),
                        .m_latencies = LatencyHistogram(latencies)}};
}

std::vector<InstanceUpdate> RandomReport(uint64_t seed) {
  std::mt19937_64 random(seed);
  std::vector<InstanceUpdate> updates(random() % 5);
  for (InstanceUpdate& update : updates) {
    update = RandomUpdate(random);
  }
  return updates;
}

RC_GTEST_PROP(GroupReportTest, RoundTrips, (uint64_t seed)) {
  const std::vector<InstanceUpdate> updates = RandomReport(seed);
  const auto decoded = DecodeGroupReport(EncodeGroupReport(updates));
  RC_ASSERT(decoded.has_value());
  RC_ASSERT(decoded->size() == updates.size());
  for (size_t i = 0; i < updates.size(); ++i) {
    RC_ASSERT((*decoded)[i].m_run == updates[i].m_run);
    RC_ASSERT((*decoded)[i].m_load == updates[i].m_load);
    RC_ASSERT((*decoded)[i].m_summary == updates[i].m_summary);
  }
}

// Older builds end a report before the runs, and do not read them.
TEST(GroupReportTest, ReportOfAnOlderBuildNamesNoRun) {
  std::mt19937_64 random(1);
  const std::vector updates = {RandomUpdate(random), RandomUpdate(random)};
  std::vector<uint8_t> bytes = EncodeGroupReport(updates);
  bytes.resize(bytes.size() - updates.size() * sizeof(uint32_t));
  const auto decoded = DecodeGroupReport(bytes);
  ASSERT_TRUE(decoded);
  ASSERT_EQ(decoded->size(), updates.size());
  for (size_t i = 0; i < updates.size(); ++i) {
    EXPECT_EQ((*decoded)[i].m_run, RunTag(0));
    EXPECT_EQ((*decoded)[i].m_summary, updates[i].m_summary);
  }
}

RC_GTEST_PROP(GroupReportTest,
              ArbitraryBytesAreDecodedOrRefused,
              (const std::vector<uint8_t>& bytes)) {
  const auto updates = DecodeGroupReport(bytes);
  RC_ASSERT(!updates || updates->size() <= 255U);
}

RC_GTEST_PROP(GroupReportTest,
              CorruptedReportIsDecodedOrRefused,
              (uint64_t seed)) {
  std::mt19937_64 random(seed);
  std::vector<uint8_t> bytes = EncodeGroupReport(RandomReport(seed));
  bytes[random() % bytes.size()] = static_cast<uint8_t>(random());
  bytes.resize(random() % (bytes.size() + 1));
  const auto updates = DecodeGroupReport(bytes);
  RC_ASSERT(!updates || updates->size() <= 255U);
}

TEST(GroupReportTest, NumbersAbove16BitsAreRefused) {
  std::vector<uint8_t> bytes =
      EncodeGroupReport({{.m_load = {.m_slots = UINT16_MAX}}});
  ASSERT_TRUE(DecodeGroupReport(bytes));
  // Byte order, count, instance and suspect flag precede the slots.
  constexpr size_t kLastByteOfSlots = 1 + 1 + 6 + 1 + 2;
  ASSERT_EQ(bytes[kLastByteOfSlots], 3);
  bytes[kLastByteOfSlots] = 4;
  EXPECT_FALSE(DecodeGroupReport(bytes));
}

// 83 responses in 10 s are the design load of an instance.
TEST(GroupReportTest, ReportOfATypicalInstanceIsShort) {
  std::mt19937_64 random(1);
  std::lognormal_distribution<double> latency_ms(3, 0.5);
  InstanceUpdate update{
      .m_load = {.m_slots = 3, .m_in_use = 1},
      .m_summary = {.m_recent_outcomes = 12, .m_outcomes = 83}};
  for (int i = 0; i < 83; ++i) {
    update.m_summary.m_latencies.Add(
        milliseconds(static_cast<int>(latency_ms(random))));
  }
  EXPECT_LE(EncodeGroupReport({update}).size(), 30U);
}

}  // namespace
}  // namespace sequoiastage
