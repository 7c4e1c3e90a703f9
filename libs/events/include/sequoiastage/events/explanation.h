#ifndef SEQUOIASTAGE_EVENTS_EXPLANATION_H_
#define SEQUOIASTAGE_EVENTS_EXPLANATION_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "sequoiastage/events/log_line.h"

/// Explains the outcome of a request from the logs of the nodes alone.
namespace sequoiastage {

/// Main cause of a request's outcome, for programs and alerts.
enum class FailureCause : uint8_t {
  kNotFound,
  /// Served; neither a wait nor a failed attempt was the main cause of delay.
  kServed,
  /// Served late; more than half of the time passed before an instance began to
  /// run the request.
  kServedAfterWait,
  /// Served by a further attempt after an earlier one had failed or was slow.
  kServedAfterRetry,
  kNoConfiguration,
  kNoRoute,
  /// The configuration has the route or account, but it can't be used.
  kMisconfigured,
  /// The request has no key, or one that belongs to no account.
  kUnknownKey,
  kNoInstanceKnown,
  /// Instances are known, but the links to their nodes are lost.
  kPathsCut,
  kInstancesHeld,
  kInstancesFull,
  /// The instances were draining or had just been replaced.
  kInstancesChanging,
  kRetryBudget,
  /// A service that requests of the route call was short of capacity.
  kDownstreamFull,
  kOutOfTime,
  /// An instance accepted no connection, reset it, or sent an incomplete or
  /// malformed response.
  kBrokenResponse,
  kInstanceSilent,
  kNodeRestarted,
  kLinkLost,
  kServerError,
  /// The request has crashed several instances; the fleet rejects it.
  kQuarantined,
  /// The client account was over its rate limit.
  kOverLimit,
};

std::string_view ToString(FailureCause cause);

struct Explanation {
  FailureCause m_cause = FailureCause::kNotFound;
  /// One sentence.
  std::string m_summary;
  /// Evidence: the state of the ingress, the attempts, the state of their
  /// instances, and the final event of the request.
  std::vector<std::string> m_steps;
  /// Information that the given logs lack.
  std::vector<std::string> m_missing;
};

/// Explains `request`, an id of a request. `lines` come from any number of
/// nodes; those of one source are in the order in which they were written. The
/// cause is kNotFound when no line reports the end of the request.
Explanation ExplainRequest(const std::vector<LogLine>& lines,
                           std::string_view request);

std::string ToText(const Explanation& explanation);

/// Number of finished requests of one route, in total and by cause.
struct RouteCauseCounts {
  std::map<FailureCause, uint64_t> m_causes;
  uint64_t m_requests = 0;
};

/// Counts the finished requests by route. Requests without a route are counted
/// under "-".
std::map<std::string, RouteCauseCounts> CountCausesByRoute(
    const std::vector<LogLine>& lines);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_EVENTS_EXPLANATION_H_
