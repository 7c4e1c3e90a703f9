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
#include "sequoiastage/config/traffic_config.h"
#include "sequoiastage/http/exchange_connection.h"
#include "sequoiastage/http/stream_server.h"
#include "sequoiastage/logging/log_event.h"
#include "sequoiastage/mesh/mesh_links.h"
#include "sequoiastage/mesh/platform.h"
#include "sequoiastage/mesh/target_book.h"
#include "sequoiastage/metrics/latency_buckets.h"
#include "sequoiastage/routing/split_picker.h"

namespace sequoiastage {

struct IngressOptions {
  PlacementOptions m_placement{};
  /// An egress that has not replied to an offer by then is passed over: many
  /// round trips, and two turns of a host whose processor share is used up.
  Duration m_near_silence = std::chrono::milliseconds(250);
  Duration m_far_silence = std::chrono::milliseconds(400);
  /// After so many egresses have refused a repeat for want of budget the
  /// request is given up: their parts of the budget are alike.
  uint32_t m_max_budget_refusals = 3;
  /// Largest body that is sent with an offer to another region.
  size_t m_max_eager_body = 1024;
  /// Part of the latency objective after which repeatable work that still runs
  /// gets a second attempt.
  double m_hedge_share = 0.5;
  /// Bounds of Retry-After.
  Duration m_min_retry_after = std::chrono::milliseconds(100);
  Duration m_max_retry_after = std::chrono::seconds(2);
};

struct IngressStats {
  uint64_t m_requests = 0;
  uint64_t m_answered = 0;
  uint64_t m_not_run = 0;
  uint64_t m_unknown = 0;
  uint64_t m_cancelled = 0;
  uint64_t m_repeats = 0;
  uint64_t m_unrouted = 0;
};

/// Takes callers' requests and finds an instance for each.
template <PlatformCodec Codec>
class Ingress {
 public:
  struct Hooks {
    /// Hands a message to this host's own egress.
    std::function<void(Message)> m_local_offer;
    /// Called for each request without a success, before its caller hears of
    /// it.
    std::function<void()> m_on_failure;
    /// Age of what the node knows from the store.
    std::function<Duration()> m_knowledge_age;
  };

  Ingress(asio::io_context& io,
          const IngressOptions& options,
          std::string own_service,
          TargetBook& book,
          MeshLinks& links,
          Hooks hooks);

  /// Requests from now on follow `config`.
  void SetConfig(std::shared_ptr<const TrafficConfig> config);

  CancelHook OnRequest(HttpRequest request, const StreamResponder& responder);

  /// Reply of the egress at `node`.
  void OnReply(NodeId node, Message message);
  void OnLinkOpen(NodeId node, Incarnation run);
  void OnLinkLost(NodeId node);

  size_t RequestCount() const { return m_request_count; }
  const IngressStats& Stats() const { return m_stats; }
  /// Time of requests from their arrival to their end, by outcome.
  std::vector<MetricSample> Latencies() const;

 private:
  enum class Phase : uint8_t {
    kOffered,
    kQueued,
    kStarted,
    /// Started, and its link is lost; asked for over a new one.
    kLost
  };

  struct Run;
  using RunPtr = std::shared_ptr<Run>;

  struct Attempt {
    AttemptNumber m_number;
    NodeId m_node;
    Phase m_phase = Phase::kOffered;
    TimePoint m_sent_at{};
    bool m_starts_at_once = false;
    // Copies a slow attempt that goes on.
    bool m_is_copy = false;
    Incarnation m_egress_run{};
    // Age of what was known of the instance's load; empty when nothing was.
    std::optional<Duration> m_told_age;
    std::unique_ptr<asio::steady_timer> m_silence;
  };

  // One request on its way.
  struct Run {
    explicit Run(asio::io_context& io) : m_deadline_timer(io), m_hedge(io) {}

