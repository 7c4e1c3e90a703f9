#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

#include "retry_helpers.h"

namespace sequoiastage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(RetryAllowanceTest, DividesSlackAmongInstances) {
  RetryAllowance allowance({.m_used_share = 1});
  allowance.SetInstances(12);
  const TimePoint now(seconds(50));
  for (int i = 0; i < 5; ++i) {
    EXPECT_TRUE(allowance.TryAcquire(now));
  }
  EXPECT_FALSE(allowance.TryAcquire(now));
  EXPECT_FALSE(allowance.TryAcquire(now + seconds(8)));
  EXPECT_TRUE(allowance.TryAcquire(now + seconds(11)));
}

TEST(RetryAllowanceTest, GrowsWithFirstAttempts) {
  RetryAllowance allowance({.m_service_slack = 0, .m_used_share = 1});
  const TimePoint now(seconds(50));
  EXPECT_FALSE(allowance.TryAcquire(now));
  for (int i = 0; i < 10; ++i) {
    allowance.OnFirstAttempt(now);
  }
  EXPECT_TRUE(allowance.TryAcquire(now));
  EXPECT_TRUE(allowance.TryAcquire(now));
  EXPECT_FALSE(allowance.TryAcquire(now));
}

// A service at capacity has many slow requests and some failures. Hedged
// requests must leave most of the allowance to retries, and must not exceed
// their share even when nothing fails.
TEST(RetryAllowanceTest, HedgesLeaveMostOfAllowanceToRetries) {
  RetryAllowance allowance(
      {.m_service_slack = 40, .m_used_share = 1, .m_max_hedge_share = 0.25});
  const TimePoint now(seconds(50));
  int hedges = 0;
  while (allowance.TryAcquire(now, 0, ExtraAttempt::kHedge)) {
    ++hedges;
  }
  EXPECT_EQ(hedges, 10);
  int retries = 0;
  while (allowance.TryAcquire(now)) {
    ++retries;
  }
  EXPECT_EQ(retries, 30);
  EXPECT_FALSE(allowance.TryAcquire(now, 0, ExtraAttempt::kHedge));
}

// All instances of a service fail for 20 s and every request is retried: no
// window of 10 s may contain more retries than the service's budget.
RC_GTEST_PROP(RetryAllowanceTest, FleetStaysWithinItsBudget, ()) {
  constexpr uint32_t kInstances = 12;
  const RetryAllowanceOptions options;
  auto fleet = MakeFleet(kInstances, options);
  std::vector<TimePoint> first_attempts;
  std::vector<TimePoint> retries;
  const auto gap = *rc::gen::inRange(2, 50);
  for (TimePoint now(seconds(50)); now < TimePoint(seconds(70));
       now += milliseconds(gap)) {
    fleet[*rc::gen::inRange<size_t>(0, kInstances)].OnFirstAttempt(now);
    first_attempts.push_back(now);
    if (fleet[*rc::gen::inRange<size_t>(0, kInstances)].TryAcquire(now)) {
      retries.push_back(now);
    }
  }
  RC_ASSERT(ExcessOverBudget(options, first_attempts, retries) <= 0);
}

// The same while load is managed and calls are recognized, so that more of the
// budget is used: at any phase of the buckets, and with several retries for
// each request.
RC_GTEST_PROP(RetryAllowanceTest, FleetStaysWithinItsBudgetWithCalls, ()) {
  constexpr uint32_t kInstances = 12;
  const RetryAllowanceOptions options;
  auto fleet = MakeFleet(kInstances, options, true);
  std::mt19937_64 random(*rc::gen::arbitrary<uint64_t>());
  const auto draw = [&random](size_t end) {
    return std::uniform_int_distribution<size_t>(0, end - 1)(random);
  };
  const milliseconds gap(*rc::gen::inRange(5, 100));
  const milliseconds phase(*rc::gen::inRange(0, 1000));
  // Retries come in bursts, with pauses between them.
  const milliseconds burst(*rc::gen::inRange(100, 9000));
  std::vector<TimePoint> first_attempts;
  std::vector<TimePoint> retries;
  const TimePoint begin = TimePoint(seconds(50)) + phase;
  // First attempts go on until the window of the last retry has ended.
  const TimePoint last_retry = begin + seconds(30);
  for (TimePoint now = begin; now < last_retry + seconds(10); now += gap) {
    const bool is_call = draw(2) == 0;
    const auto urgency = static_cast<uint8_t>(draw(10));
    fleet[draw(kInstances)].OnFirstAttempt(now, urgency, is_call);
    first_attempts.push_back(now);
    if (now >= last_retry || (now - begin) / burst % 2 == 1) {
      continue;
    }
    for (size_t i = draw(20); i > 0; --i) {
      RetryAllowance& allowance = fleet[draw(kInstances)];
      const ExtraAttemptRequest request{.m_urgency = urgency,
                                        .m_is_call = is_call,
                                        .m_account = AccountId(draw(5))};
      if (!allowance.TryAcquire(now, request)) {
        continue;
      }
      if (draw(4) == 0) {
        allowance.Return(now, request);
      } else {
        retries.push_back(now);
      }
    }
  }
  RC_ASSERT(ExcessOverBudget(options, first_attempts, retries) <= 0);
}

