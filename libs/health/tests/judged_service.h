#ifndef SEQUOIASTAGE_HEALTH_TESTS_JUDGED_SERVICE_H_
#define SEQUOIASTAGE_HEALTH_TESTS_JUDGED_SERVICE_H_

#include <functional>
#include <random>
#include <vector>

#include "naive_judges.h"
#include "sequoiastage/health/instance_judge.h"

namespace sequoiastage {

/// What an instance does with one piece of work. The duration is the time to
/// the outcome.
struct Behaviour {
  Duration m_latency = std::chrono::milliseconds(100);
  Outcome m_outcome = Outcome::kSuccess;
};

/// Fake of one service: each instance gets Poisson work at a fixed rate,
/// whatever its judge says; summaries are exchanged every 500 ms.
class JudgedService {
 public:
  using BehaviourOf = std::function<Behaviour(size_t instance, TimePoint now)>;

  static constexpr Duration kStep = std::chrono::milliseconds(10);
  static constexpr Duration kExchange = std::chrono::milliseconds(500);

  JudgedService(size_t instances,
                const JudgeOptions& options,
                double requests_per_s,
                uint64_t seed)
      : m_random(seed), m_arrives(requests_per_s * 0.01), m_start(m_now) {
    for (size_t i = 0; i < instances; ++i) {
      m_instances.emplace_back(options, m_now);
    }
  }

  /// Runs for `duration`, or until `stop` holds after a step.
  void Run(
      Duration duration,
      const BehaviourOf& behaviour,
      const std::function<bool()>& stop = [] { return false; }) {
    const TimePoint end = m_now + duration;
    while (m_now < end && !stop()) {
      m_now += kStep;
      for (size_t i = 0; i < m_instances.size(); ++i) {
        Step(i, behaviour);
      }
      if ((m_now - m_start) % kExchange == Duration(0)) {
        Exchange();
      }
    }
  }

  TimePoint NowTime() const { return m_now; }
  InstanceJudge& Judge(size_t i) { return m_instances[i].m_judge; }
  Verdict VerdictOf(size_t i) const {
    return m_instances[i].m_judge.Report().m_verdict;
  }
  bool WasWanted(size_t i) const { return m_instances[i].m_was_wanted; }
  bool WasSuspect(size_t i) const { return m_instances[i].m_was_suspect; }
  bool NaiveEjected(size_t i) const { return m_instances[i].m_naive_ejected; }
  size_t Requests(size_t i) const { return m_instances[i].m_requests; }

 private:
  struct Work {
    WorkHandle m_handle;
    TimePoint m_end;
    Outcome m_outcome;
  };

  struct Instance {
    Instance(const JudgeOptions& options, TimePoint now)
        : m_judge(options, now) {}

    InstanceJudge m_judge;
    FiveErrorsInARow m_naive;
    std::vector<Work> m_work;
    size_t m_requests = 0;
    bool m_was_wanted = false;
    bool m_was_suspect = false;
    bool m_naive_ejected = false;
  };

  void Step(size_t index, const BehaviourOf& behaviour) {
    Instance& instance = m_instances[index];
    std::erase_if(instance.m_work, [&](const Work& work) {
      if (work.m_end > m_now) {
        return false;
      }
      instance.m_judge.OnFinish(work.m_handle, m_now, work.m_outcome);
      instance.m_naive.OnOutcome(m_now, IsFailure(work.m_outcome));
      return true;
    });
    if (m_arrives(m_random)) {
      const Behaviour next = behaviour(index, m_now);
      instance.m_work.push_back({instance.m_judge.OnStart(m_now),
                                 m_now + next.m_latency, next.m_outcome});
      ++instance.m_requests;
    }
    instance.m_judge.OnTick(m_now);
    const Verdict verdict = instance.m_judge.Report().m_verdict;
    instance.m_was_wanted |= verdict == Verdict::kEjectionWanted;
    instance.m_was_suspect |= verdict != Verdict::kHealthy;
    instance.m_naive_ejected |= instance.m_naive.IsEjected(m_now);
  }

  void Exchange() {
    std::vector<SiblingSummary> all;
    for (const Instance& instance : m_instances) {
      all.push_back({instance.m_judge.Summary(m_now), m_now});
    }
    for (size_t i = 0; i < m_instances.size(); ++i) {
      std::vector<SiblingSummary> siblings = all;
      siblings.erase(siblings.begin() + static_cast<std::ptrdiff_t>(i));
      m_instances[i].m_judge.OnBaseline(m_now,
                                        MakePeerBaseline(siblings, m_now));
    }
  }

  std::mt19937_64 m_random;
  std::bernoulli_distribution m_arrives;
  TimePoint m_now{std::chrono::hours(1)};
  TimePoint m_start;
  std::vector<Instance> m_instances;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_HEALTH_TESTS_JUDGED_SERVICE_H_
