#ifndef SEQUOIASTAGE_EVENTS_EXPLANATION_H_
#define SEQUOIASTAGE_EVENTS_EXPLANATION_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "sequoiastage/events/log_line.h"

/// What became of one request and why, from the logs of all nodes alone.
namespace sequoiastage {

/// Main cause, for programs and alerts.
enum class FailureCause : uint8_t {
  kNotFound,
  /// Served, and soon.
  kServed,
  /// Served; nearly all of its time passed before an instance began.
  kServedAfterWait,
  /// Served; an earlier attempt failed or was slow, and another one answered.
  kServedAfterRepeat,
  kNoConfiguration,
  kNoRoute,
  kNoInstanceKnown,
  /// Instances are there; the links to their nodes are lost.
  kPathsCut,
  kInstancesHeld,
  kInstancesFull,
  /// Instances were leaving or had just changed.
  kInstancesChanging,
  kRetryBudget,
  kOutOfTime,
  /// An instance reset, cut or spoiled its answer.
  kBrokenAnswer,
  kInstanceSilent,
  kNodeRestarted,
  kLinkLost,
  kServerError,
};

std::string_view ToString(FailureCause cause);

struct Explanation {
  FailureCause m_cause = FailureCause::kNotFound;
  /// One sentence.
  std::string m_summary;
  /// What happened, in the order of causes: the request, to whom it was sent,
  /// what was known and how old it was.
  std::vector<std::string> m_steps;
  /// What the logs at hand don't tell.
  std::vector<std::string> m_missing;
};

/// `lines`: of all nodes, those of one source in the order they were written.
Explanation ExplainRequest(const std::vector<LogLine>& lines,
                           std::string_view request);

std::string ToText(const Explanation& explanation);

/// How the requests of one route ended.
struct RouteEnds {
  std::map<FailureCause, uint64_t> m_causes;
  uint64_t m_requests = 0;
};

/// By route; what fits none stands under "-".
std::map<std::string, RouteEnds> CountEnds(const std::vector<LogLine>& lines);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_EVENTS_EXPLANATION_H_
