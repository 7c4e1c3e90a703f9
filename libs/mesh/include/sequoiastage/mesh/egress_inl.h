#ifndef SEQUOIASTAGE_MESH_EGRESS_INL_H_
#define SEQUOIASTAGE_MESH_EGRESS_INL_H_

#include <algorithm>
#include <optional>
#include <utility>

#include "sequoiastage/mesh/egress.h"
#include "sequoiastage/mesh/wire_time.h"

namespace sequoiastage {

namespace egress_detail {

/// Minimum remaining time for starting a request.
inline constexpr Duration kMinTimeLeft = std::chrono::milliseconds(5);
inline constexpr uint16_t kFirstServerError = 500;
inline constexpr uint16_t kFirstSuccess = 200;
inline constexpr uint16_t kFirstRedirect = 300;

}  // namespace egress_detail

template <PlatformCodec Codec>
Egress<Codec>::Egress(asio::io_context& io,
                      NodeId self,
                      const EgressOptions& options,
                      SharedQuarantine& quarantine,
                      Hooks hooks)
    : m_io(io),
      m_self(self),
      m_options(options),
      m_quarantine(quarantine),
      m_hooks(std::move(hooks)),
      m_gate(options.m_gate),
      m_gate_timer(io),
      m_hold(options.m_hold),
      m_retry_budget(options.m_retry_budget),
      m_downstream(options.m_downstream),
      m_is_proven(!options.m_adopts_instance),
      m_retained_bytes(options.m_budget, HeldKind::kInstanceResponses),
      m_retained_timer(io) {
  m_options.m_exchange.m_byte_budget = options.m_budget;
  if (options.m_budget) {
    // Leaves room for what the node holds besides.
    BodyBudget bodies;
    bodies.m_max_bytes =
        std::min(bodies.m_max_bytes, options.m_budget->Limit() / 2);
    m_options.m_exchange.m_budget = std::make_shared<BodyBudget>(bodies);
  }
  if (options.m_adopts_instance) {
    m_retry_budget.OnRestart(BootNow());
  }
}

template <PlatformCodec Codec>
void Egress<Codec>::SetInstance(const InstanceAnnouncement* instance) {
  const bool is_same_incarnation =
      instance != nullptr && m_instance &&
      m_instance->Incarnation() == instance->Incarnation();
  if (!is_same_incarnation) {
    OnIncarnationEnd(instance != nullptr);
    m_departed = m_instance ? m_instance->m_name : m_departed;
    // Under the same name, another incarnation accepts offers from now on.
    const bool is_name_kept =
        m_instance && instance != nullptr && instance->m_name == m_departed;
    RefusePending(is_name_kept ? AttemptReason::kDraining
                               : AttemptReason::kInstanceLeft);
    for (IdleConnection& idle : m_idle_connections) {
      idle.m_connection->Abort();
    }
    m_idle_connections.clear();
    m_hold.Reset();
    m_stated_limit.reset();
    m_limit_stated_at = {};
    ApplyGateChanges(m_gate.SetRate({}, BootNow()));
    m_is_proven |= m_has_had_instance;
  }
  m_instance.reset();
  if (instance == nullptr) {
    return;
  }
  m_has_had_instance = true;
  m_instance = *instance;
  m_service = MakeServiceId(instance->m_service);
  ApplyGateChanges(m_gate.Resize(UsableSlots(), BootNow()));
}

template <PlatformCodec Codec>
uint32_t Egress<Codec>::UsableSlots() const {
  const uint32_t slots = std::max<uint32_t>(1, m_instance->m_slots);
  return m_is_proven ? slots : std::min(slots, m_options.m_unproven_slots);
}

template <PlatformCodec Codec>
void Egress<Codec>::SetConfig(std::shared_ptr<const TrafficConfig> config) {
  m_config = std::move(config);
  m_routes = PrefixRoutes(m_config->m_routes);
  m_hold.SetCountsSurvival(m_config->ManagesLoad());
  SetManagesLoad(m_config->ManagesLoad());
}

template <PlatformCodec Codec>
void Egress<Codec>::StartDraining() {
  m_is_draining = true;
  RefusePending(AttemptReason::kDraining);
}

template <PlatformCodec Codec>
void Egress<Codec>::RefusePending(AttemptReason reason) {
  m_is_refusing_pending = true;
  std::vector<WorkPtr> pending;
  for (const auto& [key, work] : m_work) {
    if (work->m_phase != Phase::kRunning) {
      pending.push_back(work);
    }
  }
  for (const WorkPtr& work : pending) {
    if (m_work.contains(work->m_key)) {
      Release(work, false);
      Refuse(work->m_key, work->m_offer, reason, work->m_reply);
    }
  }
  m_is_refusing_pending = false;
}

template <PlatformCodec Codec>
EgressLoadReport Egress<Codec>::CurrentLoad() const {
  const TimePoint now = BootNow();
  return {.m_slots = static_cast<uint16_t>(m_gate.Slots()),
          .m_running = static_cast<uint16_t>(m_gate.Running()),
          .m_queued = static_cast<uint16_t>(m_gate.Queued()),
          .m_hold_ms = ToWireMs<uint16_t>(m_hold.RemainingHold(now)),
          .m_expected_wait_ms = ToWireMs<uint16_t>(m_gate.ExpectedWait(now))};
}

template <PlatformCodec Codec>
AttemptReason Egress<Codec>::CheckOffer(const OfferMessage& offer,
                                        TimePoint now) {
  if (m_is_draining) {
    return AttemptReason::kDraining;
  }
  if (offer.m_instance == m_departed &&
      (!m_instance || m_instance->m_name != m_departed)) {
    return AttemptReason::kInstanceLeft;
  }
  if (!m_instance || m_instance->m_name != offer.m_instance ||
      m_service != offer.m_service) {
    return AttemptReason::kUnknownInstance;
  }
  if (std::chrono::milliseconds(offer.m_time_left_ms) <
      egress_detail::kMinTimeLeft) {
    return AttemptReason::kPastDeadline;
  }
  if (!offer.m_accepts_held) {
    const HoldState state = m_hold.StateAt(now);
    const bool allows_trial = offer.m_is_idempotent &&
                              !offer.m_is_extra_attempt &&
                              m_trial_count <= m_hold.SurvivorCount();
    if (state == HoldState::kHeld ||
        (state == HoldState::kTrial && !allows_trial) ||
        (!offer.m_is_idempotent &&
         m_hold.IsDoubtful(now, m_gate.IsWaitingForSlot()))) {
      return AttemptReason::kSuspect;
    }
  }
  if (!offer.m_may_wait &&
      (now < m_shed_until ||
       m_gate.ExpectedWait(now, offer.m_urgency, offer.m_is_call) >
           Duration{})) {
    return AttemptReason::kBusy;
  }
  if (const auto wait = DownstreamWait(offer, now)) {
    m_downstream_wait = *wait;
    return AttemptReason::kDownstreamBusy;
  }
  // Responses that the links don't take can't be dropped.
  if (m_options.m_budget && m_options.m_budget->Held(HeldKind::kLinks) >
                                m_options.m_budget->Limit() / 2) {
    ++m_stats.m_byte_refusals;
    return AttemptReason::kBusy;
  }
  if (m_manages_load && !HasRoomFor(offer)) {
    ++m_stats.m_byte_refusals;
    return AttemptReason::kBusy;
  }
  // The last free slot, and the rate of an instance that limits it, are
  // reserved for requests that are not running elsewhere.
  if (offer.m_is_hedge &&
      (m_gate.Running() + 1 >= m_gate.Slots() || m_gate.Rate())) {
    return AttemptReason::kBusy;
  }
  if (offer.m_is_extra_attempt &&
      !m_retry_budget.TryAcquire(now, ExtraAttemptOf(offer))) {
    return AttemptReason::kRetryBudget;
  }
  return AttemptReason::kNone;
}

template <PlatformCodec Codec>
ExtraAttemptRequest Egress<Codec>::ExtraAttemptOf(const OfferMessage& offer) {
  return {
      .m_urgency = offer.m_urgency,
      .m_kind = offer.m_is_hedge ? ExtraAttempt::kHedge : ExtraAttempt::kRetry,
      .m_is_call = offer.m_is_call,
      .m_account = offer.m_share_account};
}

template <PlatformCodec Codec>
void Egress<Codec>::ReturnRetry(Work& work) {
  const auto granted_at = std::exchange(work.m_retry_granted_at, std::nullopt);
  if (granted_at && m_manages_load) {
    m_retry_budget.Return(*granted_at, ExtraAttemptOf(work.m_offer));
  }
}

template <PlatformCodec Codec>
bool Egress<Codec>::HasRoomFor(const OfferMessage& offer) {
  const size_t bytes =
      std::max<size_t>(offer.m_body_bytes, offer.m_request.m_body.size());
  if (bytes <= ByteBudget::kSmallBytes) {
    return true;
  }
  if (m_options.m_budget && !m_options.m_budget->Admits(bytes, bytes)) {
    m_options.m_budget->CountRefusal();
    return false;
  }
  return m_byte_bound.Admit(m_large_bytes, bytes);
}

template <PlatformCodec Codec>
size_t Egress<Codec>::RunningLargeBytes() const {
  size_t bytes = 0;
  for (const auto& [key, work] : m_work) {
    bytes += work->m_phase == Phase::kRunning ? work->m_large_bytes : 0;
  }
  return bytes;
}

template <PlatformCodec Codec>
void Egress<Codec>::SetLargeBytes(Work& work, size_t body_bytes) {
  const size_t large = body_bytes > ByteBudget::kSmallBytes ? body_bytes : 0;
  m_large_bytes += large;
  m_large_bytes -= work.m_large_bytes;
  work.m_large_bytes = large;
  work.m_held.Set(body_bytes);
}

template <PlatformCodec Codec>
void Egress<Codec>::Refuse(const Key& key,
                           const OfferMessage& offer,
                           AttemptReason reason,
                           const MessageSink& reply) {
  ++m_stats.m_refused;
  LogEvent(LogLevel::kDebug, "offer_refused")
      .Add("request", offer.m_request_id)
      .Add("instance", offer.m_instance)
      .Add("reason", ToString(reason))
      .Add("running", static_cast<int64_t>(m_gate.Running()))
      .Add("queued", static_cast<int64_t>(m_gate.Queued()))
      .Add("hold_ms", static_cast<int64_t>(CurrentLoad().m_hold_ms));
  EgressLoadReport load = CurrentLoad();
  if (reason == AttemptReason::kDownstreamBusy) {
    ++m_stats.m_downstream_refused;
    load.m_expected_wait_ms = ToWireMs<uint16_t>(m_downstream_wait);
  }
  reply(OfferReplyMessage{.m_attempt = key.second,
                          .m_verdict = OfferVerdict::kRefused,
                          .m_reason = reason,
                          .m_load_report = load});
}

template <PlatformCodec Codec>
void Egress<Codec>::OnOffer(const PeerKey& peer,
                            OfferMessage offer,
                            MessageSink reply) {
  const TimePoint now = BootNow();
  const Key key(peer, offer.m_attempt);
  UpdateHold(now);
  if (const auto reason = CheckOffer(offer, now);
      reason != AttemptReason::kNone) {
    Refuse(key, offer, reason, reply);
    return;
  }
  auto work =
      std::make_shared<Work>(m_io, key, std::move(offer), m_options.m_budget);
  work->m_reply = std::move(reply);
  work->m_deadline =
      now + std::chrono::milliseconds(work->m_offer.m_time_left_ms);
  work->m_is_trial = m_hold.StateAt(now) == HoldState::kTrial;
  if (work->m_offer.m_is_extra_attempt) {
    work->m_retry_granted_at = now;
  }
  const AdmissionResult admission =
      m_gate.Admit(now, work->m_deadline, work->m_offer.m_share_account, 1,
                   work->m_offer.m_urgency, work->m_offer.m_is_call);
  work->m_ticket = admission.m_ticket;
  if (admission.m_decision == AdmissionDecision::kRefused) {
    ReturnRetry(*work);
    ApplyGateChanges(admission.m_changes);
    Refuse(key, work->m_offer, AttemptReason::kBusy, work->m_reply);
    return;
  }
  SetLargeBytes(*work, std::max<size_t>(work->m_offer.m_body_bytes,
                                        work->m_offer.m_request.m_body.size()));
  m_work[key] = work;
  m_by_ticket[work->m_ticket] = work;
  CountDownstreamStart(*work, now);
  m_trial_count += work->m_is_trial ? 1 : 0;
  ApplyGateChanges(admission.m_changes);
  if (admission.m_decision == AdmissionDecision::kAdmitted) {
    OnSlotGranted(work);
    return;
  }
  work->m_reply(OfferReplyMessage{.m_attempt = key.second,
                                  .m_verdict = OfferVerdict::kQueued,
                                  .m_load_report = CurrentLoad()});
}

template <PlatformCodec Codec>
void Egress<Codec>::OnSlotGranted(const WorkPtr& work) {
  if (work->m_offer.m_starts_immediately) {
    work->m_reply(OfferReplyMessage{.m_attempt = work->m_key.second,
                                    .m_verdict = OfferVerdict::kStarted,
                                    .m_load_report = CurrentLoad()});
    Execute(work);
    return;
  }
  work->m_phase = Phase::kReady;
  const Duration timeout =
      m_options.m_ready_timeout +
      std::chrono::milliseconds(work->m_offer.m_body_bytes /
                                m_options.m_min_transfer_rate);
  work->m_ready_until = BootNow() + timeout;
  work->m_timer.expires_after(timeout);
  work->m_timer.async_wait(
      [this, weak = std::weak_ptr(work)](const asio::error_code& error) {
        const WorkPtr self = weak.lock();
        if (!error && self && self->m_phase == Phase::kReady &&
            m_work.contains(self->m_key)) {
          Complete(self,
                   {.m_result = AttemptResult::kNotStarted,
                    .m_reason = AttemptReason::kCancelled},
                   RequestResult::kNoEvidence);
        }
      });
  work->m_reply(OfferReplyMessage{.m_attempt = work->m_key.second,
                                  .m_verdict = OfferVerdict::kReady,
                                  .m_load_report = CurrentLoad()});
}

template <PlatformCodec Codec>
void Egress<Codec>::OnStart(const PeerKey& peer, StartMessage&& start) {
  const auto found = m_work.find(Key(peer, start.m_attempt));
  if (found == m_work.end() || found->second->m_phase != Phase::kReady) {
    return;  // The refusal is in flight to the ingress.
  }
  const WorkPtr work = found->second;
  const TimePoint now = BootNow();
  if (now >= work->m_ready_until) {
    // This process was paused: the timer has expired but not been handled.
    Complete(work,
             {.m_result = AttemptResult::kNotStarted,
              .m_reason = AttemptReason::kCancelled},
             RequestResult::kNoEvidence);
    return;
  }
  work->m_timer.cancel();
  work->m_offer.m_request = std::move(start.m_request);
  SetLargeBytes(*work, work->m_offer.m_request.m_body.size());
  work->m_deadline = std::min(
      work->m_deadline, now + std::chrono::milliseconds(start.m_time_left_ms));
  Execute(work);
}

template <PlatformCodec Codec>
void Egress<Codec>::OnWithdraw(const PeerKey& peer, AttemptNumber number) {
  const auto found = m_work.find(Key(peer, number));
  if (found == m_work.end()) {
    return;
  }
  const WorkPtr work = found->second;
  if (work->m_connection) {
    work->m_connection->Abort();
    const TimePoint now = BootNow();
    m_hold.OnEnd(work->m_run, RequestResult::kUnanswered, now);
    UpdateHold(now);
  }
  Release(work, false);
}

template <PlatformCodec Codec>
void Egress<Codec>::OnInquiry(const PeerKey& peer,
                              AttemptNumber number,
                              const MessageSink& reply) {
  const Key key(peer, number);
  if (const auto found = m_work.find(key); found != m_work.end()) {
    const WorkPtr work = found->second;
    work->m_is_detached = false;
    work->m_reply = reply;
    if (work->m_phase != Phase::kRunning) {
      // The start message was lost with the connection.
      Complete(work,
               {.m_result = AttemptResult::kNotStarted,
                .m_reason = AttemptReason::kCancelled},
               RequestResult::kNoEvidence);
    }
    return;
  }
  for (const auto& [expiry, retained] : m_retained_outcomes) {
    if (retained.first == key) {
      reply(retained.second);
      return;
    }
  }
  reply(OutcomeMessage{.m_attempt = number,
                       .m_result = AttemptResult::kOutcomeUnknown,
                       .m_reason = AttemptReason::kNone,
                       .m_load_report = CurrentLoad()});
}

template <PlatformCodec Codec>
std::optional<ParentRequest> Egress<Codec>::FindParent(
    std::string_view request_id) const {
  std::optional<ParentRequest> parent;
  for (const auto& [key, work] : m_running.FindCaller(request_id)) {
    const OfferMessage& offer = work->m_offer;
    // Two attempts of one request may run here; either may have sent the call.
    const bool is_extra = parent && parent->m_is_extra_attempt;
    const bool had_served_call = parent && parent->m_has_served_call;
    parent = ParentRequest{
        .m_share_account = offer.m_share_account,
        .m_urgency = offer.m_urgency,
        .m_is_extra_attempt = is_extra || offer.m_is_extra_attempt,
        .m_route = offer.m_route,
        .m_has_served_call = had_served_call || work->m_has_served_call};
  }
  return parent;
}

template <PlatformCodec Codec>
void Egress<Codec>::OnPeerLost(const PeerKey& peer) {
  std::vector<WorkPtr> lost;
  for (auto it = m_work.lower_bound(Key(peer, AttemptNumber(0)));
       it != m_work.end() && it->first.first == peer; ++it) {
    lost.push_back(it->second);
  }
  for (const WorkPtr& work : lost) {
    work->m_is_detached = true;
    work->m_reply = [](const Message&) {};
    auto timer =
        std::make_shared<asio::steady_timer>(m_io, m_options.m_rebind_timeout);
    timer->async_wait([this, work, timer](const asio::error_code&) {
      if (work->m_is_detached && m_work.contains(work->m_key)) {
        OnWithdraw(work->m_key.first, work->m_key.second);
      }
    });
  }
}

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MESH_EGRESS_INL_H_
