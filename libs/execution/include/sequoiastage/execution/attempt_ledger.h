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

/// Encoded answer of a backend server, shared so that keeping it costs no copy.
using StoredAnswer = std::shared_ptr<const std::string>;

/// What every copy of one attempt carries, unchanged.
struct AttemptTicket {
  AttemptId m_id;
  /// The only egress incarnation that may start the attempt.
  Incarnation m_egress;
  /// The attempt is not started after it.
  WallTime m_deadline;

  friend bool operator==(const AttemptTicket&, const AttemptTicket&) = default;
};

/// What the egress knows of an attempt.
enum class AttemptState : uint8_t {
  /// Refused, or no byte of it could be sent to the instance; never started.
  kRefused,
  /// Admitted and not yet started.
  kQueued,
  /// Handed to the instance.
  kRunning,
  /// Ended with a whole answer.
  kAnswered,
  /// Ended without a whole answer; it may have been executed.
  kFailed,
  /// Cancelled before start; never started.
  kCancelled,
};

/// "refused", "queued", ...
const char* ToString(AttemptState state);

/// True when the state proves that the attempt was not and will not be started.
bool IsNeverStarted(AttemptState state);

enum class RefusalReason : uint8_t {
  kNone,
  /// Meant for another run of this egress, which may have started a copy.
  kWrongIncarnation,
  kPastDeadline,
  /// At or below what was forgotten: it may have run, or not.
  kTooOldToTell,
  /// No slot and no room in the queue, see AttemptLedger::MarkRefused().
  kBusy,
  /// The ledger holds only attempts that have not ended.
  kLedgerFull,
};

const char* ToString(RefusalReason reason);

/// True when a refusal for this reason proves that no copy of the attempt was
/// or will be started.
bool IsProofOfNotStarted(RefusalReason reason);

/// Answer of AttemptLedger::Admit().
struct Admission {
  enum class Verdict : uint8_t {
    /// First copy: queued. MarkRunning() is asked before it is started.
    kNew,
    /// Seen before; m_state and m_answer say what became of it.
    kDuplicate,
    /// This copy is not started; see IsProofOfNotStarted() for earlier ones.
    kRefused,
  };

  Verdict m_verdict = Verdict::kRefused;
  RefusalReason m_reason = RefusalReason::kNone;
  AttemptState m_state = AttemptState::kRefused;
  StoredAnswer m_answer = nullptr;
};

/// Answer of AttemptLedger::CancelIfNotStarted().
struct AttemptReport {
  enum class Knowledge : uint8_t {
    /// m_state holds.
    kKnown,
    /// Forgotten, or meant for another run of this egress: it may have run.
    kCannotTell,
  };

  Knowledge m_knowledge = Knowledge::kCannotTell;
  AttemptState m_state = AttemptState::kFailed;
  /// The answer, when m_state is kAnswered and it is still kept.
  StoredAnswer m_answer = nullptr;
};

struct AttemptLedgerOptions {
  /// Attempts kept. Above it the oldest that have ended are forgotten.
  size_t m_max_attempts = 65536;
  /// Ingress nodes for which a floor is kept.
  size_t m_max_floors = 8192;
  /// Bytes of stored answers kept; above it the oldest answers are dropped.
  size_t m_max_answer_bytes = size_t{4} * 1024 * 1024;
};

/// Counts since the ledger was made, and its present size.
struct AttemptLedgerStats {
  /// Handed to the instance, those of which no byte was sent included.
  uint64_t m_started = 0;
  uint64_t m_duplicates = 0;
  uint64_t m_refused = 0;
  uint64_t m_cancelled = 0;
  uint64_t m_forgotten = 0;
  size_t m_attempts = 0;
  size_t m_floors = 0;
  size_t m_answer_bytes = 0;
};

/// Ledger of one run of an egress: decides which attempts may start.
///
/// It never lets an attempt start twice, nor after its deadline, nor when meant
/// for another incarnation, and an attempt that was reported as refused or
/// cancelled is never started by a later copy.
///
/// Memory is bounded. Forgetting an attempt raises the floor of its ingress:
/// unknown attempts of that node at or below (incarnation, counter) are refused
/// as too old to tell. When floors are too many, the one whose attempts have
/// the earliest deadlines is dropped, and from then on unlisted nodes are
/// refused attempts with deadlines at or before the dropped ones. A copy has
/// the deadline of its original, so neither rule compares clocks of two hosts.
///
/// Not thread-safe: one thread owns it.
class AttemptLedger {
 public:
  explicit AttemptLedger(Incarnation own, AttemptLedgerOptions options = {});

  /// A copy of an attempt has arrived.
  Admission Admit(const AttemptTicket& ticket, WallTime now);

  /// Asked directly before the attempt is handed to the instance. On true it
  /// counts as running; on false it must not be handed over: it is cancelled,
  /// past its deadline (then it is now refused) or was not queued.
  bool MarkRunning(const AttemptId& id, WallTime now);

  /// A queued attempt is refused (no slot, draining). False when it was not
  /// queued.
  bool MarkRefused(const AttemptId& id);

  /// A running attempt ended with a whole answer, kept for later queries
  /// within the limit on bytes. `answer` may be null.
  void MarkAnswered(const AttemptId& id, StoredAnswer answer);

  /// A running attempt ended without a whole answer.
  void MarkFailed(const AttemptId& id);

  /// A running attempt ended before its first byte was sent to the instance: it
  /// counts as refused, and no copy of it starts.
  void MarkNotStarted(const AttemptId& id);

  /// Cancels a queued or never seen attempt, so that no copy of it starts, and
  /// reports the state afterwards. A running attempt goes on.
  AttemptReport CancelIfNotStarted(const AttemptTicket& ticket);

  AttemptLedgerStats Stats() const;

 private:
  struct Entry {
    AttemptTicket m_ticket;
    AttemptState m_state = AttemptState::kQueued;
    StoredAnswer m_answer = nullptr;
    // Place in m_answered while m_answer is set.
    std::list<AttemptId>::iterator m_answer_place;
  };
  using Entries = std::list<Entry>;

  // Position in the order of the attempts of one ingress node.
  struct Position {
    Incarnation m_incarnation;
    uint64_t m_counter = 0;
    friend auto operator<=>(const Position&, const Position&) = default;
  };

  struct Floor {
    Position m_position;
    // Latest deadline of the forgotten attempts.
    WallTime m_latest_deadline;
    // Attempts with this deadline or an earlier one are refused: they may have
    // been forgotten together with an earlier floor of the node.
    WallTime m_refused_deadline;
  };

  Entry* Find(const AttemptId& id);
  bool IsTooOld(const AttemptTicket& ticket) const;
  bool Insert(const AttemptTicket& ticket, AttemptState state);
  bool MakeRoom();
  void Forget(const AttemptTicket& ticket);
  void DropEarliestFloor();
  void StoreAnswer(Entry& entry, StoredAnswer answer);
  void DropAnswer(Entry& entry);

  Incarnation m_own;
  AttemptLedgerOptions m_options;
  AttemptLedgerStats m_stats;
  // Oldest first.
  Entries m_entries;
  std::unordered_map<AttemptId, Entries::iterator> m_index;
  std::unordered_map<NodeId, Floor> m_floors;
  // Attempts with stored answers, oldest answer first.
  std::list<AttemptId> m_answered;
  WallTime m_unlisted_deadline = WallTime::min();
  // Latest time seen, so that a clock set back revives no deadline.
  WallTime m_now = WallTime::min();
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_EXECUTION_ATTEMPT_LEDGER_H_
