#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include "judged_service.h"

namespace sequoiastage {
namespace {

constexpr size_t kInstances = 12;
constexpr double kRate = 5;
constexpr Duration kSettle = std::chrono::seconds(40);
constexpr Duration kHang = std::chrono::seconds(60);

Behaviour Healthy(size_t /*instance*/, TimePoint now) {
  const auto spread = now.time_since_epoch().count() / 10'000 * 7919 % 100;
  return {.m_latency = std::chrono::milliseconds(60 + spread)};
}

JudgeOptions AnyPolicy() {
  return MakeJudgeOptions(*rc::gen::element(kCautiousPolicy, kFastPolicy));
}

JudgedService SettledService(const JudgeOptions& options, uint64_t seed) {
  JudgedService service(kInstances, options, kRate, seed);
  service.Run(kSettle, Healthy);
  return service;
}

RC_GTEST_PROP(ServiceJudgementTest,
              HealthyServiceHasNoSuspects,
              (uint64_t seed)) {
  JudgedService service = SettledService(AnyPolicy(), seed);
  for (size_t i = 0; i < kInstances; ++i) {
    RC_ASSERT(!service.WasWanted(i));
    RC_ASSERT(service.VerdictOf(i) == Verdict::kHealthy);
  }
}

RC_GTEST_PROP(ServiceJudgementTest, AllFailingSinglesOutNone, (uint64_t seed)) {
  const double share = *rc::gen::element(0.1, 0.3, 0.6, 1.0);
  std::mt19937_64 random(seed);
  std::bernoulli_distribution fails(share);
  JudgedService service = SettledService(AnyPolicy(), seed);
  service.Run(std::chrono::seconds(30), [&](size_t i, TimePoint now) {
    Behaviour behaviour = Healthy(i, now);
    behaviour.m_outcome = fails(random) ? Outcome::kError : Outcome::kSuccess;
    return behaviour;
  });
  size_t naive = 0;
  for (size_t i = 0; i < kInstances; ++i) {
    RC_ASSERT(!service.WasWanted(i));
    naive += service.NaiveEjected(i) ? 1 : 0;
  }
  if (share == 1.0) {
    RC_ASSERT(naive == kInstances);
  }
}

RC_GTEST_PROP(ServiceJudgementTest, AllHangingSinglesOutNone, (uint64_t seed)) {
  JudgedService service = SettledService(AnyPolicy(), seed);
  service.Run(std::chrono::seconds(10), [&](size_t, TimePoint) {
    return Behaviour{.m_latency = kHang, .m_outcome = Outcome::kTimeout};
  });
  for (size_t i = 0; i < kInstances; ++i) {
    RC_ASSERT(!service.WasWanted(i));
  }
}

RC_GTEST_PROP(ServiceJudgementTest, AllSlowSinglesOutNone, (uint64_t seed)) {
  JudgedService service = SettledService(AnyPolicy(), seed);
  service.Run(std::chrono::seconds(30), [&](size_t i, TimePoint now) {
    Behaviour behaviour = Healthy(i, now);
    behaviour.m_latency *= 5;
    return behaviour;
  });
  for (size_t i = 0; i < kInstances; ++i) {
    RC_ASSERT(!service.WasWanted(i));
  }
}

// The hang's own timeouts come after 60 s; the naive judge waits for them.
RC_GTEST_PROP(ServiceJudgementTest,
              HangIsSeenWithinTwoSeconds,
              (uint64_t seed)) {
  JudgedService service = SettledService(MakeJudgeOptions(kFastPolicy), seed);
  const size_t requests_before = service.Requests(0);
  const auto hanging_first = [](size_t i, TimePoint now) {
    return i == 0
               ? Behaviour{.m_latency = kHang, .m_outcome = Outcome::kTimeout}
               : Healthy(i, now);
  };
  // Two seconds from the third piece of work on.
  service.Run(std::chrono::seconds(30), hanging_first,
              [&] { return service.Requests(0) >= requests_before + 3; });
  service.Run(std::chrono::seconds(2), hanging_first);
  RC_ASSERT(service.VerdictOf(0) != Verdict::kHealthy);
  RC_ASSERT(!service.NaiveEjected(0));
  for (size_t i = 1; i < kInstances; ++i) {
    RC_ASSERT(!service.WasWanted(i));
  }
}

// A probe that always succeeds and errors that are seldom five in a row keep
// both naive judges from seeing this.
RC_GTEST_PROP(ServiceJudgementTest,
              PartialErrorsAreSeenByTheJudgeAlone,
              (uint64_t seed)) {
  JudgedService service = SettledService(AnyPolicy(), seed);
  ThreeFailedProbes probes;
  uint64_t count = 0;
  service.Run(std::chrono::seconds(30), [&](size_t i, TimePoint now) {
    Behaviour behaviour = Healthy(i, now);
    if (i == 3 && ++count % 3 == 0) {
      behaviour.m_outcome = Outcome::kIncomplete;
    }
    probes.OnProbe(true);
    return behaviour;
  });
  RC_ASSERT(service.WasWanted(3));
  RC_ASSERT(!service.NaiveEjected(3));
  RC_ASSERT(!probes.IsEjected());
  for (size_t i = 0; i < kInstances; ++i) {
    RC_ASSERT(i == 3 || !service.WasWanted(i));
  }
}

RC_GTEST_PROP(ServiceJudgementTest, SlowInstanceIsSeen, (uint64_t seed)) {
  JudgedService service = SettledService(AnyPolicy(), seed);
  service.Run(std::chrono::seconds(20), [](size_t i, TimePoint now) {
    Behaviour behaviour = Healthy(i, now);
    behaviour.m_latency *= i == 5 ? 5 : 1;
    return behaviour;
  });
  for (size_t i = 0; i < kInstances; ++i) {
    RC_ASSERT(service.WasWanted(i) == (i == 5));
  }
}

}  // namespace
}  // namespace sequoiastage
