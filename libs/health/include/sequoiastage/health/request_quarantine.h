#ifndef SEQUOIASTAGE_HEALTH_REQUEST_QUARANTINE_H_
#define SEQUOIASTAGE_HEALTH_REQUEST_QUARANTINE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "sequoiastage/base/ids.h"
#include "sequoiastage/base/request_fingerprint.h"
#include "sequoiastage/base/time.h"

namespace sequoiastage {

/// Unexpected end of one incarnation of an instance. The host and the start
/// time identify the incarnation.
struct CrashReport {
  NodeId m_node;
  uint64_t m_instance_start_ms = 0;
  WallTime m_at{};
  /// Requests that the instance was executing.
  std::vector<RequestFingerprint> m_running;

  friend bool operator==(const CrashReport&, const CrashReport&) = default;
};

/// Proof that a request crashes no instance: it got a complete response.
struct ExecutionReport {
  RequestFingerprint m_request;
  WallTime m_at{};

  friend bool operator==(const ExecutionReport&,
                         const ExecutionReport&) = default;
};

struct RequestQuarantineOptions {
  /// A request is quarantined when this many instances have crashed while they
  /// executed it.
  uint32_t m_max_crashes = 3;
  /// Reports expire after this time. The quarantine of a request ends this long
  /// after the last crash that it caused.
  Duration m_ttl = std::chrono::minutes(30);
  /// Maximum difference between the clocks of two hosts. An execution counts
  /// against crashes reported up to this much later.
  Duration m_max_clock_skew = std::chrono::seconds(5);
  size_t m_max_reports = 256;
  /// Maximum number of requests in one report.
  size_t m_max_running = 16;
};

/// Finds requests that crash every instance that executes them.
///
/// The load pattern: callers repeat such a request, each repetition costs an
/// instance for seconds, and other requests that ran there are lost with it.
/// One crash names several requests, most of them harmless, and instances also
/// crash by themselves. Three rules keep harmless requests in service:
///
///   - A request that got a complete response has crashed nothing so far.
///   - A crash that a quarantined request explains counts against no other.
///   - Of the requests that a crash names, only those with most crashes are
///     quarantined.
///
/// Reports count in the order of their times. The result does not depend on the
/// order in which they are added, so that nodes that know the same reports
/// agree.
class RequestQuarantine {
 public:
  explicit RequestQuarantine(const RequestQuarantineOptions& options = {})
      : m_options(options) {}

  /// Adds a report, or the requests that an earlier report of the same
  /// incarnation lacks. Returns whether it told anything new.
  bool Add(const CrashReport& report, WallTime now);

  /// Adds an execution. Returns whether it matters to other nodes: without it,
  /// the request is in quarantine, or would be after one more crash.
  bool Add(const ExecutionReport& execution, WallTime now);

  /// Time until the quarantine of the request ends; empty when it has none.
  std::optional<Duration> TimeLeft(RequestFingerprint request, WallTime now);

  /// Requests quarantined since the last call, with the number of crashes.
  std::vector<std::pair<RequestFingerprint, uint32_t>> TakeNew(WallTime now);

  /// Removes reports that have expired.
  void RemoveExpired(WallTime now);

  /// True: no request can be in quarantine, and executions need no report.
  bool IsEmpty() const { return m_reports.empty(); }

  size_t ReportCount() const { return m_reports.size(); }
  /// Number of quarantined requests.
  size_t size() const { return m_until.size(); }

 private:
  // Node and start time of an incarnation.
  using Incarnation = std::pair<NodeId, uint64_t>;
  using CrashCounts = std::map<RequestFingerprint, uint32_t>;

  void RemoveOldest(WallTime now);
  // Evaluates when reports were added since the last time: a node that starts
  // reads many of them at once.
  void UpdateIfStale(WallTime now);
  // Determines anew which requests are quarantined.
  void Evaluate();
  WallTime EndOfQuarantine(RequestFingerprint request) const;
  // Whether the request ran there and was not executed since.
  bool Counts(const CrashReport& report, RequestFingerprint request) const;
  bool IsExplained(const CrashReport& report) const;
  // Number of the crashes of each request that no quarantined one explains.
  CrashCounts CountUnexplained(
      const std::vector<const CrashReport*>& reports) const;
  std::vector<const CrashReport*> ReportsByTime() const;

  RequestQuarantineOptions m_options;
  std::map<Incarnation, CrashReport> m_reports;
  // Latest execution of requests that are named in a report.
  std::map<RequestFingerprint, WallTime> m_executed;
  // End of the quarantine of each request.
  std::map<RequestFingerprint, WallTime> m_until;
  std::vector<std::pair<RequestFingerprint, uint32_t>> m_new;
  bool m_is_stale = false;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_HEALTH_REQUEST_QUARANTINE_H_