    HttpRequest m_request;
    std::string m_id;
    StreamResponder m_responder;
    std::shared_ptr<const TrafficConfig> m_config;
    const TrafficRoute* m_route = nullptr;
    ServiceId m_service;
    Placement m_placement;
    std::map<AttemptNumber, Attempt> m_attempts;
    // Instances that may have begun to run it.
    uint32_t m_started = 0;
    // Repeats refused for want of budget, copies left aside.
    uint32_t m_budget_refusals = 0;
    // One of them ended without an answer, or might still run it.
    bool m_may_have_run = false;
    bool m_has_arrived = false;
    bool m_is_done = false;
    // Why the latest attempt was refused or failed.
    AttemptReason m_latest = AttemptReason::kNone;
    Duration m_shortest_wait = Duration::max();
    std::optional<HttpAnswer> m_fallback;
    // Who did not take or answer it, and why, for the logs; see the table of
    // events.
    std::string m_trail;
    // When an instance first may have begun to run it.
    std::optional<TimePoint> m_first_start;
    TimePoint m_received{};
    TimePoint m_deadline{};
    asio::steady_timer m_deadline_timer;
    asio::steady_timer m_hedge;
  };

  ServiceId PickService(const TrafficRoute& route);
  void Step(const RunPtr& run);
  // After an attempt that may have run.
  void StepOrGiveUp(const RunPtr& run, std::string_view cause);
  void Offer(const RunPtr& run,
             const PlacementDecision& step,
             bool is_copy = false);
  // After an offer was not taken.
  void StepAfter(const RunPtr& run, bool was_copy);
  void ArmSilence(const RunPtr& run, Attempt& attempt);
  void OnSilence(const RunPtr& run, AttemptNumber number);
  void OnOfferReply(const RunPtr& run,
                    Attempt& attempt,
                    const OfferReplyMessage& reply);
  void OnOutcome(const RunPtr& run, Attempt& attempt, OutcomeMessage outcome);
  void OnAnswer(const RunPtr& run, HttpAnswer answer, NodeId node);
  void MarkStarted(const RunPtr& run, const Attempt& attempt);
  void Drop(const RunPtr& run, AttemptNumber number);
  // `standing`: as the egress told it with its refusal.
  static void AddToTrail(Run& run,
                         const Attempt& attempt,
                         std::string_view reason,
                         const EgressLoadReport* standing = nullptr);
  // Ends the request, its outcome counted under `latencies`.
  void FinishAs(const RunPtr& run,
                LatencyBuckets& latencies,
                HttpAnswer answer);
  void LogFailure(const Run& run, std::string_view cause, bool may_run);
  void OnDeadline(const RunPtr& run);
  void ArmHedge(const RunPtr& run);
  // Offers a copy to an instance of the region that has slots to spare.
  void OfferCopy(const RunPtr& run);
  void GiveUp(const RunPtr& run, std::string_view cause);
  void Finish(const RunPtr& run, HttpAnswer answer);
  void Cancel(const RunPtr& run);
  void WithdrawAll(const RunPtr& run);
  bool SendTo(NodeId node, Message message);
  std::vector<PlacementCandidate> CandidatesOf(const Run& run) const;
  bool IsOwn(NodeId node) const { return node == m_book.Own().m_node; }
  bool MayRepeat(const Run& run) const;
  HttpAnswer RefusalOf(const Run& run) const;
  static HttpAnswer Plain(uint16_t status, std::string_view text);

  asio::io_context& m_io;
  IngressOptions m_options;
  std::string m_own_service;
  TargetBook& m_book;
  MeshLinks& m_links;
  Hooks m_hooks;
  std::shared_ptr<const TrafficConfig> m_config;
  PrefixRoutes m_routes;
  std::unordered_map<std::string, SplitPicker> m_splits;
  std::unordered_map<AttemptNumber, RunPtr> m_by_attempt;
  std::unordered_map<NodeId, Incarnation> m_runs;
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
