#include "sequoiastage/execution/attempt_ledger.h"

#include <algorithm>
#include <utility>

namespace sequoiastage {

namespace {

bool HasEnded(AttemptState state) {
  return state != AttemptState::kQueued && state != AttemptState::kRunning;
}

}  // namespace

const char* ToString(AttemptState state) {
  switch (state) {
    case AttemptState::kRefused:
      return "refused";
    case AttemptState::kQueued:
      return "queued";
    case AttemptState::kRunning:
      return "running";
    case AttemptState::kAnswered:
      return "answered";
    case AttemptState::kFailed:
      return "failed";
    case AttemptState::kCancelled:
      return "cancelled";
  }
  return "invalid";
}

bool IsNeverStarted(AttemptState state) {
  return state == AttemptState::kRefused || state == AttemptState::kCancelled;
}

const char* ToString(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kNone:
      return "none";
    case RefusalReason::kWrongIncarnation:
      return "wrong incarnation";
    case RefusalReason::kPastDeadline:
      return "past deadline";
    case RefusalReason::kTooOldToTell:
      return "too old to tell";
    case RefusalReason::kBusy:
      return "busy";
    case RefusalReason::kLedgerFull:
      return "ledger full";
  }
  return "invalid";
}

bool IsProofOfNotStarted(RefusalReason reason) {
  return reason == RefusalReason::kPastDeadline ||
         reason == RefusalReason::kBusy || reason == RefusalReason::kLedgerFull;
}

AttemptLedger::AttemptLedger(Incarnation own, AttemptLedgerOptions options)
    : m_own(own), m_options(options) {}

Admission AttemptLedger::Admit(const AttemptTicket& ticket, WallTime now) {
  m_now = std::max(m_now, now);
  const auto refuse = [this](RefusalReason reason) {
    ++m_stats.m_refused;
    return Admission{.m_verdict = Admission::Verdict::kRefused,
                     .m_reason = reason,
                     .m_state = AttemptState::kRefused};
  };
  if (ticket.m_egress != m_own) {
    return refuse(RefusalReason::kWrongIncarnation);
  }
  if (const Entry* entry = Find(ticket.m_id)) {
    ++m_stats.m_duplicates;
    return {.m_verdict = Admission::Verdict::kDuplicate,
            .m_reason = RefusalReason::kNone,
            .m_state = entry->m_state,
            .m_answer = entry->m_answer};
  }
  if (IsTooOld(ticket)) {
    return refuse(RefusalReason::kTooOldToTell);
  }
  if (ticket.m_deadline <= m_now) {
    return refuse(RefusalReason::kPastDeadline);
  }
  if (!Insert(ticket, AttemptState::kQueued)) {
    return refuse(RefusalReason::kLedgerFull);
  }
  return {.m_verdict = Admission::Verdict::kNew,
          .m_reason = RefusalReason::kNone,
          .m_state = AttemptState::kQueued};
}

bool AttemptLedger::MarkRunning(const AttemptId& id, WallTime now) {
  m_now = std::max(m_now, now);
  Entry* entry = Find(id);
  if (entry == nullptr || entry->m_state != AttemptState::kQueued) {
    return false;
  }
  if (entry->m_ticket.m_deadline <= m_now) {
    MarkRefused(id);
    return false;
  }
  entry->m_state = AttemptState::kRunning;
  ++m_stats.m_started;
  return true;
}

bool AttemptLedger::MarkRefused(const AttemptId& id) {
  Entry* entry = Find(id);
  if (entry == nullptr || entry->m_state != AttemptState::kQueued) {
    return false;
  }
  entry->m_state = AttemptState::kRefused;
  ++m_stats.m_refused;
  return true;
}

void AttemptLedger::MarkAnswered(const AttemptId& id, StoredAnswer answer) {
  Entry* entry = Find(id);
  if (entry == nullptr || entry->m_state != AttemptState::kRunning) {
    return;
  }
  entry->m_state = AttemptState::kAnswered;
  StoreAnswer(*entry, std::move(answer));
}

void AttemptLedger::MarkFailed(const AttemptId& id) {
  Entry* entry = Find(id);
  if (entry != nullptr && entry->m_state == AttemptState::kRunning) {
    entry->m_state = AttemptState::kFailed;
  }
}

void AttemptLedger::MarkNotStarted(const AttemptId& id) {
  Entry* entry = Find(id);
  if (entry != nullptr && entry->m_state == AttemptState::kRunning) {
    entry->m_state = AttemptState::kRefused;
    ++m_stats.m_refused;
  }
}

