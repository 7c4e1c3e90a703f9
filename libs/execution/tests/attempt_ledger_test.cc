#include "sequoiastage/execution/attempt_ledger.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <map>
#include <set>
#include <vector>

namespace sequoiastage {
namespace {

constexpr Incarnation kOwnIncarnation(7);

WallTime WallTimeAt(int64_t ms) {
  return WallTime(std::chrono::milliseconds(ms));
}

AttemptSpec MakeSpec(uint64_t counter,
                     int64_t deadline_ms = 1000,
                     uint32_t ingress = 1,
                     uint64_t incarnation = 1) {
  return {.m_id = {.m_ingress = NodeId(Endpoint{.m_ip = ingress, .m_port = 1}),
                   .m_incarnation = Incarnation(incarnation),
                   .m_counter = counter},
          .m_egress = kOwnIncarnation,
          .m_deadline = WallTimeAt(deadline_ms)};
}

// Naive bounded ledger: evicts the oldest attempt without raising a floor, and
// records a cancellation only for attempts that it contains.
class NaiveLedger {
 public:
  NaiveLedger(Incarnation own_incarnation, AttemptLedgerOptions options)
      : m_own_incarnation(own_incarnation), m_options(options) {}

  Admission Admit(const AttemptSpec& spec, WallTime now) {
    if (spec.m_egress != m_own_incarnation || spec.m_deadline <= now) {
      return {.m_reason = RefusalReason::kPastDeadline};
    }
    const auto found = m_states.find(spec.m_id);
    if (found != m_states.end()) {
      return {.m_verdict = Admission::Verdict::kDuplicate,
              .m_state = found->second};
    }
    m_states[spec.m_id] = AttemptState::kQueued;
    m_order.push_back(spec.m_id);
    if (m_order.size() > m_options.m_max_attempts) {
      m_states.erase(m_order.front());
      m_order.pop_front();
    }
    return {.m_verdict = Admission::Verdict::kNew,
            .m_state = AttemptState::kQueued};
  }

  bool MarkRunning(const AttemptId& id, WallTime /*now*/) {
    return Transition(id, AttemptState::kQueued, AttemptState::kRunning);
  }
  bool MarkRefused(const AttemptId& id) {
    return Transition(id, AttemptState::kQueued, AttemptState::kRefused);
  }
  void MarkAnswered(const AttemptId& id, const StoredResponse& /*response*/) {
    Transition(id, AttemptState::kRunning, AttemptState::kAnswered);
  }
  void MarkFailed(const AttemptId& id) {
    Transition(id, AttemptState::kRunning, AttemptState::kFailed);
  }
  void MarkNotStarted(const AttemptId& id) {
    Transition(id, AttemptState::kRunning, AttemptState::kRefused);
  }

  AttemptReport CancelIfNotStarted(const AttemptSpec& spec) {
    Transition(spec.m_id, AttemptState::kQueued, AttemptState::kCancelled);
    const auto found = m_states.find(spec.m_id);
    return {.m_certainty = AttemptReport::Certainty::kKnown,
            .m_state = found == m_states.end() ? AttemptState::kCancelled
                                               : found->second};
  }

 private:
  bool Transition(const AttemptId& id, AttemptState from, AttemptState to) {
    const auto found = m_states.find(id);
    if (found == m_states.end() || found->second != from) {
      return false;
    }
    found->second = to;
    return true;
  }

