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

/// Identifies a caller that waits for the outcome of a key; assigned by the
/// user of KeyLedger.
using KeyWaiter = Strong<struct KeyWaiterTag, uint64_t>;

/// Decision of the owner of a key about a request that carries it.
enum class KeyVerdict : uint8_t {
  /// Run the request now, then call Resolve(). At most one dispatch per key is
  /// in progress.
  kDispatch,
  /// The request is already running; Resolve() will return this waiter.
  kWait,
  /// It was executed; the stored response is the response to this caller.
  kAnswered,
  /// It was executed and answered, but the response is no longer stored. Report
  /// unknown.
  kResponseDropped,
  /// It may have been executed and is never run again. Report unknown.
  kUnknown,
  /// No request was executed under the key. Only from LookUp().
  kUnused,
  /// The key is bound to a different request: refuse with 422, nothing is run.
  kMismatch,
  /// Issued by another node: forward the request to its owner.
  kOtherOwner,
  /// Issued by another incarnation of this node: the request may have been
  /// executed. Report unknown.
  kOtherIncarnation,
  /// Not issued by this incarnation although it names it: refuse with 422,
  /// nothing is run.
  kForged,
  /// Past its expiry: the request may have been executed. Report unknown.
  kExpired,
  /// The ledger is full; this request was not run. Report not-run.
  kFull,
};

const char* ToString(KeyVerdict verdict);

/// Decision of KeyLedger.
struct KeyDecision {
  KeyVerdict m_verdict = KeyVerdict::kUnknown;
  /// Set with kAnswered, except from LookUp().
  StoredResponse m_response = nullptr;
};

struct KeyLedgerOptions {
  /// Maximum number of used, unexpired keys. Beyond it new keys are refused.
  size_t m_max_keys = 65536;
  /// Maximum bytes of stored responses. Beyond it the oldest ones are dropped.
  size_t m_max_response_bytes = size_t{16} * 1024 * 1024;
};

struct KeyLedgerStats {
  uint64_t m_dispatched = 0;
  uint64_t m_replayed = 0;
  uint64_t m_mismatched = 0;
  size_t m_keys = 0;
  size_t m_response_bytes = 0;
};

/// Ledger of the keys that one node incarnation issued. It alone decides
/// whether a non-idempotent request is run:
///
///   unused -> running -> answered | unknown
///                     -> not-run, which may be dispatched again
///
/// No request is run under an expired key, so its entry can be removed.
/// Not thread-safe.
class KeyLedger {
 public:
  explicit KeyLedger(KeyLedgerOptions options = {}) : m_options(options) {}

  /// Decides about a request that carries `key`. `issuer` is that of this node.
  KeyDecision Submit(const KeyIssuer& issuer,
                     const IdempotencyKey& key,
                     const RequestFingerprint& fingerprint,
                     KeyWaiter waiter,
                     WallTime now);

  /// The state of `key`; starts and binds nothing. kWait means that its request
  /// is running, kUnused that it was not run.
  KeyDecision LookUp(const KeyIssuer& issuer,
                     const IdempotencyKey& key,
                     WallTime now);

  /// Ends the dispatch of `key`. `response` is stored for kAnswered and ignored
  /// otherwise; it may be null. Returns the waiters in order of arrival; each
  /// of them gets this outcome and response. Empty when `key` is not running.
  std::vector<KeyWaiter> Resolve(const IdempotencyKey& key,
                                 RequestOutcome outcome,
                                 StoredResponse response);

  /// Removes a waiter whose caller no longer waits.
  void RemoveWaiter(const IdempotencyKey& key, KeyWaiter waiter);

  KeyLedgerStats Stats() const;

 private:
  enum class State : uint8_t { kRunning, kAnswered, kNotRun, kUnknown };

  struct Entry {
    RequestFingerprint m_fingerprint;
    WallTime m_expiry;
    State m_state = State::kRunning;
    StoredResponse m_response = nullptr;
    std::vector<KeyWaiter> m_waiters;
    // Position in m_response_order; valid while m_response is set.
    std::list<uint64_t>::iterator m_response_position;
  };
  // Indexed by the counter of the key.
  using Entries = std::unordered_map<uint64_t, Entry>;

  std::optional<KeyVerdict> CheckKey(const KeyIssuer& issuer,
                                     const IdempotencyKey& key,
                                     WallTime now);
  KeyDecision DecideUsedKey(Entry& entry,
                            const RequestFingerprint& fingerprint,
                            KeyWaiter waiter);
  void RemoveExpired();
  void StoreResponse(uint64_t counter, Entry& entry, StoredResponse response);
  void DropResponse(Entry& entry);

  KeyLedgerOptions m_options;
  KeyLedgerStats m_stats;
  Entries m_entries;
  std::multimap<WallTime, uint64_t> m_by_expiry;
  // Keys with stored responses, oldest response first.
  std::list<uint64_t> m_response_order;
  // Latest time seen: setting the clock back doesn't extend an expiry.
  WallTime m_now = WallTime::min();
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_EXECUTION_KEY_LEDGER_H_
