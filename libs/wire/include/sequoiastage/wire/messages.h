#ifndef SEQUOIASTAGE_WIRE_MESSAGES_H_
#define SEQUOIASTAGE_WIRE_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "sequoiastage/base/http_message.h"
#include "sequoiastage/base/ids.h"
#include "sequoiastage/base/store_position.h"
#include "sequoiastage/base/time.h"

/// Messages that nodes exchange over TCP. A reply carries the attempt of its
/// request; replies arrive in any order.
namespace sequoiastage {

/// First message from each side of a connection.
struct HelloMessage {
  NodeId m_node;
  Incarnation m_incarnation;

  friend bool operator==(const HelloMessage&, const HelloMessage&) = default;
};

/// Asks an egress to run a request on one of its instances.
struct DispatchMessage {
  AttemptId m_attempt;
  /// Incarnation of the addressed egress; any other one refuses the request.
  Incarnation m_egress_incarnation;
  ServiceId m_service;
  InstanceId m_instance;
  AccountId m_account;
  /// Weight of the account relative to others when the instance is overloaded.
  double m_account_share = 1;
  bool m_is_idempotent = false;
  /// True: run the request even on a suspect instance, because no better one
  /// has capacity left.
  bool m_accept_suspect = false;
  /// Header field that a complete response carries; empty when not checked.
  std::string m_completeness_field;
  /// Deadline in milliseconds since the Unix epoch; the egress does not start
  /// the request after it.
  int64_t m_deadline_ms = 0;
  HttpRequest m_request;

  friend bool operator==(const DispatchMessage&,
                         const DispatchMessage&) = default;
};

/// State or result of an attempt at the egress.
enum class AttemptResult : uint8_t {
  /// The backend server sent a complete response.
  kAnswered = 0,
  /// Refused or cancelled before it started; it will never start.
  kNotStarted = 1,
  /// Started, and ended without a complete response.
  kFailed = 2,
  /// Started and still running; another reply follows when it ends. Only sent
  /// in reply to a query.
  kRunning = 3,
  /// The egress has no record of the attempt: the record was dropped, or the
  /// attempt was addressed to another incarnation.
  kOutcomeUnknown = 4,
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
  kIncompleteResponse = 10,
  kBackendError = 11,
  kShed = 12,
  kSuspect = 13,
  /// The retry budget of the service is used up.
  kRetryBudget = 14,
  /// The addressed instance is leaving or has left, and will not return.
  kInstanceLeft = 15,
  /// The instance crashed while it executed the request.
  kInstanceCrashed = 16,
  /// The request has crashed several instances and is not executed again.
  kQuarantined = 17,
  /// A service that requests of this route call is short of capacity; see
  /// DownstreamGate.
  kDownstreamBusy = 18,
};

/// Name of a reason as used in logs, for example "busy".
std::string_view ToString(AttemptReason reason);

/// Load of one instance as seen by its egress.
struct InstanceLoad {
  InstanceId m_instance;
  uint16_t m_slots = 0;
  uint16_t m_in_use = 0;
  uint16_t m_queued = 0;
  bool m_is_suspect = false;

  friend bool operator==(const InstanceLoad&, const InstanceLoad&) = default;
};

/// Reply to DispatchMessage and QueryMessage.
struct ResultMessage {
  AttemptId m_attempt;
  AttemptResult m_result = AttemptResult::kNotStarted;
  AttemptReason m_reason = AttemptReason::kNone;
  /// Set when m_result is kAnswered.
  HttpResponse m_response;
  /// Instances of the service at this egress.
  std::vector<InstanceLoad> m_loads;

  friend bool operator==(const ResultMessage&, const ResultMessage&) = default;
};

/// Queries the state of an attempt and cancels it when it has not started. With
/// `m_cancel_running` a running attempt is aborted too.
struct QueryMessage {
  AttemptId m_attempt;
  /// As in the DispatchMessage; another incarnation of the egress has no record
  /// of the attempt.
  Incarnation m_egress_incarnation;
  /// Deadline as in the DispatchMessage.
  int64_t m_deadline_ms = 0;
  bool m_cancel_running = false;

