#include <chrono>
#include <random>
#include <vector>

#include "report.h"
#include "sections.h"
#include "sequoiastage/health/request_quarantine.h"

namespace sequoiastage {
namespace {

using std::chrono::milliseconds;

constexpr WallTime kStart{std::chrono::seconds(1'700'000'000)};
// Slots of an instance.
constexpr uint32_t kRunning = 4;

// Crashes of instances that ran unique requests; every fifth one also ran a
// deadly request.
std::vector<CrashReport> DrawReports(uint32_t count, uint64_t seed) {
  std::mt19937_64 random(seed);
  std::vector<CrashReport> reports;
  reports.reserve(count);
  for (uint32_t i = 0; i < count; ++i) {
    CrashReport report{.m_node = NodeId({.m_ip = 1 + i, .m_port = 7000}),
                       .m_instance_start_ms = i,
                       .m_at = kStart + milliseconds(i),
                       .m_running = {}};
    for (uint32_t k = 0; k < kRunning; ++k) {
      report.m_running.emplace_back(random());
    }
    if (i % 5 == 0) {
      report.m_running.front() = RequestFingerprint(i % 4);
    }
    reports.push_back(std::move(report));
  }
  return reports;
}

void MeasureTable(uint32_t count, uint64_t seed) {
  const auto reports = DrawReports(count, seed);
  const WallTime now = kStart + std::chrono::minutes(1);
  const double heap_before = HeapBytes();
  RequestQuarantine quarantine;
  const double add_us = 1e6 * SecondsPerCall([&] {
                          quarantine = RequestQuarantine();
                          for (const CrashReport& report : reports) {
                            quarantine.Add(report, now);
                          }
                        }) /
                        count;
  const auto size = static_cast<double>(count);
  Series("KB of heap", "crash reports")
      .Add(size, (HeapBytes() - heap_before) / 1000);
  Series("us to add a report, mean while the table fills", "crash reports")
      .Add(size, add_us);
  CrashReport next = reports.back();
  Series("us for one more report and the lookup after it", "crash reports")
      .Add(size, 1e6 * SecondsPerCall([&] {
                   ++next.m_instance_start_ms;
                   for (uint32_t k = 0; k < kRunning; ++k) {
                     next.m_running[k] = RequestFingerprint(
                         next.m_instance_start_ms * kRunning + k);
                   }
                   quarantine.Add(next, now);
                   quarantine.TimeLeft(RequestFingerprint(1), now);
                 }));
  uint64_t found = 0;
  Series("us to look up a request", "crash reports")
      .Add(size,
           1e6 * SecondsPerCall([&] {
             found +=
                 quarantine.TimeLeft(RequestFingerprint(found), now).has_value()
                     ? 1
                     : 0;
           }));
}

void MeasureFingerprint(size_t body_bytes) {
  const HttpRequest request{.m_method = "POST",
                            .m_host = "a.example",
                            .m_target = "/plans/1",
                            .m_fields = {},
                            .m_body = std::string(body_bytes, 'x')};
  uint64_t sum = 0;
  Series("us to compute a fingerprint", "body bytes")
      .Add(static_cast<double>(body_bytes),
           1e6 * SecondsPerCall(
                     [&] { sum += FingerprintOf(request, "plans").Get(); }));
}

}  // namespace

void MeasureQuarantine(uint64_t seed) {
  PrintHeading("quarantine: requests that crash instances, one node");
  for (const uint32_t count : {16U, 64U, 256U}) {
    MeasureTable(count, seed);
  }
  for (const size_t bytes : {size_t{0}, size_t{1'000}, size_t{64'000}}) {
    MeasureFingerprint(bytes);
  }
}

}  // namespace sequoiastage
