#ifndef SEQUOIASTAGE_MESH_MESH_NODE_RELAY_INL_H_
#define SEQUOIASTAGE_MESH_MESH_NODE_RELAY_INL_H_

// What the node knows from the store, and how it passes that on.

#include <algorithm>
#include <array>
#include <utility>

#include "sequoiastage/mesh/mesh_node.h"
#include "sequoiastage/mesh/mesh_node_inl.h"
#include "sequoiastage/mesh/wire_time.h"
#include "sequoiastage/wire/packed_records.h"

namespace sequoiastage {

template <PlatformCodec Codec, PlatformStore Store>
void MeshNode<Codec, Store>::OnRecord(const StoreRecord& record) {
  if (record.m_topic == StoreTopic::kConfig) {
    OnConfigRecord(record);
  } else {
    OnMemberRecord(record);
  }
}

template <PlatformCodec Codec, PlatformStore Store>
void MeshNode<Codec, Store>::OnConfigRecord(const StoreRecord& record) {
  std::string reason;
  auto config = Codec::DecodeConfig(record, &reason);
  if (!config) {
    if (!reason.empty()) {
      ++m_config_rejects;
      LogEvent(LogLevel::kWarn, "config_rejected")
          .Add("offset", static_cast<int64_t>(record.m_offset.Get()))
          .Add("reason", reason);
    }
    return;
  }
  if (m_config && config->m_version <= m_config->m_version) {
    LogEvent(LogLevel::kInfo, "config_superseded")
        .Add("version", static_cast<int64_t>(config->m_version.Get()))
        .Add("in_force", static_cast<int64_t>(m_config->m_version.Get()));
    return;
  }
  m_config = std::make_shared<const TrafficConfig>(*std::move(config));
  m_config_at = BootNow();
  m_ingress.SetConfig(m_config);
  const CallerLimits& limits = m_config->m_limits;
  m_callers.SetLimits(
      {.m_message = {.m_max_header_bytes = limits.m_max_header_bytes,
                     .m_max_body_bytes = limits.m_max_body_bytes},
       .m_header_timeout = limits.m_header_timeout,
       .m_idle_timeout = limits.m_idle_timeout,
       .m_max_held_bytes = m_settings.m_max_held_bytes});
  LogEvent(LogLevel::kInfo, "config_in_force")
      .Add("version", static_cast<int64_t>(m_config->m_version.Get()))
      .Add("offset", static_cast<int64_t>(record.m_offset.Get()))
      .Add("routes", static_cast<int64_t>(m_config->m_routes.size()))
      .Add("source", m_reader.IsReading() ? "store" : "relay");
}

template <PlatformCodec Codec, PlatformStore Store>
void MeshNode<Codec, Store>::OnMemberRecord(const StoreRecord& record) {
  const auto member = DecodeMember(record.m_value);
  if (!member || ToString(member->m_node) != record.m_key) {
    LogEvent(LogLevel::kWarn, "member_rejected").Add("key", record.m_key);
    return;
  }
  if (member->m_node == m_own.m_node) {
    // A late copy of an earlier record of this node: the newest is written
    // again.
    if (record.m_value != m_published && !m_is_publishing) {
      m_published.clear();
      PublishSelf();
    }
    return;
  }
  LogEvent(LogLevel::kDebug, "member_changed")
      .Add("node", record.m_key)
      .Add("instance", member->m_instance)
      .Add("leaving", member->m_is_leaving ? "yes" : "no");
  m_book.SetMember(*member);
  m_relay_choice.SetRegion(m_book.RegionNodes());
  UpdateServiceSize();
}

template <PlatformCodec Codec, PlatformStore Store>
void MeshNode<Codec, Store>::OnRelay(NodeId node, const RelayMessage& relay) {
  m_relay_choice.OnRelayed(node, std::chrono::milliseconds(relay.m_age_ms),
                           BootNow());
  if (relay.m_packed.empty()) {
    return;
  }
  const auto records = UnpackRecords(relay.m_packed);
  if (!records) {
    LogEvent(LogLevel::kWarn, "relay_damaged").Add("node", ToString(node));
    return;
  }
  for (const StoreRecord& record : *records) {
    m_reader.OnRelayed(record);
  }
  m_reader.MarkKnown();
}

template <PlatformCodec Codec, PlatformStore Store>
const std::string& MeshNode<Codec, Store>::PackFrom(LogOffset config,
                                                    LogOffset member) {
  const std::array<LogOffset, 4> range = {config, member,
                                          m_reader.Next(StoreTopic::kConfig),
                                          m_reader.Next(StoreTopic::kMembers)};
  // Most subscribers have the same records and lack the same ones.
  if (range != m_packed_range) {
    const auto records = m_reader.RecordsFrom(config, member);
    m_packed = records.empty() ? std::string() : PackRecords(records);
    m_packed_range = range;
  }
  return m_packed;
}

template <PlatformCodec Codec, PlatformStore Store>
void MeshNode<Codec, Store>::OnPeer(const PeerKey&, const MessageSink& sink) {
  if (!m_config && BootNow() - m_started_at > std::chrono::seconds(1)) {
    Subscribe(sink);
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
    age = std::min(age, m_reader.Age(now));
  }
  return std::min(age, m_relay_choice.RelayAge(now).value_or(age));
}

template <PlatformCodec Codec, PlatformStore Store>
void MeshNode<Codec, Store>::SendRelay(Subscriber& subscriber) {
  const RelayMessage message{
      .m_age_ms = ToWireMs<uint32_t>(KnowledgeAge(BootNow())),
      .m_packed = PackFrom(subscriber.m_next_config, subscriber.m_next_member)};
  subscriber.m_next_config = m_reader.Next(StoreTopic::kConfig);
  subscriber.m_next_member = m_reader.Next(StoreTopic::kMembers);
  subscriber.m_sink(message);
}

template <PlatformCodec Codec, PlatformStore Store>
void MeshNode<Codec, Store>::Tick() {
  FlushLogs();
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
  if (m_relay_choice.MustRead(now) || !m_reader.HasRead()) {
    m_reader.Start();
  } else {
    m_reader.Stop();
  }
  // A change goes out at once, those that follow it closely together.
  for (auto& [node, subscriber] : m_subscribers) {
    const bool has_changes =
        subscriber.m_next_config < m_reader.Next(StoreTopic::kConfig) ||
        subscriber.m_next_member < m_reader.Next(StoreTopic::kMembers);
    if (has_changes &&
        now - subscriber.m_changed_at > mesh_node_detail::kRelaySpacing) {
      subscriber.m_changed_at = now;
      SendRelay(subscriber);
    }
  }
  m_tick.expires_after(mesh_node_detail::kTick);
  m_tick.async_wait([this](const asio::error_code& error) {
    if (!error) {
      Tick();
    }
  });
}

template <PlatformCodec Codec, PlatformStore Store>
void MeshNode<Codec, Store>::TickRelay() {
  const RelayMessage beat{.m_age_ms =
                              ToWireMs<uint32_t>(KnowledgeAge(BootNow()))};
  for (const auto& [node, subscriber] : m_subscribers) {
    subscriber.m_sink(beat);
  }
  m_relay_tick.expires_after(mesh_node_detail::kRelayInterval);
  m_relay_tick.async_wait([this](const asio::error_code& error) {
    if (!error) {
      TickRelay();
    }
  });
}

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MESH_MESH_NODE_RELAY_INL_H_