  friend bool operator==(const QueryMessage&, const QueryMessage&) = default;
};

/// Outcome of a request as reported to the caller.
enum class RequestOutcome : uint8_t {
  /// The backend server sent a complete response.
  kAnswered = 0,
  /// The request was not executed and never will be.
  kNotRun = 1,
  /// The request may have been executed.
  kUnknown = 2,
};

/// "answered", "not-run" or "unknown".
std::string_view ToString(RequestOutcome outcome);

/// Forwards a request with an idempotency key to the node that owns the key.
struct KeyedRequestMessage {
  AttemptId m_attempt;
  std::string m_key;
  std::string m_account;
  int64_t m_deadline_ms = 0;
  /// True: report the outcome without executing the request.
  bool m_is_query = false;
  HttpRequest m_request;

  friend bool operator==(const KeyedRequestMessage&,
                         const KeyedRequestMessage&) = default;
};

/// Final reply of the key's owner.
struct KeyedReplyMessage {
  AttemptId m_attempt;
  RequestOutcome m_outcome = RequestOutcome::kUnknown;
  HttpResponse m_response;

  friend bool operator==(const KeyedReplyMessage&,
                         const KeyedReplyMessage&) = default;
};

/// Requests the log records at or after `m_start_offset` from a peer.
struct ConfigRequestMessage {
  AttemptId m_attempt;
  LogOffset m_start_offset;

  friend bool operator==(const ConfigRequestMessage&,
                         const ConfigRequestMessage&) = default;
};

/// Record of the platform's log as relayed between nodes.
struct RelayedRecord {
  LogOffset m_offset;
  std::string m_text;

  friend bool operator==(const RelayedRecord&, const RelayedRecord&) = default;
};

/// Log records from the requested offset on, or the state that results from the
/// log when the sender no longer has all of these records. Both are empty when
/// the sender has nothing newer.
struct ConfigReplyMessage {
  AttemptId m_attempt;
  std::vector<RelayedRecord> m_records;
  /// State as JSON text.
  std::string m_state;

  friend bool operator==(const ConfigReplyMessage&,
                         const ConfigReplyMessage&) = default;
};

/// Number of an attempt, unique within one incarnation of its ingress. The
/// HelloMessage of the connection identifies the ingress and its incarnation.
using AttemptNumber = Strong<struct AttemptNumberTag, uint64_t>;

/// Load of an instance, attached by its egress to every reply.
struct EgressLoadReport {
  uint16_t m_slots = 0;
  uint16_t m_running = 0;
  uint16_t m_queued = 0;
  /// Remaining hold of the instance; 0 when it is not held.
  uint16_t m_hold_ms = 0;
  /// Expected wait of a new request for a slot.
  uint16_t m_expected_wait_ms = 0;

  friend bool operator==(const EgressLoadReport&,
                         const EgressLoadReport&) = default;
};

/// Offers a request to an egress for its instance. Deadlines are sent as the
/// remaining time, so that the clocks of two hosts are never compared.
struct OfferMessage {
  AttemptNumber m_attempt;
  ServiceId m_service;
  /// Name of the addressed instance; the egress of any other one refuses.
  std::string m_instance;
  /// True: the request is safe to execute more than once.
  bool m_is_idempotent = false;
  /// True for a retry or hedge: an earlier attempt of the same request may have
  /// reached an instance.
  bool m_is_extra_attempt = false;
  /// True for a hedge: an earlier, slow attempt is still running.
  bool m_is_hedge = false;
  /// True: start the request without waiting for a StartMessage.
  bool m_starts_immediately = false;
  /// True: queue the request when no slot is free; false: refuse it then.
  bool m_may_wait = false;
  /// True: run the request even while the instance is held.
  bool m_accepts_held = false;
  /// Priority of the route or of the client account; 0 is the most urgent.
  uint8_t m_urgency = 0;
  /// Milliseconds until the caller's deadline.
  uint32_t m_time_left_ms = 0;
  /// Service that sent the request.
  std::string m_caller_service;
  std::string m_request_id;
  /// Empty unless m_starts_immediately is set: under load most offers are
  /// refused, and the request can be large.
  HttpRequest m_request;
  /// Name of the client account that the request belongs to; empty when it
  /// belongs to none. Sent only in a TaggedOfferMessage.
  std::string m_account;
  /// Account that the slot time is charged to; 0 for none. A call belongs to no
  /// account and is charged to that of the request that makes it. Sent only in
  /// a TaggedOfferMessage.
  AccountId m_share_account;
  /// True: an instance sends the request while it runs another one. Sent only
  /// in a TaggedOfferMessage.
  bool m_is_call = false;
  /// Name of the route; empty for calls. Sent only in a TaggedOfferMessage.
  std::string m_route;
  /// Size of a large body that the StartMessage will carry; 0 for small ones.
  /// Sent only in a TaggedOfferMessage.
  uint32_t m_body_bytes = 0;

