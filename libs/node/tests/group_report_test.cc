#include "../src/group_report_p.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

namespace sequoiastage {
namespace {

using std::chrono::milliseconds;

InstanceNews RandomNews(std::mt19937_64& random) {
  const auto count = [&random] {
    return static_cast<uint16_t>(random() >> random() % 64);
  };
  LatencyHistogram::Counts latencies{};
  for (uint16_t& bucket : latencies) {
    bucket = random() % 2 == 0 ? 0 : count();
  }
  return {.m_load = {.m_instance = InstanceId({.m_ip = count(), .m_port = 80}),
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

std::vector<InstanceNews> RandomReport(uint64_t seed) {
  std::mt19937_64 random(seed);
  std::vector<InstanceNews> news(random() % 5);
  for (InstanceNews& item : news) {
    item = RandomNews(random);
  }
  return news;
}

RC_GTEST_PROP(GroupReportTest, RoundTrips, (uint64_t seed)) {
  const std::vector<InstanceNews> news = RandomReport(seed);
  const auto decoded = DecodeGroupReport(EncodeGroupReport(news));
  RC_ASSERT(decoded.has_value());
  RC_ASSERT(decoded->size() == news.size());
  for (size_t i = 0; i < news.size(); ++i) {
    RC_ASSERT((*decoded)[i].m_load == news[i].m_load);
    RC_ASSERT((*decoded)[i].m_summary == news[i].m_summary);
  }
}

RC_GTEST_PROP(GroupReportTest,
              AnyBytesAreDecodedOrRefused,
              (const std::vector<uint8_t>& bytes)) {
  const auto news = DecodeGroupReport(bytes);
  RC_ASSERT(!news || news->size() <= 255U);
}

RC_GTEST_PROP(GroupReportTest, DamageIsDecodedOrRefused, (uint64_t seed)) {
  std::mt19937_64 random(seed);
  std::vector<uint8_t> bytes = EncodeGroupReport(RandomReport(seed));
  bytes[random() % bytes.size()] = static_cast<uint8_t>(random());
  bytes.resize(random() % (bytes.size() + 1));
  const auto news = DecodeGroupReport(bytes);
  RC_ASSERT(!news || news->size() <= 255U);
}

TEST(GroupReportTest, NumbersAbove16BitsAreRefused) {
  std::vector<uint8_t> bytes =
      EncodeGroupReport({{.m_load = {.m_slots = UINT16_MAX}}});
  ASSERT_TRUE(DecodeGroupReport(bytes));
  // Byte order, count, instance and suspicion come before the slots.
  constexpr size_t kLastByteOfSlots = 1 + 1 + 6 + 1 + 2;
  ASSERT_EQ(bytes[kLastByteOfSlots], 3);
  bytes[kLastByteOfSlots] = 4;
  EXPECT_FALSE(DecodeGroupReport(bytes));
}

// 83 answers in 10 s, as an instance gets at the size to design for.
TEST(GroupReportTest, ReportOfAnOrdinaryInstanceIsShort) {
  std::mt19937_64 random(1);
  std::lognormal_distribution<double> latency_ms(3, 0.5);
  InstanceNews news{.m_load = {.m_slots = 3, .m_in_use = 1},
                    .m_summary = {.m_recent_outcomes = 12, .m_outcomes = 83}};
  for (int i = 0; i < 83; ++i) {
    news.m_summary.m_latencies.Add(
        milliseconds(static_cast<int>(latency_ms(random))));
  }
  EXPECT_LE(EncodeGroupReport({news}).size(), 30U);
}

}  // namespace
}  // namespace sequoiastage
