#ifndef SEQUOIASTAGE_EXECUTION_ATTEMPT_LEDGER_H_
#define SEQUOIASTAGE_EXECUTION_ATTEMPT_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>

#include "sequoiastage/base/ids.h"
#include "sequoiastage/base/time.h"

namespace sequoiastage {

/// Encoded response of a backend server, shared so that storing it makes no
/// copy.
using StoredResponse = std::shared_ptr<const std::string>;

/// Identity and constraints of an attempt. Every duplicate of its message
/// carries the same ones.
struct AttemptSpec {
  AttemptId m_id;
  /// The only egress incarnation that may start the attempt.
  Incarnation m_egress;
  /// The attempt is not started at or after this time.
  WallTime m_deadline;

  friend bool operator==(const AttemptSpec&, const AttemptSpec&) = default;
};

/// State of an attempt at its egress.
enum class AttemptState : uint8_t {
  /// Refused, or no byte of it was sent to the instance: never started.
  kRefused,
  /// Admitted, not started yet.
  kQueued,
  /// Handed to the instance.
  kRunning,
  /// Ended with a complete response.
  kAnswered,
  /// Ended without a complete response; it may have been executed.
  kFailed,
  /// Cancelled before its start: never started.
  kCancelled,
};

/// "refused", "queued", ...
const char* ToString(AttemptState state);

/// True when the state proves that the attempt was not and will not be started.
bool IsNeverStarted(AttemptState state);

enum class RefusalReason : uint8_t {
  kNone,
  /// Addressed to another incarnation of this egress, which may have started a
  /// duplicate.
  kWrongIncarnation,
  kPastDeadline,
  /// At or below the floor of evicted attempts: it may have been executed.
  kTooOld,
  /// No free slot and the queue is full; see AttemptLedger::MarkRefused().
  kBusy,
  /// The ledger is full of attempts that have not ended.
  kLedgerFull,
};

const char* ToString(RefusalReason reason);

/// True when a refusal for this reason proves that no duplicate of the attempt
/// was or will be started.
bool ProvesNotStarted(RefusalReason reason);

/// Result of AttemptLedger::Admit().
struct Admission {
  enum class Verdict : uint8_t {
    /// First occurrence: queued. Call MarkRunning() before its start.
    kNew,
    /// Seen before: m_state and m_response are its present ones.
    kDuplicate,
    /// Not started now; see ProvesNotStarted() for earlier duplicates.
    kRefused,
  };

  Verdict m_verdict = Verdict::kRefused;
  RefusalReason m_reason = RefusalReason::kNone;
  AttemptState m_state = AttemptState::kRefused;
  StoredResponse m_response = nullptr;
};

/// Result of AttemptLedger::CancelIfNotStarted().
struct AttemptReport {
  enum class Certainty : uint8_t {
    /// m_state is the state of the attempt.
    kKnown,
    /// Evicted, or addressed to another incarnation of this egress: it may have
    /// been executed.
    kUndetermined,
  };

  Certainty m_certainty = Certainty::kUndetermined;
  AttemptState m_state = AttemptState::kFailed;
  /// The response, when m_state is kAnswered and it is still stored; else null.
  StoredResponse m_response = nullptr;
};

struct AttemptLedgerOptions {
  /// Maximum number of attempts. Beyond it the oldest ended ones are evicted.
  size_t m_max_attempts = 65536;
  /// Maximum number of ingress nodes with a floor.
  size_t m_max_floors = 8192;
  /// Maximum bytes of stored responses. Beyond it the oldest ones are dropped.
  size_t m_max_response_bytes = size_t{4} * 1024 * 1024;
};

/// Counts since the ledger was created, and its present size.
struct AttemptLedgerStats {
  /// Handed to the instance, including attempts of which no byte was sent.
  uint64_t m_started = 0;
  uint64_t m_duplicates = 0;
  uint64_t m_refused = 0;
  uint64_t m_cancelled = 0;
  uint64_t m_evicted = 0;
  size_t m_attempts = 0;
  size_t m_floors = 0;
  size_t m_response_bytes = 0;
};

/// Ledger of one egress incarnation: decides which attempts are started.
///
/// No attempt starts twice, after its deadline, or when it is addressed to
/// another incarnation. An attempt that was reported as refused or cancelled is
/// never started by a later duplicate.
///
/// Memory is bounded. Evicting an attempt raises the floor of its ingress:
/// unknown attempts of that node at or below (incarnation, counter) are refused
/// as too old. When there are too many floors, the one whose attempts have the
/// earliest deadlines is dropped; from then on attempts of nodes without a
/// floor are refused up to the latest dropped deadline. A duplicate has the
/// deadline of its original, so neither rule compares the clocks of two hosts.
///
/// Not thread-safe.
class AttemptLedger {
 public:
  explicit AttemptLedger(Incarnation own_incarnation,
                         AttemptLedgerOptions options = {});

