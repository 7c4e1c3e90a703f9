#ifndef SEQUOIASTAGE_MESH_INGRESS_H_
#define SEQUOIASTAGE_MESH_INGRESS_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
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
  /// Maximum number of egresses that one hedge is offered to in sequence.
  uint32_t m_max_hedge_offers = 3;
  /// Bounds of the Retry-After field, before it is spread.
  Duration m_min_retry_after = std::chrono::milliseconds(100);
  Duration m_max_retry_after = std::chrono::seconds(2);
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
  /// Ended because the request crashes instances.
  uint64_t m_quarantined = 0;
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

  /// Ends all requests with a final response.
  void FailAll(std::string_view cause);

  size_t RequestCount() const { return m_request_count; }
  const IngressStats& Stats() const { return m_stats; }
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

  struct Call;
  using CallPtr = std::shared_ptr<Call>;

  struct Attempt {
    AttemptNumber m_number;
    NodeId m_node;
    // Instance that the attempt is addressed to.
    std::string m_instance;
    uint64_t m_instance_start_ms = 0;
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
        : m_deadline_timer(io), m_hedge_timer(io) {}

    HttpRequest m_request;
    std::string m_id;
    StreamResponder m_responder;
    std::shared_ptr<const TrafficConfig> m_config;
    const TrafficRoute* m_route = nullptr;
    // Null when the request belongs to no account.
    const ClientAccount* m_account = nullptr;
    // Account that the request's slot time is charged to.
    AccountId m_share_account;
    uint8_t m_urgency = 0;
    // Sent by an instance while it executes another request.
    bool m_is_call = false;
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
  };

  ServiceId PickService(const TrafficRoute& route);
  // Rejects a request without a route or account. Returns whether it did.
  bool RejectUnknown(const HttpRequest& request,
                     const CallerMetadata& metadata,
                     const TrafficRoute* route,
                     const ClientAccount* account,
                     const StreamResponder& responder);
  // Sets the account and rank of a new request.
  void ClassifyCall(Call& call, const ClientAccount* account);
  // Reserves room for a large response. Returns false when the byte budget has
  // none.
  bool ReserveResponse(Call& call);
  void OfferToNextTarget(const CallPtr& call);
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
  std::unordered_map<std::string, SplitPicker> m_splits;
  std::unordered_map<AttemptNumber, CallPtr> m_calls_by_attempt;
  std::unordered_map<NodeId, Incarnation> m_incarnations;
  // Of m_config; see TrafficConfig::ManagesLoad().
  bool m_manages_load = false;
  ResponseSizes m_response_sizes;
  uint64_t m_next_attempt = 1;
  size_t m_request_count = 0;
  mutable std::mt19937_64 m_random{std::random_device()()};
  IngressStats m_stats;
  LatencyBuckets m_answered_latency;
  LatencyBuckets m_not_run_latency;
  LatencyBuckets m_unknown_latency;
};

}  // namespace sequoiastage

#include "sequoiastage/mesh/ingress_attempts_inl.h"
#include "sequoiastage/mesh/ingress_inl.h"

#endif  // SEQUOIASTAGE_MESH_INGRESS_H_
