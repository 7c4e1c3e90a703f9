#ifndef SEQUOIASTAGE_WIRE_MESSAGES_H_
#define SEQUOIASTAGE_WIRE_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "sequoiastage/base/http_message.h"
#include "sequoiastage/base/ids.h"
#include "sequoiastage/base/time.h"

/// Typed messages that nodes exchange over TCP. Every request carries an
/// AttemptId that its reply repeats; replies come in any order.
namespace sequoiastage {

/// First message of each side on a connection.
struct HelloMessage {
  NodeId m_node;
  Incarnation m_incarnation;

  friend bool operator==(const HelloMessage&, const HelloMessage&) = default;
};

/// Asks an egress to run a request on one of its instances.
struct DispatchMessage {
  AttemptId m_attempt;
  /// Incarnation of the egress that is meant; any other refuses.
  Incarnation m_egress_incarnation;
  ServiceId m_service;
  InstanceId m_instance;
  AccountId m_account;
  /// Weight of the account among those of an overloaded instance.
  double m_account_share = 1;
  bool m_is_idempotent = false;
  /// True: run it though the instance is suspect, nothing better has room.
  bool m_accept_suspect = false;
  /// Field that a whole answer must carry; empty when none is asked for.
  std::string m_completeness_field;
  /// Milliseconds since the epoch; the egress starts nothing later.
  int64_t m_deadline_ms = 0;
  HttpRequest m_request;

  friend bool operator==(const DispatchMessage&,
                         const DispatchMessage&) = default;
};

/// What became of an attempt at the egress.
enum class AttemptResult : uint8_t {
  /// The backend server answered; the answer is whole.
  kAnswered = 0,
  /// Refused or cancelled before it started; it never will start.
  kNotStarted = 1,
  /// Started, and ended without a whole answer.
  kFailed = 2,
  /// Started and still running; a further reply follows at its end. Only as
  /// reply to a query.
  kRunning = 3,
  /// The egress can't tell: forgotten, or meant for another run of it.
  kCannotTell = 4,
};

/// Why an attempt was not started or failed.
enum class AttemptReason : uint8_t {
  kNone = 0,
  kBusy = 1,
  kDraining = 2,
  kUnknownInstance = 3,
  kWrongIncarnation = 4,
  kPastDeadline = 5,
  kDuplicate = 6,
  kCancelled = 7,
  kConnectFailed = 8,
  kTimeout = 9,
  kIncompleteAnswer = 10,
  kBackendError = 11,
  kShed = 12,
  kSuspect = 13,
  /// The retry budget of the service is used up.
  kRetryBudget = 14,
};

/// Short text of a reason, as in logs ("busy").
std::string_view ToString(AttemptReason reason);

/// Load of one instance as its egress knows it.
struct InstanceLoad {
  InstanceId m_instance;
  uint16_t m_slots = 0;
  uint16_t m_in_use = 0;
  uint16_t m_queued = 0;
  bool m_is_suspect = false;

  friend bool operator==(const InstanceLoad&, const InstanceLoad&) = default;
};

/// Reply to DispatchMessage, QueryMessage and CancelMessage.
struct ResultMessage {
  AttemptId m_attempt;
  AttemptResult m_result = AttemptResult::kNotStarted;
  AttemptReason m_reason = AttemptReason::kNone;
  /// Set when m_result is kAnswered.
  HttpResponse m_answer;
  /// Instances of the service at this egress.
  std::vector<InstanceLoad> m_loads;

  friend bool operator==(const ResultMessage&, const ResultMessage&) = default;
};

/// Asks what became of an attempt; cancels it when it has not started. With
/// `m_cancel_running` a running attempt is aborted too.
struct QueryMessage {
  AttemptId m_attempt;
  /// As in the DispatchMessage: another run of the egress can't tell.
  Incarnation m_egress_incarnation;
  /// As in the DispatchMessage.
  int64_t m_deadline_ms = 0;
  bool m_cancel_running = false;

