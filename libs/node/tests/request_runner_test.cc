#include "../src/request_runner_p.h"

#include <gtest/gtest.h>

#include <asio/post.hpp>
#include <functional>
#include <optional>

namespace sequoiastage {
namespace {

using std::chrono::milliseconds;

constexpr ServiceId kService{1};
constexpr int kWarmUp = 60;

InstanceId At(uint16_t port) {
  return InstanceId(Endpoint{.m_ip = 0x7f000001, .m_port = port});
}

// Receives the messages of the runner in place of the egresses. Completes each
// dispatch immediately unless m_is_paused is set.
class FakeEgresses {
 public:
  explicit FakeEgresses(asio::io_context& io) : m_io(io) {}

  void Receive(Message message) {
    if (const auto* query = std::get_if<QueryMessage>(&message)) {
      m_queries.push_back(*query);
      return;
    }
    m_dispatches.push_back(std::get<DispatchMessage>(std::move(message)));
    if (!m_is_paused) {
      SendResult(m_dispatches.size() - 1, AttemptResult::kAnswered);
    }
  }

  void SendResult(size_t at, AttemptResult result) {
    ResultMessage message{.m_attempt = m_dispatches.at(at).m_attempt,
                          .m_result = result};
    message.m_response.m_status = 200;
    message.m_response.m_body = std::to_string(at);
    asio::post(m_io, [this, message] { m_on_result(message); });
  }

  asio::io_context& m_io;
  std::function<void(ResultMessage)> m_on_result;
  bool m_is_paused = false;
  std::vector<DispatchMessage> m_dispatches;
  std::vector<QueryMessage> m_queries;
};

class RequestRunnerTest : public testing::Test {
 protected:
  RequestRunnerTest()
      : m_egresses(m_io),
        m_transport(m_io,
                    {.m_local_node = m_node},
                    {},
                    [this](Message message) {
                      m_egresses.Receive(std::move(message));
                    }),
        m_runner(m_io,
                 {.m_node = m_node, .m_incarnation = Incarnation(1)},
                 m_transport) {
    m_egresses.m_on_result = [this](ResultMessage result) {
      m_runner.OnResult(std::move(result));
    };
    SetInstances(4, Locality::kOwnRegion);
  }

  void SetInstances(uint16_t count, Locality others) {
    NodeView view;
    for (uint16_t port = 1; port <= count; ++port) {
      view.m_instances[kService].push_back(
          {.m_id = At(port),
           .m_node = m_node,
           .m_node_incarnation = Incarnation(1),
           .m_locality = port == 1 ? Locality::kOwnHost : others,
           .m_slots = 100});
    }
    m_runner.SetView(std::make_shared<const NodeView>(std::move(view)));
  }

  RunRequest Request() const {
    return {.m_request = {.m_method = "GET", .m_target = "/"},
            .m_service = kService,
            .m_is_idempotent = true,
            .m_max_attempts = 2,
            .m_hedge_quantile = 0.9,
            .m_deadline = WallNow() + std::chrono::seconds(5)};
  }

  void Run(RunRequest request) {
    m_runner.Run(std::move(request), [this](RunResult result) {
      m_results.push_back(std::move(result));
    });
  }

  // Runs events until `condition` holds; false after a timeout.
  bool RunUntil(const std::function<bool()>& condition) {
    m_io.restart();
    while (!condition()) {
      if (m_io.run_one_for(std::chrono::seconds(10)) == 0) {
        return false;
      }
    }
    return true;
  }

  // Provides fast responses as latency samples, then pauses further dispatches.
  void WarmUp(int count, const RunRequest& request) {
    for (int i = 0; i < count; ++i) {
      Run(request);
    }
    ASSERT_TRUE(RunUntilDone(static_cast<size_t>(count)));
    m_results.clear();
    m_egresses.m_dispatches.clear();
    m_egresses.m_queries.clear();
    m_egresses.m_is_paused = true;
    m_before = m_runner.Stats();
  }

  // Hedges since the warm-up, which may also hedge on a busy machine.
  uint64_t Hedges() const {
    return m_runner.Stats().m_hedges - m_before.m_hedges;
  }

  bool RunUntilDispatched(size_t count) {
    return RunUntil(
        [this, count] { return m_egresses.m_dispatches.size() >= count; });
  }

  bool RunUntilDone(size_t count = 1) {
    return RunUntil([this, count] { return m_results.size() >= count; });
  }

  // Runs `request`, which receives no result, until its deadline.
  void ExpectNoHedge(RunRequest request) {
    m_results.clear();
    request.m_deadline = WallNow() + milliseconds(100);
    Run(request);
    ASSERT_TRUE(RunUntilDone());
    EXPECT_EQ(Hedges(), 0U);
  }