// A node that has just started knows no other instance of the service.
TEST(RetryAllowanceTest, UnknownInstanceCountLeavesNoSlack) {
  RetryAllowance allowance({.m_used_share = 1});
  allowance.SetInstances(0);
  EXPECT_FALSE(allowance.TryAcquire(TimePoint(seconds(50))));
}

// All instances of a service fail, every request is retried, and all processes
// are killed `restarts` times. Returns the largest excess over the budget in
// any window of 10 s.
double ExcessAfterRestarts(int restarts,
                           bool is_restart_known,
                           uint64_t seed,
                           bool manages_load = false) {
  constexpr uint32_t kInstances = 12;
  constexpr TimePoint kBegin(seconds(50));
  std::mt19937_64 random(seed);
  const RetryAllowanceOptions options;
  std::vector<RetryAllowance> fleet;
  const auto restart = [&](TimePoint now) {
    fleet = MakeFleet(kInstances, options, manages_load);
    for (RetryAllowance& allowance : fleet) {
      if (is_restart_known && now > kBegin) {
        allowance.OnRestart(now);
      }
    }
  };
  restart(kBegin);
  std::uniform_int_distribution<int> draw_restart(0, 19'999);
  std::vector<TimePoint> restart_times;
  restart_times.reserve(static_cast<size_t>(restarts));
  for (int i = 0; i < restarts; ++i) {
    restart_times.push_back(kBegin + milliseconds(draw_restart(random)));
  }
  std::sort(restart_times.begin(), restart_times.end());
  std::vector<TimePoint> first_attempts;
  std::vector<TimePoint> retries;
  size_t restarted = 0;
  std::uniform_int_distribution<size_t> draw_instance(0, kInstances - 1);
  for (TimePoint now = kBegin; now < kBegin + seconds(30);
       now += milliseconds(60)) {
    while (restarted < restart_times.size() &&
           restart_times[restarted] <= now) {
      restart(now);
      ++restarted;
    }
    fleet[draw_instance(random)].OnFirstAttempt(now, 0, manages_load);
    first_attempts.push_back(now);
    // Each of several callers finds an instance that has retries left.
    for (RetryAllowance& allowance : fleet) {
      if (allowance.TryAcquire(now, {.m_is_call = manages_load})) {
        retries.push_back(now);
      }
    }
  }
  return ExcessOverBudget(options, first_attempts, retries);
}

RC_GTEST_PROP(RetryAllowanceTest,
              FleetStaysWithinItsBudgetThroughRestarts,
              ()) {
  const int restarts = *rc::gen::inRange(0, 5);
  const auto seed = *rc::gen::arbitrary<uint64_t>();
  RC_ASSERT(ExcessAfterRestarts(restarts, true, seed) <= 0);
}

// Processes that used more of the budget, as calls are recognized, are
// replaced.
RC_GTEST_PROP(RetryAllowanceTest,
              FleetStaysWithinItsBudgetThroughRestartsWithCalls,
              ()) {
  const int restarts = *rc::gen::inRange(0, 5);
  const auto seed = *rc::gen::arbitrary<uint64_t>();
  RC_ASSERT(ExcessAfterRestarts(restarts, true, seed, true) <= 0);
}

// Without OnRestart(), each process starts with the whole slack.
TEST(RetryAllowanceTest, ForgottenRetriesExceedTheBudget) {
  EXPECT_GT(ExcessAfterRestarts(3, false, 1), 0);
}

// A service whose instances refuse most requests, and two others that call it
// once in each run and are retried when the call fails.
class CallingServices {
 public:
  explicit CallingServices(bool accounts_for_calls,
                           bool recognizes_calls = false)
      : m_accounts_for_calls(accounts_for_calls),
        m_recognizes_calls(recognizes_calls),
        m_called(kInstances),
        m_calling(2, std::vector<RetryAllowance>(kInstances)) {
    for (std::vector<RetryAllowance>* service :
         {&m_called, &m_calling[0], &m_calling[1]}) {
      for (RetryAllowance& allowance : *service) {
        allowance.SetInstances(kInstances);
        allowance.SetManagesLoad(recognizes_calls);
      }
    }
  }

  // Returns by how many the repeated arrivals at the called service exceed its
  // budget in 10 s.
  double RunAndCountExcess() {
    constexpr int kSteps = 1000;
    for (int step = 0; step < kSteps; ++step) {
      m_now += milliseconds(10);
      if (step % 2 == 0) {
        RunCaller(m_calling[step / 2 % 2]);
      } else {
        Call(false);
      }
    }
    const RetryAllowanceOptions options;
    return m_repeated -
           (options.m_ratio * m_requests + options.m_service_slack);
  }

 private:
  static constexpr size_t kInstances = 12;
  static constexpr int kMaxAttempts = 5;

  RetryAllowance& Draw(std::vector<RetryAllowance>& service) {
    return service[std::uniform_int_distribution<size_t>(
        0, kInstances - 1)(m_random)];
  }

  void RunCaller(std::vector<RetryAllowance>& service) {
    Draw(service).OnFirstAttempt(m_now);
    if (!Call(false) && Draw(service).TryAcquire(m_now)) {
      Call(true);
    }
  }

  // One request to the called service. Returns whether an instance ran it.
  bool Call(bool is_of_retry) {
    ++m_requests;
    for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
      RetryAllowance& allowance = Draw(m_called);
      const bool is_extra =
          attempt > 0 || (is_of_retry && m_accounts_for_calls);
      if (!is_extra) {
        allowance.OnFirstAttempt(m_now, 0, m_recognizes_calls);
      } else if (!allowance.TryAcquire(m_now,
                                       {.m_is_call = m_recognizes_calls})) {
        return false;
      }
      m_repeated += attempt > 0 || is_of_retry ? 1 : 0;
      if (std::bernoulli_distribution(0.2)(m_random)) {
        return true;
      }
    }
    return false;
  }

  bool m_accounts_for_calls;
  bool m_recognizes_calls;
  std::vector<RetryAllowance> m_called;
  std::vector<std::vector<RetryAllowance>> m_calling;
  std::mt19937_64 m_random{5};
  TimePoint m_now{seconds(100)};
  double m_repeated = 0;
  double m_requests = 0;
};