  friend bool operator==(const QueryMessage&, const QueryMessage&) = default;
};

/// Outcome as the caller is told it.
enum class RequestOutcome : uint8_t {
  /// The backend server's whole answer.
  kAnswered = 0,
  /// The request was not run and never will be.
  kNotRun = 1,
  /// The request may have run.
  kUnknown = 2,
};

/// "answered", "not-run" or "unknown".
std::string_view ToString(RequestOutcome outcome);

/// Passes a request with an idempotency key to the node that owns the key.
struct KeyedRequestMessage {
  AttemptId m_attempt;
  std::string m_key;
  std::string m_account;
  int64_t m_deadline_ms = 0;
  /// True: only tell the outcome, run nothing.
  bool m_is_query = false;
  HttpRequest m_request;

  friend bool operator==(const KeyedRequestMessage&,
                         const KeyedRequestMessage&) = default;
};

/// The key owner's final answer.
struct KeyedReplyMessage {
  AttemptId m_attempt;
  RequestOutcome m_outcome = RequestOutcome::kUnknown;
  HttpResponse m_answer;

  friend bool operator==(const KeyedReplyMessage&,
                         const KeyedReplyMessage&) = default;
};

/// Asks a peer for what it holds of the log beyond `m_have`.
struct ConfigRequestMessage {
  AttemptId m_attempt;
  LogOffset m_have;

  friend bool operator==(const ConfigRequestMessage&,
                         const ConfigRequestMessage&) = default;
};

/// A record of the platform's log as one node passes it on to another.
struct RelayedRecord {
  LogOffset m_offset;
  std::string m_text;

  friend bool operator==(const RelayedRecord&, const RelayedRecord&) = default;
};

/// What a node holds of the log beyond what was asked: the records, or the
/// state they amount to where it no longer has them all. Both empty when it
/// holds nothing newer.
struct ConfigReplyMessage {
  AttemptId m_attempt;
  std::vector<RelayedRecord> m_records;
  /// JSON text of the state.
  std::string m_state;

  friend bool operator==(const ConfigReplyMessage&,
                         const ConfigReplyMessage&) = default;
};

/// Number of an attempt, unique within one run of its ingress. The HelloMessage
/// of the connection names the ingress and its run.
using AttemptNumber = Strong<struct AttemptNumberTag, uint64_t>;

/// What an egress tells of its instance with every reply.
struct EgressStanding {
  uint16_t m_slots = 0;
  uint16_t m_running = 0;
  uint16_t m_queued = 0;
  /// Time until the instance may be tried again; 0 when it is not held back.
  uint16_t m_hold_ms = 0;
  /// Expected time until new work would get a slot.
  uint16_t m_expected_wait_ms = 0;

  friend bool operator==(const EgressStanding&,
                         const EgressStanding&) = default;
};

/// Asks an egress to take a request for its instance. Time travels as what is
/// left of it: clocks of two hosts are never compared.
struct OfferMessage {
  AttemptNumber m_attempt;
  ServiceId m_service;
  /// Name of the instance that is meant; another one refuses.
  std::string m_instance;
  /// May run more than once.
  bool m_is_repeatable = false;
  /// An earlier attempt of the same request may have reached an instance.
  bool m_is_repeat = false;
  /// An earlier attempt still runs: this one copies it, since it is slow.
  bool m_is_copy = false;
  /// True: run it without waiting for a StartMessage.
  bool m_starts_at_once = false;
  /// True: wait for a slot where none is free; false: refuse then.
  bool m_may_wait = false;
  /// True: run it though the instance is held back.
  bool m_accepts_held = false;
  /// Rank of the route, 0 is the most urgent.
  uint8_t m_urgency = 0;
  /// Until the caller's deadline.
  uint32_t m_time_left_ms = 0;
  /// Service that the request comes from.
  std::string m_caller_service;
  std::string m_request_id;
  /// Empty unless it starts at once: most offers of a busy time are refused,
  /// and the request may be large.
  HttpRequest m_request;

