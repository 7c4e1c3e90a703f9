#ifndef SEQUOIASTAGE_BENCH_DECISION_BENCH_POLICIES_H_
#define SEQUOIASTAGE_BENCH_DECISION_BENCH_POLICIES_H_

#include <concepts>
#include <vector>

#include "naive_judges.h"
#include "sequoiastage/health/instance_judge.h"

namespace sequoiastage {

/// A policy that judges the instances of one service; driven by the service
/// fakes.
template <class T>
concept JudgingPolicy = requires(T policy,
                                 size_t i,
                                 RequestHandle handle,
                                 TimePoint now,
                                 Outcome outcome,
                                 bool flag) {
  // Whether instance `i` receives regular requests, may receive one trial
  // request now, or is ejected and receives no requests.
  { policy.IsRegular(i, now) } -> std::same_as<bool>;
  { policy.TryStartTrial(i, now) } -> std::same_as<bool>;
  { policy.IsEjected(i, now) } -> std::same_as<bool>;
  // Whether instance `i` receives no requests while regular instances have
  // free slots, even if its ejection is not granted.
  { policy.IsHeld(i, now) } -> std::same_as<bool>;
  { policy.OnStart(i, now) } -> std::same_as<RequestHandle>;
  policy.OnFinish(i, handle, now, outcome);
  policy.OnProbe(i, now, flag);
  policy.OnTick(now);
  policy.OnExchange(now);
  policy.Restart(i, now);
};

/// Uses InstanceJudge. An ejection is granted as soon as it is due, provided
/// that at least `m_floor` instances stay in service.
class JudgePolicy {
 public:
  JudgePolicy(size_t instances, const JudgeOptions& options, TimePoint now)
      : m_options(options),
        m_floor(instances * 3 / 4),
        m_judges(instances, InstanceJudge(options, now)),
        m_summaries(instances) {}

  bool IsRegular(size_t i, TimePoint /*now*/) const {
    return m_judges[i].Report().m_verdict == Verdict::kHealthy;
  }
  bool TryStartTrial(size_t i, TimePoint now) {
    return m_judges[i].AllowProbationRequest(now);
  }
  bool IsEjected(size_t i, TimePoint /*now*/) const {
    return m_judges[i].Report().m_is_ejected;
  }
  bool IsHeld(size_t i, TimePoint /*now*/) const {
    return m_judges[i].Report().m_is_held;
  }
  RequestHandle OnStart(size_t i, TimePoint now) {
    return m_judges[i].OnStart(now);
  }
  void OnFinish(size_t i,
                RequestHandle handle,
                TimePoint now,
                Outcome outcome) {
    m_judges[i].OnFinish(handle, now, outcome);
    UpdateEjection(i, now);
  }
  void OnProbe(size_t i, TimePoint now, bool is_good) {
    m_judges[i].OnProbe(now, is_good);
  }

  void OnTick(TimePoint now) {
    for (size_t i = 0; i < m_judges.size(); ++i) {
      m_judges[i].OnTick(now);
      UpdateEjection(i, now);
    }
  }

  void OnExchange(TimePoint now) {
    for (size_t i = 0; i < m_judges.size(); ++i) {
      m_summaries[i] = {m_judges[i].Summary(now), now};
    }
    std::vector<PeerSummary> siblings(m_summaries.begin() + 1,
                                      m_summaries.end());
    for (size_t i = 0; i < m_judges.size(); ++i) {
      m_judges[i].UpdateBaseline(now, MakePeerBaseline(siblings, now));
      UpdateEjection(i, now);
      if (i < siblings.size()) {
        siblings[i] = m_summaries[i];
      }
    }
  }

  void Restart(size_t i, TimePoint now) {
    m_ejected -= IsEjected(i, now) ? 1 : 0;
    m_judges[i] = InstanceJudge(m_options, now);
  }

 private:
  void UpdateEjection(size_t i, TimePoint now) {
    InstanceJudge& judge = m_judges[i];
    if (judge.Report().m_readmission_due) {
      judge.OnReadmitted(now);
      --m_ejected;
      return;
    }
    const bool is_ejection_due =
        judge.Report().m_verdict == Verdict::kEjectionDue &&
        !judge.Report().m_is_ejected;
    if (is_ejection_due && m_judges.size() - m_ejected > m_floor) {
      judge.OnEjected(now);
      ++m_ejected;
    }
  }

  JudgeOptions m_options;
  size_t m_floor;
  size_t m_ejected = 0;
  std::vector<InstanceJudge> m_judges;
  std::vector<PeerSummary> m_summaries;
};

/// Common base of the naive policies, in which an instance is either regular or
/// ejected.
class NaivePolicy {
 public:
  bool IsHeld(size_t /*i*/, TimePoint /*now*/) const { return false; }
  bool TryStartTrial(size_t /*i*/, TimePoint /*now*/) { return false; }
  RequestHandle OnStart(size_t /*i*/, TimePoint /*now*/) {
    return RequestHandle(m_next_handle++);
  }
  void OnTick(TimePoint /*now*/) {}
  void OnExchange(TimePoint /*now*/) {}

 private:
  uint64_t m_next_handle = 1;
};

class ProbePolicy : public NaivePolicy {
 public:
  explicit ProbePolicy(size_t instances) : m_judges(instances) {}

  bool IsRegular(size_t i, TimePoint /*now*/) const {
    return !m_judges[i].IsEjected();
  }
  bool IsEjected(size_t i, TimePoint /*now*/) const {
    return m_judges[i].IsEjected();
  }
  void OnFinish(size_t /*i*/,
                RequestHandle /*handle*/,
                TimePoint /*now*/,
                Outcome /*outcome*/) {}
  void OnProbe(size_t i, TimePoint /*now*/, bool is_good) {
    m_judges[i].OnProbe(is_good);
  }
  void Restart(size_t i, TimePoint /*now*/) {
    m_judges[i] = ThreeFailedProbes();
  }

 private:
  std::vector<ThreeFailedProbes> m_judges;
};

class ErrorsPolicy : public NaivePolicy {
 public:
  explicit ErrorsPolicy(size_t instances) : m_judges(instances) {}

  bool IsRegular(size_t i, TimePoint now) const {
    return !m_judges[i].IsEjected(now);
  }
  bool IsEjected(size_t i, TimePoint now) const {
    return m_judges[i].IsEjected(now);
  }
  void OnFinish(size_t i,
                RequestHandle /*handle*/,
                TimePoint now,
                Outcome outcome) {
    if (outcome != Outcome::kShed && outcome != Outcome::kCancelled) {
      m_judges[i].OnOutcome(now, IsFailure(outcome));
    }
  }
  void OnProbe(size_t /*i*/, TimePoint /*now*/, bool /*is_good*/) {}
  void Restart(size_t i, TimePoint /*now*/) {
    m_judges[i] = FiveConsecutiveFailures();
  }

 private:
  std::vector<FiveConsecutiveFailures> m_judges;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_BENCH_DECISION_BENCH_POLICIES_H_
