#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "retry_helpers.h"

namespace sequoiastage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow(seconds(50));
constexpr uint8_t kFirstCallUrgency = 3;

struct ReplayResult {
  int m_completed = 0;
  std::vector<TimePoint> m_first_attempts;
  std::vector<TimePoint> m_retries;
};

// Requests that make two calls, one after the other, to a service whose
// instances refuse 55% of what they receive. A call ends after 5 attempts or
// when an instance has no retry left for it.
class CallReplay {
 public:
  CallReplay(uint64_t seed, bool has_precedence)
      : m_seed(seed), m_has_precedence(has_precedence) {}

  ReplayResult Run() {
    for (int number = 0; number < kRequests; ++number) {
      m_pending.emplace(
          kNow + number * kArrivalGap,
          // Own random numbers for each request, so that the
          // fate of others does not change its draws.
          Request{.m_random = std::mt19937_64(m_seed * kRequests +
                                              static_cast<uint64_t>(number))});
    }
    while (!m_pending.empty()) {
      auto next = m_pending.extract(m_pending.begin());
      if (Attempt(next.key(), next.mapped())) {
        next.key() += kAttemptTime;
        m_pending.insert(std::move(next));
      }
    }
    return m_result;
  }

 private:
  static constexpr size_t kInstances = 10;
  static constexpr int kRequests = 4000;
  static constexpr int kCalls = 2;
  static constexpr int kMaxAttempts = 5;
  static constexpr milliseconds kArrivalGap{5};
  static constexpr milliseconds kAttemptTime{20};

  struct Request {
    std::mt19937_64 m_random;
    int m_served_calls = 0;
    int m_attempts = 0;
  };

  // Returns whether the request goes on.
  bool Attempt(TimePoint now, Request& request) {
    RetryAllowance& allowance = m_fleet[std::uniform_int_distribution<size_t>(
        0, kInstances - 1)(request.m_random)];
    const bool is_served = std::bernoulli_distribution(0.45)(request.m_random);
    const bool is_later = m_has_precedence && request.m_served_calls > 0;
    const uint8_t urgency = is_later ? 0 : kFirstCallUrgency;
    if (request.m_attempts == 0) {
      allowance.OnFirstAttempt(now, urgency, true);
      m_result.m_first_attempts.push_back(now);
    } else if (allowance.TryAcquire(
                   now, {.m_urgency = urgency, .m_is_call = true})) {
      m_result.m_retries.push_back(now);
    } else {
      return false;
    }
    ++request.m_attempts;
    if (!is_served) {
      return request.m_attempts < kMaxAttempts;
    }
    request.m_attempts = 0;
    if (++request.m_served_calls < kCalls) {
      return true;
    }
    ++m_result.m_completed;
    return false;
  }

  uint64_t m_seed;
  bool m_has_precedence;
  std::vector<RetryAllowance> m_fleet = MakeFleet(kInstances);
  std::multimap<TimePoint, Request> m_pending;
  ReplayResult m_result;
};

int AcquireAll(RetryAllowance& allowance, const ExtraAttemptRequest& request) {
  return AcquireAll(allowance, kNow, request);
}

constexpr ExtraAttemptRequest kFirstCall{.m_urgency = kFirstCallUrgency,
                                         .m_is_call = true};
constexpr ExtraAttemptRequest kLaterCall{.m_is_call = true};

// Retries spent on first calls are lost when the second call of the request
// finds the budget exhausted.
TEST(RetryCallTest, MoreRequestsCompleteWithPrecedenceOfLaterCalls) {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    const ReplayResult equal = CallReplay(seed, false).Run();
    const ReplayResult ordered = CallReplay(seed, true).Run();
    EXPECT_GT(ordered.m_completed, equal.m_completed) << "seed " << seed;
    RecordProperty("equal_" + std::to_string(seed), equal.m_completed);
    RecordProperty("ordered_" + std::to_string(seed), ordered.m_completed);
  }
}

