#include "sequoiastage/execution/key_ledger.h"

#include <algorithm>
#include <utility>

namespace sequoiastage {

const char* ToString(KeyVerdict verdict) {
  switch (verdict) {
    case KeyVerdict::kDispatch:
      return "dispatch";
    case KeyVerdict::kWait:
      return "wait";
    case KeyVerdict::kAnswered:
      return "answered";
    case KeyVerdict::kAnswerDropped:
      return "answer dropped";
    case KeyVerdict::kUnknown:
      return "unknown";
    case KeyVerdict::kUnused:
      return "unused";
    case KeyVerdict::kMismatch:
      return "mismatch";
    case KeyVerdict::kOtherOwner:
      return "other owner";
    case KeyVerdict::kOtherIncarnation:
      return "other incarnation";
    case KeyVerdict::kForged:
      return "forged";
    case KeyVerdict::kExpired:
      return "expired";
    case KeyVerdict::kFull:
      return "full";
  }
  return "invalid";
}

KeyDecision KeyLedger::Present(const KeyIssuer& issuer,
                               const IdempotencyKey& key,
                               const RequestFingerprint& fingerprint,
                               KeyWaiter waiter,
                               WallTime now) {
  if (const auto rejected = Reject(issuer, key, now)) {
    return {.m_verdict = *rejected};
  }
  const auto found = m_entries.find(key.m_counter);
  if (found != m_entries.end()) {
    return DecideKnown(found->second, fingerprint, waiter);
  }
  if (m_entries.size() >= m_options.m_max_keys) {
    return {.m_verdict = KeyVerdict::kFull};
  }
  m_entries.emplace(key.m_counter, Entry{.m_fingerprint = fingerprint,
                                         .m_expiry = key.m_expiry,
                                         .m_waiters = {},
                                         .m_answer_place = m_answered.end()});
  m_by_expiry.emplace(key.m_expiry, key.m_counter);
  ++m_stats.m_dispatched;
  return {.m_verdict = KeyVerdict::kDispatch};
}

KeyDecision KeyLedger::Look(const KeyIssuer& issuer,
                            const IdempotencyKey& key,
                            WallTime now) {
  if (const auto rejected = Reject(issuer, key, now)) {
    return {.m_verdict = *rejected};
  }
  const auto found = m_entries.find(key.m_counter);
  if (found == m_entries.end()) {
    return {.m_verdict = KeyVerdict::kUnused};
  }
  const Entry& entry = found->second;
  switch (entry.m_state) {
    case State::kRunning:
      return {.m_verdict = KeyVerdict::kWait};
    case State::kNotRun:
      return {.m_verdict = KeyVerdict::kUnused};
    case State::kUnknown:
      return {.m_verdict = KeyVerdict::kUnknown};
    case State::kAnswered:
      break;
  }
  // The answer itself goes only to those who can show the request.
  return {.m_verdict = KeyVerdict::kAnswered};
}

std::vector<KeyWaiter> KeyLedger::Resolve(const IdempotencyKey& key,
                                          RequestOutcome outcome,
                                          StoredAnswer answer) {
  const auto found = m_entries.find(key.m_counter);
  if (found == m_entries.end() || found->second.m_state != State::kRunning) {
    return {};
  }
  Entry& entry = found->second;
  switch (outcome) {
    case RequestOutcome::kAnswered:
      entry.m_state = State::kAnswered;
      StoreAnswer(key.m_counter, entry, std::move(answer));
      break;
    case RequestOutcome::kNotRun:
      entry.m_state = State::kNotRun;
      break;
    case RequestOutcome::kUnknown:
      entry.m_state = State::kUnknown;
      break;
  }
  return std::exchange(entry.m_waiters, {});
}

void KeyLedger::Leave(const IdempotencyKey& key, KeyWaiter waiter) {
  const auto found = m_entries.find(key.m_counter);
  if (found == m_entries.end()) {
    return;
  }
  auto& waiters = found->second.m_waiters;
  waiters.erase(std::remove(waiters.begin(), waiters.end(), waiter),
                waiters.end());
}

KeyLedgerStats KeyLedger::Stats() const {
  KeyLedgerStats stats = m_stats;
  stats.m_keys = m_entries.size();
  return stats;
}

// Whether the key can be decided here at all.
std::optional<KeyVerdict> KeyLedger::Reject(const KeyIssuer& issuer,
                                            const IdempotencyKey& key,
                                            WallTime now) {
  m_now = std::max(m_now, now);
  DropExpired();
  if (key.m_owner != issuer.Owner()) {
    return KeyVerdict::kOtherOwner;
  }
  if (key.m_incarnation != issuer.OwnIncarnation()) {
    return KeyVerdict::kOtherIncarnation;
  }
  if (!issuer.IsOwn(key)) {
    return KeyVerdict::kForged;
  }
  if (key.m_expiry <= m_now) {
    return KeyVerdict::kExpired;
  }
  return std::nullopt;
}

KeyDecision KeyLedger::DecideKnown(Entry& entry,
                                   const RequestFingerprint& fingerprint,
                                   KeyWaiter waiter) {
  if (entry.m_fingerprint != fingerprint) {
    ++m_stats.m_mismatched;
    return {.m_verdict = KeyVerdict::kMismatch};
  }
  switch (entry.m_state) {
    case State::kRunning:
      entry.m_waiters.push_back(waiter);
      return {.m_verdict = KeyVerdict::kWait};
    case State::kNotRun:
      entry.m_state = State::kRunning;
      ++m_stats.m_dispatched;
      return {.m_verdict = KeyVerdict::kDispatch};
    case State::kUnknown:
      return {.m_verdict = KeyVerdict::kUnknown};
    case State::kAnswered:
      break;
  }
  if (entry.m_answer == nullptr) {
    return {.m_verdict = KeyVerdict::kAnswerDropped};
  }
  ++m_stats.m_replayed;
  return {.m_verdict = KeyVerdict::kAnswered, .m_answer = entry.m_answer};
}

// A running key stays until it is resolved: somebody may wait for it.
void KeyLedger::DropExpired() {
  auto next = m_by_expiry.begin();
  while (next != m_by_expiry.end() && next->first <= m_now) {
    const auto found = m_entries.find(next->second);
    if (found->second.m_state == State::kRunning) {
      ++next;
      continue;
    }
    DropAnswer(found->second);
    m_entries.erase(found);
    next = m_by_expiry.erase(next);
  }
}

void KeyLedger::StoreAnswer(uint64_t counter,
                            Entry& entry,
                            StoredAnswer answer) {
  if (answer == nullptr || answer->size() > m_options.m_max_answer_bytes) {
    return;
  }
  m_stats.m_answer_bytes += answer->size();
  entry.m_answer = std::move(answer);
  entry.m_answer_place = m_answered.insert(m_answered.end(), counter);
  while (m_stats.m_answer_bytes > m_options.m_max_answer_bytes) {
    DropAnswer(m_entries.at(m_answered.front()));
  }
}

void KeyLedger::DropAnswer(Entry& entry) {
  if (entry.m_answer != nullptr) {
    m_stats.m_answer_bytes -= entry.m_answer->size();
    entry.m_answer = nullptr;
    m_answered.erase(entry.m_answer_place);
  }
}

}  // namespace sequoiastage
