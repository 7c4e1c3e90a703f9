/// load_generator: sends a mixed load to nodes and prints outcomes and
/// latencies. Exits with code 1 if a response did not match its request or if a
/// request got no HTTP response.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <string>
#include <vector>

#include "load_generator.h"

ABSL_FLAG(std::vector<std::string>,
          targets,
          {},
          "Addresses of nodes for callers, IP:PORT,IP:PORT,...");
ABSL_FLAG(std::string, host, "localhost", "Host of the requests.");
ABSL_FLAG(std::string, read_path, "/status", "Path of idempotent requests.");
ABSL_FLAG(std::string,
          write_path,
          "/approvals",
          "Path of non-idempotent requests.");
ABSL_FLAG(double, write_share, 0.2, "Share of requests to --write_path.");
ABSL_FLAG(double, rate, 200, "Requests per second.");
ABSL_FLAG(int, seconds, 5, "Seconds during which requests are sent.");
ABSL_FLAG(int, deadline_ms, 2000, "Deadline of a request in ms.");
ABSL_FLAG(uint64_t, seed, 1, "Seed of the random arrivals.");

namespace {

using sequoiastage::Duration;

double QuantileMs(const std::vector<Duration>& sorted, double share) {
  if (sorted.empty()) {
    return 0;
  }
  const auto index =
      std::min(sorted.size() - 1,
               static_cast<size_t>(share * static_cast<double>(sorted.size())));
  return static_cast<double>(sorted[index].count()) / 1000;
}

void PrintReport(const sequoiastage::bench::LoadReport& report) {
  std::printf("requests %llu\n",
              static_cast<unsigned long long>(report.m_requests));
  for (const auto& [outcome, count] : report.m_outcomes) {
    std::printf("outcome %s %llu\n", outcome.c_str(),
                static_cast<unsigned long long>(count));
  }
  for (const auto& [status, count] : report.m_statuses) {
    std::printf("status %d %llu\n", status,
                static_cast<unsigned long long>(count));
  }
  std::printf("broken %llu\nwrong %llu\n",
              static_cast<unsigned long long>(report.m_transport_failures),
              static_cast<unsigned long long>(report.m_mismatched));
  std::vector<Duration> sorted = report.m_latencies;
  std::sort(sorted.begin(), sorted.end());
  std::printf("latency_ms p50 %.2f p99 %.2f max %.2f p999 %.2f\n",
              QuantileMs(sorted, 0.5), QuantileMs(sorted, 0.99),
              QuantileMs(sorted, 1), QuantileMs(sorted, 0.999));
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  absl::ParseCommandLine(argc, argv);
  sequoiastage::bench::LoadOptions options{
      .m_host = absl::GetFlag(FLAGS_host),
      .m_read_path = absl::GetFlag(FLAGS_read_path),
      .m_write_path = absl::GetFlag(FLAGS_write_path),
      .m_write_share = absl::GetFlag(FLAGS_write_share),
      .m_rate = absl::GetFlag(FLAGS_rate),
      .m_duration = std::chrono::seconds(absl::GetFlag(FLAGS_seconds)),
      .m_deadline = std::chrono::milliseconds(absl::GetFlag(FLAGS_deadline_ms)),
      .m_seed = absl::GetFlag(FLAGS_seed)};
  for (const std::string& text : absl::GetFlag(FLAGS_targets)) {
    const auto target = sequoiastage::ParseEndpoint(text);
    if (!target) {
      std::fprintf(stderr, "--targets: %s is not IP:PORT\n", text.c_str());
      return 2;
    }
    options.m_targets.push_back(*target);
  }
  if (options.m_targets.empty()) {
    std::fputs("--targets is required\n", stderr);
    return 2;
  }
  asio::io_context io;
  sequoiastage::bench::LoadGenerator generator(io, std::move(options));
  generator.Start();
  io.run();
  const auto& report = generator.Report();
  PrintReport(report);
  return report.m_transport_failures + report.m_mismatched == 0 ? 0 : 1;
}