// Repeated runs make their calls again, which count as repeats where they
// arrive.
TEST(RetryAllowanceTest, CallsOfRetriesStayWithinTheBudget) {
  EXPECT_LE(CallingServices(true).RunAndCountExcess(), 0);
  EXPECT_LE(CallingServices(true, true).RunAndCountExcess(), 0);
}

// More of the budget may be used only where the calls of retried requests draw
// on it.
TEST(RetryAllowanceTest, UsesMoreOfTheBudgetWhileCallsAreRecognized) {
  const TimePoint now(seconds(50));
  RetryAllowance allowance({.m_service_slack = 100});
  allowance.SetManagesLoad(true);
  EXPECT_EQ(AcquireAll(allowance, now), 65);
  allowance.OnRecognizedCall(now + seconds(20));
  EXPECT_EQ(AcquireAll(allowance, now + seconds(20)), 85);
  EXPECT_EQ(AcquireAll(allowance, now + seconds(100)), 65);
  allowance.OnRecognizedCall(now + seconds(120));
  allowance.SetManagesLoad(false);
  EXPECT_EQ(AcquireAll(allowance, now + seconds(120)), 65);
}

TEST(RetryAllowanceTest, UnaccountedCallsOfRetriesExceedTheBudget) {
  EXPECT_GT(CallingServices(false).RunAndCountExcess(), 0);
}

}  // namespace
}  // namespace sequoiastage
