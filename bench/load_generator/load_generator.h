#ifndef SEQUOIASTAGE_BENCH_LOAD_GENERATOR_LOAD_GENERATOR_H_
#define SEQUOIASTAGE_BENCH_LOAD_GENERATOR_LOAD_GENERATOR_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "sequoiastage/base/ids.h"
#include "sequoiastage/base/time.h"
#include "sequoiastage/http/http_client.h"

namespace sequoiastage::bench {

struct LoadOptions {
  /// Nodes that receive the requests, in round-robin order.
  std::vector<Endpoint> m_targets;
  /// Host of all requests, and path of idempotent requests.
  std::string m_host;
  std::string m_read_path;
  /// Path of requests that are not idempotent.
  std::string m_write_path;
  /// Share of the requests that go to m_write_path.
  double m_write_share = 0.2;
  /// Mean requests per second, with Poisson arrivals.
  double m_rate = 200;
  Duration m_duration = std::chrono::seconds(5);
  std::chrono::milliseconds m_deadline{2000};
  /// Retries of a request that was not executed, each at the next node.
  int m_max_retries = 3;
  uint64_t m_seed = 1;
};

struct LoadReport {
  uint64_t m_requests = 0;
  /// Responses by the outcome that the node reported.
  std::map<std::string, uint64_t> m_outcomes;
  std::map<uint16_t, uint64_t> m_statuses;
  /// Requests without an HTTP response.
  uint64_t m_transport_failures = 0;
  /// Responses with status 200 whose body or request id does not match the
  /// request.
  uint64_t m_mismatched = 0;
  /// Latencies of responses with status 200, in order of their arrival.
  std::vector<Duration> m_latencies;
};

/// Sends requests with unique bodies, resends a request with the idempotency
/// key that a node issued, and checks that each response matches its request.
class LoadGenerator {
 public:
  LoadGenerator(asio::io_context& io, LoadOptions options);

  /// Sends requests for LoadOptions::m_duration. The caller then runs the
  /// io_context until it has no work left.
  void Start();

  const LoadReport& Report() const { return m_report; }

 private:
  struct Call {
    std::string m_id;
    HttpRequest m_request;
    bool m_is_idempotent = true;
    TimePoint m_started;
    int m_retries = 0;
    size_t m_target = 0;
  };

  void ScheduleNext();
  void StartCall();
  void Send(Call call);
  void HandleResult(Call call, const HttpCallResult& result);
  bool ResendIfNeeded(Call& call, const HttpResponse& response);
  void Record(const Call& call, const HttpResponse& response);

  LoadOptions m_options;
  HttpClient m_client;
  asio::steady_timer m_timer;
  asio::io_context& m_io;
  std::mt19937_64 m_random;
  TimePoint m_end;
  TimePoint m_next;
  uint64_t m_last_id = 0;
  LoadReport m_report;
};

}  // namespace sequoiastage::bench

#endif  // SEQUOIASTAGE_BENCH_LOAD_GENERATOR_LOAD_GENERATOR_H_