// Precedence must not add retries to those that the service permits.
TEST(RetryCallTest, RetriesOfCallsStayWithinTheBudget) {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    for (const bool has_precedence : {false, true}) {
      const ReplayResult result = CallReplay(seed, has_precedence).Run();
      EXPECT_FALSE(result.m_retries.empty());
      EXPECT_LE(ExcessOverBudget({}, result.m_first_attempts, result.m_retries),
                0)
          << "seed " << seed << " precedence " << has_precedence;
    }
  }
}

// A reserve that no later call asks for would be lost.
TEST(RetryCallTest, FirstCallsMayUseTheWholeAllowanceWithoutLaterCalls) {
  RetryAllowance allowance({.m_service_slack = 40, .m_used_share = 1});
  EXPECT_EQ(AcquireAll(allowance, kFirstCall), 40);
}

// First attempts of later calls reserve nothing, as none of them needs a retry.
TEST(RetryCallTest, LaterCallsThatNeedNoRetryReserveNothing) {
  RetryAllowance allowance({.m_service_slack = 38, .m_used_share = 1});
  for (int i = 0; i < 10; ++i) {
    allowance.OnFirstAttempt(kNow, 0, true);
  }
  EXPECT_EQ(AcquireAll(allowance, kFirstCall), 40);
}

// First calls must leave to later calls what these asked for within the window,
// and no more. A fixed reserve refused first calls that the allowance had room
// for.
TEST(RetryCallTest, FirstCallsLeaveWhatLaterCallsAskFor) {
  for (const int later_calls : {0, 1, 16, 30, 40}) {
    RetryAllowance allowance({.m_service_slack = 40, .m_used_share = 1});
    EXPECT_EQ(AcquireAll(allowance, kNow, kFirstCall), 40);
    for (int i = 0; i < later_calls; ++i) {
      EXPECT_FALSE(allowance.TryAcquire(kNow + seconds(5), kLaterCall));
    }
    // The retries of kNow have left the window.
    const TimePoint free = kNow + seconds(10);
    EXPECT_EQ(AcquireAll(allowance, free, kFirstCall), 40 - later_calls);
    EXPECT_EQ(AcquireAll(allowance, free, kLaterCall), later_calls);
    EXPECT_EQ(AcquireAll(allowance, kNow + seconds(21), kFirstCall), 40);
  }
}

// First calls ask for far more retries than there are, later calls for half of
// them: the later ones get nearly all of theirs after the first window.
TEST(RetryCallTest, LaterCallsGetTheirRetriesInASteadyState) {
  RetryAllowance allowance({.m_service_slack = 40, .m_used_share = 1});
  int asked = 0;
  int granted = 0;
  for (milliseconds at{0}; at < seconds(60); at += milliseconds(50)) {
    const TimePoint now = kNow + at;
    allowance.TryAcquire(now, kFirstCall);
    if (at % milliseconds(500) == milliseconds(0)) {
      const bool is_granted = allowance.TryAcquire(now, kLaterCall);
      asked += at >= seconds(10) ? 1 : 0;
      granted += at >= seconds(10) && is_granted ? 1 : 0;
    }
  }
  EXPECT_GE(granted, 0.9 * asked);
}

// Urgent calls must not take away from new requests what these had before, and
// the most urgent new request still limits the others.
TEST(RetryCallTest, CallsDoNotLimitNewRequests) {
  for (const bool has_calls : {false, true}) {
    for (const bool has_urgent_request : {false, true}) {
      RetryAllowance allowance({.m_service_slack = 39, .m_used_share = 1});
      for (int i = 0; i < 5; ++i) {
        const bool is_call = has_calls && i > 0;
        const uint8_t urgency = has_urgent_request && i == 0 ? 1 : 3;
        allowance.OnFirstAttempt(kNow, is_call ? 0 : urgency, is_call);
      }
      const int used_by_calls =
          has_calls && allowance.TryAcquire(kNow, kLaterCall) ? 1 : 0;
      EXPECT_EQ(AcquireAll(allowance, {.m_urgency = 3}) + used_by_calls,
                has_urgent_request ? 24 : 40)
          << has_calls << has_urgent_request;
    }
  }
}

}  // namespace
}  // namespace sequoiastage
