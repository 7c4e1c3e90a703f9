#ifndef SEQUOIASTAGE_LIMITS_SLOT_GATE_H_
#define SEQUOIASTAGE_LIMITS_SLOT_GATE_H_

#include <cstdint>
#include <limits>
#include <unordered_map>
#include <vector>

#include "sequoiastage/base/ids.h"
#include "sequoiastage/base/strong.h"
#include "sequoiastage/base/time.h"
#include "sequoiastage/limits/fair_shares.h"

namespace sequoiastage {

/// A piece of work known to a SlotGate.
using Ticket = Strong<struct TicketTag, uint64_t>;

enum class GateVerdict : uint8_t {
  /// Holds a slot; start it now and call OnFinish() at its end.
  kRun,
  /// Waits; a later result starts or refuses it.
  kQueued,
  /// Does not run. Answer at once.
  kRefused,
};

struct SlotGateOptions {
  /// Pieces of work the instance executes at the same time.
  uint32_t m_slots = 3;
  /// Most pieces of work that wait, however short the wait.
  uint32_t m_max_queued = std::numeric_limits<uint32_t>::max();
  /// Longest expected wait in the queue.
  Duration m_max_wait = std::chrono::milliseconds(300);
  /// Service time assumed before any has been seen.
  Duration m_initial_service_time = std::chrono::milliseconds(50);
  /// Weight of the newest service time in the moving average.
  double m_service_time_weight = 0.1;
  FairSharesOptions m_fair_shares{};
};

/// Queued work whose wait ended.
struct GateChanges {
  /// Hold a slot now; start them.
  std::vector<Ticket> m_started;
  /// Can't finish in time or were displaced; answer at once. They never ran.
  std::vector<Ticket> m_refused;
};

struct AdmissionResult {
  GateVerdict m_admission = GateVerdict::kRefused;
  Ticket m_ticket;
  /// Others whose wait ended by this admission.
  GateChanges m_changes;
};

struct SlotGateStats {
  uint64_t m_admitted = 0;
  uint64_t m_queued = 0;
  uint64_t m_refused = 0;
  uint64_t m_displaced = 0;
  uint64_t m_expired = 0;
  uint64_t m_cancelled = 0;
};

/// Admits work to the slots of one instance, exactly as many at a time as it
/// has, with a short queue before them.
///
/// Work is queued only when the expected wait is short and the work can finish
/// before its deadline; the expectation follows the measured service time. A
/// free slot goes to the caller account with the least recent use for its
/// share. When the queue is full, work of an account with less use displaces
/// the newest work of the account with the most.
///
/// More urgent work goes before all that is less urgent, and displaces it from
/// a full queue. Load pattern: work of several ranks shares the instances of a
/// service, and the calls that running work waits for must not queue behind
/// new work.
class SlotGate {
 public:
  explicit SlotGate(const SlotGateOptions& options);

  /// `share`: weight of the account among the others while there is not
  /// enough for all; one that is not above 0 counts as 1. `urgency`: 0 is the
  /// most urgent.
  AdmissionResult Admit(TimePoint now,
                        TimePoint deadline,
                        AccountId account,
                        double share = 1,
                        uint8_t urgency = 0);

  /// Work that held a slot has ended. `counts` tells whether its time says
  /// something about the service time (false after a cancellation or a
  /// refusal by the instance). Unknown tickets change nothing.
  GateChanges OnFinish(Ticket ticket, TimePoint now, bool counts = true);

  /// Takes queued work out. False when it is not queued (it may run).
  bool CancelQueued(Ticket ticket);

  /// Refuses queued work that can't finish in time any more.
  GateChanges OnTick(TimePoint now);

  /// Sets the number of slots. Running work keeps its slot.
  GateChanges Resize(uint32_t slots, TimePoint now);

  /// Sets the most pieces of work that wait. The newest beyond it are refused.
  GateChanges SetMaxQueued(uint32_t max_queued);

  uint32_t Slots() const { return m_options.m_slots; }
  size_t Running() const { return m_running.size(); }
  size_t Queued() const { return m_queue.size(); }
  size_t QueueLimit() const;
  Duration ServiceTime() const { return m_service_time; }

  /// Expected time until work of this urgency admitted now would get a slot.
  Duration ExpectedWait(uint8_t urgency = UINT8_MAX) const;

  const SlotGateStats& Stats() const { return m_stats; }

 private:
  struct Waiting {
    Ticket m_ticket;
    AccountId m_account;
    double m_share = 1;
    uint8_t m_urgency = 0;
    TimePoint m_deadline;
  };

  struct RunningWork {
    AccountId m_account;
    TimePoint m_started;
  };

  bool HasFreeSlot() const { return m_running.size() < m_options.m_slots; }
  double UseOf(const Waiting& work, TimePoint now) const;
  double ClaimOf(const Waiting& work, TimePoint now) const;
  bool DisplaceLessUrgent(const Waiting& arrival, GateChanges& changes);
  bool Displace(const Waiting& arrival, TimePoint now, GateChanges& changes);
  void Start(Ticket ticket, AccountId account, TimePoint now);
  void FillSlots(TimePoint now, GateChanges& changes);
  void RefuseLate(TimePoint now, GateChanges& changes);

  SlotGateOptions m_options;
  FairShares m_shares;
  Duration m_service_time;
  uint64_t m_next_ticket = 1;
  std::unordered_map<Ticket, RunningWork> m_running;
  std::vector<Waiting> m_queue;
  SlotGateStats m_stats;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_LIMITS_SLOT_GATE_H_
