#ifndef SEQUOIASTAGE_MESH_EGRESS_H_
#define SEQUOIASTAGE_MESH_EGRESS_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "sequoiastage/base/boot_clock.h"
#include "sequoiastage/base/byte_budget.h"
#include "sequoiastage/base/request_fingerprint.h"
#include "sequoiastage/config/traffic_config.h"
#include "sequoiastage/health/instance_hold.h"
#include "sequoiastage/http/exchange_connection.h"
#include "sequoiastage/limits/downstream_gate.h"
#include "sequoiastage/limits/instance_byte_bound.h"
#include "sequoiastage/limits/retry_allowance.h"
#include "sequoiastage/limits/slot_gate.h"
#include "sequoiastage/logging/log_event.h"
#include "sequoiastage/mesh/peer_key.h"
#include "sequoiastage/mesh/platform.h"
#include "sequoiastage/mesh/request_index.h"
#include "sequoiastage/mesh/shared_quarantine.h"
#include "sequoiastage/metrics/latency_buckets.h"

namespace sequoiastage {

struct EgressOptions {
  SlotGateOptions m_gate{.m_max_wait = std::chrono::milliseconds(400)};
  InstanceHoldOptions m_hold{};
  RetryAllowanceOptions m_retry_budget{};
  /// A response has to fit into one message between nodes; see
  /// kMaxPayloadBytes.
  ExchangeOptions m_exchange{.m_limits = {.m_max_body_bytes = size_t{12} << 20},
                             .m_budget = std::make_shared<BodyBudget>()};
  /// Time for which a granted slot waits for the start message: a few round
  /// trips between regions.
  Duration m_ready_timeout = std::chrono::milliseconds(700);
  /// Maximum idle time of a connection used for a non-idempotent request: the
  /// instance may close an older one while the request is sent.
  Duration m_max_fresh_idle = std::chrono::seconds(1);
  /// After the instance refused a request although it had a free slot, offers
  /// that may not wait are refused for this long.
  Duration m_shed_pause = std::chrono::milliseconds(150);
  /// Running work of an ingress whose connection was lost continues for this
  /// long, so that the ingress can inquire its outcome over a new connection.
  Duration m_rebind_timeout = std::chrono::milliseconds(1500);
  /// Outcomes of non-idempotent work are retained for this long for such
  /// inquiries.
  Duration m_outcome_retention = std::chrono::seconds(4);
  size_t m_max_retained_outcomes = 256;
  /// Timeout for the connection that tells whether an instance that broke a
  /// response still runs.
  Duration m_probe_timeout = std::chrono::milliseconds(100);
  /// Requests that break within this time of each other may have been ended by
  /// one crash. All connections of a process that ends are closed together.
  Duration m_crash_spread = std::chrono::milliseconds(100);
  /// The first instance may have run before this process started, under an
  /// earlier process of this node. Until its first response tells whether it
  /// limits its load, it gets at most m_unproven_slots requests at a time.
  bool m_adopts_instance = false;
  uint32_t m_unproven_slots = 2;
  /// A connection over which the instance has refused this many requests is
  /// closed.
  size_t m_max_refusals = 64;
  DownstreamGateOptions m_downstream{};
  /// Whether requests whose called services are short of capacity are refused;
  /// otherwise the limits are only measured.
  bool m_limits_callers = true;
  /// Counts the requests held for the instance, and retained outcomes; may be
  /// null.
  std::shared_ptr<ByteBudget> m_budget;
  /// A granted slot waits longer for a large start message: for its transfer at
  /// this rate, in bytes per millisecond (1 Mbit/s).
  size_t m_min_transfer_rate = 125;
};

/// A request that the instance is executing, as far as it concerns the calls
/// that the instance makes meanwhile.
struct ParentRequest {
  AccountId m_share_account;
  uint8_t m_urgency = 0;
  /// The parent is a retry or hedge.
  bool m_is_extra_attempt = false;
  /// Route of the parent; empty when it is a call itself.
  std::string m_route{};
  /// An earlier call of the parent has been served.
  bool m_has_served_call = false;
};

/// End of a call that this host's instance made while it ran a request.
struct CallEnd {
  /// Route of the request; empty when that is a call itself.
  std::string m_route;
  ServiceId m_service;
  /// Capacity of the called service. A server error counts as served.
  CallResult m_result = CallResult::kServed;
  /// The instance received a response other than a server error.
  bool m_is_success = false;
  /// Id of the call, which extends that of the request.
  std::string m_request_id{};
};

struct EgressStats {
  uint64_t m_started = 0;
  uint64_t m_refused = 0;
  uint64_t m_broken = 0;
  uint64_t m_holds = 0;
  uint64_t m_connections = 0;
  uint64_t m_quarantined = 0;
  /// Refused because a service that they call is short of capacity.
  uint64_t m_downstream_refused = 0;
  /// Started before more urgent requests because their account was starved.
  uint64_t m_boosted = 0;
  /// Current values.
  size_t m_queued_calls = 0;
  size_t m_starved_accounts = 0;
  std::vector<LimitedRoute> m_limited_routes{};
  /// Large requests refused because of the bytes that the instance holds.
  uint64_t m_byte_refusals = 0;
};

/// Admission control for the instance on this host: decides which offers run,
/// forwards their requests to the instance, and derives the health of the
/// instance from the outcomes.
///
/// An offer of a non-idempotent request first gets a slot (kReady) and runs
/// when the ingress sends the start message. Until then, both sides can prove
/// that the request was not executed, whichever messages are lost.
///
/// An instance has crashed when it breaks a response and then refuses
/// connections, or when another incarnation replaces it without a departure.
/// The requests that it was executing are reported to the SharedQuarantine.
template <PlatformCodec Codec>
class Egress {
 public:
  struct Hooks {
    /// Another instance responds at the address of this one. By the time of the
    /// call, which is never made from within a call of the egress, another one
    /// may be active. The same holds for m_on_leaving.
    std::function<void(const InstanceIncarnation&)> m_on_mismatch;
    /// The instance stated in a response that it is leaving.
    std::function<void(const InstanceIncarnation&)> m_on_leaving;
  };

