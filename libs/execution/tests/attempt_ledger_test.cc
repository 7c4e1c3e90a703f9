#include "sequoiastage/execution/attempt_ledger.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <map>
#include <set>
#include <vector>

namespace sequoiastage {
namespace {

constexpr Incarnation kOwn(7);

WallTime At(int64_t ms) {
  return WallTime(std::chrono::milliseconds(ms));
}

AttemptTicket Ticket(uint64_t counter,
                     int64_t deadline_ms = 1000,
                     uint32_t ingress = 1,
                     uint64_t incarnation = 1) {
  return {.m_id = {.m_ingress = NodeId(Endpoint{.m_ip = ingress, .m_port = 1}),
                   .m_incarnation = Incarnation(incarnation),
                   .m_counter = counter},
          .m_egress = kOwn,
          .m_deadline = At(deadline_ms)};
}

// Bounded in the obvious way: the oldest attempt is forgotten without a trace,
// and a cancellation is only noted for attempts that it knows.
class NaiveLedger {
 public:
  NaiveLedger(Incarnation own, AttemptLedgerOptions options)
      : m_own(own), m_options(options) {}

  Admission Admit(const AttemptTicket& ticket, WallTime now) {
    if (ticket.m_egress != m_own || ticket.m_deadline <= now) {
      return {.m_reason = RefusalReason::kPastDeadline};
    }
    const auto found = m_states.find(ticket.m_id);
    if (found != m_states.end()) {
      return {.m_verdict = Admission::Verdict::kDuplicate,
              .m_state = found->second};
    }
    m_states[ticket.m_id] = AttemptState::kQueued;
    m_order.push_back(ticket.m_id);
    if (m_order.size() > m_options.m_max_attempts) {
      m_states.erase(m_order.front());
      m_order.pop_front();
    }
    return {.m_verdict = Admission::Verdict::kNew,
            .m_state = AttemptState::kQueued};
  }

  bool MarkRunning(const AttemptId& id, WallTime /*now*/) {
    return Change(id, AttemptState::kQueued, AttemptState::kRunning);
  }
  bool MarkRefused(const AttemptId& id) {
    return Change(id, AttemptState::kQueued, AttemptState::kRefused);
  }
  void MarkAnswered(const AttemptId& id, const StoredAnswer& /*answer*/) {
    Change(id, AttemptState::kRunning, AttemptState::kAnswered);
  }
  void MarkFailed(const AttemptId& id) {
    Change(id, AttemptState::kRunning, AttemptState::kFailed);
  }
  void MarkNotStarted(const AttemptId& id) {
    Change(id, AttemptState::kRunning, AttemptState::kRefused);
  }

  AttemptReport CancelIfNotStarted(const AttemptTicket& ticket) {
    Change(ticket.m_id, AttemptState::kQueued, AttemptState::kCancelled);
    const auto found = m_states.find(ticket.m_id);
    return {.m_knowledge = AttemptReport::Knowledge::kKnown,
            .m_state = found == m_states.end() ? AttemptState::kCancelled
                                               : found->second};
  }

 private:
  bool Change(const AttemptId& id, AttemptState from, AttemptState to) {
    const auto found = m_states.find(id);
    if (found == m_states.end() || found->second != from) {
      return false;
    }
    found->second = to;
    return true;
  }

