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

// Housekeeping without a bound of its own.
inline constexpr Duration kTick = std::chrono::milliseconds(200);
// A relay tells its subscribers that it is up to date this often, well within
// RelayChoiceOptions::m_max_age.
inline constexpr Duration kRelayInterval = std::chrono::milliseconds(500);
// All nodes start within this of each other; who reads the members later than
// that finds all of them at once.
inline constexpr Duration kStartSpread = std::chrono::milliseconds(400);
inline constexpr Duration kPublishRetry = std::chrono::milliseconds(500);
// Callers are sent elsewhere after they found the node not ready twice, a
// second apart. Until then requests go on, and so does the instance of the
// host, which stays when only the node stops. Then the node takes no more, so
// that what it has taken ends within the grace time.
inline constexpr Duration kTakeUntil = std::chrono::milliseconds(2900);
// Other nodes and callers have noticed by then.
inline constexpr Duration kLeastShutdown = std::chrono::milliseconds(3300);
// Part of the grace time that is used; the rest covers a slow host.
inline constexpr double kGraceShare = 0.94;

// Least time between two messages with changes to one subscriber.
inline constexpr Duration kRelaySpacing = std::chrono::milliseconds(700);

inline Incarnation RandomRun() {
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
      m_own{.m_node = NodeId(settings.m_peer),
            .m_run = mesh_node_detail::RandomRun()},
      m_book(MemberRecord{.m_node = m_own.m_node,
                          .m_domain = settings.m_domain,
                          .m_region = settings.m_region}),
      m_links(
          io,
          m_own,
          {},
          {.m_on_reply =
               [this](NodeId node, Message message) {
                 OnReply(node, std::move(message));
               },
           .m_on_open =
               [this](NodeId node, Incarnation run) {
                 m_ingress.OnLinkOpen(node, run);
               },
           .m_on_lost =
               [this](NodeId node, const std::string&) {
                 m_relay_choice.OnLost(node, BootNow());
                 if (m_subscribed_to == node) {
                   m_subscribed_to.reset();
                 }
                 m_ingress.OnLinkLost(node);
               },
           .m_on_request =
               [this](const PeerKey& peer,
                      Message message,
                      const MessageSink& sink) {
                 OnRequest(peer, std::move(message), sink);
               },
           .m_on_peer = [this](const PeerKey& peer,
                               const MessageSink& sink) { OnPeer(peer, sink); },
           .m_on_peer_lost =
               [this](const PeerKey& peer) {
                 m_subscribers.erase(peer.m_node);
                 m_egress.OnPeerLost(peer);
               }}),
      m_egress(
          io,
          {.m_repeats = settings.m_repeats},
          [this] { ApplyInstance(m_local.OnMismatch(), "address-taken"); }),
      m_ingress(
          io,
          {},
          settings.m_service,
          m_book,
          m_links,
          {.m_local_offer =
               [this](Message message) { OnLocalOffer(std::move(message)); },
           .m_on_failure = [this] { m_egress.OnLocalFailure(); },
           .m_knowledge_age = [this] { return KnowledgeAge(BootNow()); }}),
      m_reader(io,
               store,
               {},
               [this](const StoreRecord& record) { OnRecord(record); }),
      m_relay_choice(m_own.m_node),
      m_callers(io,
                [this](HttpRequest request, const StreamResponder& responder) {
                  return m_ingress.OnRequest(std::move(request), responder);
                }),
      m_ready(io,
              [this](const HttpRequest& request,
                     const StreamResponder& responder) -> CancelHook {
                const bool is_ready = Codec::IsReadyQuery(request) && IsReady();
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
      m_tick(io),
      m_relay_tick(io),
      m_publish_retry(io),
      m_shutdown_tick(io) {}

template <PlatformCodec Codec, PlatformStore Store>
bool MeshNode<Codec, Store>::Start() {
  m_started_at = BootNow();
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
      .Add("node", ToString(m_own.m_node))
      .Add("region", m_settings.m_region)
      .Add("domain", m_settings.m_domain)
      .Add("service", m_settings.m_service);
  // Replaces the record of an earlier run, whose instance may be gone.
  PublishSelf();
  m_relay_choice.SetRegion({});
  m_tick.expires_after(m_settings.m_is_first_start
                           ? mesh_node_detail::kStartSpread
                           : Duration{});
  m_tick.async_wait([this](const asio::error_code& error) {
    if (!error) {
      m_reader.Start();
      Tick();
      TickRelay();
    }
  });
  return true;
}

template <PlatformCodec Codec, PlatformStore Store>
bool MeshNode<Codec, Store>::IsReady() const {
  return !m_is_stopping && m_config && m_reader.HasRead();
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
      if (!IsOwnInstance(control.m_announcement)) {
        LogEvent(LogLevel::kWarn, "announcement_invalid")
            .Add("instance", control.m_announcement.m_name)
            .Add("reason", "not an instance of this host");
        responder({.m_status = 400});
        return;
      }
      ApplyInstance(m_local.OnAnnounce(control.m_announcement, BootNow()),
                    "announced");
      break;
    case ControlRequest::Kind::kDeregister:
      ApplyInstance(m_local.OnDeregister(control.m_announcement.m_name),
                    "deregistered");
      break;
  }
  responder({.m_status = 200,
             .m_fields = {{"Content-Type", "application/json"}},
             .m_body = "{}"});
}

template <PlatformCodec Codec, PlatformStore Store>
bool MeshNode<Codec, Store>::IsOwnInstance(
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
                                           std::string_view cause) {
  if (change != LocalInstance::Change::kChanged) {
    return;
  }
  const InstanceAnnouncement* instance = m_local.InService();
  LogEvent(LogLevel::kInfo, "instance_changed")
      .Add("instance", instance == nullptr ? "" : instance->m_name)
      .Add("cause", cause)
      .Add("in_service", instance == nullptr ? "no" : "yes");
  m_egress.SetInstance(instance);
  PublishSelf();
}

template <PlatformCodec Codec, PlatformStore Store>
void MeshNode<Codec, Store>::PublishSelf() {
  MemberRecord own = m_book.Own();
  own.m_is_leaving = m_has_left;
  if (const InstanceAnnouncement* instance = m_local.InService()) {
    own.m_instance = instance->m_name;
    own.m_service = ServiceIdOf(instance->m_service);
    own.m_slots = instance->m_slots;
  }
  m_book.SetMember(own);
  UpdateServiceSize();
  std::string text = EncodeMember(own);
  if (m_is_publishing || text == m_published) {
    return;
  }
  m_is_publishing = true;
  m_store.WriteMember(
      ToString(m_own.m_node), text,
      [this, text](bool is_written, const std::string& reason) {
        m_is_publishing = false;
        if (is_written) {
          m_published = text;
          PublishSelf();  // It may have changed meanwhile.
          return;
        }
        LogEvent(LogLevel::kWarn, "member_not_written").Add("reason", reason);
        m_publish_retry.expires_after(mesh_node_detail::kPublishRetry);
        m_publish_retry.async_wait([this](const asio::error_code& error) {
          if (!error) {
            PublishSelf();
          }
        });
      });
}

template <PlatformCodec Codec, PlatformStore Store>
void MeshNode<Codec, Store>::UpdateServiceSize() {
  const InstanceAnnouncement* instance = m_local.InService();
  m_egress.SetServiceSize(m_book.ServiceSize(ServiceIdOf(
      instance == nullptr ? m_settings.m_service : instance->m_service)));
}

template <PlatformCodec Codec, PlatformStore Store>
void MeshNode<Codec, Store>::OnLocalOffer(Message message) {
  // Replies are posted: the ingress is not called from within its own call.
  const MessageSink sink = [this](const Message& reply) {
    asio::post(m_io, [this, reply] { m_ingress.OnReply(m_own.m_node, reply); });
  };
  OnRequest(m_own, std::move(message), sink);
}

template <PlatformCodec Codec, PlatformStore Store>
void MeshNode<Codec, Store>::OnRequest(const PeerKey& peer,
                                       Message message,
                                       const MessageSink& sink) {
  if (auto* offer = std::get_if<OfferMessage>(&message)) {
    m_egress.OnOffer(peer, std::move(*offer), sink);
  } else if (auto* start = std::get_if<StartMessage>(&message)) {
    m_egress.OnStart(peer, std::move(*start));
  } else if (const auto* withdraw = std::get_if<CancelMessage>(&message)) {
    m_egress.OnWithdraw(peer, withdraw->m_attempt);
  } else if (const auto* inquiry = std::get_if<OutcomeQueryMessage>(&message)) {
    m_egress.OnInquiry(peer, inquiry->m_attempt, sink);
  } else if (const auto* relay = std::get_if<RelayRequestMessage>(&message)) {
    Subscriber& subscriber = m_subscribers[peer.m_node];
    subscriber = {.m_sink = sink,
                  .m_next_config = relay->m_next_config,
                  .m_next_member = relay->m_next_member};
    SendRelay(subscriber);
  } else if (const auto* relayed = std::get_if<RelayMessage>(&message)) {
    OnRelay(peer.m_node, *relayed);
  } else if (std::holds_alternative<DrainingMessage>(message)) {
    m_book.SetLeaving(peer.m_node);
    m_relay_choice.SetRegion(m_book.RegionNodes());
  }
}

template <PlatformCodec Codec, PlatformStore Store>
void MeshNode<Codec, Store>::OnReply(NodeId node, Message message) {
  if (const auto* relay = std::get_if<RelayMessage>(&message)) {
    OnRelay(node, *relay);
  } else if (std::holds_alternative<DrainingMessage>(message)) {
    m_book.SetLeaving(node);
    m_relay_choice.SetRegion(m_book.RegionNodes());
  } else if (const auto* request = std::get_if<RelayRequestMessage>(&message)) {
    // The other node has just started and knows nobody but this one.
    m_links.Send(node,
                 RelayMessage{.m_age_ms = UINT32_MAX,
                              .m_packed = PackFrom(request->m_next_config,
                                                   request->m_next_member)});
  } else {
    m_ingress.OnReply(node, std::move(message));
  }
}

template <PlatformCodec Codec, PlatformStore Store>
void MeshNode<Codec, Store>::StartShutdown() {
  if (m_is_stopping) {
    return;
  }
  m_is_stopping = true;
  const TimePoint now = BootNow();
  m_stop_at = now;
  LogEvent(LogLevel::kInfo, "node_stopping")
      .Add("requests", static_cast<int64_t>(m_ingress.RequestCount()))
      .Add("work", static_cast<int64_t>(m_egress.WorkCount()));
  m_callers.StartDrain();
  TickShutdown();
}

template <PlatformCodec Codec, PlatformStore Store>
void MeshNode<Codec, Store>::TickShutdown() {
  const Duration since = BootNow() - m_stop_at;
  if (since >= mesh_node_detail::kTakeUntil && !m_has_left) {
    m_has_left = true;
    m_callers.Stop();
    m_egress.StartLeaving();
    m_links.Broadcast(DrainingMessage{});
    PublishSelf();
  }
  const bool is_idle =
      m_ingress.RequestCount() == 0 && m_egress.WorkCount() == 0;
  const auto longest = std::chrono::duration_cast<Duration>(
      m_settings.m_grace * mesh_node_detail::kGraceShare);
  if (since >= longest ||
      (is_idle && since >= mesh_node_detail::kLeastShutdown)) {
    LogEvent(LogLevel::kInfo, "node_stopped")
        .Add("requests", static_cast<int64_t>(m_ingress.RequestCount()))
        .Add("after_ms", WholeMs(since));
    m_io.stop();
    return;
  }
  m_shutdown_tick.expires_after(std::chrono::milliseconds(50));
  m_shutdown_tick.async_wait([this](const asio::error_code& error) {
    if (!error) {
      TickShutdown();
    }
  });
}

template <PlatformCodec Codec, PlatformStore Store>
std::string MeshNode<Codec, Store>::Metrics() const {
  const TimePoint now = BootNow();
  return RenderNodeMetrics(
      {.m_ingress = m_ingress.Stats(),
       .m_egress = m_egress.Stats(),
       .m_standing = m_egress.Standing(),
       .m_request_latencies = m_ingress.Latencies(),
       .m_instance_latency = m_egress.Latency().Sample(),
       .m_requests = m_ingress.RequestCount(),
       .m_connections = m_callers.ConnectionCount(),
       .m_members = m_book.size(),
       .m_config_version = m_config ? m_config->m_version.Get() : 0,
       .m_config_age = m_config ? now - m_config_at : Duration{},
       .m_knowledge_age = KnowledgeAge(now),
       .m_config_rejects = m_config_rejects,
       .m_dropped_log_lines = DroppedLogLines(),
       .m_is_ready = IsReady()});
}

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MESH_MESH_NODE_INL_H_
