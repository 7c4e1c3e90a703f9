#ifndef SEQUOIASTAGE_MESH_MESH_NODE_H_
#define SEQUOIASTAGE_MESH_MESH_NODE_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "sequoiastage/base/byte_budget.h"
#include "sequoiastage/http/stream_server.h"
#include "sequoiastage/mesh/account_limiter.h"
#include "sequoiastage/mesh/egress.h"
#include "sequoiastage/mesh/event_loop.h"
#include "sequoiastage/mesh/ingress.h"
#include "sequoiastage/mesh/local_instance.h"
#include "sequoiastage/mesh/mesh_links.h"
#include "sequoiastage/mesh/mesh_settings.h"
#include "sequoiastage/mesh/relay_choice.h"
#include "sequoiastage/mesh/relay_feed.h"
#include "sequoiastage/mesh/shared_quarantine.h"
#include "sequoiastage/mesh/store_reader.h"
#include "sequoiastage/mesh/target_table.h"

namespace sequoiastage {

/// One node of a mesh: serves the callers of its host, admits all requests to
/// the host's instance, and follows members and configuration in the platform's
/// store, reading it directly or through another node of its region.
///
///   asio::io_context io;
///   MeshNode<MyCodec, MyStore> node(io, settings, store);
///   if (!node.Start()) { ... node.LastReason() ... }
///   io.run();  // Returns some time after StartShutdown().
///
/// Everything runs on the thread of the io_context.
template <PlatformCodec Codec, PlatformStore Store>
class MeshNode {
 public:
  MeshNode(asio::io_context& io, const MeshSettings& settings, Store& store);

  /// Starts to listen and to read the store. Returns false when an address
  /// cannot be bound; see LastReason().
  bool Start();
  const std::string& LastReason() const { return m_last_reason; }

  /// Starts a graceful shutdown. The node reports not ready and drains its
  /// callers. Once they have had time to switch to other nodes, it refuses new
  /// offers, and it stops the io_context when all work is complete or shortly
  /// before the grace time ends.
  void StartShutdown();

  /// Renders the metrics in the Prometheus text format.
  std::string Metrics() const;

 private:
  struct Subscriber {
    MessageSink m_sink;
    RelayFeed m_feed{};
  };

  void OnControl(HttpRequest request, const StreamResponder& responder);
  bool IsLocalInstance(const InstanceAnnouncement& announcement) const;
  // `change`: effect of a statement with this cause about an instance.
  void ApplyInstance(LocalInstance::Change change,
                     std::string_view cause,
                     const InstanceIncarnation& about);
  void PublishMember();
  // Updates the number of instances that share the service's retry budget.
  void UpdateInstanceCount();
  // Return whether the record replaces the current one of its key.
  bool OnRecord(const StoreRecord& record);
  bool OnConfigRecord(const StoreRecord& record);
  bool OnMemberRecord(const StoreRecord& record);
  void OnStoreEra(std::optional<StoreEra> previous);
  // Removes members whose record the store lost with the last era, that have
  // not written it again, and that do not answer.
  void RemoveLostMembers();
  void OnRequest(const PeerKey& peer, Message message, const MessageSink& sink);
  void OnLocalOffer(Message message);
  void OnReply(const PeerKey& peer, Message message);
  void OnDraining(const PeerKey& peer);
  // Counts a statement about a start of a node or instance that is not the
  // known one.
  void CountIgnored(std::string_view statement,
                    std::string_view subject,
                    uint64_t start);
  void OnRelay(NodeId node, const RelayMessage& relay);
  // Returns false when the records can't be read.
  bool ApplyRelayed(NodeId node, const std::string& packed);
  void OnPeerOpened(const PeerKey& peer, const MessageSink& sink);
  void Subscribe(const MessageSink& sink);
  void AddPeriodicSteps();
  // Subscribes to the node that relays the store's records, and reads the store
  // itself while there is none.
  void ChooseRelay();
  void LogBudgetRefusals();
  void AskStartupPeers();
  // Sends changes to the subscribers: the first one immediately, those that
  // follow shortly after together.
  void SendChanges();
  void SendRelayHeartbeats();
  // Times after the stop request: from the first on, the node takes no request
  // that it may not finish; at the second, it ends those that still wait.
  Duration AcceptTime() const;
  Duration AnswerTime() const;
  Duration GraceShare(double fraction) const;
  void StopAccepting();
  void EndWhenIdle();
  struct PackedChanges {
    std::string m_bytes;
    // Positions after the last records; empty when there are none.
    std::optional<RelayPositions> m_last;
  };
  // Packs the records at or after `from`. Valid until the next call.
  const PackedChanges& PackRecordsFrom(const RelayPositions& from,
                                       bool reads_deltas);
  RelayPositions EndOfCopy() const;
  // Sends what the subscriber lacks.
  void SendRelay(const PeerKey& peer, Subscriber& subscriber);
  // Sends the age of what the subscriber has.
  void SendAge(Subscriber& subscriber);
  void OnRelayRequest(const PeerKey& peer,
                      const RelayRequestMessage& request,
                      const MessageSink& sink);
  // Tells the relay what this node has received; `reached` 0: nothing.
  void ConfirmRelay(NodeId relay, const RelayPositions& reached);
  Duration KnowledgeAge(TimePoint now) const;
  bool IsReady() const;

