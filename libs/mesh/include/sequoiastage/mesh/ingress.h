#ifndef SEQUOIASTAGE_MESH_INGRESS_H_
#define SEQUOIASTAGE_MESH_INGRESS_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "sequoiastage/base/boot_clock.h"
#include "sequoiastage/base/byte_budget.h"
#include "sequoiastage/base/request_fingerprint.h"
#include "sequoiastage/config/account_table.h"
#include "sequoiastage/config/traffic_config.h"
#include "sequoiastage/http/exchange_connection.h"
#include "sequoiastage/http/stream_server.h"
#include "sequoiastage/limits/response_sizes.h"
#include "sequoiastage/logging/log_event.h"
#include "sequoiastage/mesh/account_limiter.h"
#include "sequoiastage/mesh/egress.h"
#include "sequoiastage/mesh/mesh_links.h"
#include "sequoiastage/mesh/platform.h"
#include "sequoiastage/mesh/shared_quarantine.h"
#include "sequoiastage/mesh/target_table.h"
#include "sequoiastage/metrics/latency_buckets.h"
#include "sequoiastage/routing/split_picker.h"

namespace sequoiastage {

struct IngressOptions {
  PlacementOptions m_placement{};
  /// Timeout for the reply to an offer, in the same region and in another one;
  /// then another target is tried. Covers many round trips and two scheduling
  /// periods of a host whose CPU quota is exhausted.
  Duration m_region_reply_timeout = std::chrono::milliseconds(250);
  Duration m_remote_reply_timeout = std::chrono::milliseconds(400);
  /// The request fails after this many egresses have refused a retry because of
  /// the retry budget: the egresses of a service have similar shares of it.
  uint32_t m_max_budget_refusals = 3;
  /// Largest body that is sent along with an offer to another region, in bytes.
  size_t m_max_eager_body = 1024;
  /// Fraction of the route's target latency after which a running idempotent
  /// request is hedged.
  double m_hedge_fraction = 0.5;
  /// Fraction of the route's target latency that a request with a large request
  /// or response body waits in a queue of its region before it goes to another
  /// region. Links between regions are narrow and paid by volume.
  double m_large_body_wait_fraction = 0.125;
  /// Maximum number of egresses that one hedge is offered to in sequence.
  uint32_t m_max_hedge_offers = 3;
  /// Bounds of the Retry-After field, before it is spread.
  Duration m_min_retry_after = std::chrono::milliseconds(100);
  Duration m_max_retry_after = std::chrono::seconds(2);
  /// Retry-After of a request for which the configuration is missing or can't
  /// be used, before it is spread. A node learns of a new version in about a
  /// second.
  Duration m_config_retry_after = std::chrono::seconds(1);
  /// The request fails after this many egresses have refused it because the
  /// services that it calls are short: the egresses of a service learn alike.
  uint32_t m_max_downstream_refusals = 3;
  /// Pause before a call or retry that no instance took is offered again, and
  /// maximum number of such rounds.
  Duration m_call_pause = std::chrono::milliseconds(50);
  uint32_t m_max_call_rounds = 100;
  /// No further round with less time left: a call needs time to run.
  Duration m_min_call_time = std::chrono::milliseconds(20);
  /// A call that waits for more than this part of its time counts as delayed.
  /// With higher values a request with several calls runs out of time.
  double m_delayed_call_part = 0.125;
  /// Room for large responses is reserved here while the configuration manages
  /// load; may be null.
  std::shared_ptr<ByteBudget> m_budget;
};

struct IngressStats {
  uint64_t m_requests = 0;
  uint64_t m_answered = 0;
  uint64_t m_not_run = 0;
  uint64_t m_unknown = 0;
  uint64_t m_cancelled = 0;
  uint64_t m_extra_attempts = 0;
  uint64_t m_unrouted = 0;
  /// Rejected because their key belongs to no account.
  uint64_t m_unauthorized = 0;
  /// Rejected because the configuration has what they need, but it can't be
  /// used.
  uint64_t m_misconfigured = 0;
  /// Rejected because their account is over its limit.
  uint64_t m_over_limit = 0;
  /// Ended because the request crashes instances.
  uint64_t m_quarantined = 0;
  /// Calls of running requests that ended for lack of capacity.
  uint64_t m_calls_refused = 0;
  /// Current number of calls that wait to be offered again.
  size_t m_calls_paused = 0;
};

/// Receives callers' requests and executes each on an instance of its service.
template <PlatformCodec Codec>
class Ingress {
 public:
  struct Hooks {
    /// Sends a message to the egress of this host.
    std::function<void(Message)> m_send_to_local_egress;
    /// Called for each unsuccessful request, before its caller receives the
    /// response.
    std::function<void()> m_on_failure;
    /// The request that this host's instance is executing and that sent the
    /// request with this id; empty when there is none.
    std::function<std::optional<ParentRequest>(std::string_view)> m_find_parent;
    /// Age of the node's copy of the store.
    std::function<Duration()> m_knowledge_age;
    /// Limits of client accounts; null: not enforced.
    AccountLimiter* m_limiter = nullptr;
    /// A call of this host's instance has ended.
    std::function<void(const CallEnd&)> m_on_call_end = [](const CallEnd&) {};
  };