  /// `self` is the node of this host.
  Egress(asio::io_context& io,
         NodeId self,
         const EgressOptions& options,
         SharedQuarantine& quarantine,
         Hooks hooks);

  /// Sets the active instance; null when there is none.
  void SetInstance(const InstanceAnnouncement* instance);

  /// Sets the routes that tell the latency objective of a request.
  void SetConfig(std::shared_ptr<const TrafficConfig> config);

  /// Sets the number of instances that share the retry budget of the service; 0
  /// when it is unknown.
  void SetInstanceCount(uint32_t instances) {
    m_retry_budget.SetInstances(instances);
  }

  /// Refuses queued and new offers from now on; running work continues.
  void StartDraining();

  void OnOffer(const PeerKey& peer, OfferMessage offer, MessageSink reply);
  void OnStart(const PeerKey& peer, StartMessage&& start);
  void OnWithdraw(const PeerKey& peer, AttemptNumber number);
  void OnInquiry(const PeerKey& peer,
                 AttemptNumber number,
                 const MessageSink& reply);
  void OnPeerLost(const PeerKey& peer);

  /// Called when a request received by this host's ingress failed. It may be an
  /// outbound call of the instance; an error response to a request that the
  /// instance was executing at that time is then no evidence against it.
  void OnLocalFailure() { m_last_local_failure_at = BootNow(); }

  /// Called when a call that the instance made has ended.
  void OnCallEnd(const CallEnd& end);

  /// The request that the instance is executing and that sent the request with
  /// this id: calls of instances extend the id of the request that makes them
  /// by a dot and more. When nested requests run here, the one with the longest
  /// id counts. Empty when there is none.
  std::optional<ParentRequest> FindParent(std::string_view request_id) const;

  /// Number of accepted offers that are not completed.
  size_t WorkCount() const { return m_work.size(); }
  EgressStats Stats() const;
  /// Duration of attempts at the instance, from start to completion.
  const LatencyBuckets& Latency() const { return m_latency; }
  EgressLoadReport CurrentLoad() const;
  /// Rate limit that the instance states; empty when it states none.
  std::optional<RequestRate> StatedLimit() const { return m_stated_limit; }
  /// Bytes of the large requests accepted for the instance, and their learned
  /// bound; SIZE_MAX while that is unknown.
  size_t LargeBytes() const { return m_large_bytes; }
  size_t LargeBytesBound() const { return m_byte_bound.Bound(); }
  HoldState State() const { return m_hold.StateAt(BootNow()); }

 private:
  using Key = std::pair<PeerKey, AttemptNumber>;
  enum class Phase : uint8_t { kQueued, kReady, kRunning };

  struct Work {
    Work(asio::io_context& io,
         Key key_in,
         OfferMessage offer_in,
         const std::shared_ptr<ByteBudget>& budget)
        : m_key(std::move(key_in)),
          m_offer(std::move(offer_in)),
          m_held(budget, HeldKind::kInstanceRequests),
          m_timer(io) {}