  const NodeId m_node{Endpoint{.m_ip = 0x7f000001, .m_port = 18081}};
  asio::io_context m_io;
  FakeEgresses m_egresses;
  Transport m_transport;
  RequestRunner m_runner;
  std::vector<RunResult> m_results;
  RunnerStats m_before;
};

TEST_F(RequestRunnerTest, LongRunningRequestIsHedgedAndTheFirstResponseWins) {
  for (const size_t winner : {0, 1}) {
    m_egresses.m_is_paused = false;
    WarmUp(kWarmUp, Request());
    Run(Request());
    ASSERT_TRUE(RunUntilDispatched(2));
    const auto& sent = m_egresses.m_dispatches;
    EXPECT_NE(sent[0].m_instance, sent[1].m_instance);
    m_egresses.SendResult(winner, AttemptResult::kAnswered);
    ASSERT_TRUE(RunUntilDone());
    EXPECT_EQ(m_results[0].m_outcome, RequestOutcome::kAnswered);
    EXPECT_EQ(m_results[0].m_response.m_body, std::to_string(winner));
    ASSERT_EQ(m_egresses.m_queries.size(), 1U);
    EXPECT_EQ(m_egresses.m_queries[0].m_attempt, sent[1 - winner].m_attempt);
    EXPECT_TRUE(m_egresses.m_queries[0].m_cancel_running);
    EXPECT_EQ(m_runner.Stats().m_hedges_won - m_before.m_hedges_won, winner);
    EXPECT_EQ(Hedges(), 1U);
    EXPECT_EQ(m_runner.Stats().m_retries, m_before.m_retries);
    m_results.clear();
  }
}

TEST_F(RequestRunnerTest, FailedAttemptWaitsForTheOtherOpenAttempt) {
  for (const size_t failed : {0, 1}) {
    m_egresses.m_is_paused = false;
    WarmUp(kWarmUp, Request());
    Run(Request());
    ASSERT_TRUE(RunUntilDispatched(2));
    m_egresses.SendResult(failed, AttemptResult::kFailed);
    m_egresses.SendResult(1 - failed, AttemptResult::kAnswered);
    ASSERT_TRUE(RunUntilDone());
    EXPECT_EQ(m_results[0].m_response.m_body, std::to_string(1 - failed));
    EXPECT_EQ(m_egresses.m_dispatches.size(), 2U);
    m_results.clear();
  }
}

TEST_F(RequestRunnerTest, NoHedgeBeforeEnoughSamples) {
  WarmUp(10, Request());
  ExpectNoHedge(Request());
}

TEST_F(RequestRunnerTest,
       NoHedgeOfNonIdempotentUnhedgedOrSingleAttemptRequests) {
  WarmUp(kWarmUp, Request());
  RunRequest keyed = Request();
  keyed.m_is_idempotent = false;
  RunRequest unhedged = Request();
  unhedged.m_hedge_quantile.reset();
  RunRequest single = Request();
  single.m_max_attempts = 1;
  ExpectNoHedge(keyed);
  ExpectNoHedge(unhedged);
  ExpectNoHedge(single);
}

TEST_F(RequestRunnerTest, NoHedgeToOtherRegions) {
  SetInstances(4, Locality::kOtherRegion);
  WarmUp(kWarmUp, Request());
  ExpectNoHedge(Request());
}

TEST_F(RequestRunnerTest, RequestIsHedgedOnceRegardlessOfMaxAttempts) {
  WarmUp(kWarmUp, Request());
  RunRequest request = Request();
  request.m_max_attempts = 4;
  request.m_deadline = WallNow() + milliseconds(200);
  Run(request);
  ASSERT_TRUE(RunUntilDone());
  EXPECT_EQ(m_results[0].m_outcome, RequestOutcome::kUnknown);
  EXPECT_EQ(Hedges(), 1U);
  EXPECT_EQ(m_egresses.m_dispatches.size(), 4U);
}

TEST_F(RequestRunnerTest, HedgesAreBoundedByTheRetryBudget) {
  RunRequest request = Request();
  request.m_retry_share = 0;
  WarmUp(kWarmUp, request);
  constexpr size_t kRequests = 100;
  request.m_deadline = WallNow() + milliseconds(300);
  for (size_t i = 0; i < kRequests; ++i) {
    Run(request);
  }
  ASSERT_TRUE(RunUntilDone(kRequests));
  const RunnerStats& stats = m_runner.Stats();
  EXPECT_GT(Hedges(), 0U);
  // A full budget, and the amount it gains in the seconds a busy machine takes.
  const uint64_t budget = 10 + 10;
  EXPECT_LE(stats.m_hedges + stats.m_retries, budget);
}

}  // namespace
}  // namespace sequoiastage