  // After a restart, the store's copy may be older than what the peers have. A
  // configuration with keys serves requests only when the peers that were asked
  // have answered, or not in time: it may have a key that was removed.
  void ConfirmConfig();
  bool IsConfigUsable() const {
    return m_config && (m_is_config_confirmed || !m_config->RequiresKeys());
  }

  asio::io_context& m_io;
  MeshSettings m_settings;
  Store& m_store;
  PeerKey m_self;
  std::shared_ptr<ByteBudget> m_budget;
  TargetTable m_targets;
  MeshLinks m_links;
  AccountLimiter m_limiter;
  SharedQuarantine m_quarantine;
  Egress<Codec> m_egress;
  Ingress<Codec> m_ingress;
  StoreReader<Store> m_reader;
  RelayChoice m_relay_choice;
  StreamServer m_callers;
  StreamServer m_ready;
  StreamServer m_control;
  StreamServer m_metrics;
  LocalInstance m_local_instance;
  std::shared_ptr<const TrafficConfig> m_config;
  TimePoint m_config_applied_at{};
  // The connections of an ended process may close after its node has started
  // again.
  std::map<PeerKey, Subscriber> m_subscribers;
  std::optional<NodeId> m_subscribed_to;
  // Records up to m_packed_end, by their start and whether they are packed
  // against an earlier configuration.
  std::map<std::pair<RelayPositions, bool>, PackedChanges> m_packed_changes;
  RelayPositions m_packed_end;
  // Member record last written to the store.
  std::string m_published_record;
  bool m_is_publishing = false;
  // The store may lack the current record; written again after m_publish_at.
  bool m_needs_publishing = false;
  TimePoint m_publish_at{};
  Duration m_publish_delay = std::chrono::milliseconds(500);
  // Nodes that connected soon after the start, and how many of them have been
  // asked for records that the store lacks.
  std::vector<MessageSink> m_startup_peers;
  size_t m_asked_peers = 0;
  // Answers of these and others.
  size_t m_startup_answers = 0;
  // See ConfirmConfig().
  bool m_is_config_confirmed = false;
  // Set when a later era was noticed, until lost members have been removed.
  std::optional<TimePoint> m_era_noticed_at;
  uint64_t m_era_changes = 0;
  bool m_is_stopping = false;
  // No new requests or offers are accepted.
  bool m_refuses_work = false;
  TimePoint m_stop_requested_at{};
  TimePoint m_started_at{};
  uint64_t m_config_rejects = 0;
  // See NodeMetrics.
  uint64_t m_ignored_statements = 0;
  // Refusals of m_budget that have been logged.
  uint64_t m_logged_refusals = 0;
  TimePoint m_refusals_logged_at{};
  PeriodicSteps m_ticks;
  PeriodicSteps m_relay_heartbeats;
  PeriodicSteps m_shutdown_steps;
  asio::steady_timer m_rewrite_timer;
  std::string m_last_reason;
};

}  // namespace sequoiastage

#include "sequoiastage/mesh/mesh_node_inl.h"
#include "sequoiastage/mesh/mesh_node_relay_inl.h"
#include "sequoiastage/mesh/mesh_node_shutdown_inl.h"

#endif  // SEQUOIASTAGE_MESH_MESH_NODE_H_
