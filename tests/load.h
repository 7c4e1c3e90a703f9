#ifndef SEQUOIASTAGE_TESTS_LOAD_H_
#define SEQUOIASTAGE_TESTS_LOAD_H_

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "fleet.h"

namespace sequoiastage {

struct LoadOptions {
  /// Prefix of the request ids; unique among the loads on a fleet.
  std::string m_name = "r";
  /// Nodes that callers send their requests to; empty: all nodes.
  std::vector<int> m_nodes = {};
  int m_callers = 8;
  /// Every n-th request is not idempotent and needs a key; 0: none.
  int m_keyed_every = 5;
  /// Maximum number of times a caller sends one request, each time to the next
  /// node.
  int m_max_sends = 4;
  std::chrono::milliseconds m_deadline{3000};
  /// Pause of a caller after each request that was not answered.
  std::chrono::milliseconds m_pause_after_failure{0};
  uint64_t m_seed = 1;
};

/// Result of one request that is not idempotent.
struct KeyedRecord {
  bool m_was_answered = false;
  /// Every attempt received not-run or was never sent.
  bool m_is_not_run = true;
};

struct LoadResult {
  int m_requests = 0;
  int m_answered = 0;
  int m_not_run = 0;
  /// Number of not-run responses by reason.
  std::map<std::string, int> m_not_run_reasons;
  int m_unknown = 0;
  /// The connection was refused, so nothing was sent.
  int m_unsent = 0;
  /// The request was sent and no complete response arrived (a killed or frozen
  /// node).
  int m_no_response = 0;
  /// Complete responses that belong to another request or have no outcome.
  int m_wrong = 0;
  std::string m_first_wrong;
  std::map<std::string, KeyedRecord> m_keyed;
  std::chrono::microseconds m_longest{};
};

/// Callers, one thread each, that send requests with unique bodies to all
/// nodes, obtain a key on status 428, and resend a request to another node when
/// its outcome allows it.
class Load {
 public:
  Load(const Fleet& fleet, const LoadOptions& options);
  ~Load();

  /// Requests answered so far.
  int Answered() const { return m_answered; }

  /// Waits until each caller has finished its request and joins the threads.
  /// Call at most once.
  LoadResult Stop();

 private:
  class Caller;

  const Fleet& m_fleet;
  LoadOptions m_options;
  std::atomic<bool> m_is_stopping{false};
  std::atomic<int> m_answered{0};
  std::mutex m_mutex;
  LoadResult m_result;
  std::vector<std::thread> m_threads;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_TESTS_LOAD_H_