  Incarnation m_own_incarnation;
  AttemptLedgerOptions m_options;
  std::map<AttemptId, AttemptState> m_states;
  std::deque<AttemptId> m_order;
};

// One step of a schedule. Each number is taken modulo the number of choices.
struct ScheduleStep {
  uint8_t m_action = 0;
  uint8_t m_spec_index = 0;
  uint8_t m_elapsed_ms = 0;
};

std::vector<AttemptSpec> AllSpecs() {
  std::vector<AttemptSpec> specs;
  for (uint32_t ingress = 1; ingress <= 4; ++ingress) {
    for (uint64_t incarnation = 1; incarnation <= 2; ++incarnation) {
      for (uint64_t counter = 1; counter <= 6; ++counter) {
        const uint64_t spread =
            uint64_t{ingress} * 31 + incarnation * 17 + counter * 7;
        const auto deadline = static_cast<int64_t>(50 + 37 * (spread % 29));
        specs.push_back(MakeSpec(counter, deadline, ingress, incarnation));
        if (counter == 6) {
          specs.back().m_egress = Incarnation(kOwnIncarnation.Get() - 1);
        }
      }
    }
  }
  return specs;
}

// Runs a schedule and returns the first violation, or an empty text.
template <class Ledger>
std::string FindViolation(const std::vector<ScheduleStep>& schedule) {
  const AttemptLedgerOptions options{
      .m_max_attempts = 5, .m_max_floors = 2, .m_max_response_bytes = 8};
  Ledger ledger(kOwnIncarnation, options);
  const auto specs = AllSpecs();
  std::set<AttemptId> started;
  std::set<AttemptId> maybe_executed;
  std::set<AttemptId> executed;
  std::set<AttemptId> reported_not_run;
  int64_t now_ms = 0;
  for (const ScheduleStep& step : schedule) {
    now_ms += step.m_elapsed_ms % 16;
    const AttemptSpec& spec = specs[step.m_spec_index % specs.size()];
    const AttemptId& id = spec.m_id;
    switch (step.m_action % 9) {
      case 0:
      case 1: {
        const Admission admission = ledger.Admit(spec, WallTimeAt(now_ms));
        if (admission.m_verdict == Admission::Verdict::kRefused &&
            ProvesNotStarted(admission.m_reason)) {
          reported_not_run.insert(id);
        }
        break;
      }
      case 2:
        if (!ledger.MarkRunning(id, WallTimeAt(now_ms))) {
          break;
        }
        maybe_executed.insert(id);
        if (!started.insert(id).second) {
          return "started twice: " + ToString(id);
        }
        if (spec.m_egress != kOwnIncarnation) {
          return "started for another incarnation: " + ToString(id);
        }
        if (spec.m_deadline <= WallTimeAt(now_ms)) {
          return "started past its deadline: " + ToString(id);
        }
        break;
      case 3:
        if (ledger.MarkRefused(id)) {
          reported_not_run.insert(id);
        }
        break;
      case 4:
        ledger.MarkAnswered(id, std::make_shared<const std::string>("abc"));
        break;
      case 5:
        ledger.MarkFailed(id);
        break;
      case 6:
        // The connection is open: the first byte is sent.
        if (maybe_executed.count(id) != 0) {
          executed.insert(id);
        }
        break;
      case 7:
        // No connection could be opened.
        if (started.count(id) != 0 && executed.count(id) == 0) {
          ledger.MarkNotStarted(id);
          maybe_executed.erase(id);
        }
        break;
      default: {
        const AttemptReport report = ledger.CancelIfNotStarted(spec);
        if (report.m_certainty == AttemptReport::Certainty::kKnown &&
            IsNeverStarted(report.m_state)) {
          reported_not_run.insert(id);
        }
      }
    }
    if (reported_not_run.count(id) != 0 && maybe_executed.count(id) != 0) {
      return "told not run, but started: " + ToString(id);
    }
  }
  return "";
}

rc::Gen<std::vector<ScheduleStep>> GenerateSchedule() {
  const auto step = rc::gen::build<ScheduleStep>(
      rc::gen::set(&ScheduleStep::m_action, rc::gen::arbitrary<uint8_t>()),
      rc::gen::set(&ScheduleStep::m_spec_index, rc::gen::arbitrary<uint8_t>()),
      rc::gen::set(&ScheduleStep::m_elapsed_ms,
                   rc::gen::inRange<uint8_t>(0, 4)));
  return rc::gen::resize(1500, rc::gen::container<std::vector<ScheduleStep>>(
                                   rc::gen::resize(255, step)));
}

RC_GTEST_PROP(AttemptLedgerTest, KeepsItsPromisesUnderAnySchedule, ()) {
  const auto schedule = *GenerateSchedule();
  RC_ASSERT(FindViolation<AttemptLedger>(schedule) == "");
}

TEST(AttemptLedgerTest, NaiveLedgerBreaksItsPromises) {
  EXPECT_FALSE(rc::check("the naive ledger, expected to be falsified", [] {
    const auto schedule = *GenerateSchedule();
    RC_ASSERT(FindViolation<NaiveLedger>(schedule) == "");
  }));
}

RC_GTEST_PROP(AttemptLedgerTest, MemoryIsBounded, ()) {
  const AttemptLedgerOptions options{
      .m_max_attempts = 4, .m_max_floors = 3, .m_max_response_bytes = 10};
  AttemptLedger ledger(kOwnIncarnation, options);
  const auto ingresses = *rc::gen::container<std::vector<uint32_t>>(
      200, rc::gen::inRange<uint32_t>(1, 20));
  uint64_t counter = 0;
  for (const uint32_t ingress : ingresses) {
    const AttemptSpec spec = MakeSpec(++counter, 1000, ingress);
    ledger.Admit(spec, WallTimeAt(0));
    if (ledger.MarkRunning(spec.m_id, WallTimeAt(0))) {
      const auto length = *rc::gen::inRange<size_t>(0, 12);
      ledger.MarkAnswered(spec.m_id, std::make_shared<const std::string>(
                                         std::string(length, 'x')));
    }
    const AttemptLedgerStats stats = ledger.Stats();
    RC_ASSERT(stats.m_attempts <= options.m_max_attempts);
    RC_ASSERT(stats.m_floors <= options.m_max_floors);
    RC_ASSERT(stats.m_response_bytes <= options.m_max_response_bytes);
  }
}

TEST(AttemptLedgerTest, RefusesEvictedAttemptsAndAdmitsNewerOnes) {
  AttemptLedger ledger(kOwnIncarnation, {.m_max_attempts = 2});
  for (uint64_t counter = 1; counter <= 4; ++counter) {
    ASSERT_EQ(ledger.Admit(MakeSpec(counter), WallTimeAt(0)).m_verdict,
              Admission::Verdict::kNew);
    ASSERT_TRUE(ledger.MarkRunning(MakeSpec(counter).m_id, WallTimeAt(0)));
    ledger.MarkFailed(MakeSpec(counter).m_id);
  }
  EXPECT_EQ(ledger.Admit(MakeSpec(1), WallTimeAt(0)).m_reason,
            RefusalReason::kTooOld);
  EXPECT_EQ(ledger.CancelIfNotStarted(MakeSpec(2)).m_certainty,
            AttemptReport::Certainty::kUndetermined);
  EXPECT_EQ(ledger.Admit(MakeSpec(3), WallTimeAt(0)).m_verdict,
            Admission::Verdict::kDuplicate);
  EXPECT_EQ(ledger.Admit(MakeSpec(1, 1000, 1, 2), WallTimeAt(0)).m_verdict,
            Admission::Verdict::kNew);
}

TEST(AttemptLedgerTest, DroppedFloorRefusesOnlyDeadlinesUpToItsOwn) {
  AttemptLedger ledger(kOwnIncarnation,
                       {.m_max_attempts = 1, .m_max_floors = 1});
  for (uint32_t ingress = 1; ingress <= 3; ++ingress) {
    const AttemptSpec spec = MakeSpec(1, int64_t{100} * ingress, ingress);
    ASSERT_EQ(ledger.Admit(spec, WallTimeAt(0)).m_verdict,
              Admission::Verdict::kNew);
    ASSERT_TRUE(ledger.MarkRefused(spec.m_id));
  }
  EXPECT_EQ(ledger.Admit(MakeSpec(1, 100, 1), WallTimeAt(0)).m_reason,
            RefusalReason::kTooOld);
  EXPECT_EQ(ledger.Admit(MakeSpec(9, 101, 1), WallTimeAt(0)).m_verdict,
            Admission::Verdict::kNew);
}

TEST(AttemptLedgerTest, LedgerFullOfRunningAttemptsRefusesPermanently) {
  AttemptLedger ledger(kOwnIncarnation, {.m_max_attempts = 1});
  ASSERT_EQ(ledger.Admit(MakeSpec(1), WallTimeAt(0)).m_verdict,
            Admission::Verdict::kNew);
  ASSERT_TRUE(ledger.MarkRunning(MakeSpec(1).m_id, WallTimeAt(0)));
  EXPECT_EQ(ledger.Admit(MakeSpec(2), WallTimeAt(0)).m_reason,
            RefusalReason::kLedgerFull);
  ledger.MarkFailed(MakeSpec(1).m_id);
  EXPECT_EQ(ledger.Admit(MakeSpec(2), WallTimeAt(0)).m_verdict,
            Admission::Verdict::kRefused);
}

TEST(AttemptLedgerTest, AttemptCancelledBeforeItsArrivalIsNeverStarted) {
  AttemptLedger ledger(kOwnIncarnation);
  EXPECT_EQ(ledger.CancelIfNotStarted(MakeSpec(1)).m_state,
            AttemptState::kCancelled);
  EXPECT_EQ(ledger.Admit(MakeSpec(1), WallTimeAt(0)).m_verdict,
            Admission::Verdict::kDuplicate);
  EXPECT_FALSE(ledger.MarkRunning(MakeSpec(1).m_id, WallTimeAt(0)));
}

TEST(AttemptLedgerTest, AttemptOfAnotherIncarnationIsUndetermined) {
  AttemptLedger ledger(kOwnIncarnation);
  AttemptSpec spec = MakeSpec(1);
  spec.m_egress = Incarnation(6);
  EXPECT_EQ(ledger.Admit(spec, WallTimeAt(0)).m_reason,
            RefusalReason::kWrongIncarnation);
  EXPECT_FALSE(ProvesNotStarted(RefusalReason::kWrongIncarnation));
  EXPECT_EQ(ledger.CancelIfNotStarted(spec).m_certainty,
            AttemptReport::Certainty::kUndetermined);
}

TEST(AttemptLedgerTest, ClockSetBackExtendsNoDeadline) {
  AttemptLedger ledger(kOwnIncarnation);
  ASSERT_EQ(ledger.Admit(MakeSpec(1, 100), WallTimeAt(100)).m_reason,
            RefusalReason::kPastDeadline);
  EXPECT_EQ(ledger.Admit(MakeSpec(1, 100), WallTimeAt(50)).m_reason,
            RefusalReason::kPastDeadline);
}

TEST(AttemptLedgerTest, RunningAttemptOfWhichNothingWasSentIsNeverStarted) {
  AttemptLedger ledger(kOwnIncarnation);
  ledger.Admit(MakeSpec(1), WallTimeAt(0));
  ASSERT_TRUE(ledger.MarkRunning(MakeSpec(1).m_id, WallTimeAt(0)));
  ledger.MarkNotStarted(MakeSpec(1).m_id);
  EXPECT_TRUE(IsNeverStarted(ledger.CancelIfNotStarted(MakeSpec(1)).m_state));
  const Admission duplicate = ledger.Admit(MakeSpec(1), WallTimeAt(0));
  EXPECT_EQ(duplicate.m_verdict, Admission::Verdict::kDuplicate);
  EXPECT_TRUE(IsNeverStarted(duplicate.m_state));
  EXPECT_FALSE(ledger.MarkRunning(MakeSpec(1).m_id, WallTimeAt(0)));
}

TEST(AttemptLedgerTest, OnlyARunningAttemptBecomesNotStarted) {
  AttemptLedger ledger(kOwnIncarnation);
  ledger.Admit(MakeSpec(1), WallTimeAt(0));
  ledger.MarkNotStarted(MakeSpec(1).m_id);
  ASSERT_TRUE(ledger.MarkRunning(MakeSpec(1).m_id, WallTimeAt(0)));
  ledger.MarkFailed(MakeSpec(1).m_id);
  ledger.MarkNotStarted(MakeSpec(1).m_id);
  EXPECT_EQ(ledger.CancelIfNotStarted(MakeSpec(1)).m_state,
            AttemptState::kFailed);
}

TEST(AttemptLedgerTest, QueryReturnsTheStoredResponse) {
  AttemptLedger ledger(kOwnIncarnation);
  ledger.Admit(MakeSpec(1), WallTimeAt(0));
  ASSERT_TRUE(ledger.MarkRunning(MakeSpec(1).m_id, WallTimeAt(0)));
  EXPECT_EQ(ledger.CancelIfNotStarted(MakeSpec(1)).m_state,
            AttemptState::kRunning);
  ledger.MarkAnswered(MakeSpec(1).m_id,
                      std::make_shared<const std::string>("whole"));
  const AttemptReport report = ledger.CancelIfNotStarted(MakeSpec(1));
  EXPECT_EQ(report.m_state, AttemptState::kAnswered);
  ASSERT_NE(report.m_response, nullptr);
  EXPECT_EQ(*report.m_response, "whole");
}

}  // namespace
}  // namespace sequoiastage
