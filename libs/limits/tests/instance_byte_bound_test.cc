#include "sequoiastage/limits/instance_byte_bound.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sequoiastage {
namespace {

constexpr size_t kUpload = 540'000;

// An instance that crashes when it holds more than its memory, offered more
// uploads than it can hold at once.
struct OverloadedInstance {
  size_t m_memory = 0;
  InstanceByteBound m_bound{InstanceByteBoundOptions{}};
  size_t m_in_flight = 0;
  size_t m_running = 0;
  uint64_t m_crashes = 0;
  uint64_t m_unexplained = 0;
  uint64_t m_done = 0;

  // Starts as many of `offers` uploads as the bound admits, then completes
  // one.
  void Step(size_t offers) {
    for (size_t i = 0; i < offers; ++i) {
      if (!m_bound.Admit(m_in_flight, kUpload)) {
        continue;
      }
      m_in_flight += kUpload;
      ++m_running;
      if (m_in_flight > m_memory) {
        ++m_crashes;
        m_unexplained += m_bound.OnCrash(m_in_flight, m_running) ? 0 : 1;
        m_in_flight = 0;
        m_running = 0;
      }
    }
    if (m_running > 0) {
      m_bound.OnSuccess(m_in_flight);
      m_in_flight -= kUpload;
      --m_running;
      ++m_done;
    }
  }
};

// Without the bound each step of this load crashes the instance.
TEST(InstanceByteBoundTest, LearnsWhatAnInstanceBears) {
  OverloadedInstance instance{.m_memory = 10 * kUpload};
  for (int i = 0; i < 2000; ++i) {
    instance.Step(12);
  }
  EXPECT_GT(instance.m_crashes, 0U);
  EXPECT_LE(instance.m_crashes, 25U);
  EXPECT_GE(instance.m_done, 1900U);
  EXPECT_EQ(instance.m_unexplained, 0U);
}

TEST(InstanceByteBoundTest, IsUnknownUntilACrash) {
  InstanceByteBound bound;
  EXPECT_TRUE(bound.Admit(size_t{1} << 40, size_t{1} << 40));
  bound.OnSuccess(size_t{1} << 30);
  EXPECT_EQ(bound.Bound(), SIZE_MAX);
}

TEST(InstanceByteBoundTest, CrashLowersItBelowTheBytesInFlight) {
  InstanceByteBound bound;
  EXPECT_TRUE(bound.OnCrash(10 * kUpload, 10));
  EXPECT_LT(bound.Bound(), 10 * kUpload);
  EXPECT_FALSE(bound.Admit(9 * kUpload, kUpload));
  EXPECT_TRUE(bound.Admit(4 * kUpload, kUpload));
}

// Guards against a bound that stays low for ever, also where it admits no
// second request and the bytes in flight never reach it.
TEST(InstanceByteBoundTest, SuccessAtTheBoundRaisesIt) {
  InstanceByteBound bound;
  for (int i = 0; i < 20; ++i) {
    bound.OnCrash(2 * kUpload, 2);
  }
  int successes = 0;
  while (!bound.Admit(kUpload, kUpload) && successes < 1000) {
    bound.OnSuccess(kUpload);
    ++successes;
  }
  EXPECT_GT(successes, 3);
  EXPECT_LT(successes, 300);
}

TEST(InstanceByteBoundTest, SuccessFarBelowTheBoundLeavesIt) {
  InstanceByteBound bound;
  bound.OnCrash(10 * kUpload, 10);
  const size_t before = bound.Bound();
  bound.OnSuccess(kUpload);
  EXPECT_EQ(bound.Bound(), before);
}

// Guards against a request that crashes instances and hides behind uploads:
// bytes that the instance has borne with a margin explain no crash.
TEST(InstanceByteBoundTest, BytesThatWereBorneExplainNoCrash) {
  InstanceByteBound bound;
  bound.OnSuccess(10 * kUpload);
  EXPECT_FALSE(bound.OnCrash(4 * kUpload, 4));
  EXPECT_EQ(bound.Bound(), SIZE_MAX);
  EXPECT_TRUE(bound.OnCrash(11 * kUpload, 11));
}

// A large request that crashes the instance alone is to blame.
TEST(InstanceByteBoundTest, BytesOfOneRequestExplainNoCrash) {
  InstanceByteBound bound;
  EXPECT_FALSE(bound.OnCrash(20 * kUpload, 1));
  EXPECT_FALSE(bound.OnCrash(1000, 5));
}

RC_GTEST_PROP(InstanceByteBoundTest, OneRequestMayAlwaysRun, ()) {
  InstanceByteBound bound;
  const auto steps = *rc::gen::inRange(0, 60);
  for (int i = 0; i < steps; ++i) {
    const auto bytes = *rc::gen::inRange<size_t>(0, 40 * kUpload);
    if (*rc::gen::arbitrary<bool>()) {
      bound.OnCrash(bytes, *rc::gen::inRange<size_t>(0, 5));
    } else {
      bound.OnSuccess(bytes);
    }
    RC_ASSERT(bound.Admit(0, *rc::gen::arbitrary<size_t>()));
    RC_ASSERT(bound.Bound() >= InstanceByteBoundOptions{}.m_min_bytes);
  }
}

}  // namespace
}  // namespace sequoiastage