  Ingress(asio::io_context& io,
          const IngressOptions& options,
          std::string local_service,
          TargetTable& targets,
          MeshLinks& links,
          SharedQuarantine& quarantine,
          Hooks hooks);

  /// Applies `config` to requests that arrive from now on.
  void SetConfig(std::shared_ptr<const TrafficConfig> config);

  CancelHook OnRequest(HttpRequest request, const StreamResponder& responder);

  /// Handles a reply of the egress at `node`.
  void OnReply(NodeId node, Message message);
  void OnLinkOpened(NodeId node, Incarnation incarnation);
  void OnLinkLost(NodeId node);

  /// Rejects requests that arrive from now on unless their deadline is before
  /// `end`, when the node ends the requests that it still has.
  void StartDraining(TimePoint end) { m_drain_end = end; }

  /// Ends all requests with a final response.
  void FailAll(std::string_view cause);

  size_t RequestCount() const { return m_request_count; }
  IngressStats Stats() const {
    IngressStats stats = m_stats;
    stats.m_calls_paused = m_paused_calls.size();
    return stats;
  }
  /// Histograms of the time from arrival to completion, by outcome.
  std::vector<MetricSample> Latencies() const;

 private:
  enum class Phase : uint8_t {
    kOffered,
    kQueued,
    kStarted,
    /// Started, and the link was lost; its outcome is inquired over a new link.
    kLost
  };

  /// Token of the account's limit.
  enum class TokenState : uint8_t { kNone, kWaiting, kTaken };

  struct Call;
  using CallPtr = std::shared_ptr<Call>;

  struct Attempt {
    AttemptNumber m_number;
    NodeId m_node;
    // Instance that the attempt is addressed to.
    InstanceIncarnation m_instance;
    Phase m_phase = Phase::kOffered;
    TimePoint m_sent_at{};
    bool m_starts_at_once = false;
    // A hedge of a slow attempt that continues.
    bool m_is_hedge = false;
    // The instance has responded; its large response is in transfer.
    bool m_is_responding = false;
    Incarnation m_egress_incarnation{};
    // Age of the load report when the attempt was offered; empty when there was
    // none.
    std::optional<Duration> m_load_age;
    std::unique_ptr<asio::steady_timer> m_reply_timer;
  };

  // State of a caller's request until its response.
  struct Call {
    explicit Call(asio::io_context& io)
        : m_deadline_timer(io), m_hedge_timer(io), m_round_timer(io) {}