    Key m_key;
    OfferMessage m_offer;
    MessageSink m_reply;
    Phase m_phase = Phase::kQueued;
    // Size of a large body, which is part of m_large_bytes; otherwise 0.
    size_t m_large_bytes = 0;
    // Room for the body, until it is sent to the instance.
    BudgetShare m_held;
    // Set before a large body is dropped.
    std::optional<RequestFingerprint> m_fingerprint;
    Ticket m_ticket;
    bool m_is_trial = false;
    // When the retry budget granted it; empty for a first attempt, and once the
    // attempt is sent to the instance.
    std::optional<TimePoint> m_retry_granted_at;
    // Counted by the DownstreamGate.
    bool m_is_counted = false;
    // A call that the instance made for this request was served.
    bool m_has_served_call = false;
    bool m_is_detached = false;
    TimePoint m_deadline{};
    // End of the time for which the granted slot waits for the start message.
    TimePoint m_ready_until{};
    TimePoint m_started_at{};
    // Instance that executes the request; empty until then. Another one may be
    // active when the response arrives.
    std::optional<InstanceIncarnation> m_instance;
    RunId m_run;
    Duration m_connection_idle{};
    bool m_is_connection_reused = false;
    std::shared_ptr<ExchangeConnection> m_connection;
    // Requests that the instance has refused over m_connection.
    std::vector<std::string> m_refused_ids;
    asio::steady_timer m_timer;
  };
  using WorkPtr = std::shared_ptr<Work>;

  // Work whose exchange was broken, until the probe tells whether the instance
  // still runs.
  struct BrokenWork {
    WorkPtr m_work;
    OutcomeMessage m_outcome;
    RequestResult m_result = RequestResult::kBroken;
  };

  // A request that the instance was executing when it broke the connection.
  struct BrokenRequest {
    RequestFingerprint m_request;
    // As Work::m_large_bytes.
    size_t m_large_bytes = 0;
  };

  struct IdleConnection {
    std::shared_ptr<ExchangeConnection> m_connection;
    TimePoint m_since;
    // Opened as a probe; has carried no request.
    bool m_is_unused = false;
    // Requests that the instance has refused over the connection. A late copy
    // of such a refusal would answer the next attempt of the same request.
    std::vector<std::string> m_refused_ids{};
  };

  AttemptReason CheckOffer(const OfferMessage& offer, TimePoint now);
  // Time until a request of the offer's route may start; empty when the
  // services that it calls have capacity.
  std::optional<Duration> DownstreamWait(const OfferMessage& offer,
                                         TimePoint now);
  void SetManagesLoad(bool manages);
  void CountDownstreamStart(Work& work, TimePoint now);
  void CountDownstreamEnd(Work& work, TimePoint now);
  void LogLimitChange(std::string_view route,
                      bool was_limited,
                      std::string_view service);
  void Refuse(const Key& key,
              const OfferMessage& offer,
              AttemptReason reason,
              const MessageSink& reply);
  void OnSlotGranted(const WorkPtr& work);
  void Execute(const WorkPtr& work);
  void OnExchangeEnd(const WorkPtr& work, ExchangeResult result);
  // Completes work whose exchange was broken, once it is known whether the
  // instance has crashed.
  void CompleteBroken(BrokenWork broken);
  void OnProbeEnd(ConnectOutcome outcome);
  // Called when m_instance is about to change. `is_replaced`: another
  // incarnation takes its place.
  void OnIncarnationEnd(bool is_replaced);
  // Learns from a crash with these requests which amount of bytes the instance
  // bears.
  void LearnBytes(const std::vector<BrokenRequest>& running);
  // Reports requests that the instance was executing when it crashed, except
  // for large ones when their bytes explain the crash. May be called again for
  // the same crash.
  void ReportCrash(std::string_view proof,
                   const std::vector<BrokenRequest>& running);
  // Reason of an attempt that ended with the crash of the instance.
  AttemptReason CrashReason(const Work& work) const;
  static RequestFingerprint FingerprintOf(const Work& work);
  static ExtraAttemptRequest ExtraAttemptOf(const OfferMessage& offer);
  // Gives back the retry of work that did not reach the instance.
  void ReturnRetry(Work& work);
  // Whether the instance and the byte budget have room for the body of an
  // offer.
  bool HasRoomFor(const OfferMessage& offer);
  // Bytes of the large requests that the instance is executing.
  size_t RunningLargeBytes() const;
  // Sets the size of the body of accepted work.
  void SetLargeBytes(Work& work, size_t body_bytes);
  // Whether the active instance executes the request. What another one answers
  // says nothing about it.
  bool IsAtActiveInstance(const Work& work) const {
    return m_instance && work.m_instance == m_instance->Incarnation();
  }
  bool IsQuarantined(const Work& work) const;
  // Handles what the instance states about itself in a response.
  void OnStatements(const Work& work, const ResponseMetadata& metadata);
  void UpdateLimit(const Work& work, const ResponseMetadata& metadata);
  OutcomeMessage ClassifyResponse(const Work& work,
                                  HttpResponse response,
                                  RequestResult* end);
  void Complete(const WorkPtr& work, OutcomeMessage outcome, RequestResult end);
  void Release(const WorkPtr& work, bool counts);
  uint32_t UsableSlots() const;
  void ApplyGateChanges(const GateChanges& changes);
  // Wakes up when the rate limit allows the next queued request.
  void ScheduleGateTick();
  void RetainOutcome(const Key& key, OutcomeMessage outcome);
  // Drops retained outcomes once their time has passed.
  void ExpireRetained();
  // Drops the oldest retained outcomes.
  template <class Predicate>
  void DropRetainedWhile(Predicate should_drop);
  void RefusePending(AttemptReason reason);
  std::shared_ptr<ExchangeConnection> AcquireConnection(Work& work);
  RequestKind KindOf(const OfferMessage& offer) const;
  // Updates the hold for requests that have become late.
  void UpdateHold(TimePoint now);
  void LogHoldChange(HoldState before, std::string_view cause);

