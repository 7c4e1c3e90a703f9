#ifndef SEQUOIASTAGE_MESH_MESH_NODE_H_
#define SEQUOIASTAGE_MESH_MESH_NODE_H_

#include <array>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "sequoiastage/http/stream_server.h"
#include "sequoiastage/mesh/egress.h"
#include "sequoiastage/mesh/ingress.h"
#include "sequoiastage/mesh/local_instance.h"
#include "sequoiastage/mesh/mesh_links.h"
#include "sequoiastage/mesh/mesh_settings.h"
#include "sequoiastage/mesh/relay_choice.h"
#include "sequoiastage/mesh/store_reader.h"
#include "sequoiastage/mesh/target_book.h"

namespace sequoiastage {

/// One node of a mesh: serves the callers of its host, is the only gate to the
/// host's instance, and knows members and configuration from the platform's
/// store, read by itself or by another node of its region.
///
///   asio::io_context io;
///   MeshNode<MyCodec, MyStore> node(io, settings, store);
///   if (!node.Start()) { ... node.LastReason() ... }
///   io.run();  // Ends some time after StartShutdown().
///
/// Everything runs on the thread of the io_context.
template <PlatformCodec Codec, PlatformStore Store>
class MeshNode {
 public:
  MeshNode(asio::io_context& io, const MeshSettings& settings, Store& store);

  /// False with LastReason() when an address can't be had.
  bool Start();
  const std::string& LastReason() const { return m_last_reason; }

  /// Is not ready from now on and lets callers go; when they had time to, takes
  /// no more work, and stops the io_context when all has ended, before the
  /// grace time is over.
  void StartShutdown();

  /// Prometheus text.
  std::string Metrics() const;

 private:
  struct Subscriber {
    MessageSink m_sink;
    LogOffset m_next_config;
    LogOffset m_next_member;
    TimePoint m_changed_at{};
  };

  void OnControl(HttpRequest request, const StreamResponder& responder);
  bool IsOwnInstance(const InstanceAnnouncement& announcement) const;
  void ApplyInstance(LocalInstance::Change change, std::string_view cause);
  void PublishSelf();
  // Tells the egress how many instances share the service's retry budget.
  void UpdateServiceSize();
  void OnRecord(const StoreRecord& record);
  void OnConfigRecord(const StoreRecord& record);
  void OnMemberRecord(const StoreRecord& record);
  void OnRequest(const PeerKey& peer, Message message, const MessageSink& sink);
  void OnLocalOffer(Message message);
  void OnReply(NodeId node, Message message);
  void OnRelay(NodeId node, const RelayMessage& relay);
  void OnPeer(const PeerKey& peer, const MessageSink& sink);
  void Subscribe(const MessageSink& sink);
  void Tick();
  void TickRelay();
  void TickShutdown();
  // Packed records at or after these offsets; valid until the next call.
  const std::string& PackFrom(LogOffset config, LogOffset member);
  void SendRelay(Subscriber& subscriber);
  Duration KnowledgeAge(TimePoint now) const;
  bool IsReady() const;

  asio::io_context& m_io;
  MeshSettings m_settings;
  Store& m_store;
  PeerKey m_own;
  TargetBook m_book;
  MeshLinks m_links;
  Egress<Codec> m_egress;
  Ingress<Codec> m_ingress;
  StoreReader<Store> m_reader;
  RelayChoice m_relay_choice;
  StreamServer m_callers;
  StreamServer m_ready;
  StreamServer m_control;
  StreamServer m_metrics;
  LocalInstance m_local;
  std::shared_ptr<const TrafficConfig> m_config;
  TimePoint m_config_at{};
  std::unordered_map<NodeId, Subscriber> m_subscribers;
  std::optional<NodeId> m_subscribed_to;
  std::string m_packed;
  // From and to which offsets m_packed holds: configuration, members.
  std::array<LogOffset, 4> m_packed_range{};
  // Written to the store, or being written.
  std::string m_published;
  bool m_is_publishing = false;
  bool m_is_stopping = false;
  // Takes no more work.
  bool m_has_left = false;
  TimePoint m_stop_at{};
  TimePoint m_started_at{};
  uint64_t m_config_rejects = 0;
  asio::steady_timer m_tick;
  asio::steady_timer m_relay_tick;
  asio::steady_timer m_publish_retry;
  asio::steady_timer m_shutdown_tick;
  std::string m_last_reason;
};

}  // namespace sequoiastage

#include "sequoiastage/mesh/mesh_node_inl.h"
#include "sequoiastage/mesh/mesh_node_relay_inl.h"

#endif  // SEQUOIASTAGE_MESH_MESH_NODE_H_
