#ifndef SEQUOIASTAGE_EXECUTION_KEY_LEDGER_H_
#define SEQUOIASTAGE_EXECUTION_KEY_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "sequoiastage/base/time.h"
#include "sequoiastage/execution/attempt_ledger.h"
#include "sequoiastage/execution/idempotency_key.h"
#include "sequoiastage/wire/messages.h"

namespace sequoiastage {

/// Names one caller that waits for the outcome of a key; chosen by the user of
/// KeyLedger.
using KeyWaiter = Strong<struct KeyWaiterTag, uint64_t>;

/// What the owner does with a request that shows a key.
enum class KeyVerdict : uint8_t {
  /// Run it now, then call Resolve(). At most one is under way for a key.
  kDispatch,
  /// Another copy is running; Resolve() will name this waiter.
  kWait,
  /// It ran; the stored answer is this caller's answer.
  kAnswered,
  /// It ran and was answered, but the answer is no longer kept. Tell unknown.
  kAnswerDropped,
  /// It may have run and is never run again. Tell unknown.
  kUnknown,
  /// The key was never used. Only from Look().
  kUnused,
  /// The key belongs to another request: refuse, nothing is run (422).
  kMismatch,
  /// Issued by another node: pass the request on to its owner.
  kOtherOwner,
  /// Issued by another run of this node: it may have run. Tell unknown.
  kOtherIncarnation,
  /// Not issued by anybody: refuse, nothing is run (422).
  kForged,
  /// Past its expiry: it may have run. Tell unknown.
  kExpired,
  /// No room for another key; this request was not run. Tell not-run.
  kFull,
};

const char* ToString(KeyVerdict verdict);

struct KeyDecision {
  KeyVerdict m_verdict = KeyVerdict::kUnknown;
  /// Set with kAnswered.
  StoredAnswer m_answer = nullptr;
};

struct KeyLedgerOptions {
  /// Used keys kept until they expire. Above it new keys are refused.
  size_t m_max_keys = 65536;
  /// Bytes of stored answers kept; above it the oldest answers are dropped.
  size_t m_max_answer_bytes = size_t{16} * 1024 * 1024;
};

struct KeyLedgerStats {
  uint64_t m_dispatched = 0;
  uint64_t m_replayed = 0;
  uint64_t m_mismatched = 0;
  size_t m_keys = 0;
  size_t m_answer_bytes = 0;
};

/// Ledger of the keys that one run of a node issued. It decides alone whether a
/// non-idempotent request is run:
///
///   unused -> running -> answered | unknown
///                     -> not-run, which may be dispatched again
///
/// An expired key is never run, so that its entry may be dropped.
/// Not thread-safe: one thread owns it.
class KeyLedger {
 public:
  explicit KeyLedger(KeyLedgerOptions options = {}) : m_options(options) {}

  /// A request that shows `key` has arrived. `issuer` is the node's own.
  KeyDecision Present(const KeyIssuer& issuer,
                      const IdempotencyKey& key,
                      const RequestFingerprint& fingerprint,
                      KeyWaiter waiter,
                      WallTime now);

  /// What is known of `key`; changes nothing. kWait means it is running,
  /// kUnused that it was not run.
  KeyDecision Look(const KeyIssuer& issuer,
                   const IdempotencyKey& key,
                   WallTime now);

  /// The dispatch of `key` has ended. `answer` goes with kAnswered and may be
  /// null otherwise. Returns who waited, in order of arrival; all of them are
  /// told this outcome and answer.
  std::vector<KeyWaiter> Resolve(const IdempotencyKey& key,
                                 RequestOutcome outcome,
                                 StoredAnswer answer);

  /// Drops a waiter whose caller has left.
  void Leave(const IdempotencyKey& key, KeyWaiter waiter);

  KeyLedgerStats Stats() const;

 private:
  enum class State : uint8_t { kRunning, kAnswered, kNotRun, kUnknown };

  struct Entry {
    RequestFingerprint m_fingerprint;
    WallTime m_expiry;
    State m_state = State::kRunning;
    StoredAnswer m_answer = nullptr;
    std::vector<KeyWaiter> m_waiters;
    // Place in m_answered while m_answer is set.
    std::list<uint64_t>::iterator m_answer_place;
  };
  // By the counter of the key.
  using Entries = std::unordered_map<uint64_t, Entry>;

  std::optional<KeyVerdict> Reject(const KeyIssuer& issuer,
                                   const IdempotencyKey& key,
                                   WallTime now);
  KeyDecision DecideKnown(Entry& entry,
                          const RequestFingerprint& fingerprint,
                          KeyWaiter waiter);
  void DropExpired();
  void StoreAnswer(uint64_t counter, Entry& entry, StoredAnswer answer);
  void DropAnswer(Entry& entry);

  KeyLedgerOptions m_options;
  KeyLedgerStats m_stats;
  Entries m_entries;
  std::multimap<WallTime, uint64_t> m_by_expiry;
  // Keys with stored answers, oldest answer first.
  std::list<uint64_t> m_answered;
  // Latest time seen, so that a clock set back revives no key.
  WallTime m_now = WallTime::min();
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_EXECUTION_KEY_LEDGER_H_