AttemptReport AttemptLedger::CancelIfNotStarted(const AttemptTicket& ticket) {
  if (ticket.m_egress != m_own) {
    return {};
  }
  Entry* entry = Find(ticket.m_id);
  if (entry == nullptr) {
    if (IsTooOld(ticket)) {
      return {};
    }
    // A full ledger raises the floor above the attempt, which also keeps every
    // copy of it from starting.
    Insert(ticket, AttemptState::kCancelled);
    ++m_stats.m_cancelled;
    return {.m_knowledge = AttemptReport::Knowledge::kKnown,
            .m_state = AttemptState::kCancelled};
  }
  if (entry->m_state == AttemptState::kQueued) {
    entry->m_state = AttemptState::kCancelled;
    ++m_stats.m_cancelled;
  }
  return {.m_knowledge = AttemptReport::Knowledge::kKnown,
          .m_state = entry->m_state,
          .m_answer = entry->m_answer};
}

AttemptLedgerStats AttemptLedger::Stats() const {
  AttemptLedgerStats stats = m_stats;
  stats.m_attempts = m_entries.size();
  stats.m_floors = m_floors.size();
  return stats;
}

AttemptLedger::Entry* AttemptLedger::Find(const AttemptId& id) {
  const auto found = m_index.find(id);
  return found == m_index.end() ? nullptr : &*found->second;
}

bool AttemptLedger::IsTooOld(const AttemptTicket& ticket) const {
  const auto found = m_floors.find(ticket.m_id.m_ingress);
  if (found == m_floors.end()) {
    return ticket.m_deadline <= m_unlisted_deadline;
  }
  const Floor& floor = found->second;
  const Position position{.m_incarnation = ticket.m_id.m_incarnation,
                          .m_counter = ticket.m_id.m_counter};
  return position <= floor.m_position ||
         ticket.m_deadline <= floor.m_refused_deadline;
}

// On false there is no room and the attempt is already forgotten.
bool AttemptLedger::Insert(const AttemptTicket& ticket, AttemptState state) {
  if (!MakeRoom()) {
    Forget(ticket);
    return false;
  }
  m_entries.push_back({.m_ticket = ticket,
                       .m_state = state,
                       .m_answer = nullptr,
                       .m_answer_place = m_answered.end()});
  m_index.emplace(ticket.m_id, std::prev(m_entries.end()));
  return true;
}

bool AttemptLedger::MakeRoom() {
  if (m_entries.size() < m_options.m_max_attempts) {
    return true;
  }
  const auto oldest =
      std::find_if(m_entries.begin(), m_entries.end(),
                   [](const Entry& e) { return HasEnded(e.m_state); });
  if (oldest == m_entries.end()) {
    return false;
  }
  // Attempts that have not ended leave the front, so that the next search does
  // not pass them again.
  m_entries.splice(m_entries.end(), m_entries, m_entries.begin(), oldest);
  DropAnswer(*oldest);
  Forget(oldest->m_ticket);
  m_index.erase(oldest->m_ticket.m_id);
  m_entries.erase(oldest);
  return true;
}

void AttemptLedger::Forget(const AttemptTicket& ticket) {
  ++m_stats.m_forgotten;
  const NodeId ingress = ticket.m_id.m_ingress;
  const Position position{.m_incarnation = ticket.m_id.m_incarnation,
                          .m_counter = ticket.m_id.m_counter};
  auto found = m_floors.find(ingress);
  if (found == m_floors.end()) {
    if (m_floors.size() >= m_options.m_max_floors) {
      DropEarliestFloor();
    }
    found =
        m_floors
            .emplace(ingress, Floor{.m_position = position,
                                    .m_latest_deadline = ticket.m_deadline,
                                    .m_refused_deadline = m_unlisted_deadline})
            .first;
  }
  Floor& floor = found->second;
  floor.m_position = std::max(floor.m_position, position);
  floor.m_latest_deadline =
      std::max(floor.m_latest_deadline, ticket.m_deadline);
}

void AttemptLedger::DropEarliestFloor() {
  const auto earliest = std::min_element(
      m_floors.begin(), m_floors.end(),
      [](const auto& left, const auto& right) {
        return left.second.m_latest_deadline < right.second.m_latest_deadline;
      });
  if (earliest == m_floors.end()) {
    return;
  }
  m_unlisted_deadline =
      std::max(m_unlisted_deadline, earliest->second.m_latest_deadline);
  m_floors.erase(earliest);
}

void AttemptLedger::StoreAnswer(Entry& entry, StoredAnswer answer) {
  if (answer == nullptr || answer->size() > m_options.m_max_answer_bytes) {
    return;
  }
  m_stats.m_answer_bytes += answer->size();
  entry.m_answer = std::move(answer);
  entry.m_answer_place =
      m_answered.insert(m_answered.end(), entry.m_ticket.m_id);
  while (m_stats.m_answer_bytes > m_options.m_max_answer_bytes) {
    DropAnswer(*Find(m_answered.front()));
  }
}

void AttemptLedger::DropAnswer(Entry& entry) {
  if (entry.m_answer != nullptr) {
    m_stats.m_answer_bytes -= entry.m_answer->size();
    entry.m_answer = nullptr;
    m_answered.erase(entry.m_answer_place);
  }
}

}  // namespace sequoiastage
