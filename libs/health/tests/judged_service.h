#ifndef SEQUOIASTAGE_HEALTH_TESTS_JUDGED_SERVICE_H_
#define SEQUOIASTAGE_HEALTH_TESTS_JUDGED_SERVICE_H_

#include <functional>
#include <random>
#include <vector>

#include "naive_judges.h"
#include "sequoiastage/health/instance_judge.h"

namespace sequoiastage {

/// Response of an instance to one request. The latency is the time to the
/// outcome.
struct Behaviour {
  Duration m_latency = std::chrono::milliseconds(100);
  Outcome m_outcome = Outcome::kSuccess;
};

/// Fake of one service: each instance receives Poisson traffic at a fixed rate,
/// whatever its verdict; summaries are exchanged every 500 ms.
class JudgedService {
 public:
  using BehaviourModel =
      std::function<Behaviour(size_t instance, TimePoint now)>;

  static constexpr Duration kTick = std::chrono::milliseconds(10);
  static constexpr Duration kExchangeInterval = std::chrono::milliseconds(500);

  JudgedService(size_t instances,
                const JudgeOptions& options,
                double requests_per_s,
                uint64_t seed)
      : m_random(seed), m_arrives(requests_per_s * 0.01), m_start(m_now) {
    for (size_t i = 0; i < instances; ++i) {
      m_instances.emplace_back(options, m_now);
    }
  }

  /// Runs for `duration`, or until `stop` returns true after a tick.
  void Run(
      Duration duration,
      const BehaviourModel& behaviour,
      const std::function<bool()>& stop = [] { return false; }) {
    const TimePoint end = m_now + duration;
    while (m_now < end && !stop()) {
      m_now += kTick;
      for (size_t i = 0; i < m_instances.size(); ++i) {
        RunTick(i, behaviour);
      }
      if ((m_now - m_start) % kExchangeInterval == Duration(0)) {
        ExchangeSummaries();
      }
    }
  }

  TimePoint NowTime() const { return m_now; }
  InstanceJudge& Judge(size_t i) { return m_instances[i].m_judge; }
  Verdict CurrentVerdict(size_t i) const {
    return m_instances[i].m_judge.Report().m_verdict;
  }
  bool WasEjectionDue(size_t i) const {
    return m_instances[i].m_was_ejection_due;
  }
  bool WasSuspect(size_t i) const { return m_instances[i].m_was_suspect; }
  bool WasEjectedByNaiveJudge(size_t i) const {
    return m_instances[i].m_was_naively_ejected;
  }
  size_t Requests(size_t i) const { return m_instances[i].m_requests; }

 private:
  struct Request {
    RequestHandle m_handle;
    TimePoint m_end;
    Outcome m_outcome;
  };

  struct Instance {
    Instance(const JudgeOptions& options, TimePoint now)
        : m_judge(options, now) {}

    InstanceJudge m_judge;
    FiveConsecutiveFailures m_naive_judge;
    std::vector<Request> m_in_flight;
    size_t m_requests = 0;
    bool m_was_ejection_due = false;
    bool m_was_suspect = false;
    bool m_was_naively_ejected = false;
  };

  void RunTick(size_t index, const BehaviourModel& behaviour) {
    Instance& instance = m_instances[index];
    std::erase_if(instance.m_in_flight, [&](const Request& request) {
      if (request.m_end > m_now) {
        return false;
      }
      instance.m_judge.OnFinish(request.m_handle, m_now, request.m_outcome);
      instance.m_naive_judge.OnOutcome(m_now, IsFailure(request.m_outcome));
      return true;
    });
    if (m_arrives(m_random)) {
      const Behaviour next = behaviour(index, m_now);
      instance.m_in_flight.push_back({instance.m_judge.OnStart(m_now),
                                      m_now + next.m_latency, next.m_outcome});
      ++instance.m_requests;
    }
    instance.m_judge.OnTick(m_now);
    const Verdict verdict = instance.m_judge.Report().m_verdict;
    instance.m_was_ejection_due |= verdict == Verdict::kEjectionDue;
    instance.m_was_suspect |= verdict != Verdict::kHealthy;
    instance.m_was_naively_ejected |= instance.m_naive_judge.IsEjected(m_now);
  }

  void ExchangeSummaries() {
    std::vector<PeerSummary> all;
    for (const Instance& instance : m_instances) {
      all.push_back({instance.m_judge.Summary(m_now), m_now});
    }
    for (size_t i = 0; i < m_instances.size(); ++i) {
      std::vector<PeerSummary> peers = all;
      peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(i));
      m_instances[i].m_judge.UpdateBaseline(m_now,
                                            MakePeerBaseline(peers, m_now));
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