    HttpRequest m_request;
    std::string m_id;
    StreamResponder m_responder;
    std::shared_ptr<const TrafficConfig> m_config;
    const TrafficRoute* m_route = nullptr;
    // Null when the request belongs to no account.
    const ClientAccount* m_account = nullptr;
    // Account that the request's slot time is charged to.
    AccountId m_share_account;
    TokenState m_token = TokenState::kNone;
    TokenWaiterId m_token_waiter;
    uint8_t m_urgency = 0;
    // Sent by an instance while it executes another request, and the route of
    // that request; empty when it is a call itself.
    bool m_is_call = false;
    std::string m_parent_route;
    uint32_t m_rounds = 0;
    // TrafficConfig::ManagesLoad() of m_config.
    bool m_manages_load = false;
    uint32_t m_downstream_refusals = 0;
    // Shortest wait stated with these refusals.
    Duration m_downstream_wait = Duration::max();
    ServiceId m_service;
    Placement m_placement;
    std::map<AttemptNumber, Attempt> m_attempts;
    // Number of attempts that may have started.
    uint32_t m_start_count = 0;
    // Retries, without hedges, refused because of the retry budget.
    uint32_t m_budget_refusals = 0;
    uint32_t m_hedge_offers = 0;
    // An attempt ended without a response or may still be running.
    bool m_may_have_executed = false;
    bool m_has_reached_instance = false;
    // Sent by a retry of another request: draws on the retry budget from its
    // first attempt on.
    bool m_is_call_of_retry = false;
    bool m_is_done = false;
    // Reason of the last refused or failed attempt.
    AttemptReason m_last_reason = AttemptReason::kNone;
    Duration m_shortest_wait = Duration::max();
    std::optional<HttpResponse> m_fallback_response;
    // Failed and refused attempts with their reasons, for the log; see the
    // event table.
    std::string m_trail;
    // Room for the response.
    std::optional<BudgetShare> m_expected_response;
    // Earliest time at which an attempt may have started.
    std::optional<TimePoint> m_first_started_at;
    TimePoint m_received{};
    TimePoint m_deadline{};
    asio::steady_timer m_deadline_timer;
    asio::steady_timer m_hedge_timer;
    asio::steady_timer m_round_timer;
  };

  ServiceId PickService(const TrafficRoute& route);
  // Rejects a request without a usable route or account. Returns whether it
  // did.
  bool RejectUnknown(const HttpRequest& request,
                     const CallerMetadata& metadata,
                     const TrafficRoute* route,
                     const ClientAccount* account,
                     const StreamResponder& responder);
  // Rejects a request because of a fault of the configuration.
  void RejectMisconfigured(const CallerMetadata& metadata,
                           const TrafficRoute* route,
                           std::string_view cause,
                           const StreamResponder& responder);
  HttpResponse BuildConfigRefusal(std::string_view text) const;
  // Adds a Retry-After of `earliest` times a random factor from 1 to
  // `max_factor`, so that callers rejected together do not return together.
  void AddRetryAfter(HttpResponse& response,
                     Duration earliest,
                     double max_factor) const;
  // Sets the account and rank of a new request.
  void ClassifyCall(Call& call, const ClientAccount* account);
  // Takes a token of the account's limit, then offers the request.
  void AcquireToken(const CallPtr& call);
  void OnToken(const CallPtr& call,
               AccountId account,
               bool is_granted,
               Duration retry_after);
  void RejectOverLimit(const CallPtr& call, Duration retry_after);
  // Called when the request ends without a response of an instance.
  void ReleaseToken(const CallPtr& call, bool may_have_executed);
  // Whether the request has run, or an attempt may still be running.
  bool MayHaveExecuted(const Call& call) const;
  // Reserves room for a large response. Returns false when the byte budget has
  // none.
  bool ReserveResponse(Call& call);
  void OfferToNextTarget(const CallPtr& call);
  // Schedules another round of offers for a call that no instance took, or for
  // a request whose attempt failed and that no instance retries now. Returns
  // whether it did.
  bool StartPause(const CallPtr& call);
  // Reports the end of a call as far as it tells the capacity of its service.
  void ReportCall(const Call& call, CallResult result, bool is_success);
  void ReportServedCall(const Call& call, bool is_success);
  void ReportFailedCall(const Call& call);
  // Placement rules for the request.
  PlacementOptions PlacementFor(const Call& call) const;
  // Called after an attempt that may have been executed.
  void RetryOrFail(const CallPtr& call, std::string_view cause);
  void SendOffer(const CallPtr& call,
                 const PlacementDecision& step,
                 bool is_hedge = false);
  // Called after an offer was refused or could not be delivered.
  void ContinueAfterRefusal(const CallPtr& call, bool was_hedge);
  void StartReplyTimer(const CallPtr& call, Attempt& attempt);
  void OnReplyTimeout(const CallPtr& call, AttemptNumber number);
  void OnOfferReply(const CallPtr& call,
                    Attempt& attempt,
                    const OfferReplyMessage& reply);
  // Starts an attempt whose offer was accepted with kReady.
  void SendStart(const CallPtr& call, Attempt& attempt);
  void OnOutcome(const CallPtr& call, Attempt& attempt, OutcomeMessage outcome);
  void OnResponse(const CallPtr& call, HttpResponse response, NodeId node);
  void MarkStarted(const CallPtr& call, const Attempt& attempt);
  void RemoveAttempt(const CallPtr& call, AttemptNumber number);
  // `load`: load report that came with a refusal; null otherwise.
  static void AddToTrail(Call& call,
                         const Attempt& attempt,
                         std::string_view reason,
                         const EgressLoadReport* load = nullptr);
  // Completes the request and records its duration in `latencies`.
  void FinishWithOutcome(const CallPtr& call,
                         LatencyBuckets& latencies,
                         HttpResponse response);
  void LogFailure(const Call& call,
                  std::string_view cause,
                  bool may_have_executed);
  void OnDeadline(const CallPtr& call);
  void StartHedgeTimer(const CallPtr& call);
  // Offers a hedge to an instance of the same region that has spare slots.
  void OfferHedge(const CallPtr& call);
  void Fail(const CallPtr& call, std::string_view cause);
  void Finish(const CallPtr& call, HttpResponse response);
  void Cancel(const CallPtr& call);
  void WithdrawAll(const CallPtr& call);
  bool SendTo(NodeId node, Message message);
  std::vector<PlacementCandidate> FindCandidates(const Call& call) const;
  bool IsSelf(NodeId node) const { return node == m_targets.Self().m_node; }
  bool CanRetry(const Call& call) const;
  RequestFingerprint FingerprintOf(const Call& call) const;
  // Time until the request leaves its quarantine; empty when it is in none.
  std::optional<Duration> QuarantineLeft(const Call& call) const;
  void FailQuarantined(const CallPtr& call);
  HttpResponse BuildRefusal(const Call& call) const;
  static HttpResponse BuildTextResponse(uint16_t status, std::string_view text);

