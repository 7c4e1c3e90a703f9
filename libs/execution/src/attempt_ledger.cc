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
    case RefusalReason::kTooOld:
      return "too old to tell";
    case RefusalReason::kBusy:
      return "busy";
    case RefusalReason::kLedgerFull:
      return "ledger full";
  }
  return "invalid";
}

bool ProvesNotStarted(RefusalReason reason) {
  return reason == RefusalReason::kPastDeadline ||
         reason == RefusalReason::kBusy || reason == RefusalReason::kLedgerFull;
}

AttemptLedger::AttemptLedger(Incarnation own_incarnation,
                             AttemptLedgerOptions options)
    : m_own_incarnation(own_incarnation), m_options(options) {}

Admission AttemptLedger::Admit(const AttemptSpec& spec, WallTime now) {
  m_now = std::max(m_now, now);
  const auto refuse = [this](RefusalReason reason) {
    ++m_stats.m_refused;
    return Admission{.m_verdict = Admission::Verdict::kRefused,
                     .m_reason = reason,
                     .m_state = AttemptState::kRefused};
  };
  if (spec.m_egress != m_own_incarnation) {
    return refuse(RefusalReason::kWrongIncarnation);
  }
  if (const Entry* entry = Find(spec.m_id)) {
    ++m_stats.m_duplicates;
    return {.m_verdict = Admission::Verdict::kDuplicate,
            .m_reason = RefusalReason::kNone,
            .m_state = entry->m_state,
            .m_response = entry->m_response};
  }
  if (IsTooOld(spec)) {
    return refuse(RefusalReason::kTooOld);
  }
  if (spec.m_deadline <= m_now) {
    return refuse(RefusalReason::kPastDeadline);
  }
  if (!Insert(spec, AttemptState::kQueued)) {
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
  if (entry->m_spec.m_deadline <= m_now) {
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

void AttemptLedger::MarkAnswered(const AttemptId& id, StoredResponse response) {
  Entry* entry = Find(id);
  if (entry == nullptr || entry->m_state != AttemptState::kRunning) {
    return;
  }
  entry->m_state = AttemptState::kAnswered;
  StoreResponse(*entry, std::move(response));
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

AttemptReport AttemptLedger::CancelIfNotStarted(const AttemptSpec& spec) {
  if (spec.m_egress != m_own_incarnation) {
    return {};
  }
  Entry* entry = Find(spec.m_id);
  if (entry == nullptr) {
    if (IsTooOld(spec)) {
      return {};
    }
    // A full ledger raises the floor to the attempt instead, which also
    // prevents the start of every duplicate.
    Insert(spec, AttemptState::kCancelled);
    ++m_stats.m_cancelled;
    return {.m_certainty = AttemptReport::Certainty::kKnown,
            .m_state = AttemptState::kCancelled};
  }
  if (entry->m_state == AttemptState::kQueued) {
    entry->m_state = AttemptState::kCancelled;
    ++m_stats.m_cancelled;
  }
  return {.m_certainty = AttemptReport::Certainty::kKnown,
          .m_state = entry->m_state,
          .m_response = entry->m_response};
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

bool AttemptLedger::IsTooOld(const AttemptSpec& spec) const {
  const auto found = m_floors.find(spec.m_id.m_ingress);
  if (found == m_floors.end()) {
    return spec.m_deadline <= m_unlisted_deadline;
  }
  const Floor& floor = found->second;
  const Position position{.m_incarnation = spec.m_id.m_incarnation,
                          .m_counter = spec.m_id.m_counter};
  return position <= floor.m_position ||
         spec.m_deadline <= floor.m_refused_deadline;
}

// On false the ledger is full and the floor now covers the attempt.
bool AttemptLedger::Insert(const AttemptSpec& spec, AttemptState state) {
  if (!MakeRoom()) {
    RaiseFloor(spec);
    return false;
  }
  m_entries.push_back({.m_spec = spec,
                       .m_state = state,
                       .m_response = nullptr,
                       .m_response_position = m_response_order.end()});
  m_index.emplace(spec.m_id, std::prev(m_entries.end()));
  return true;
}

bool AttemptLedger::MakeRoom() {
  if (m_entries.size() < m_options.m_max_attempts) {
    return true;
  }
  const auto oldest_ended =
      std::find_if(m_entries.begin(), m_entries.end(),
                   [](const Entry& e) { return HasEnded(e.m_state); });
  if (oldest_ended == m_entries.end()) {
    return false;
  }
  // Moves the attempts that have not ended from the front to the back, so that
  // the next search doesn't visit them again.
  m_entries.splice(m_entries.end(), m_entries, m_entries.begin(), oldest_ended);
  DropResponse(*oldest_ended);
  RaiseFloor(oldest_ended->m_spec);
  m_index.erase(oldest_ended->m_spec.m_id);
  m_entries.erase(oldest_ended);
  return true;
}

void AttemptLedger::RaiseFloor(const AttemptSpec& spec) {
  ++m_stats.m_evicted;
  const NodeId ingress = spec.m_id.m_ingress;
  const Position position{.m_incarnation = spec.m_id.m_incarnation,
                          .m_counter = spec.m_id.m_counter};
  auto found = m_floors.find(ingress);
  if (found == m_floors.end()) {
    if (m_floors.size() >= m_options.m_max_floors) {
      DropEarliestFloor();
    }
    found =
        m_floors
            .emplace(ingress, Floor{.m_position = position,
                                    .m_latest_deadline = spec.m_deadline,
                                    .m_refused_deadline = m_unlisted_deadline})
            .first;
  }
  Floor& floor = found->second;
  floor.m_position = std::max(floor.m_position, position);
  floor.m_latest_deadline = std::max(floor.m_latest_deadline, spec.m_deadline);
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

void AttemptLedger::StoreResponse(Entry& entry, StoredResponse response) {
  if (response == nullptr ||
      response->size() > m_options.m_max_response_bytes) {
    return;
  }
  m_stats.m_response_bytes += response->size();
  entry.m_response = std::move(response);
  entry.m_response_position =
      m_response_order.insert(m_response_order.end(), entry.m_spec.m_id);
  while (m_stats.m_response_bytes > m_options.m_max_response_bytes) {
    DropResponse(*Find(m_response_order.front()));
  }
}

void AttemptLedger::DropResponse(Entry& entry) {
  if (entry.m_response != nullptr) {
    m_stats.m_response_bytes -= entry.m_response->size();
    entry.m_response = nullptr;
    m_response_order.erase(entry.m_response_position);
  }
}

}  // namespace sequoiastage
