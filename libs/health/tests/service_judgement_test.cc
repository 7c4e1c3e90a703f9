#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include "judged_service.h"

namespace sequoiastage {
namespace {

constexpr size_t kInstances = 12;
constexpr double kRate = 5;
constexpr Duration kSettleTime = std::chrono::seconds(40);
constexpr Duration kHangTime = std::chrono::seconds(60);

Behaviour HealthyBehaviour(size_t /*instance*/, TimePoint now) {
  const auto spread = now.time_since_epoch().count() / 10'000 * 7919 % 100;
  return {.m_latency = std::chrono::milliseconds(60 + spread)};
}

JudgeOptions GenerateOptions() {
  return MakeJudgeOptions(*rc::gen::element(kCautiousPolicy, kFastPolicy));
}

JudgedService SettledService(const JudgeOptions& options, uint64_t seed) {
  JudgedService service(kInstances, options, kRate, seed);
  service.Run(kSettleTime, HealthyBehaviour);
  return service;
}

RC_GTEST_PROP(ServiceJudgementTest,
              HealthyServiceHasNoSuspects,
              (uint64_t seed)) {
  JudgedService service = SettledService(GenerateOptions(), seed);
  for (size_t i = 0; i < kInstances; ++i) {
    RC_ASSERT(!service.WasEjectionDue(i));
    RC_ASSERT(service.CurrentVerdict(i) == Verdict::kHealthy);
  }
}

RC_GTEST_PROP(ServiceJudgementTest, AllFailingSinglesOutNone, (uint64_t seed)) {
  const double share = *rc::gen::element(0.1, 0.3, 0.6, 1.0);
  std::mt19937_64 random(seed);
  std::bernoulli_distribution fails(share);
  JudgedService service = SettledService(GenerateOptions(), seed);
  service.Run(std::chrono::seconds(30), [&](size_t i, TimePoint now) {
    Behaviour behaviour = HealthyBehaviour(i, now);
    behaviour.m_outcome = fails(random) ? Outcome::kError : Outcome::kSuccess;
    return behaviour;
  });
  size_t naive_ejections = 0;
  for (size_t i = 0; i < kInstances; ++i) {
    RC_ASSERT(!service.WasEjectionDue(i));
    naive_ejections += service.WasEjectedByNaiveJudge(i) ? 1 : 0;
  }
  if (share == 1.0) {
    RC_ASSERT(naive_ejections == kInstances);
  }
}

RC_GTEST_PROP(ServiceJudgementTest, AllHangingSinglesOutNone, (uint64_t seed)) {
  JudgedService service = SettledService(GenerateOptions(), seed);
  service.Run(std::chrono::seconds(10), [&](size_t, TimePoint) {
    return Behaviour{.m_latency = kHangTime, .m_outcome = Outcome::kTimeout};
  });
  for (size_t i = 0; i < kInstances; ++i) {
    RC_ASSERT(!service.WasEjectionDue(i));
  }
}

RC_GTEST_PROP(ServiceJudgementTest, AllSlowSinglesOutNone, (uint64_t seed)) {
  JudgedService service = SettledService(GenerateOptions(), seed);
  service.Run(std::chrono::seconds(30), [&](size_t i, TimePoint now) {
    Behaviour behaviour = HealthyBehaviour(i, now);
    behaviour.m_latency *= 5;
    return behaviour;
  });
  for (size_t i = 0; i < kInstances; ++i) {
    RC_ASSERT(!service.WasEjectionDue(i));
  }
}

// The requests that hang time out only after 60 s, and the naive judge counts
// only ended requests.
RC_GTEST_PROP(ServiceJudgementTest,
              HangIsDetectedWithinTwoSeconds,
              (uint64_t seed)) {
  JudgedService service = SettledService(MakeJudgeOptions(kFastPolicy), seed);
  const size_t requests_before = service.Requests(0);
  const auto hanging_first = [](size_t i, TimePoint now) {
    return i == 0 ? Behaviour{.m_latency = kHangTime,
                              .m_outcome = Outcome::kTimeout}
                  : HealthyBehaviour(i, now);
  };
  // Two seconds, counted from the third request.
  service.Run(std::chrono::seconds(30), hanging_first,
              [&] { return service.Requests(0) >= requests_before + 3; });
  service.Run(std::chrono::seconds(2), hanging_first);
  RC_ASSERT(service.CurrentVerdict(0) != Verdict::kHealthy);
  RC_ASSERT(!service.WasEjectedByNaiveJudge(0));
  for (size_t i = 1; i < kInstances; ++i) {
    RC_ASSERT(!service.WasEjectionDue(i));
  }
}

// Neither naive judge detects this: every probe succeeds, and five consecutive
// errors are rare.
RC_GTEST_PROP(ServiceJudgementTest,
              PartialErrorsAreDetectedByTheJudgeAlone,
              (uint64_t seed)) {
  JudgedService service = SettledService(GenerateOptions(), seed);
  ThreeFailedProbes probes;
  uint64_t count = 0;
  service.Run(std::chrono::seconds(30), [&](size_t i, TimePoint now) {
    Behaviour behaviour = HealthyBehaviour(i, now);
    if (i == 3 && ++count % 3 == 0) {
      behaviour.m_outcome = Outcome::kIncomplete;
    }
    probes.OnProbe(true);
    return behaviour;
  });
  RC_ASSERT(service.WasEjectionDue(3));
  RC_ASSERT(!service.WasEjectedByNaiveJudge(3));
  RC_ASSERT(!probes.IsEjected());
  for (size_t i = 0; i < kInstances; ++i) {
    RC_ASSERT(i == 3 || !service.WasEjectionDue(i));
  }
}

RC_GTEST_PROP(ServiceJudgementTest, SlowInstanceIsDetected, (uint64_t seed)) {
  JudgedService service = SettledService(GenerateOptions(), seed);
  service.Run(std::chrono::seconds(20), [](size_t i, TimePoint now) {
    Behaviour behaviour = HealthyBehaviour(i, now);
    behaviour.m_latency *= i == 5 ? 5 : 1;
    return behaviour;
  });
  for (size_t i = 0; i < kInstances; ++i) {
    RC_ASSERT(service.WasEjectionDue(i) == (i == 5));
  }
}

}  // namespace
}  // namespace sequoiastage