  asio::io_context& m_io;
  IngressOptions m_options;
  std::string m_local_service;
  TargetTable& m_targets;
  MeshLinks& m_links;
  SharedQuarantine& m_quarantine;
  Hooks m_hooks;
  std::shared_ptr<const TrafficConfig> m_config;
  PrefixRoutes m_routes;
  AccountTable m_accounts;
  // Of the configuration in force; several routes may have the same name.
  std::unordered_map<const TrafficRoute*, SplitPicker> m_splits;
  // TrafficConfig::ManagesLoad() of m_config.
  bool m_manages_load = false;
  // Calls without an attempt, until their next round of offers.
  std::set<CallPtr> m_paused_calls;
  std::unordered_map<AttemptNumber, CallPtr> m_calls_by_attempt;
  std::unordered_map<NodeId, Incarnation> m_incarnations;
  // Calls without attempts, which wait for a token.
  std::set<CallPtr> m_token_waiters;
  ResponseSizes m_response_sizes;
  uint64_t m_next_attempt = 1;
  // Set once the node drains, see StartDraining().
  std::optional<TimePoint> m_drain_end;
  size_t m_request_count = 0;
  mutable std::mt19937_64 m_random{std::random_device()()};
  IngressStats m_stats;
  LatencyBuckets m_answered_latency;
  LatencyBuckets m_not_run_latency;
  LatencyBuckets m_unknown_latency;
};

}  // namespace sequoiastage

#include "sequoiastage/mesh/ingress_accounts_inl.h"
#include "sequoiastage/mesh/ingress_attempts_inl.h"
#include "sequoiastage/mesh/ingress_calls_inl.h"
#include "sequoiastage/mesh/ingress_inl.h"
#include "sequoiastage/mesh/ingress_rejection_inl.h"

#endif  // SEQUOIASTAGE_MESH_INGRESS_H_
