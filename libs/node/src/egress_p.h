#ifndef SEQUOIASTAGE_NODE_EGRESS_P_H_
#define SEQUOIASTAGE_NODE_EGRESS_P_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "sequoiastage/execution/attempt_ledger.h"
#include "sequoiastage/health/instance_judge.h"
#include "sequoiastage/http/http_client.h"
#include "sequoiastage/limits/slot_gate.h"
#include "sequoiastage/wire/messages.h"

namespace sequoiastage {

// An instance on this host: its announcement, combined with the configuration
// of its service.
struct LocalInstance {
  InstanceId m_id;
  ServiceId m_service;
  Incarnation m_incarnation;
  uint16_t m_slots = 1;
  uint16_t m_queue_length = 0;
  bool m_is_draining = false;
  // The configuration log holds an ejection of this instance.
  bool m_is_ejected = false;
  // Receives no requests. False for an ejected instance that the in-service
  // floor keeps in service.
  bool m_is_excluded = false;
  double m_false_ejection_hours = 1000;
  // Request target of health probes during an ejection; empty disables probes.
  std::string m_health_path;

  friend bool operator==(const LocalInstance&, const LocalInstance&) = default;
};

// Per-instance report from the egress to the control thread.
struct InstanceReport {
  InstanceId m_id;
  ServiceId m_service;
  Incarnation m_incarnation;
  JudgeReport m_judge;
  InstanceSummary m_summary;
  uint16_t m_slots = 0;
  uint16_t m_in_use = 0;
  uint16_t m_queued = 0;
};

struct EgressStats {
  uint64_t m_started = 0;
  uint64_t m_answered = 0;
  uint64_t m_failed = 0;
  uint64_t m_refused = 0;
  uint64_t m_cancelled = 0;
};

// Admits requests to the instances on this host, which receive requests only
// through it. Owned by the egress thread.
class Egress {
 public:
  using Reply = std::function<void(ResultMessage)>;

  Egress(asio::io_context& io, Incarnation incarnation);

  // Executes a request on its instance or refuses it. `reply` receives the
  // result.
  void Dispatch(DispatchMessage message, Reply reply);

  // Reports the state of an attempt and cancels it if it has not started. For a
  // running attempt `reply` is called again when it ends.
  void Query(const QueryMessage& message, Reply reply);

  // Replaces the set of instances. A new incarnation starts with empty state.
  void SetInstances(const std::vector<LocalInstance>& instances);

  // While draining, all new attempts are refused.
  void SetDraining(bool is_draining) { m_is_draining = is_draining; }

  // Sets the baseline from the summaries of the service's other instances.
  void SetBaseline(InstanceId instance, const PeerBaseline& baseline);

  // Sets the loads of the service's instances on other nodes; a refusal lists
  // those with the most free slots.
  void SetSiblings(ServiceId service, std::vector<InstanceLoad> loads);

  // Runs periodic work; call every 100 ms.
  void Tick();

  std::vector<InstanceReport> Reports() const;
  const EgressStats& Stats() const { return m_stats; }
  size_t InFlight() const { return m_attempts.size(); }

 private:
  struct Instance {
    LocalInstance m_local;
    InstanceJudge m_judge;
    SlotGate m_gate;
    std::unordered_map<Ticket, AttemptId> m_attempts;
    TimePoint m_next_probe;
  };

  // An attempt that is queued or running.
  struct Attempt {
    DispatchMessage m_message;
    std::vector<Reply> m_replies;
    // Ticket in the slot gate of its instance.
    Ticket m_ticket;
    // Incarnation of the instance that runs the attempt.
    Incarnation m_instance_incarnation;
    RequestHandle m_work;
    HttpClient::CallId m_call = 0;
  };

  // Why the instance refuses the message; kNone when it accepts it.
  AttemptReason FindRefusalReason(const DispatchMessage& message);
  bool TryAdmitSuspect(Instance& instance, const DispatchMessage& message);
  void ReplyToDuplicate(const DispatchMessage& message,
                        const Admission& admission,
                        Reply reply);
  void Refuse(const DispatchMessage& message,
              AttemptReason reason,
              const Reply& reply);
  // Starts and refuses the queued attempts that the gate released.
  void ApplyGateChanges(Instance& instance, const GateChanges& changes);
  void StartAttempt(Instance& instance, const AttemptId& id);
  void RefuseQueued(Instance& instance, Ticket ticket);
  void StartCall(Instance& instance, const AttemptId& id);
  void OnCallEnd(const AttemptId& id, HttpCallResult result);
  void Finish(const AttemptId& id, ResultMessage result, Outcome outcome);
  void CancelRunning(const AttemptId& id);
  void CancelQueued(const AttemptId& id);
  void SendReplies(const std::vector<Reply>& replies,
                   const ResultMessage& result);
  ResultMessage MakeResult(const AttemptId& id,
                           AttemptResult result,
                           AttemptReason reason) const;
  std::vector<InstanceLoad> CollectLoads(ServiceId service) const;
  // Local loads, followed by the best instances on other nodes.
  std::vector<InstanceLoad> CollectHints(ServiceId service) const;
  static Instance MakeInstance(const LocalInstance& local);
  void UpdateInstance(Instance& instance, const LocalInstance& local);
  // A failed probe delays readmission; further evidence comes only from regular
  // requests.
  void ProbeIfEjected(Instance& instance, TimePoint now);
  void OnProbeEnd(InstanceId id,
                  Incarnation incarnation,
                  const HttpCallResult& result);
  Instance* Find(InstanceId id);

  HttpClient m_client;
  Incarnation m_incarnation;
  AttemptLedger m_ledger;
  std::unordered_map<InstanceId, Instance> m_instances;
  std::unordered_map<AttemptId, Attempt> m_attempts;
  // Instances on other nodes by free slots, highest first; suspect ones last.
  std::unordered_map<ServiceId, std::vector<InstanceLoad>> m_siblings;
  EgressStats m_stats;
  bool m_is_draining = false;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_NODE_EGRESS_P_H_
