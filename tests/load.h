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
  /// Starts the requests' ids: one for each load on a fleet.
  std::string m_name = "r";
  /// Where callers send their requests; none: to all nodes.
  std::vector<int> m_nodes = {};
  int m_callers = 8;
  /// One request in so many may not be repeated; 0: none.
  int m_keyed_every = 5;
  /// How often a caller shows one request, each time at the next node.
  int m_shows = 4;
  std::chrono::milliseconds m_deadline{3000};
  uint64_t m_seed = 1;
};

/// What became of one request that may not be repeated.
struct KeyedRecord {
  bool m_was_answered = false;
  /// Each show was told not-run, or was never sent.
  bool m_is_not_run = true;
};

struct LoadResult {
  int m_requests = 0;
  int m_answered = 0;
  int m_not_run = 0;
  /// The reasons given with not-run, and how often.
  std::map<std::string, int> m_not_run_reasons;
  int m_unknown = 0;
  /// The connection was refused: nothing was sent.
  int m_unsent = 0;
  /// It was sent and no whole answer came (a killed or frozen node).
  int m_no_answer = 0;
  /// A whole answer that is not the request's own, or has no outcome.
  int m_wrong = 0;
  std::string m_first_wrong;
  std::map<std::string, KeyedRecord> m_keyed;
  std::chrono::microseconds m_longest{};
};

/// Callers on threads of their own that send requests with unique bodies to
/// all nodes, follow 428, and show a request again at another node where its
/// outcome allows it.
class Load {
 public:
  Load(const Fleet& fleet, const LoadOptions& options);
  ~Load();

  /// Requests answered so far.
  int Answered() const { return m_answered; }

  /// Lets each caller end its request, then ends them. Call once.
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
