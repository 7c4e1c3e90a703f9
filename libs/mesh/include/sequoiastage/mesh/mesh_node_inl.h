#ifndef SEQUOIASTAGE_MESH_MESH_NODE_INL_H_
#define SEQUOIASTAGE_MESH_MESH_NODE_INL_H_

#include <algorithm>
#include <asio/post.hpp>
#include <random>
#include <utility>

#include "sequoiastage/mesh/mesh_node.h"
#include "sequoiastage/mesh/node_metrics.h"
#include "sequoiastage/mesh/wire_time.h"

namespace sequoiastage {

namespace mesh_node_detail {

// Interval of periodic tasks that have no tighter time bound.
inline constexpr Duration kTickInterval = std::chrono::milliseconds(200);
// Interval at which a relay reports the age of its data to its subscribers,
// well below RelayChoiceOptions::m_max_age.
inline constexpr Duration kRelayHeartbeatInterval =
    std::chrono::milliseconds(500);
// All nodes of a first deployment start within this time. A node that reads the
// members afterwards finds all of them in one read.
inline constexpr Duration kStartSpread = std::chrono::milliseconds(400);
inline constexpr Duration kShutdownInterval = std::chrono::milliseconds(50);
inline constexpr Duration kPublishRetry = std::chrono::milliseconds(500);
// Each failure doubles the delay up to this limit.
inline constexpr Duration kMaxPublishRetry = std::chrono::seconds(2);
// The nodes write their records again within this time after a new era of the
// store, spread so that the store's rate limits hold.
inline constexpr Duration kRewriteSpread = std::chrono::milliseconds(1500);
// Time for which nodes whose records the store lost are expected to write them
// again.
inline constexpr Duration kRewriteTimeout = std::chrono::seconds(4);
// Callers are routed to other nodes after two failed readiness probes, one
// second apart. Until then the node accepts requests, and offers for its
// instance, which keeps running when only the node stops. Afterwards the node
// refuses new work, so that accepted work completes within the grace time.
inline constexpr Duration kAcceptPeriod = std::chrono::milliseconds(2900);
// Most of the grace time that kAcceptPeriod may take.
inline constexpr double kAcceptFraction = 0.65;
// By then other nodes and callers have noticed the shutdown.
inline constexpr Duration kMinShutdownTime = std::chrono::milliseconds(3300);
// Fraction of the grace time after which requests that still wait get a final
// response, and after which the process ends. The time between is for sending
// them, the rest is a reserve for a slow host.
inline constexpr double kAnswerFraction = 0.9;
inline constexpr double kGraceFraction = 0.94;

inline Incarnation RandomIncarnation() {
  std::random_device device;
  return Incarnation(uint64_t{device()} << 32 | device());
}

}  // namespace mesh_node_detail

template <PlatformCodec Codec, PlatformStore Store>
MeshNode<Codec, Store>::MeshNode(asio::io_context& io,
                                 const MeshSettings& settings,
                                 Store& store)
    : m_io(io),
      m_settings(settings),
      m_store(store),
      m_self{.m_node = NodeId(settings.m_peer),
             .m_incarnation = mesh_node_detail::RandomIncarnation()},
      m_budget(std::make_shared<ByteBudget>(settings.m_byte_budget)),
      m_targets(MemberRecord{.m_node = m_self.m_node,
                             .m_incarnation = m_self.m_incarnation,
                             .m_domain = settings.m_domain,
                             .m_region = settings.m_region}),
      m_links(io,
              m_self,
              {.m_budget = m_budget},
              {.m_on_reply =
                   [this](const PeerKey& peer, Message message) {
                     OnReply(peer, std::move(message));
                   },
               .m_on_opened =
                   [this](NodeId node, Incarnation incarnation) {
                     if (m_refuses_work) {
                       m_links.Send(node, DrainingMessage{});
                     }
                     m_ingress.OnLinkOpened(node, incarnation);
                   },
               .m_on_lost =
                   [this](NodeId node, const std::string&) {
                     m_relay_choice.OnLost(node, BootNow());
                     if (m_subscribed_to == node) {
                       m_subscribed_to.reset();
                     }
                     m_limiter.OnLinkLost(node);
                     m_ingress.OnLinkLost(node);
                   },
               .m_on_request =
                   [this](const PeerKey& peer,
                          Message message,
                          const MessageSink& sink) {
                     OnRequest(peer, std::move(message), sink);
                   },
               .m_on_peer_opened =
                   [this](const PeerKey& peer, const MessageSink& sink) {
                     OnPeerOpened(peer, sink);
                   },
               .m_on_peer_lost =
                   [this](const PeerKey& peer) {
                     m_subscribers.erase(peer);
                     m_egress.OnPeerLost(peer);
                   }}),
      m_limiter(io,
                m_self,
                {.m_quota = settings.m_quota,
                 .m_is_first_start = settings.m_is_first_start},
                m_targets,
                m_links,
                [this] { return m_reader.IsLoaded(); }),
      m_quarantine(m_self.m_node,
                   {},
                   [this] { asio::post(m_io, [this] { PublishMember(); }); }),
      m_egress(io,
               m_self.m_node,
               {.m_retry_budget = settings.m_retry_budget,
                .m_adopts_instance = !settings.m_is_first_start,
                .m_limits_callers = settings.m_limits_callers,
                .m_budget = m_budget},
               m_quarantine,
               {.m_on_mismatch =
                    [this](const InstanceIncarnation& instance) {
                      ApplyInstance(m_local_instance.OnMismatch(instance),
                                    "address-taken", instance);
                    },
                .m_on_leaving =
                    [this](const InstanceIncarnation& instance) {
                      ApplyInstance(m_local_instance.OnLeaving(instance),
                                    "leaving-stated", instance);
                    }}),
      m_ingress(
          io,
          {.m_budget = m_budget},
          settings.m_service,
          m_targets,
          m_links,
          m_quarantine,
          {.m_send_to_local_egress =
               [this](Message message) { OnLocalOffer(std::move(message)); },
           .m_on_failure = [this] { m_egress.OnLocalFailure(); },
           .m_find_parent =
               [this](std::string_view id) { return m_egress.FindParent(id); },
           .m_knowledge_age = [this] { return KnowledgeAge(BootNow()); },
           .m_limiter = &m_limiter,
           .m_on_call_end =
               [this](const CallEnd& end) { m_egress.OnCallEnd(end); }}),
      m_reader(
          io,
          store,
          {},
          {.m_on_record =
               [this](const StoreRecord& record) { return OnRecord(record); },
           .m_written_era =
               [](const StoreRecord& record) {
                 if (record.m_topic == StoreTopic::kConfig) {
                   return StoreEra(UINT32_MAX);
                 }
                 const auto member = DecodeMember(record.m_value);
                 return member ? member->m_era : StoreEra(0);
               },
           .m_on_era =
               [this](std::optional<StoreEra> previous) {
                 OnStoreEra(previous);
               }}),
      m_relay_choice(m_self.m_node),
      m_callers(io,
                [this](HttpRequest request, const StreamResponder& responder) {
                  return m_ingress.OnRequest(std::move(request), responder);
                }),
      m_ready(io,
              [this](const HttpRequest& request,
                     const StreamResponder& responder) -> CancelHook {
                const bool is_ready =
                    Codec::IsReadinessProbe(request) && IsReady();
                responder(
                    {.m_status = static_cast<uint16_t>(is_ready ? 200 : 503)});
                return {};
              }),
      m_control(io,
                [this](HttpRequest request,
                       const StreamResponder& responder) -> CancelHook {
                  OnControl(std::move(request), responder);
                  return {};
                }),
      m_metrics(
          io,
          [this](const HttpRequest&,
                 const StreamResponder& responder) -> CancelHook {
            responder({.m_status = 200,
                       .m_fields = {{"Content-Type", kMetricsContentType}},
                       .m_body = Metrics()});
            return {};
          }),
      m_ticks(io, mesh_node_detail::kTickInterval),
      m_relay_heartbeats(io, mesh_node_detail::kRelayHeartbeatInterval),
      m_shutdown_steps(io, mesh_node_detail::kShutdownInterval),
      m_rewrite_timer(io) {
  AddPeriodicSteps();
}

template <PlatformCodec Codec, PlatformStore Store>
bool MeshNode<Codec, Store>::Start() {
  m_started_at = BootNow();
  m_callers.SetBudget(m_budget);
  for (const auto& [server, endpoint] :
       {std::pair(&m_callers, m_settings.m_callers),
        std::pair(&m_ready, m_settings.m_ready),
        std::pair(&m_control, m_settings.m_control)}) {
    if (!server->Start(endpoint)) {
      m_last_reason = server->LastReason();
      return false;
    }
  }
  if (!m_links.Start(m_settings.m_peer_bind.value_or(m_settings.m_peer))) {
    m_last_reason = m_links.LastReason();
    return false;
  }
  if (m_settings.m_metrics && !m_metrics.Start(*m_settings.m_metrics)) {
    m_last_reason = m_metrics.LastReason();
    return false;
  }
  LogEvent(LogLevel::kInfo, "node_started")
      .Add("node", ToString(m_self.m_node))
      .Add("region", m_settings.m_region)
      .Add("domain", m_settings.m_domain)
      .Add("service", m_settings.m_service);
  // Replaces the record of an earlier incarnation, whose instance may have
  // departed.
  PublishMember();
  m_relay_choice.SetRegion({});
  const Duration delay =
      m_settings.m_is_first_start ? mesh_node_detail::kStartSpread : Duration{};
  m_ticks.Start(delay);
  m_relay_heartbeats.Start(delay);
  return true;
}

template <PlatformCodec Codec, PlatformStore Store>
bool MeshNode<Codec, Store>::IsReady() const {
  return !m_is_stopping && IsConfigUsable() && m_reader.IsLoaded();
}

template <PlatformCodec Codec, PlatformStore Store>
void MeshNode<Codec, Store>::OnControl(HttpRequest request,
                                       const StreamResponder& responder) {
  const ControlRequest control = Codec::DecodeControl(request);
  switch (control.m_kind) {
    case ControlRequest::Kind::kInvalid:
      LogEvent(LogLevel::kWarn, "announcement_invalid")
          .Add("target", request.m_target)
          .Add("reason", control.m_reason);
      responder({.m_status = 400});
      return;
    case ControlRequest::Kind::kAnnounce:
      if (!IsLocalInstance(control.m_announcement)) {
        LogEvent(LogLevel::kWarn, "announcement_invalid")
            .Add("instance", control.m_announcement.m_name)
            .Add("reason", "not an instance of this host");
        responder({.m_status = 400});
        return;
      }
      ApplyInstance(
          m_local_instance.OnAnnounce(control.m_announcement, BootNow()),
          "announced", control.m_announcement.Incarnation());
      break;
    case ControlRequest::Kind::kDeregister:
      ApplyInstance(m_local_instance.OnDeregister(
                        control.m_announcement.m_name,
                        control.m_announcement.m_start_time_ms, WallNow()),
                    "deregistered", control.m_announcement.Incarnation());
      break;
  }
  responder({.m_status = 200,
             .m_fields = {{"Content-Type", "application/json"}},
             .m_body = "{}"});
}

template <PlatformCodec Codec, PlatformStore Store>
bool MeshNode<Codec, Store>::IsLocalInstance(
    const InstanceAnnouncement& announcement) const {
  if (announcement.m_address.m_ip != m_settings.m_callers.m_ip) {
    return false;
  }
  const auto has_service = [&announcement](const TrafficConfig& config) {
    return std::find(config.m_services.begin(), config.m_services.end(),
                     announcement.m_service) != config.m_services.end();
  };
  return announcement.m_service == m_settings.m_service ||
         (m_config && has_service(*m_config));
}

template <PlatformCodec Codec, PlatformStore Store>
void MeshNode<Codec, Store>::ApplyInstance(LocalInstance::Change change,
                                           std::string_view cause,
                                           const InstanceIncarnation& about) {
  if (change == LocalInstance::Change::kStale) {
    CountIgnored(cause, about.m_name, about.m_start_time_ms);
  }
  if (change != LocalInstance::Change::kChanged) {
    return;
  }
  const InstanceAnnouncement* instance = m_local_instance.ActiveInstance();
  LogEvent(LogLevel::kInfo, "instance_changed")
      .Add("instance", instance == nullptr ? "" : instance->m_name)
      .Add("cause", cause)
      .Add("in_service", instance == nullptr ? "no" : "yes");
  m_egress.SetInstance(instance);
  PublishMember();
}

template <PlatformCodec Codec, PlatformStore Store>
void MeshNode<Codec, Store>::PublishMember() {
  MemberRecord record = m_targets.Self();
  record.m_is_leaving = m_refuses_work;
  record.m_reads_deltas = true;
  if (const InstanceAnnouncement* instance =
          m_local_instance.ActiveInstance()) {
    record.m_instance = instance->m_name;
    record.m_instance_start_ms = instance->m_start_time_ms;
    record.m_service = MakeServiceId(instance->m_service);
    record.m_slots = instance->m_slots;
  }
  if (const InstanceDeparture* departure = m_local_instance.LatestDeparture()) {
    record.m_departed = departure->m_name;
    record.m_departed_start_ms = departure->m_start_time_ms;
  }
  m_targets.SetMember(record);
  m_needs_publishing = true;
  UpdateInstanceCount();
  if (!m_reader.IsLoaded() && !m_settings.m_is_first_start) {
    // The era is unknown, and the record of an earlier process of this node may
    // name an instance that has left.
    return;
  }
  m_quarantine.AddTo(record, WallNow());
  const auto era = m_reader.Era();
  record.m_era = era.value_or(StoreEra(0));
  std::string text = EncodeMember(record);
  m_needs_publishing = text != m_published_record;
  if (m_is_publishing || !m_needs_publishing) {
    return;
  }
  m_store.WriteMember(
      ToString(m_self.m_node), text,
      [this, text](bool is_written, const std::string& reason) {
        m_is_publishing = false;
        if (const auto known = m_reader.Era(), era = m_store.Era();
            known && era && *era > *known) {
          m_reader.NoteEra(*era);
        }
        if (is_written) {
          m_publish_delay = mesh_node_detail::kPublishRetry;
          m_published_record = text;
          PublishMember();  // The record may have changed meanwhile.
          return;
        }
        LogEvent(LogLevel::kWarn, "member_not_written").Add("reason", reason);
        m_publish_at = BootNow() + m_publish_delay;
        m_publish_delay =
            std::min(mesh_node_detail::kMaxPublishRetry, m_publish_delay * 2);
      });
  m_is_publishing = true;
}

template <PlatformCodec Codec, PlatformStore Store>
void MeshNode<Codec, Store>::OnLocalOffer(Message message) {
  // Replies are posted so that the ingress is not reentered from its own call.
  const MessageSink sink = [this](const Message& reply) {
    asio::post(m_io,
               [this, reply] { m_ingress.OnReply(m_self.m_node, reply); });
  };
  OnRequest(m_self, std::move(message), sink);
}

template <PlatformCodec Codec, PlatformStore Store>
void MeshNode<Codec, Store>::OnRequest(const PeerKey& peer,
                                       Message message,
                                       const MessageSink& sink) {
  if (auto* offer = std::get_if<OfferMessage>(&message)) {
    m_egress.OnOffer(peer, std::move(*offer), sink);
  } else if (auto* tagged = std::get_if<TaggedOfferMessage>(&message)) {
    m_egress.OnOffer(peer, std::move(tagged->m_offer), sink);
  } else if (auto* start = std::get_if<StartMessage>(&message)) {
    m_egress.OnStart(peer, std::move(*start));
  } else if (const auto* withdraw = std::get_if<CancelMessage>(&message)) {
    m_egress.OnWithdraw(peer, withdraw->m_attempt);
  } else if (const auto* inquiry = std::get_if<OutcomeQueryMessage>(&message)) {
    m_egress.OnInquiry(peer, inquiry->m_attempt, sink);
  } else if (const auto* relay = std::get_if<RelayRequestMessage>(&message)) {
    OnRelayRequest(peer, *relay, sink);
  } else if (const auto* relayed = std::get_if<RelayMessage>(&message)) {
    OnRelay(peer.m_node, *relayed);
  } else if (std::holds_alternative<DrainingMessage>(message)) {
    OnDraining(peer);
  } else {
    m_limiter.OnRequest(peer, message, sink);
  }
}

template <PlatformCodec Codec, PlatformStore Store>
void MeshNode<Codec, Store>::OnDraining(const PeerKey& peer) {
  if (m_targets.MarkNodeLeaving(peer)) {
    m_relay_choice.SetRegion(m_targets.RegionNodes());
  } else {
    CountIgnored("draining", ToString(peer.m_node), peer.m_incarnation.Get());
  }
}

template <PlatformCodec Codec, PlatformStore Store>
void MeshNode<Codec, Store>::CountIgnored(std::string_view statement,
                                          std::string_view subject,
                                          uint64_t start) {
  ++m_ignored_statements;
  LogEvent(LogLevel::kInfo, "statement_ignored")
      .Add("statement", statement)
      .Add("subject", subject)
      .Add("start", std::to_string(start));
}

template <PlatformCodec Codec, PlatformStore Store>
void MeshNode<Codec, Store>::OnReply(const PeerKey& peer, Message message) {
  const NodeId node = peer.m_node;
  if (const auto* relay = std::get_if<RelayMessage>(&message)) {
    OnRelay(node, *relay);
  } else if (std::holds_alternative<DrainingMessage>(message)) {
    OnDraining(peer);
  } else if (const auto* request = std::get_if<RelayRequestMessage>(&message)) {
    // The other node has just started. The store may lack what it asks for.
    m_links.Send(
        node, RelayMessage{.m_age_ms = UINT32_MAX,
                           .m_packed = PackRecordsFrom(
                                           {.m_config = request->m_next_config,
                                            .m_member = request->m_next_member},
                                           false)
                                           .m_bytes});
  } else if (!m_limiter.OnReply(node, message)) {
    m_ingress.OnReply(node, std::move(message));
  }
}

template <PlatformCodec Codec, PlatformStore Store>
std::string MeshNode<Codec, Store>::Metrics() const {
  const TimePoint now = BootNow();
  return RenderNodeMetrics(
      {.m_ingress = m_ingress.Stats(),
       .m_limits = m_limiter.Stats(),
       .m_egress = m_egress.Stats(),
       .m_load = m_egress.CurrentLoad(),
       .m_stated_limit = m_egress.StatedLimit(),
       .m_request_latencies = m_ingress.Latencies(),
       .m_instance_latency = m_egress.Latency().Sample(),
       .m_requests = m_ingress.RequestCount(),
       .m_connections = m_callers.ConnectionCount(),
       .m_members = m_targets.size(),
       .m_crash_reports = m_quarantine.Reports().ReportCount(),
       .m_quarantined_requests = m_quarantine.Reports().size(),
       .m_config_version = m_config ? m_config->m_version.Get() : 0,
       .m_config_age = m_config ? now - m_config_applied_at : Duration{},
       .m_knowledge_age = KnowledgeAge(now),
       .m_config_rejects = m_config_rejects,
       .m_config_findings = m_config ? m_config->m_omitted.m_finding_count : 0,
       .m_accounts = m_config ? m_config->m_accounts.size() : 0,
       .m_store_era = m_reader.Era().value_or(StoreEra(0)),
       .m_store_era_changes = m_era_changes,
       .m_ignored_statements = m_ignored_statements,
       .m_budget = *m_budget,
       .m_large_bytes = m_egress.LargeBytes(),
       .m_large_bytes_bound = m_egress.LargeBytesBound(),
       .m_dropped_log_lines = DroppedLogLines(),
       .m_is_ready = IsReady()});
}

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MESH_MESH_NODE_INL_H_
