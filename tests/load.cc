#include "load.h"

#include <utility>

namespace sequoiastage {

// One caller; used only on its own thread.
class Load::Caller {
 public:
  Caller(Load& load, int number)
      : m_load(load),
        m_number(number),
        m_random(load.m_options.m_seed * 1000 + static_cast<uint64_t>(number)) {
  }

  LoadResult Run() {
    const LoadOptions& options = m_load.m_options;
    int count = 0;
    while (!m_load.m_is_stopping) {
      ++count;
      m_id = options.m_name + std::to_string(m_number) + "-" +
             std::to_string(count);
      ++m_result.m_requests;
      if (options.m_keyed_every > 0 && count % options.m_keyed_every == 0) {
        RunKeyed();
      } else {
        RunRead();
      }
    }
    return std::move(m_result);
  }

 private:
  int NextNode() {
    ++m_turn;
    const std::vector<int>& nodes = m_load.m_options.m_nodes;
    return nodes.empty() ? m_turn % m_load.m_fleet.NodeCount()
                         : nodes[m_turn % nodes.size()];
  }

  CallerRequest MakeRequest(std::string method, std::string body) {
    const auto deadline = m_load.m_options.m_deadline;
    return {.m_to = m_load.m_fleet.Caller(NextNode()),
            .m_method = std::move(method),
            .m_target = "/jobs/" + m_id,
            .m_fields = {{"Host", "move.example"},
                         {"X-Request-Id", m_id},
                         {"Sequoiastage-Deadline-Ms",
                          std::to_string(deadline.count())}},
            .m_body = std::move(body),
            .m_timeout = deadline + std::chrono::milliseconds(1000)};
  }

  CallerResponse Send(const CallerRequest& request) {
    const auto start = std::chrono::steady_clock::now();
    CallerResponse response = Call(request);
    const auto time = std::chrono::duration_cast<std::chrono::microseconds>(
        std::chrono::steady_clock::now() - start);
    m_result.m_longest = std::max(m_result.m_longest, time);
    return response;
  }

  // True when the outcome is answered, so that the caller does not resend the
  // request.
  bool RecordResponse(const CallerResponse& response,
                      const std::string& expected) {
    const bool is_answered = Record(response, expected);
    if (!is_answered) {
      std::this_thread::sleep_for(m_load.m_options.m_pause_after_failure);
    }
    return is_answered;
  }

  bool Record(const CallerResponse& response, const std::string& expected) {
    const std::string outcome = response.Outcome();
    if (!response.IsComplete()) {
      ++(response.m_is_unsent ? m_result.m_unsent : m_result.m_no_response);
      return false;
    }
    if (outcome == "answered" && response.m_status == 200) {
      if (response.m_body != expected) {
        RecordWrongResponse("expected '" + expected + "', got '" +
                            response.m_body + "'");
      }
      ++m_result.m_answered;
      ++m_load.m_answered;
      return true;
    }
    if (outcome == "not-run") {
      ++m_result.m_not_run;
      ++m_result.m_not_run_reasons[response.m_body];
    } else if (outcome == "unknown") {
      ++m_result.m_unknown;
    } else {
      RecordWrongResponse("status " + std::to_string(response.m_status) +
                          " outcome '" + outcome + "': " + response.m_body);
    }
    return false;
  }

  void RecordWrongResponse(const std::string& what) {
    if (m_result.m_wrong++ == 0) {
      m_result.m_first_wrong = m_id + ": " + what;
    }
  }

  void RunRead() {
    const std::string expected = "data for /jobs/" + m_id;
    for (int attempt = 0; attempt < m_load.m_options.m_max_sends; ++attempt) {
      if (RecordResponse(Send(MakeRequest("GET", "")), expected)) {
        return;
      }
    }
  }

  // After a not-run outcome the caller stops at random, so that the test can
  // check that the request was never executed; otherwise it resends the
  // request.
  void RunKeyed() {
    const std::string body = "body of " + m_id;
    std::string key;
    KeyedRecord& record = m_result.m_keyed[m_id];
    for (int attempt = 0; attempt < m_load.m_options.m_max_sends; ++attempt) {
      CallerRequest request = MakeRequest("POST", body);
      if (!key.empty()) {
        request.m_fields["Idempotency-Key"] = key;
      }
      const CallerResponse response = Send(request);
      if (response.IsComplete() && response.m_status == 428) {
        key = response.Field("idempotency-key");
        continue;
      }
      if (RecordResponse(response, body)) {
        record.m_was_answered = true;
        record.m_is_not_run = false;
        return;
      }
      record.m_is_not_run &=
          response.m_is_unsent ||
          (response.IsComplete() && response.Outcome() == "not-run");
      if (record.m_is_not_run && m_random() % 2 == 0) {
        return;
      }
    }
  }

  Load& m_load;
  int m_number;
  int m_turn = m_number;
  std::mt19937_64 m_random;
  std::string m_id;
  LoadResult m_result;
};

Load::Load(const Fleet& fleet, const LoadOptions& options)
    : m_fleet(fleet), m_options(options) {
  for (int number = 0; number < options.m_callers; ++number) {
    m_threads.emplace_back([this, number] {
      LoadResult caller_result = Caller(*this, number).Run();
      const std::lock_guard lock(m_mutex);
      m_result.m_requests += caller_result.m_requests;
      m_result.m_answered += caller_result.m_answered;
      m_result.m_not_run += caller_result.m_not_run;
      for (const auto& [reason, count] : caller_result.m_not_run_reasons) {
        m_result.m_not_run_reasons[reason] += count;
      }
      m_result.m_unknown += caller_result.m_unknown;
      m_result.m_unsent += caller_result.m_unsent;
      m_result.m_no_response += caller_result.m_no_response;
      m_result.m_wrong += caller_result.m_wrong;
      if (m_result.m_first_wrong.empty()) {
        m_result.m_first_wrong = caller_result.m_first_wrong;
      }
      m_result.m_longest =
          std::max(m_result.m_longest, caller_result.m_longest);
      m_result.m_keyed.merge(caller_result.m_keyed);
    });
  }
}

Load::~Load() {
  m_is_stopping = true;
  for (std::thread& thread : m_threads) {
    thread.join();
  }
}

LoadResult Load::Stop() {
  m_is_stopping = true;
  for (std::thread& thread : m_threads) {
    thread.join();
  }
  m_threads.clear();
  return std::move(m_result);
}

}  // namespace sequoiastage