  Incarnation m_own;
  AttemptLedgerOptions m_options;
  std::map<AttemptId, AttemptState> m_states;
  std::deque<AttemptId> m_order;
};

// One step of a schedule. Numbers are taken modulo what there is to choose
// from.
struct Step {
  uint8_t m_action = 0;
  uint8_t m_ticket = 0;
  uint8_t m_elapsed_ms = 0;
};

std::vector<AttemptTicket> AllTickets() {
  std::vector<AttemptTicket> tickets;
  for (uint32_t ingress = 1; ingress <= 4; ++ingress) {
    for (uint64_t incarnation = 1; incarnation <= 2; ++incarnation) {
      for (uint64_t counter = 1; counter <= 6; ++counter) {
        const uint64_t spread =
            uint64_t{ingress} * 31 + incarnation * 17 + counter * 7;
        const auto deadline = static_cast<int64_t>(50 + 37 * (spread % 29));
        tickets.push_back(Ticket(counter, deadline, ingress, incarnation));
        if (counter == 6) {
          tickets.back().m_egress = Incarnation(kOwn.Get() - 1);
        }
      }
    }
  }
  return tickets;
}

// Runs a schedule and returns the first broken promise, or an empty text.
template <class Ledger>
std::string BrokenPromise(const std::vector<Step>& schedule) {
  const AttemptLedgerOptions options{
      .m_max_attempts = 5, .m_max_floors = 2, .m_max_answer_bytes = 8};
  Ledger ledger(kOwn, options);
  const auto tickets = AllTickets();
  std::set<AttemptId> started;
  std::set<AttemptId> may_have_run;
  std::set<AttemptId> executed;
  std::set<AttemptId> told_not_run;
  int64_t now_ms = 0;
  for (const Step& step : schedule) {
    now_ms += step.m_elapsed_ms % 16;
    const AttemptTicket& ticket = tickets[step.m_ticket % tickets.size()];
    const AttemptId& id = ticket.m_id;
    switch (step.m_action % 9) {
      case 0:
      case 1: {
        const Admission admission = ledger.Admit(ticket, At(now_ms));
        if (admission.m_verdict == Admission::Verdict::kRefused &&
            IsProofOfNotStarted(admission.m_reason)) {
          told_not_run.insert(id);
        }
        break;
      }
      case 2:
        if (!ledger.MarkRunning(id, At(now_ms))) {
          break;
        }
        may_have_run.insert(id);
        if (!started.insert(id).second) {
          return "started twice: " + ToString(id);
        }
        if (ticket.m_egress != kOwn) {
          return "started for another incarnation: " + ToString(id);
        }
        if (ticket.m_deadline <= At(now_ms)) {
          return "started past its deadline: " + ToString(id);
        }
        break;
      case 3:
        if (ledger.MarkRefused(id)) {
          told_not_run.insert(id);
        }
        break;
      case 4:
        ledger.MarkAnswered(id, std::make_shared<const std::string>("abc"));
        break;
      case 5:
        ledger.MarkFailed(id);
        break;
      case 6:
        // Its connection is open: the first byte is sent.
        if (may_have_run.count(id) != 0) {
          executed.insert(id);
        }
        break;
      case 7:
        // No connection could be opened.
        if (started.count(id) != 0 && executed.count(id) == 0) {
          ledger.MarkNotStarted(id);
          may_have_run.erase(id);
        }
        break;
      default: {
        const AttemptReport report = ledger.CancelIfNotStarted(ticket);
        if (report.m_knowledge == AttemptReport::Knowledge::kKnown &&
            IsNeverStarted(report.m_state)) {
          told_not_run.insert(id);
        }
      }
    }
    if (told_not_run.count(id) != 0 && may_have_run.count(id) != 0) {
      return "told not run, but started: " + ToString(id);
    }
  }
  return "";
}

rc::Gen<std::vector<Step>> Schedules() {
  const auto step = rc::gen::build<Step>(
      rc::gen::set(&Step::m_action, rc::gen::arbitrary<uint8_t>()),
      rc::gen::set(&Step::m_ticket, rc::gen::arbitrary<uint8_t>()),
      rc::gen::set(&Step::m_elapsed_ms, rc::gen::inRange<uint8_t>(0, 4)));
  return rc::gen::resize(
      1500, rc::gen::container<std::vector<Step>>(rc::gen::resize(255, step)));
}

RC_GTEST_PROP(AttemptLedgerTest, KeepsItsPromisesUnderAnySchedule, ()) {
  const auto schedule = *Schedules();
  RC_ASSERT(BrokenPromise<AttemptLedger>(schedule) == "");
}

TEST(AttemptLedgerTest, NaiveLedgerBreaksThem) {
  EXPECT_FALSE(rc::check("the naive ledger, expected to be falsified", [] {
    const auto schedule = *Schedules();
    RC_ASSERT(BrokenPromise<NaiveLedger>(schedule) == "");
  }));
}

RC_GTEST_PROP(AttemptLedgerTest, MemoryIsBounded, ()) {
  const AttemptLedgerOptions options{
      .m_max_attempts = 4, .m_max_floors = 3, .m_max_answer_bytes = 10};
  AttemptLedger ledger(kOwn, options);
  const auto ingresses = *rc::gen::container<std::vector<uint32_t>>(
      200, rc::gen::inRange<uint32_t>(1, 20));
  uint64_t counter = 0;
  for (const uint32_t ingress : ingresses) {
    const AttemptTicket ticket = Ticket(++counter, 1000, ingress);
    ledger.Admit(ticket, At(0));
    if (ledger.MarkRunning(ticket.m_id, At(0))) {
      const auto length = *rc::gen::inRange<size_t>(0, 12);
      ledger.MarkAnswered(ticket.m_id, std::make_shared<const std::string>(
                                           std::string(length, 'x')));
    }
    const AttemptLedgerStats stats = ledger.Stats();
    RC_ASSERT(stats.m_attempts <= options.m_max_attempts);
    RC_ASSERT(stats.m_floors <= options.m_max_floors);
    RC_ASSERT(stats.m_answer_bytes <= options.m_max_answer_bytes);
  }
}

TEST(AttemptLedgerTest, RefusesWhatWasForgottenAndTakesWhatIsNewer) {
  AttemptLedger ledger(kOwn, {.m_max_attempts = 2});
  for (uint64_t counter = 1; counter <= 4; ++counter) {
    ASSERT_EQ(ledger.Admit(Ticket(counter), At(0)).m_verdict,
              Admission::Verdict::kNew);
    ASSERT_TRUE(ledger.MarkRunning(Ticket(counter).m_id, At(0)));
    ledger.MarkFailed(Ticket(counter).m_id);
  }
  EXPECT_EQ(ledger.Admit(Ticket(1), At(0)).m_reason,
            RefusalReason::kTooOldToTell);
  EXPECT_EQ(ledger.CancelIfNotStarted(Ticket(2)).m_knowledge,
            AttemptReport::Knowledge::kCannotTell);
  EXPECT_EQ(ledger.Admit(Ticket(3), At(0)).m_verdict,
            Admission::Verdict::kDuplicate);
  EXPECT_EQ(ledger.Admit(Ticket(1, 1000, 1, 2), At(0)).m_verdict,
            Admission::Verdict::kNew);
}

TEST(AttemptLedgerTest, DroppedFloorRefusesOnlyDeadlinesUpToItsOwn) {
  AttemptLedger ledger(kOwn, {.m_max_attempts = 1, .m_max_floors = 1});
  for (uint32_t ingress = 1; ingress <= 3; ++ingress) {
    const AttemptTicket ticket = Ticket(1, int64_t{100} * ingress, ingress);
    ASSERT_EQ(ledger.Admit(ticket, At(0)).m_verdict, Admission::Verdict::kNew);
    ASSERT_TRUE(ledger.MarkRefused(ticket.m_id));
  }
  EXPECT_EQ(ledger.Admit(Ticket(1, 100, 1), At(0)).m_reason,
            RefusalReason::kTooOldToTell);
  EXPECT_EQ(ledger.Admit(Ticket(9, 101, 1), At(0)).m_verdict,
            Admission::Verdict::kNew);
}

TEST(AttemptLedgerTest, FullOfRunningAttemptsRefusesForGood) {
  AttemptLedger ledger(kOwn, {.m_max_attempts = 1});
  ASSERT_EQ(ledger.Admit(Ticket(1), At(0)).m_verdict, Admission::Verdict::kNew);
  ASSERT_TRUE(ledger.MarkRunning(Ticket(1).m_id, At(0)));
  EXPECT_EQ(ledger.Admit(Ticket(2), At(0)).m_reason,
            RefusalReason::kLedgerFull);
  ledger.MarkFailed(Ticket(1).m_id);
  EXPECT_EQ(ledger.Admit(Ticket(2), At(0)).m_verdict,
            Admission::Verdict::kRefused);
}

TEST(AttemptLedgerTest, CancelledBeforeItsFirstCopyIsNeverStarted) {
  AttemptLedger ledger(kOwn);
  EXPECT_EQ(ledger.CancelIfNotStarted(Ticket(1)).m_state,
            AttemptState::kCancelled);
  EXPECT_EQ(ledger.Admit(Ticket(1), At(0)).m_verdict,
            Admission::Verdict::kDuplicate);
  EXPECT_FALSE(ledger.MarkRunning(Ticket(1).m_id, At(0)));
}

TEST(AttemptLedgerTest, AnotherRunOfTheEgressCannotTell) {
  AttemptLedger ledger(kOwn);
  AttemptTicket ticket = Ticket(1);
  ticket.m_egress = Incarnation(6);
  EXPECT_EQ(ledger.Admit(ticket, At(0)).m_reason,
            RefusalReason::kWrongIncarnation);
  EXPECT_FALSE(IsProofOfNotStarted(RefusalReason::kWrongIncarnation));
  EXPECT_EQ(ledger.CancelIfNotStarted(ticket).m_knowledge,
            AttemptReport::Knowledge::kCannotTell);
}

TEST(AttemptLedgerTest, ClockSetBackRevivesNoDeadline) {
  AttemptLedger ledger(kOwn);
  ASSERT_EQ(ledger.Admit(Ticket(1, 100), At(100)).m_reason,
            RefusalReason::kPastDeadline);
  EXPECT_EQ(ledger.Admit(Ticket(1, 100), At(50)).m_reason,
            RefusalReason::kPastDeadline);
}

TEST(AttemptLedgerTest, RunningAttemptOfWhichNothingWasSentIsNeverStarted) {
  AttemptLedger ledger(kOwn);
  ledger.Admit(Ticket(1), At(0));
  ASSERT_TRUE(ledger.MarkRunning(Ticket(1).m_id, At(0)));
  ledger.MarkNotStarted(Ticket(1).m_id);
  EXPECT_TRUE(IsNeverStarted(ledger.CancelIfNotStarted(Ticket(1)).m_state));
  const Admission copy = ledger.Admit(Ticket(1), At(0));
  EXPECT_EQ(copy.m_verdict, Admission::Verdict::kDuplicate);
  EXPECT_TRUE(IsNeverStarted(copy.m_state));
  EXPECT_FALSE(ledger.MarkRunning(Ticket(1).m_id, At(0)));
}

TEST(AttemptLedgerTest, OnlyARunningAttemptBecomesNotStarted) {
  AttemptLedger ledger(kOwn);
  ledger.Admit(Ticket(1), At(0));
  ledger.MarkNotStarted(Ticket(1).m_id);
  ASSERT_TRUE(ledger.MarkRunning(Ticket(1).m_id, At(0)));
  ledger.MarkFailed(Ticket(1).m_id);
  ledger.MarkNotStarted(Ticket(1).m_id);
  EXPECT_EQ(ledger.CancelIfNotStarted(Ticket(1)).m_state,
            AttemptState::kFailed);
}

TEST(AttemptLedgerTest, QueryReturnsTheStoredAnswer) {
  AttemptLedger ledger(kOwn);
  ledger.Admit(Ticket(1), At(0));
  ASSERT_TRUE(ledger.MarkRunning(Ticket(1).m_id, At(0)));
  EXPECT_EQ(ledger.CancelIfNotStarted(Ticket(1)).m_state,
            AttemptState::kRunning);
  ledger.MarkAnswered(Ticket(1).m_id,
                      std::make_shared<const std::string>("whole"));
  const AttemptReport report = ledger.CancelIfNotStarted(Ticket(1));
  EXPECT_EQ(report.m_state, AttemptState::kAnswered);
  ASSERT_NE(report.m_answer, nullptr);
  EXPECT_EQ(*report.m_answer, "whole");
}

}  // namespace
}  // namespace sequoiastage
