#ifndef SEQUOIASTAGE_MESH_MESH_NODE_RELAY_INL_H_
#define SEQUOIASTAGE_MESH_MESH_NODE_RELAY_INL_H_

// Handling of store records and their relay to other nodes.

#include <algorithm>
#include <random>
#include <utility>

#include "sequoiastage/mesh/mesh_node.h"
#include "sequoiastage/mesh/mesh_node_inl.h"
#include "sequoiastage/mesh/wire_time.h"
#include "sequoiastage/wire/packed_records.h"

namespace sequoiastage {

namespace mesh_node_detail {

// A node that has just started asks this many of the nodes that connect to it
// for records that the store has lost.
inline constexpr Duration kStartupPeriod = std::chrono::seconds(15);
inline constexpr size_t kMaxStartupPeers = 3;
// Peers connect and answer in about 0.3 s. A node without peers serves after
// this time.
inline constexpr Duration kConfirmTime = std::chrono::milliseconds(1500);

}  // namespace mesh_node_detail

template <PlatformCodec Codec, PlatformStore Store>
void MeshNode<Codec, Store>::UpdateInstanceCount() {
  const InstanceAnnouncement* instance = m_local_instance.ActiveInstance();
  const ServiceId service = MakeServiceId(
      instance == nullptr ? m_settings.m_service : instance->m_service);
  // A node that knows no other member would take the whole budget.
  m_egress.SetInstanceCount(
      m_reader.IsLoaded() ? m_targets.InstanceCount(service) : 0);
}

template <PlatformCodec Codec, PlatformStore Store>
bool MeshNode<Codec, Store>::OnRecord(const StoreRecord& record) {
  return record.m_topic == StoreTopic::kConfig ? OnConfigRecord(record)
                                               : OnMemberRecord(record);
}

template <PlatformCodec Codec, PlatformStore Store>
void MeshNode<Codec, Store>::OnStoreEra(std::optional<StoreEra> previous) {
  if (!previous) {
    return;
  }
  ++m_era_changes;
  m_era_noticed_at = BootNow();
  LogEvent(LogLevel::kWarn, "store_era_changed")
      .Add("previous", static_cast<int64_t>(previous->Get()))
      .Add("era", static_cast<int64_t>(m_reader.Era()->Get()))
      .Add("config_offset",
           static_cast<int64_t>(
               OffsetOf(m_reader.Next(StoreTopic::kConfig)).Get()))
      .Add("member_offset",
           static_cast<int64_t>(
               OffsetOf(m_reader.Next(StoreTopic::kMembers)).Get()))
      .Add("source", m_reader.IsReading() ? "store" : "relay");
  std::uniform_int_distribution<int64_t> spread(
      0, mesh_node_detail::kRewriteSpread.count());
  std::random_device random;
  m_rewrite_timer.expires_after(Duration(spread(random)));
  m_rewrite_timer.async_wait([this](const asio::error_code& error) {
    if (!error) {
      PublishMember();
    }
  });
}

template <PlatformCodec Codec, PlatformStore Store>
void MeshNode<Codec, Store>::RemoveLostMembers() {
  for (const NodeId node : m_targets.Nodes()) {
    const std::string key = ToString(node);
    const auto position = m_reader.PositionOf(StoreTopic::kMembers, key);
    if (node == m_self.m_node || m_links.IsUsable(node) ||
        (position && EraOf(*position) == *m_reader.Era())) {
      continue;
    }
    LogEvent(LogLevel::kInfo, "member_lost").Add("node", key);
    m_targets.RemoveMember(node);
    m_reader.Forget(StoreTopic::kMembers, key);
  }
  m_relay_choice.SetRegion(m_targets.RegionNodes());
  UpdateInstanceCount();
}

template <PlatformCodec Codec, PlatformStore Store>
bool MeshNode<Codec, Store>::OnConfigRecord(const StoreRecord& record) {
  std::string reason;
  auto config = Codec::DecodeConfig(record, &reason);
  if (!config) {
    if (!reason.empty()) {
      ++m_config_rejects;
      LogEvent(LogLevel::kWarn, "config_rejected")
          .Add("offset",
               static_cast<int64_t>(OffsetOf(record.m_position).Get()))
          .Add("reason", reason);
    }
    return false;
  }
  if (m_config && config->m_version == m_config->m_version) {
    return false;
  }
  if (m_config && config->m_version < m_config->m_version) {
    LogEvent(LogLevel::kInfo, "config_superseded")
        .Add("version", static_cast<int64_t>(config->m_version.Get()))
        .Add("in_force", static_cast<int64_t>(m_config->m_version.Get()));
    return false;
  }
  m_config = std::make_shared<const TrafficConfig>(*std::move(config));
  m_config_applied_at = BootNow();
  m_relay_choice.SetConfigBytes(record.m_value.size());
  // Before the limiter, which opens links.
  m_links.SetManagesLoad(m_config->ManagesLoad());
  m_limiter.SetConfig(m_config);
  if (IsConfigUsable()) {
    m_ingress.SetConfig(m_config);
  }
  m_egress.SetConfig(m_config);
  const CallerLimits& limits = m_config->m_limits;
  m_callers.SetLimits(
      {.m_message = {.m_max_header_bytes = limits.m_max_header_bytes,
                     .m_max_body_bytes = limits.m_max_body_bytes},
       .m_header_timeout = limits.m_header_timeout,
       .m_idle_timeout = limits.m_idle_timeout,
       .m_max_held_bytes = m_settings.m_max_held_bytes,
       .m_applies_budget = m_config->ManagesLoad(),
       .m_max_connections = m_settings.m_max_connections});
  for (const Finding& finding : m_config->m_omitted.m_findings) {
    LogEvent(LogLevel::kWarn, "config_finding")
        .Add("version", static_cast<int64_t>(m_config->m_version.Get()))
        .Add("at", finding.m_pointer)
        .Add("reason", finding.m_message);
  }
  LogEvent(LogLevel::kInfo, "config_in_force")
      .Add("version", static_cast<int64_t>(m_config->m_version.Get()))
      .Add("offset", static_cast<int64_t>(OffsetOf(record.m_position).Get()))
      .Add("routes", static_cast<int64_t>(m_config->m_routes.size()))
      .Add("accounts", static_cast<int64_t>(m_config->m_accounts.size()))
      .Add("findings",
           static_cast<int64_t>(m_config->m_omitted.m_finding_count))
      .Add("source", m_reader.IsReading() ? "store" : "relay");
  return true;
}

template <PlatformCodec Codec, PlatformStore Store>
void MeshNode<Codec, Store>::ConfirmConfig() {
  const bool has_answers =
      m_startup_answers >= std::max<size_t>(1, m_asked_peers);
  // A store in its first era has never gone back to an older copy.
  const bool is_store_current = m_reader.IsReading() && m_reader.IsLoaded() &&
                                m_reader.Era() == StoreEra(0);
  if (m_is_config_confirmed ||
      !(m_settings.m_is_first_start || has_answers || is_store_current ||
        BootNow() - m_started_at > mesh_node_detail::kConfirmTime)) {
    return;
  }
  m_is_config_confirmed = true;
  if (m_config) {
    m_ingress.SetConfig(m_config);
  }
}

template <PlatformCodec Codec, PlatformStore Store>
bool MeshNode<Codec, Store>::OnMemberRecord(const StoreRecord& record) {
  const auto member = DecodeMember(record.m_value);
  if (!member || ToString(member->m_node) != record.m_key) {
    LogEvent(LogLevel::kWarn, "member_rejected").Add("key", record.m_key);
    return false;
  }
  m_quarantine.OnMember(*member, WallNow());
  if (member->m_node == m_self.m_node) {
    if (!member->m_departed.empty()) {
      ApplyInstance(m_local_instance.RestoreDeparture(member->Departure()),
                    "departed-before-restart", member->Departure());
    }
    // A stale record of this node: the current one is written again.
    if (record.m_value != m_published_record && !m_is_publishing) {
      m_published_record.clear();
      PublishMember();
    }
    return true;
  }
  LogEvent(LogLevel::kDebug, "member_changed")
      .Add("node", record.m_key)
      .Add("incarnation", std::to_string(member->m_incarnation.Get()))
      .Add("instance", member->m_instance)
      .Add("leaving", member->m_is_leaving ? "yes" : "no");
  m_targets.SetMember(*member);
  m_relay_choice.SetRegion(m_targets.RegionNodes());
  UpdateInstanceCount();
  return true;
}

template <PlatformCodec Codec, PlatformStore Store>
void MeshNode<Codec, Store>::OnRelay(NodeId node, const RelayMessage& relay) {
  if (!relay.m_packed.empty() && !ApplyRelayed(node, relay.m_packed)) {
    return;
  }
  m_relay_choice.OnRelayReport(node, std::chrono::milliseconds(relay.m_age_ms),
                               BootNow());
  m_startup_answers += relay.m_age_ms == UINT32_MAX ? 1 : 0;
  ConfirmConfig();
}

template <PlatformCodec Codec, PlatformStore Store>
bool MeshNode<Codec, Store>::ApplyRelayed(NodeId node,
                                          const std::string& packed) {
  bool lacks_base = false;
  bool has_base = false;
  const auto records = UnpackRecords(packed, [&](StorePosition position) {
    const StoreRecord* base = m_reader.ConfigBefore(NextPosition(position));
    has_base = base != nullptr;
    lacks_base = base == nullptr;
    return has_base ? &base->m_value : nullptr;
  });
  if (lacks_base) {
    // This node has received a newer configuration over another path.
    ConfirmRelay(node, EndOfCopy());
    return false;
  }
  if (!records) {
    LogEvent(LogLevel::kWarn, "relay_damaged").Add("node", ToString(node));
    if (has_base) {
      ConfirmRelay(node, {});
    }
    return false;
  }
  for (const StoreRecord& record : *records) {
    m_reader.ApplyRelayed(record);
  }
  m_reader.MarkLoaded();
  ConfirmRelay(node, EndOfCopy());
  return true;
}

template <PlatformCodec Codec, PlatformStore Store>
void MeshNode<Codec, Store>::ConfirmRelay(NodeId relay,
                                          const RelayPositions& reached) {
  const MemberRecord* member = m_targets.Find(relay);
  // An older build would take it for a new subscription.
  if (relay == m_subscribed_to && member != nullptr && member->m_reads_deltas) {
    m_links.Send(relay, RelayRequestMessage{.m_next_config = reached.m_config,
                                            .m_next_member = reached.m_member});
  }
}

template <PlatformCodec Codec, PlatformStore Store>
RelayPositions MeshNode<Codec, Store>::EndOfCopy() const {
  return {.m_config = m_reader.Next(StoreTopic::kConfig),
          .m_member = m_reader.Next(StoreTopic::kMembers)};
}

template <PlatformCodec Codec, PlatformStore Store>
auto MeshNode<Codec, Store>::PackRecordsFrom(const RelayPositions& from,
                                             bool reads_deltas)
    -> const PackedChanges& {
  const RelayPositions end = EndOfCopy();
  if (end != m_packed_end) {
    m_packed_changes.clear();
    m_packed_end = end;
  }
  // Most subscribers have the same offsets, so the packed records are reused.
  const auto [entry, is_new] =
      m_packed_changes.try_emplace({from, reads_deltas});
  PackedChanges& packed = entry->second;
  if (!is_new) {
    return packed;
  }
  const auto records = m_reader.RecordsFrom(from.m_config, from.m_member);
  if (records.empty()) {
    return packed;
  }
  packed.m_last = RelayPositions{};
  bool has_config = false;
  for (const StoreRecord& record : records) {
    const bool is_config = record.m_topic == StoreTopic::kConfig;
    has_config |= is_config;
    StorePosition& last =
        is_config ? packed.m_last->m_config : packed.m_last->m_member;
    last = std::max(last, NextPosition(record.m_position));
  }
  const StoreRecord* base = has_config && reads_deltas
                                ? m_reader.ConfigBefore(from.m_config)
                                : nullptr;
  packed.m_bytes = base == nullptr ? PackRecords(records)
                                   : PackRecordsAgainst(records, *base);
  return packed;
}

template <PlatformCodec Codec, PlatformStore Store>
void MeshNode<Codec, Store>::OnPeerOpened(const PeerKey&,
                                          const MessageSink& sink) {
  if (m_refuses_work) {
    sink(DrainingMessage{});
  }
  const Duration up_time = BootNow() - m_started_at;
  if (!m_config && up_time > std::chrono::seconds(1)) {
    Subscribe(sink);
    return;
  }
  if (up_time < mesh_node_detail::kStartupPeriod &&
      m_startup_peers.size() < mesh_node_detail::kMaxStartupPeers) {
    m_startup_peers.push_back(sink);
  }
}

template <PlatformCodec Codec, PlatformStore Store>
void MeshNode<Codec, Store>::Subscribe(const MessageSink& sink) {
  sink(RelayRequestMessage{
      .m_next_config = m_reader.Next(StoreTopic::kConfig),
      .m_next_member = m_reader.Next(StoreTopic::kMembers)});
}

template <PlatformCodec Codec, PlatformStore Store>
Duration MeshNode<Codec, Store>::KnowledgeAge(TimePoint now) const {
  Duration age = std::chrono::hours(1);
  if (m_reader.IsReading()) {
    age = std::min(age, m_reader.ConfigReadAge(now));
  }
  return std::min(age, m_relay_choice.RelayAge(now).value_or(age));
}

template <PlatformCodec Codec, PlatformStore Store>
void MeshNode<Codec, Store>::SendRelay(const PeerKey& peer,
                                       Subscriber& subscriber) {
  const TimePoint now = BootNow();
  const MemberRecord* member = m_targets.Find(peer.m_node);
  const bool reads_deltas = member != nullptr && member->m_reads_deltas &&
                            member->m_incarnation == peer.m_incarnation;
  const PackedChanges& packed =
      PackRecordsFrom(subscriber.m_feed.Next(), reads_deltas);
  subscriber.m_sink(
      RelayMessage{.m_age_ms = ToWireMs<uint32_t>(KnowledgeAge(now)),
                   .m_packed = packed.m_bytes});
  subscriber.m_feed.OnSent(EndOfCopy(), packed.m_last, reads_deltas, now);
}

template <PlatformCodec Codec, PlatformStore Store>
void MeshNode<Codec, Store>::OnRelayRequest(const PeerKey& peer,
                                            const RelayRequestMessage& request,
                                            const MessageSink& sink) {
  const RelayPositions reached{.m_config = request.m_next_config,
                               .m_member = request.m_next_member};
  Subscriber& subscriber = m_subscribers[peer];
  subscriber.m_sink = sink;
  if (subscriber.m_feed.IsAwaiting()) {
    subscriber.m_feed.OnConfirmed(reached);
    if (!subscriber.m_feed.IsDue(EndOfCopy(), BootNow())) {
      SendAge(subscriber);
      return;
    }
  } else {
    subscriber.m_feed = RelayFeed(reached);
  }
  SendRelay(peer, subscriber);
}

template <PlatformCodec Codec, PlatformStore Store>
void MeshNode<Codec, Store>::LogBudgetRefusals() {
  const TimePoint now = BootNow();
  const uint64_t refusals = m_budget->Refusals();
  if (refusals == m_logged_refusals ||
      now - m_refusals_logged_at < std::chrono::seconds(1)) {
    return;
  }
  LogEvent(LogLevel::kWarn, "byte_budget_short")
      .Add("refused", static_cast<int64_t>(refusals - m_logged_refusals))
      .Add("limit", static_cast<int64_t>(m_budget->Limit()))
      .Add("held", static_cast<int64_t>(m_budget->Held()))
      .Add("caller_requests",
           static_cast<int64_t>(m_budget->Held(HeldKind::kCallerRequests)))
      .Add("caller_responses",
           static_cast<int64_t>(m_budget->Held(HeldKind::kCallerResponses)))
      .Add("links", static_cast<int64_t>(m_budget->Held(HeldKind::kLinks)))
      .Add("instance",
           static_cast<int64_t>(m_budget->Held(HeldKind::kInstanceRequests) +
                                m_budget->Held(HeldKind::kInstanceResponses)));
  m_logged_refusals = refusals;
  m_refusals_logged_at = now;
}

template <PlatformCodec Codec, PlatformStore Store>
void MeshNode<Codec, Store>::AddPeriodicSteps() {
  m_ticks.Add("flush-logs", [this] {
    FlushLogs();
    LogBudgetRefusals();
  });
  m_ticks.Add("choose-relay", [this] { ChooseRelay(); });
  m_ticks.Add("publish-member", [this] {
    if (m_needs_publishing && !m_is_publishing && BootNow() >= m_publish_at) {
      PublishMember();
    }
  });
  m_ticks.Add("update-members", [this] {
    UpdateInstanceCount();
    m_quarantine.Tick(WallNow());
    if (m_era_noticed_at &&
        BootNow() - *m_era_noticed_at > mesh_node_detail::kRewriteTimeout) {
      m_era_noticed_at.reset();
      RemoveLostMembers();
    }
  });
  m_ticks.Add("confirm-config", [this] {
    AskStartupPeers();
    ConfirmConfig();
  });
  m_ticks.Add("send-changes", [this] { SendChanges(); });
  m_relay_heartbeats.Add("send-heartbeats", [this] { SendRelayHeartbeats(); });
  m_shutdown_steps.Add("stop-accepting", [this] { StopAccepting(); });
  m_shutdown_steps.Add("end-requests", [this] {
    if (BootNow() - m_stop_requested_at >= AnswerTime()) {
      m_ingress.FailAll("the node stops");
    }
  });
  m_shutdown_steps.Add("end-when-idle", [this] { EndWhenIdle(); });
}

template <PlatformCodec Codec, PlatformStore Store>
void MeshNode<Codec, Store>::ChooseRelay() {
  const TimePoint now = BootNow();
  const auto relay = m_relay_choice.Relay(now);
  if (relay != m_subscribed_to) {
    m_subscribed_to.reset();
    if (relay &&
        m_links.Send(
            *relay,
            RelayRequestMessage{
                .m_next_config = m_reader.Next(StoreTopic::kConfig),
                .m_next_member = m_reader.Next(StoreTopic::kMembers)})) {
      m_subscribed_to = relay;
    }
  }
  if (const auto outdated = m_relay_choice.TakeOutdated()) {
    LogEvent(LogLevel::kInfo, "relay_outdated")
        .Add("node", ToString(outdated->first))
        .Add("age_ms", WholeMs(outdated->second));
  }
  const ReadScope scope =
      m_reader.IsLoaded() ? m_relay_choice.Scope(now) : ReadScope::kAll;
  if (scope != m_reader.Scope()) {
    const auto age = m_relay_choice.RelayAge(now);
    LogEvent(LogLevel::kInfo, "store_scope_changed")
        .Add("scope", ToString(scope))
        .Add("relay", relay ? ToString(*relay) : "none")
        .Add("age_ms", age ? WholeMs(*age) : -1);
  }
  m_reader.SetScope(scope);
}

template <PlatformCodec Codec, PlatformStore Store>
void MeshNode<Codec, Store>::AskStartupPeers() {
  // The store may have restarted from an older copy shortly before this node
  // started. The other nodes still have what it lost.
  if (!m_config || !m_reader.IsLoaded()) {
    return;
  }
  for (; m_asked_peers < m_startup_peers.size(); ++m_asked_peers) {
    Subscribe(m_startup_peers[m_asked_peers]);
  }
}

template <PlatformCodec Codec, PlatformStore Store>
void MeshNode<Codec, Store>::SendChanges() {
  const TimePoint now = BootNow();
  const RelayPositions end = EndOfCopy();
  for (auto& [peer, subscriber] : m_subscribers) {
    if (subscriber.m_feed.IsDue(end, now)) {
      SendRelay(peer, subscriber);
    }
  }
}

template <PlatformCodec Codec, PlatformStore Store>
void MeshNode<Codec, Store>::SendAge(Subscriber& subscriber) {
  const TimePoint now = BootNow();
  subscriber.m_sink(
      RelayMessage{.m_age_ms = ToWireMs<uint32_t>(subscriber.m_feed.Age(
                       EndOfCopy(), KnowledgeAge(now), now))});
}

template <PlatformCodec Codec, PlatformStore Store>
void MeshNode<Codec, Store>::SendRelayHeartbeats() {
  for (auto& [peer, subscriber] : m_subscribers) {
    SendAge(subscriber);
  }
}

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MESH_MESH_NODE_RELAY_INL_H_