  /// Admits an attempt that has arrived, or detects a duplicate.
  Admission Admit(const AttemptSpec& spec, WallTime now);

  /// Call directly before the attempt is sent to the instance. True if it
  /// counts as running from now on. False if it must not be sent: it is
  /// cancelled, past its deadline (and now refused) or was not queued.
  bool MarkRunning(const AttemptId& id, WallTime now);

  /// Marks a queued attempt as refused (no slot, draining). False when it was
  /// not queued.
  bool MarkRefused(const AttemptId& id);

  /// Marks a running attempt as ended with a complete response, which is stored
  /// for later queries within m_max_response_bytes. `response` may be null.
  void MarkAnswered(const AttemptId& id, StoredResponse response);

  /// Marks a running attempt as ended without a complete response.
  void MarkFailed(const AttemptId& id);

  /// Marks a running attempt as ended before its first byte was sent to the
  /// instance: it counts as refused, and no duplicate of it starts.
  void MarkNotStarted(const AttemptId& id);

  /// Cancels a queued or unknown attempt, so that no duplicate of it starts,
  /// and returns the resulting state. A running attempt continues.
  AttemptReport CancelIfNotStarted(const AttemptSpec& spec);

  AttemptLedgerStats Stats() const;

 private:
  struct Entry {
    AttemptSpec m_spec;
    AttemptState m_state = AttemptState::kQueued;
    StoredResponse m_response = nullptr;
    // Position in m_response_order; valid while m_response is set.
    std::list<AttemptId>::iterator m_response_position;
  };
  using Entries = std::list<Entry>;

  // Position in the sequence of attempts of one ingress node.
  struct Position {
    Incarnation m_incarnation;
    uint64_t m_counter = 0;
    friend auto operator<=>(const Position&, const Position&) = default;
  };

  struct Floor {
    Position m_position;
    // Latest deadline of the evicted attempts.
    WallTime m_latest_deadline;
    // Attempts with this deadline or an earlier one are refused: they may have
    // been evicted under an earlier, dropped floor of the node.
    WallTime m_refused_deadline;
  };

  Entry* Find(const AttemptId& id);
  bool IsTooOld(const AttemptSpec& spec) const;
  bool Insert(const AttemptSpec& spec, AttemptState state);
  bool MakeRoom();
  void RaiseFloor(const AttemptSpec& spec);
  void DropEarliestFloor();
  void StoreResponse(Entry& entry, StoredResponse response);
  void DropResponse(Entry& entry);

  Incarnation m_own_incarnation;
  AttemptLedgerOptions m_options;
  AttemptLedgerStats m_stats;
  // Oldest first.
  Entries m_entries;
  std::unordered_map<AttemptId, Entries::iterator> m_index;
  std::unordered_map<NodeId, Floor> m_floors;
  // Attempts with stored responses, oldest response first.
  std::list<AttemptId> m_response_order;
  WallTime m_unlisted_deadline = WallTime::min();
  // Latest time seen: setting the clock back doesn't extend a deadline.
  WallTime m_now = WallTime::min();
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_EXECUTION_ATTEMPT_LEDGER_H_
