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
#include "sequoiastage/health/instance_hold.h"
#include "sequoiastage/http/exchange_connection.h"
#include "sequoiastage/limits/repeat_allowance.h"
#include "sequoiastage/limits/slot_gate.h"
#include "sequoiastage/logging/log_event.h"
#include "sequoiastage/mesh/peer_key.h"
#include "sequoiastage/mesh/platform.h"
#include "sequoiastage/metrics/latency_buckets.h"

namespace sequoiastage {

struct EgressOptions {
  SlotGateOptions m_gate{.m_max_wait = std::chrono::milliseconds(400)};
  InstanceHoldOptions m_hold{};
  RetryAllowanceOptions m_repeats{};
  ExchangeOptions m_exchange{};
  /// A slot is kept for an ingress that was told kReady for so long: some round
  /// trips between regions.
  Duration m_ready_timeout = std::chrono::milliseconds(700);
  /// Work that can't be repeated only uses connections idle for less: an older
  /// one may be closed by the instance at the same moment.
  Duration m_fresh_idle = std::chrono::seconds(1);
  /// After the instance refused a request without need it is left alone.
  Duration m_shed_pause = std::chrono::milliseconds(150);
  /// Running work of an ingress whose connection was lost goes on for so long,
  /// so that the ingress can ask for its end over another one.
  Duration m_rebind_timeout = std::chrono::milliseconds(1500);
  /// Ends of work that can't be repeated are remembered for such questions.
  Duration m_remember = std::chrono::seconds(4);
  size_t m_max_remembered = 256;
};

struct EgressStats {
  uint64_t m_started = 0;
  uint64_t m_refused = 0;
  uint64_t m_broken = 0;
  uint64_t m_holds = 0;
  uint64_t m_connections = 0;
};

/// The only gate to the instance on this host: decides which offers run, sends
/// them to the instance, and judges the instance by what becomes of them.
///
/// An offer whose request can't be repeated first gets a slot (kReady) and runs
/// when the ingress starts it. Until then either side can prove that it has not
/// run, whatever is lost on the way.
template <PlatformCodec Codec>
class Egress {
 public:
  /// `on_mismatch` is called when the address belongs to another instance.
  Egress(asio::io_context& io,
         const EgressOptions& options,
         std::function<void()> on_mismatch);

  /// Null: no instance takes work here.
  void SetInstance(const InstanceAnnouncement* instance);

  /// How many instances the service has in the fleet.
  void SetServiceSize(uint32_t instances) { m_repeats.SetInstances(instances); }

  /// Refuses all offers from now on; running work goes on.
  void StartLeaving();

  void OnOffer(const PeerKey& peer, OfferMessage offer, MessageSink reply);
  void OnStart(const PeerKey& peer, StartMessage&& start);
  void OnWithdraw(const PeerKey& peer, AttemptNumber number);
  void OnInquiry(const PeerKey& peer,
                 AttemptNumber number,
                 const MessageSink& reply);
  void OnPeerLost(const PeerKey& peer);

  /// A request that came in on this host failed. It may have been a call of the
  /// instance, whose error is then no evidence against the instance.
  void OnLocalFailure() { m_local_failure_at = BootNow(); }

  /// Offers that are not ended.
  size_t WorkCount() const { return m_work.size(); }
  const EgressStats& Stats() const { return m_stats; }
  /// Time of attempts at the instance, from their start to their end.
  const LatencyBuckets& Latency() const { return m_latency; }
  EgressLoadReport Standing() const;
  HoldState State() const { return m_hold.StateAt(BootNow()); }

 private:
  using Key = std::pair<PeerKey, AttemptNumber>;
  enum class Phase : uint8_t { kQueued, kReady, kRunning };

  struct Work {
    Work(asio::io_context& io, Key key_in, OfferMessage offer_in)
        : m_key(std::move(key_in)), m_offer(std::move(offer_in)), m_timer(io) {}

    Key m_key;
    OfferMessage m_offer;
    MessageSink m_reply;
    Phase m_phase = Phase::kQueued;
    Ticket m_ticket;
    bool m_is_trial = false;
    bool m_is_detached = false;
    TimePoint m_deadline{};
    TimePoint m_started{};
    Duration m_connection_idle{};
    std::shared_ptr<ExchangeConnection> m_connection;
    asio::steady_timer m_timer;
  };
  using WorkPtr = std::shared_ptr<Work>;

  struct IdleConnection {
    std::shared_ptr<ExchangeConnection> m_connection;
    TimePoint m_since;
  };

  AttemptReason ReasonToRefuse(const OfferMessage& offer, TimePoint now);
  void Refuse(const Key& key,
              const OfferMessage& offer,
              AttemptReason reason,
              const MessageSink& reply);
  void OnSlot(const WorkPtr& work);
  void Run(const WorkPtr& work);
  void OnExchangeEnd(const WorkPtr& work, ExchangeResult result);
  OutcomeMessage JudgeAnswer(const Work& work, HttpAnswer answer, WorkEnd* end);
  void End(const WorkPtr& work, OutcomeMessage outcome, WorkEnd end);
  void Release(const WorkPtr& work, bool counts);
  void Apply(const GateChanges& changes);
  void Remember(const Key& key, OutcomeMessage outcome);
  void RefuseWaiting(AttemptReason reason);
  std::shared_ptr<ExchangeConnection> TakeConnection(Work& work);
  void LogHold(HoldState before, std::string_view cause);

  asio::io_context& m_io;
  EgressOptions m_options;
  std::function<void()> m_on_mismatch;
  std::optional<InstanceAnnouncement> m_instance;
  ServiceId m_service;
  bool m_is_leaving = false;
  // While waiting work is refused, no slot it frees starts other work.
  bool m_is_refusing = false;
  SlotGate m_gate;
  InstanceHold m_hold;
  RetryAllowance m_repeats;
  TimePoint m_shed_until{};
  TimePoint m_local_failure_at{};
  uint32_t m_trials = 0;
  std::map<Key, WorkPtr> m_work;
  std::unordered_map<Ticket, WorkPtr> m_by_ticket;
  std::vector<IdleConnection> m_idle;
  std::deque<std::pair<TimePoint, std::pair<Key, OutcomeMessage>>> m_ended;
  EgressStats m_stats;
  LatencyBuckets m_latency;
};

}  // namespace sequoiastage

#include "sequoiastage/mesh/egress_inl.h"
#include "sequoiastage/mesh/egress_work_inl.h"

#endif  // SEQUOIASTAGE_MESH_EGRESS_H_
