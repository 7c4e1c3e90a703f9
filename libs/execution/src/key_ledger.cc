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
    case KeyVerdict::kResponseDropped:
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

KeyDecision KeyLedger::Submit(const KeyIssuer& issuer,
                              const IdempotencyKey& key,
                              const RequestFingerprint& fingerprint,
                              KeyWaiter waiter,
                              WallTime now) {
  if (const auto rejected = CheckKey(issuer, key, now)) {
    return {.m_verdict = *rejected};
  }
  const auto found = m_entries.find(key.m_counter);
  if (found != m_entries.end()) {
    return DecideUsedKey(found->second, fingerprint, waiter);
  }
  if (m_entries.size() >= m_options.m_max_keys) {
    return {.m_verdict = KeyVerdict::kFull};
  }
  m_entries.emplace(key.m_counter,
                    Entry{.m_fingerprint = fingerprint,
                          .m_expiry = key.m_expiry,
                          .m_waiters = {},
                          .m_response_position = m_response_order.end()});
  m_by_expiry.emplace(key.m_expiry, key.m_counter);
  ++m_stats.m_dispatched;
  return {.m_verdict = KeyVerdict::kDispatch};
}

KeyDecision KeyLedger::LookUp(const KeyIssuer& issuer,
                              const IdempotencyKey& key,
                              WallTime now) {
  if (const auto rejected = CheckKey(issuer, key, now)) {
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
  // The response itself is given only to a caller that presents the request.
  return {.m_verdict = KeyVerdict::kAnswered};
}

std::vector<KeyWaiter> KeyLedger::Resolve(const IdempotencyKey& key,
                                          RequestOutcome outcome,
                                          StoredResponse response) {
  const auto found = m_entries.find(key.m_counter);
  if (found == m_entries.end() || found->second.m_state != State::kRunning) {
    return {};
  }
  Entry& entry = found->second;
  switch (outcome) {
    case RequestOutcome::kAnswered:
      entry.m_state = State::kAnswered;
      StoreResponse(key.m_counter, entry, std::move(response));
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

void KeyLedger::RemoveWaiter(const IdempotencyKey& key, KeyWaiter waiter) {
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

// The verdict for a key that this issuer can't decide on; empty for a valid
// key.
std::optional<KeyVerdict> KeyLedger::CheckKey(const KeyIssuer& issuer,
                                              const IdempotencyKey& key,
                                              WallTime now) {
  m_now = std::max(m_now, now);
  RemoveExpired();
  if (key.m_owner != issuer.Owner()) {
    return KeyVerdict::kOtherOwner;
  }
  if (key.m_incarnation != issuer.OwnIncarnation()) {
    return KeyVerdict::kOtherIncarnation;
  }
  if (!issuer.HasIssued(key)) {
    return KeyVerdict::kForged;
  }
  if (key.m_expiry <= m_now) {
    return KeyVerdict::kExpired;
  }
  return std::nullopt;
}

KeyDecision KeyLedger::DecideUsedKey(Entry& entry,
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
  if (entry.m_response == nullptr) {
    return {.m_verdict = KeyVerdict::kResponseDropped};
  }
  ++m_stats.m_replayed;
  return {.m_verdict = KeyVerdict::kAnswered, .m_response = entry.m_response};
}

// A running key stays until it is resolved: callers may be waiting for it.
void KeyLedger::RemoveExpired() {
  auto next = m_by_expiry.begin();
  while (next != m_by_expiry.end() && next->first <= m_now) {
    const auto found = m_entries.find(next->second);
    if (found->second.m_state == State::kRunning) {
      ++next;
      continue;
    }
    DropResponse(found->second);
    m_entries.erase(found);
    next = m_by_expiry.erase(next);
  }
}

void KeyLedger::StoreResponse(uint64_t counter,
                              Entry& entry,
                              StoredResponse response) {
  if (response == nullptr ||
      response->size() > m_options.m_max_response_bytes) {
    return;
  }
  m_stats.m_response_bytes += response->size();
  entry.m_response = std::move(response);
  entry.m_response_position =
      m_response_order.insert(m_response_order.end(), counter);
  while (m_stats.m_response_bytes > m_options.m_max_response_bytes) {
    DropResponse(m_entries.at(m_response_order.front()));
  }
}

void KeyLedger::DropResponse(Entry& entry) {
  if (entry.m_response != nullptr) {
    m_stats.m_response_bytes -= entry.m_response->size();
    entry.m_response = nullptr;
    m_response_order.erase(entry.m_response_position);
  }
}

}  // namespace sequoiastage