  asio::io_context& m_io;
  NodeId m_self;
  EgressOptions m_options;
  SharedQuarantine& m_quarantine;
  Hooks m_hooks;
  std::optional<InstanceAnnouncement> m_instance;
  // Name of the instance before m_instance, or of the last one.
  std::string m_departed;
  ServiceId m_service;
  std::shared_ptr<const TrafficConfig> m_config;
  PrefixRoutes m_routes;
  // TrafficConfig::ManagesLoad() of m_config.
  bool m_manages_load = false;
  bool m_is_draining = false;
  // While pending work is being refused, the slots it frees start no other
  // work.
  bool m_is_refusing_pending = false;
  SlotGate m_gate;
  asio::steady_timer m_gate_timer;
  InstanceHold m_hold;
  RetryAllowance m_retry_budget;
  DownstreamGate m_downstream;
  // Wait of the offer that CheckOffer() refused last as kDownstreamBusy.
  Duration m_downstream_wait{};
  TimePoint m_shed_until{};
  // Whether a limit that the instance states would be known.
  bool m_is_proven;
  bool m_has_had_instance = false;
  // Rate limit that the instance states, and when it last stated one.
  std::optional<RequestRate> m_stated_limit;
  TimePoint m_limit_stated_at{};
  // Malformed statement that was last logged.
  std::string m_logged_error;
  TimePoint m_last_local_failure_at{};
  uint32_t m_trial_count = 0;
  std::map<Key, WorkPtr> m_work;
  std::unordered_map<Ticket, WorkPtr> m_by_ticket;
  // The part of m_work that the instance executes.
  RequestIndex<Key, WorkPtr> m_running;
  std::vector<IdleConnection> m_idle_connections;
  std::deque<std::pair<TimePoint, std::pair<Key, OutcomeMessage>>>
      m_retained_outcomes;
  BudgetShare m_retained_bytes;
  asio::steady_timer m_retained_timer;
  // Connection to an instance that broke a response; null when there is none.
  std::shared_ptr<ExchangeConnection> m_probe;
  std::vector<BrokenWork> m_awaiting_probe;
  // The last requests that broke together, unless the instance sent a complete
  // response since.
  std::vector<BrokenRequest> m_last_broken;
  TimePoint m_last_broken_at{};
  // The current incarnation has refused the probe, and has sent no complete
  // response since.
  bool m_has_crashed = false;
  // The bytes of large requests explain the last crash.
  bool m_bytes_explain_crash = false;
  InstanceByteBound m_byte_bound{InstanceByteBoundOptions{}};
  // Sum over accepted work.
  size_t m_large_bytes = 0;
  EgressStats m_stats;
  LatencyBuckets m_latency;
};

}  // namespace sequoiastage

#include "sequoiastage/mesh/egress_crash_inl.h"
#include "sequoiastage/mesh/egress_inl.h"
#include "sequoiastage/mesh/egress_sharing_inl.h"
#include "sequoiastage/mesh/egress_work_inl.h"

#endif  // SEQUOIASTAGE_MESH_EGRESS_H_
