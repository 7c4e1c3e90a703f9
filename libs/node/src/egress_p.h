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

// An instance on this host, as it announced itself, with what the
// configuration says of its service.
struct LocalInstance {
  InstanceId m_id;
  ServiceId m_service;
  Incarnation m_incarnation;
  uint16_t m_slots = 1;
  uint16_t m_queue_length = 0;
  bool m_is_draining = false;
  // An ejection of it stands on the log.
  bool m_is_ejected = false;
  // It gets no work. Not so while the floor keeps an ejected one in service.
  bool m_is_excluded = false;
  double m_false_ejection_hours = 1000;
  // Target of health probes while it is ejected; empty for none.
  std::string m_health_path;

  friend bool operator==(const LocalInstance&, const LocalInstance&) = default;
};

// What the egress tells the control thread of one instance.
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

// The only gate to the instances on this host. Owned by the egress thread.
class Egress {
 public:
  using Reply = std::function<void(ResultMessage)>;

  Egress(asio::io_context& io, Incarnation incarnation);

  // Runs a request on its instance, or refuses. `reply` gets the result.
  void Dispatch(DispatchMessage message, Reply reply);

  // Tells what became of an attempt and cancels it when it has not started.
  // When it is running, `reply` is called again at its end.
  void Query(const QueryMessage& message, Reply reply);

  // Replaces the instances. Those with a new incarnation start afresh.
  void SetInstances(const std::vector<LocalInstance>& instances);

  // With `is_draining` everything new is refused.
  void SetDraining(bool is_draining) { m_is_draining = is_draining; }

  // Siblings' summaries of the instance's service.
  void SetBaseline(InstanceId instance, const PeerBaseline& baseline);

  // Loads of the service's instances beside other nodes; a refusal names the
  // best of them.
  void SetSiblings(ServiceId service, std::vector<InstanceLoad> loads);

  // To be called every 100 ms.
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
    // In the gate of its instance.
    Ticket m_ticket;
    // Of the instance that runs it.
    Incarnation m_instance_incarnation;
    RequestHandle m_work;
    HttpClient::CallId m_call = 0;
  };

  // Why the instance can't take the message, or kNone.
  AttemptReason RefusalOf(const DispatchMessage& message);
  bool MayTakeSuspectWork(Instance& instance, const DispatchMessage& message);
  void ReplyToDuplicate(const DispatchMessage& message,
                        const Admission& admission,
                        Reply reply);
  void Refuse(const DispatchMessage& message,
              AttemptReason reason,
              const Reply& reply);
  // Starts and refuses what the gate says.
  void Follow(Instance& instance, const GateChanges& changes);
  void Start(Instance& instance, const AttemptId& id);
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
  std::vector<InstanceLoad> LoadsOf(ServiceId service) const;
  // Those, and the best siblings elsewhere.
  std::vector<InstanceLoad> HintsFor(ServiceId service) const;
  static Instance MakeInstance(const LocalInstance& local);
  void Update(Instance& instance, const LocalInstance& local);
  // A probe that fails puts readmission off; work alone shows more.
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
  // Best first.
  std::unordered_map<ServiceId, std::vector<InstanceLoad>> m_siblings;
  EgressStats m_stats;
  bool m_is_draining = false;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_NODE_EGRESS_P_H_
