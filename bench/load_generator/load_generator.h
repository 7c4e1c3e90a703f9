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
  /// Nodes that callers send to, in turn.
  std::vector<Endpoint> m_targets;
  /// Host and path of idempotent requests.
  std::string m_host;
  std::string m_read_path;
  /// Path of requests that must run at most once.
  std::string m_write_path;
  /// Share of the requests that go to m_write_path.
  double m_write_share = 0.2;
  /// Requests a second, at random times.
  double m_rate = 200;
  Duration m_duration = std::chrono::seconds(5);
  std::chrono::milliseconds m_deadline{2000};
  /// Times a request that was not run is sent again, each to the next node.
  int m_max_resends = 3;
  uint64_t m_seed = 1;
};

struct LoadReport {
  uint64_t m_requests = 0;
  /// Answers by outcome as the caller was told it.
  std::map<std::string, uint64_t> m_outcomes;
  std::map<uint16_t, uint64_t> m_statuses;
  /// Requests without any HTTP answer.
  uint64_t m_broken = 0;
  /// Answers with 200 that were not the answer to their own request.
  uint64_t m_wrong = 0;
  /// Latencies of answered requests, in order of arrival.
  std::vector<Duration> m_latencies;
};

/// Sends requests with unique bodies as callers do, shows the key that a node
/// issued, and checks that each answer is the request's own.
class LoadGenerator {
 public:
  LoadGenerator(asio::io_context& io, LoadOptions options);

  /// Sends for the duration of the options; run the io_context until it is
  /// out of work.
  void Start();

  const LoadReport& Report() const { return m_report; }

 private:
  struct Call {
    std::string m_id;
    HttpRequest m_request;
    bool m_is_idempotent = true;
    TimePoint m_started;
    int m_resends = 0;
    size_t m_target = 0;
  };

  void ScheduleNext();
  void StartCall();
  void Send(Call call);
  void OnResult(Call call, const HttpCallResult& result);
  bool SendAgain(Call& call, const HttpResponse& answer);
  void Record(const Call& call, const HttpResponse& answer);

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