  friend bool operator==(const OfferMessage&, const OfferMessage&) = default;
};

enum class OfferVerdict : uint8_t {
  /// Holds a slot; runs when a StartMessage comes.
  kReady = 0,
  /// Waits for a slot; kReady, kStarted or kRefused follows.
  kQueued = 1,
  /// Runs; an OutcomeMessage follows.
  kStarted = 2,
  /// Does not run and never will.
  kRefused = 3,
};

struct OfferReplyMessage {
  AttemptNumber m_attempt;
  OfferVerdict m_verdict = OfferVerdict::kRefused;
  /// Set when refused.
  AttemptReason m_reason = AttemptReason::kNone;
  EgressStanding m_standing;

  friend bool operator==(const OfferReplyMessage&,
                         const OfferReplyMessage&) = default;
};

/// Starts an attempt whose offer was answered kReady.
struct StartMessage {
  AttemptNumber m_attempt;
  uint32_t m_time_left_ms = 0;
  HttpRequest m_request;

  friend bool operator==(const StartMessage&, const StartMessage&) = default;
};

/// Ends an attempt: it is not started any more, a running one is aborted.
struct WithdrawMessage {
  AttemptNumber m_attempt;

  friend bool operator==(const WithdrawMessage&,
                         const WithdrawMessage&) = default;
};

/// Asks over a new connection what became of an attempt that was started over
/// one that is lost. An OutcomeMessage answers, at once when the attempt is
/// not running.
struct InquiryMessage {
  AttemptNumber m_attempt;

  friend bool operator==(const InquiryMessage&,
                         const InquiryMessage&) = default;
};

/// End of an attempt that was started.
struct OutcomeMessage {
  AttemptNumber m_attempt;
  AttemptResult m_result = AttemptResult::kFailed;
  AttemptReason m_reason = AttemptReason::kNone;
  EgressStanding m_standing;
  /// Set when answered.
  HttpResponse m_answer;

  friend bool operator==(const OutcomeMessage&,
                         const OutcomeMessage&) = default;
};

/// Asks a node to pass on what it reads from the store from now on, beginning
/// with the records at or after these offsets.
struct RelayRequestMessage {
  LogOffset m_next_config;
  LogOffset m_next_member;

  friend bool operator==(const RelayRequestMessage&,
                         const RelayRequestMessage&) = default;
};

enum class StoreTopic : uint8_t { kConfig = 0, kMembers = 1 };

/// Newest record of a key, as the store holds it.
struct StoreRecord {
  StoreTopic m_topic = StoreTopic::kConfig;
  LogOffset m_offset;
  std::string m_key;
  /// Empty when the key was dropped.
  std::string m_value;

  friend bool operator==(const StoreRecord&, const StoreRecord&) = default;
};

/// Records read from the store, and how old that knowledge is. Sent without
/// records too, as a sign that nothing is new.
struct RelayMessage {
  /// Since the sender, or the node it has this from, was in touch with the
  /// store.
  uint32_t m_age_ms = 0;
  /// From PackRecords(); empty when there are none.
  std::string m_packed;

  friend bool operator==(const RelayMessage&, const RelayMessage&) = default;
};

/// The sender is shutting down: it takes no new offers.
struct LeavingMessage {
  friend bool operator==(const LeavingMessage&,
                         const LeavingMessage&) = default;
};

using Message = std::variant<HelloMessage,
                             DispatchMessage,
                             ResultMessage,
                             QueryMessage,
                             KeyedRequestMessage,
                             KeyedReplyMessage,
                             ConfigRequestMessage,
                             ConfigReplyMessage,
                             OfferMessage,
                             OfferReplyMessage,
                             StartMessage,
                             WithdrawMessage,
                             InquiryMessage,
                             OutcomeMessage,
                             RelayRequestMessage,
                             RelayMessage,
                             LeavingMessage>;

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_WIRE_MESSAGES_H_
