#include "path_cut.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <optional>
#include <queue>
#include <random>
#include <vector>

#include "naive_judges.h"
#include "sequoiastage/routing/path_monitor.h"

namespace sequoiastage {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kPeers = 12;
constexpr double kRequestsPerS = 10;
constexpr Duration kRoundTrip = milliseconds(30);
constexpr Duration kTick = milliseconds(50);
constexpr Duration kDeadline = seconds(5);
constexpr Duration kProbeInterval = seconds(1);
constexpr Duration kProbeTimeout = seconds(1);
constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr TimePoint kCut = kStart + seconds(30);
constexpr TimePoint kEnd = kCut + seconds(60);

NodeId PeerId(size_t i) {
  return NodeId(Endpoint{.m_ip = static_cast<uint32_t>(i + 1), .m_port = 1});
}

enum class DetectorKind { kPathMonitor, kProbes, kErrors };

const char* ToString(DetectorKind kind) {
  switch (kind) {
    case DetectorKind::kPathMonitor:
      return "path judge";
    case DetectorKind::kProbes:
      return "naive: 3 probes";
    case DetectorKind::kErrors:
      return "naive: 5 errors";
  }
  return "";
}

struct CutStats {
  std::optional<Duration> m_stopped;
  int m_lost = 0;
  int m_false_suspicions = 0;
};

/// One ingress of six, which sends a sixth of 60 requests per second to 12
/// peers. From kCut on it receives no frames from peer 0, which the other
/// ingresses still use.
class IngressFake {
 public:
  IngressFake(DetectorKind kind, uint64_t seed)
      : m_kind(kind), m_random(seed), m_probes(kPeers), m_errors(kPeers) {}

  CutStats Run() {
    HandleArrival();
    Tick();
    SendProbes();
    while (m_events.top().m_at < kEnd) {
      const Event event = m_events.top();
      m_events.pop();
      m_now = event.m_at;
      event.m_action();
      RecordSuspicions();
    }
    return m_stats;
  }

 private:
  struct Event {
    TimePoint m_at;
    uint64_t m_order;
    std::function<void()> m_action;

    bool operator>(const Event& other) const {
      return std::pair(m_at, m_order) > std::pair(other.m_at, other.m_order);
    }
  };

  void ScheduleAfter(Duration delay, std::function<void()> action) {
    m_events.push(Event{m_now + delay, m_next_order++, std::move(action)});
  }

  bool IsCut(size_t peer) const { return peer == 0 && m_now >= kCut; }

  bool IsStopped(size_t peer) const {
    switch (m_kind) {
      case DetectorKind::kPathMonitor:
        return m_monitor.IsSuspect(PeerId(peer));
      case DetectorKind::kProbes:
        return m_probes[peer].IsEjected();
      case DetectorKind::kErrors:
        return m_errors[peer].IsEjected(m_now);
    }
    return false;
  }

  void HandleArrival() {
    std::exponential_distribution<double> gap_s(kRequestsPerS);
    ScheduleAfter(Duration(1 + static_cast<int64_t>(gap_s(m_random) * 1e6)),
                  [this] {
                    HandleArrival();
                    Send();
                  });
  }

  void Send() {
    const size_t peer = m_random() % kPeers;
    if (IsStopped(peer)) {
      return;
    }
    m_monitor.OnSent(PeerId(peer), m_now);
    m_stats.m_lost += IsCut(peer) ? 1 : 0;
    std::lognormal_distribution<double> latency_us(std::log(150e3), 0.4);
    const Duration latency(static_cast<int64_t>(latency_us(m_random)));
    ScheduleAfter(kRoundTrip + latency, [this, peer] {
      if (IsCut(peer)) {
        ScheduleAfter(kDeadline - kRoundTrip,
                      [this, peer] { EndRequest(peer, true); });
        return;
      }
      m_monitor.OnFrame(PeerId(peer), m_now);
      EndRequest(peer, false);
    });
  }

  void EndRequest(size_t peer, bool is_failure) {
    m_monitor.OnEnded(PeerId(peer), m_now);
    m_errors[peer].OnOutcome(m_now, is_failure);
  }

  void Tick() {
    for (const NodeId peer : m_monitor.OnTick(m_now)) {
      ScheduleAfter(kRoundTrip, [this, peer] {
        if (peer != PeerId(0) || !IsCut(0)) {
          m_monitor.OnFrame(peer, m_now);
        }
      });
    }
    ScheduleAfter(kTick, [this] { Tick(); });
  }

  void SendProbes() {
    for (size_t peer = 0; peer < kPeers; ++peer) {
      const bool is_good = !IsCut(peer);
      ScheduleAfter(is_good ? kRoundTrip : kProbeTimeout,
                    [this, peer, is_good] { m_probes[peer].OnProbe(is_good); });
    }
    ScheduleAfter(kProbeInterval, [this] { SendProbes(); });
  }

  void RecordSuspicions() {
    for (size_t peer = 0; peer < kPeers; ++peer) {
      const bool is_stopped = IsStopped(peer);
      const bool is_new = is_stopped && !m_was_stopped[peer];
      m_was_stopped[peer] = is_stopped;
      if (!is_new) {
        continue;
      }
      if (!IsCut(peer)) {
        ++m_stats.m_false_suspicions;
      } else if (!m_stats.m_stopped) {
        m_stats.m_stopped = m_now - kCut;
      }
    }
  }

  DetectorKind m_kind;
  std::mt19937_64 m_random;
  TimePoint m_now = kStart;
  PathMonitor m_monitor;
  std::vector<ThreeFailedProbes> m_probes;
  std::vector<FiveConsecutiveFailures> m_errors;
  std::vector<bool> m_was_stopped = std::vector<bool>(kPeers, false);
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
  uint64_t m_next_order = 0;
  CutStats m_stats;
};

}  // namespace

void RunPathCut(uint64_t seed, int trials) {
  fmt::print(
      "\nOne-way cut: nothing from one of 12 peers reaches one ingress of six\n"
      "(10 requests/s). Verdicts are the ingress's own; no instance is "
      "ejected.\n"
      "lost: requests sent into the cut in 60 s; false: suspected good "
      "paths.\n\n"
      "{:<25} {:>6} {:>8} {:>7} {:>7}\n",
      "judge", "stop", "worst", "lost", "false");
  for (const DetectorKind kind :
       {DetectorKind::kPathMonitor, DetectorKind::kProbes,
        DetectorKind::kErrors}) {
    double sum_s = 0;
    double worst_s = 0;
    int stopped = 0;
    double lost = 0;
    int false_suspicions = 0;
    for (int trial = 0; trial < trials; ++trial) {
      const CutStats stats =
          IngressFake(kind, seed + static_cast<uint64_t>(trial)).Run();
      lost += stats.m_lost;
      false_suspicions += stats.m_false_suspicions;
      if (stats.m_stopped) {
        const double s =
            std::chrono::duration<double>(*stats.m_stopped).count();
        sum_s += s;
        worst_s = std::max(worst_s, s);
        ++stopped;
      }
    }
    fmt::print(
        "{:<25} {:6.2f} {:8.2f} {:7.1f} {:7} {}\n", ToString(kind),
        sum_s / std::max(1, stopped), worst_s, lost / trials, false_suspicions,
        stopped < trials ? fmt::format("({} runs never)", trials - stopped)
                         : "");
  }
}

}  // namespace sequoiastage
