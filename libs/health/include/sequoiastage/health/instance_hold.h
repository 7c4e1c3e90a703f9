#ifndef SEQUOIASTAGE_HEALTH_INSTANCE_HOLD_H_
#define SEQUOIASTAGE_HEALTH_INSTANCE_HOLD_H_

#include <cstdint>
#include <set>

#include "sequoiastage/base/time.h"

namespace sequoiastage {

struct InstanceHoldOptions {
  /// Hold after the first failure.
  Duration m_first_hold = std::chrono::milliseconds(800);
  /// Each relapse doubles the hold up to this.
  Duration m_longest_hold = std::chrono::seconds(2);
  /// Successes in a row that end a trial.
  uint32_t m_successes_to_open = 2;
  /// Open for so long, the instance starts again with the first hold.
  Duration m_forget_after = std::chrono::seconds(10);
  /// Work that runs longer than this many times the usual service time, and
  /// m_min_silence at least, counts as hanging.
  double m_silence_factor = 6;
  Duration m_min_silence = std::chrono::milliseconds(1500);
  /// Score at which errors answered by the instance hold it back. Each error
  /// adds 1, each outcome first takes off a part, see m_error_decay.
  double m_error_limit = 1.6;
  double m_error_decay = 0.7;
};

enum class HoldState : uint8_t {
  kOpen,
  /// Takes no work.
  kHeld,
  /// The hold is over: takes one repeatable request at a time.
  kTrial,
};

/// How work at an instance ended.
enum class WorkEnd : uint8_t {
  kSuccess,
  /// A whole answer with a server error. Its cause may be another service.
  kServerError,
  /// No whole answer: reset, closed, cut, spoiled.
  kBroken,
  /// Says nothing about the instance: cancelled, or refused by it.
  kNoEvidence,
};

/// Decides from real work whether an instance gets more of it.
///
/// Load pattern: part of the instances break nearly all requests for seconds
/// while their health checks pass, then recover, and others are struck. The
/// first failure holds the instance back for a short time that doubles with
/// each relapse. Afterwards repeatable work tests it, one request at a time,
/// so that work that can't be repeated only meets instances that did well.
/// Answers with errors count less: one alone is usual, and the cause may lie
/// behind the instance.
class InstanceHold {
 public:
  explicit InstanceHold(const InstanceHoldOptions& options = {})
      : m_options(options) {}

  HoldState StateAt(TimePoint now) const;

  /// Time until the state is no longer kHeld; zero when it is not held.
  Duration HoldLeft(TimePoint now) const;

  void OnStart(TimePoint now);

  /// `started`: the time given to OnStart() for this work.
  void OnEnd(WorkEnd end, TimePoint started, TimePoint now);

  /// Another incarnation of the instance: nothing of before counts.
  void Reset();

  uint32_t Relapses() const { return m_relapses; }

 private:
  void Hold(TimePoint now);
  bool IsSilent(TimePoint now) const;

  InstanceHoldOptions m_options;
  bool m_is_open = true;
  TimePoint m_held_until{};
  TimePoint m_opened_at{};
  uint32_t m_relapses = 0;
  uint32_t m_trial_successes = 0;
  double m_error_score = 0;
  // Moving average; 0 before the first success.
  Duration m_service_time{};
  // Latest start among the work that ended well.
  TimePoint m_latest_good_start{};
  std::multiset<TimePoint> m_running;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_HEALTH_INSTANCE_HOLD_H_