  friend bool operator==(const OfferMessage&, const OfferMessage&) = default;
};

/// An offer with its account and origin. Builds without client accounts do not
/// know this message, so plain offers are sent as OfferMessage.
struct TaggedOfferMessage {
  OfferMessage m_offer;

  friend bool operator==(const TaggedOfferMessage&,
                         const TaggedOfferMessage&) = default;
};

/// Decision of the egress on an offer.
enum class OfferVerdict : uint8_t {
  /// Holds a slot; starts on receipt of a StartMessage.
  kReady = 0,
  /// Queued for a slot; kReady, kStarted or kRefused follows.
  kQueued = 1,
  /// Running; an OutcomeMessage follows.
  kStarted = 2,
  /// Not started and never will be.
  kRefused = 3,
  /// The instance has responded; a large OutcomeMessage is being sent. Follows
  /// kReady or kStarted; sent only while the configuration manages load.
  kResponding = 4,
};

/// Reply to OfferMessage; a kQueued offer gets a second one.
struct OfferReplyMessage {
  AttemptNumber m_attempt;
  OfferVerdict m_verdict = OfferVerdict::kRefused;
  /// Set when m_verdict is kRefused.
  AttemptReason m_reason = AttemptReason::kNone;
  EgressLoadReport m_load_report;

  friend bool operator==(const OfferReplyMessage&,
                         const OfferReplyMessage&) = default;
};

/// Starts an attempt whose offer was accepted with kReady.
struct StartMessage {
  AttemptNumber m_attempt;
  uint32_t m_time_left_ms = 0;
  HttpRequest m_request;

  friend bool operator==(const StartMessage&, const StartMessage&) = default;
};

/// Cancels an attempt: a pending one is never started, a running one is
/// aborted.
struct CancelMessage {
  AttemptNumber m_attempt;

  friend bool operator==(const CancelMessage&, const CancelMessage&) = default;
};

/// Queries, over a new connection, the outcome of an attempt that was started
/// over a connection since lost. The reply is an OutcomeMessage, sent
/// immediately unless the attempt is still running.
struct OutcomeQueryMessage {
  AttemptNumber m_attempt;

  friend bool operator==(const OutcomeQueryMessage&,
                         const OutcomeQueryMessage&) = default;
};

/// Outcome of a started attempt.
struct OutcomeMessage {
  AttemptNumber m_attempt;
  AttemptResult m_result = AttemptResult::kFailed;
  AttemptReason m_reason = AttemptReason::kNone;
  EgressLoadReport m_load_report;
  /// Set when m_result is kAnswered.
  HttpResponse m_response;

  friend bool operator==(const OutcomeMessage&,
                         const OutcomeMessage&) = default;
};

/// Subscribes to the records that a node reads from the store, starting with
/// those at or after these positions.
struct RelayRequestMessage {
  StorePosition m_next_config;
  StorePosition m_next_member;

  friend bool operator==(const RelayRequestMessage&,
                         const RelayRequestMessage&) = default;
};

/// Topic of the store.
enum class StoreTopic : uint8_t { kConfig = 0, kMembers = 1 };

/// Newest record of a key in the store.
struct StoreRecord {
  StoreTopic m_topic = StoreTopic::kConfig;
  StorePosition m_position;
  std::string m_key;
  /// Empty when the key was deleted.
  std::string m_value;

  friend bool operator==(const StoreRecord&, const StoreRecord&) = default;
};

/// Records read from the store, with the age of that information. Also sent
/// without records to confirm that there is nothing new.
struct RelayMessage {
  /// Milliseconds since the sender, or the node it received the records from,
  /// last reached the store.
  uint32_t m_age_ms = 0;
  /// Result of PackRecords(); empty when there are no records.
  std::string m_packed;

  friend bool operator==(const RelayMessage&, const RelayMessage&) = default;
};

/// The process at the other end of the connection, as named by its
/// HelloMessage, is shutting down and accepts no new offers.
struct DrainingMessage {
  friend bool operator==(const DrainingMessage&,
                         const DrainingMessage&) = default;
};

/// Asks the coordinator of an account's rate limit in this region for tokens.
struct TokenRequest {
  AccountId m_account;
  /// Requests that wait for a token now.
  uint16_t m_waiting = 0;
  /// Tokens that later requests are expected to need; granted from a surplus.
  uint16_t m_prefetch = 0;
  /// Tokens of earlier grants that expired unused.
  uint16_t m_returned = 0;
  /// Tokens of earlier grants that were used since the last message.
  uint16_t m_spent = 0;
  /// Used tokens, counted in m_spent of this or an earlier message, whose
  /// requests did not run.
  uint16_t m_not_run = 0;

  friend bool operator==(const TokenRequest&, const TokenRequest&) = default;
};

struct TokenRequestMessage {
  /// Increases with each message of one incarnation of the sender, so that a
  /// repeated message is recognised.
  uint64_t m_number = 0;
  /// Time for which the sender hands its share of the rates to the receiver. A
  /// node hands out each moment once.
  uint32_t m_share_us = 0;
  std::vector<TokenRequest> m_requests;

  friend bool operator==(const TokenRequestMessage&,
                         const TokenRequestMessage&) = default;
};

/// Reply to one TokenRequest.
struct TokenGrant {
  AccountId m_account;
  uint16_t m_granted = 0;
  /// When fewer tokens than m_waiting were granted: time until the next one is
  /// due.
  uint32_t m_retry_after_ms = 0;

  friend bool operator==(const TokenGrant&, const TokenGrant&) = default;
};

struct TokenGrantMessage {
  /// m_number of the TokenRequestMessage that this one replies to.
  uint64_t m_number = 0;
  std::vector<TokenGrant> m_grants;

  friend bool operator==(const TokenGrantMessage&,
                         const TokenGrantMessage&) = default;
};

/// Asks the coordinator of an account in another region for surplus tokens.
struct TokenLoanRequestMessage {
  uint64_t m_number = 0;
  AccountId m_account;
  /// Thousandths of a token: the surplus of a small account is below one.
  uint32_t m_wanted_milli = 0;

  friend bool operator==(const TokenLoanRequestMessage&,
                         const TokenLoanRequestMessage&) = default;
};

/// Transfers tokens to the coordinator of another region. The sender has
/// removed them before, so a lost message never creates tokens.
struct TokenLoanMessage {
  /// m_number of the TokenLoanRequestMessage that this one replies to.
  uint64_t m_number = 0;
  AccountId m_account;
  /// Thousandths of a token.
  uint32_t m_tokens_milli = 0;

  friend bool operator==(const TokenLoanMessage&,
                         const TokenLoanMessage&) = default;
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
                             CancelMessage,
                             OutcomeQueryMessage,
                             OutcomeMessage,
                             RelayRequestMessage,
                             RelayMessage,
                             DrainingMessage,
                             TaggedOfferMessage,
                             TokenRequestMessage,
                             TokenGrantMessage,
                             TokenLoanRequestMessage,
                             TokenLoanMessage>;

/// Messages of one sequence are handled in the order in which they were sent,
/// also when a large one is sent in pieces.
using SequenceKey = Strong<struct SequenceKeyTag, uint64_t>;

/// Sequence of `message`: the attempt that it belongs to, or relayed records,
/// whose age holds for all records sent before. Empty for other messages, which
/// may be handled in any order.
std::optional<SequenceKey> SequenceOf(const Message& message);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_WIRE_MESSAGES_H_
