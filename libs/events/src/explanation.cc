#include "sequoiastage/events/explanation.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "cause_summary_p.h"
#include "trail_p.h"

namespace sequoiastage {

namespace {

using Lines = std::vector<const LogLine*>;

// A served request that took no longer than this is never reported as delayed
// by its wait.
constexpr int64_t kSlowMs = 100;
// The wait is the cause of a late response when its share of the total time
// exceeds this.
constexpr double kWaitShare = 0.5;

// Log lines by source, and the source of each node's log.
class NodeLogIndex {
 public:
  explicit NodeLogIndex(const std::vector<LogLine>& lines) {
    for (const LogLine& line : lines) {
      m_lines_by_source[line.m_source].push_back(&line);
      if (line.m_event == "node_started") {
        m_source_by_node[std::string(line.Get("node"))] = line.m_source;
      }
    }
  }

  // Empty when the logs lack the start of the node.
  std::optional<std::string> FindSource(const std::string& node) const {
    const auto found = m_source_by_node.find(node);
    return found == m_source_by_node.end() ? std::nullopt
                                           : std::optional(found->second);
  }

  // The latest line of a source at or before `time` whose event is one of
  // `events`; null when there is none.
  const LogLine* LatestBefore(const std::string& source,
                              const std::string& time,
                              const std::set<std::string>& events) const {
    const auto found = m_lines_by_source.find(source);
    const LogLine* latest = nullptr;
    if (found != m_lines_by_source.end()) {
      for (const LogLine* line : found->second) {
        if (line->m_time <= time && events.contains(line->m_event)) {
          latest = line;
        }
      }
    }
    return latest;
  }

 private:
  std::map<std::string, Lines> m_lines_by_source;
  std::map<std::string, std::string> m_source_by_node;
};

std::string FormatLine(const LogLine& line) {
  std::string text =
      fmt::format("{} {}: {}", line.m_time, line.m_source, line.m_event);
  for (const auto& [key, value] : line.m_fields) {
    if (key != "request" && key != "trail") {
      text += fmt::format(" {}={}", key, value.empty() ? "-" : value);
    }
  }
  return text;
}

bool HasReason(const std::vector<TrailEntry>& trail,
               std::initializer_list<std::string_view> reasons) {
  return std::any_of(trail.begin(), trail.end(), [&](const TrailEntry& entry) {
    return std::find(reasons.begin(), reasons.end(), entry.m_reason) !=
           reasons.end();
  });
}

bool IsFinalEvent(const LogLine& line) {
  return line.m_event == "request_answered" ||
         line.m_event == "request_failed" ||
         line.m_event == "request_unrouted" ||
         line.m_event == "request_misconfigured" ||
         line.m_event == "request_unauthorized" ||
         line.m_event == "request_limited";
}

// Cause of a request that certainly did not run.
FailureCause ClassifyRefusal(const LogLine& final_event,
                             const std::vector<TrailEntry>& trail) {
  const int64_t known = final_event.Number("known").value_or(0);
  if (known == 0) {
    return FailureCause::kNoInstanceKnown;
  }
  if (final_event.Get("cause") == "the request crashes instances") {
    return FailureCause::kQuarantined;
  }
  if (final_event.Get("cause") == "out of time" ||
      HasReason(trail, {"past-deadline"})) {
    return FailureCause::kOutOfTime;
  }
  if (final_event.Number("cut").value_or(0) == known ||
      (!trail.empty() &&
       std::all_of(trail.begin(), trail.end(), [](const TrailEntry& entry) {
         return entry.m_reason == "link-lost" || entry.m_reason == "silent";
       }))) {
    return FailureCause::kPathsCut;
  }
  // The most frequent reason of the refusals.
  std::map<std::string, int> counts;
  for (const TrailEntry& entry : trail) {
    ++counts[entry.m_reason];
  }
  counts["busy"] += counts["shed"];
  counts["draining"] += counts["unknown-instance"] + counts["instance-left"];
  std::pair<FailureCause, int> most = {FailureCause::kInstancesFull, 0};
  for (const auto& [reason, cause] :
       {std::pair("busy", FailureCause::kInstancesFull),
        std::pair("suspect", FailureCause::kInstancesHeld),
        std::pair("draining", FailureCause::kInstancesChanging),
        std::pair("retry-budget", FailureCause::kRetryBudget),
        std::pair("downstream-busy", FailureCause::kDownstreamFull),
        std::pair("connect-failed", FailureCause::kBrokenResponse),
        std::pair("link-lost", FailureCause::kPathsCut)}) {
    if (counts[reason] > most.second) {
      most = {cause, counts[reason]};
    }
  }
  return most.first;
}

// Cause of a request without a response whose attempt may have run.
FailureCause ClassifyUnknownOutcome(const LogLine& final_event,
                                    const std::vector<TrailEntry>& trail) {
  if (HasReason(trail, {"wrong-incarnation"})) {
    return FailureCause::kNodeRestarted;
  }
  if (HasReason(trail, {"incomplete-answer", "instance-crashed"})) {
    return FailureCause::kBrokenResponse;
  }
  if (HasReason(trail, {"link-lost", "silent"})) {
    return FailureCause::kLinkLost;
  }
  if (HasReason(trail, {"timeout"}) ||
      final_event.Get("cause") == "out of time") {
    return FailureCause::kInstanceSilent;
  }
  return FailureCause::kBrokenResponse;
}

FailureCause ClassifyFinalResponse(const LogLine& final_event,
                                   const std::vector<TrailEntry>& trail) {
  const int64_t took = final_event.Number("took_ms").value_or(0);
  const int64_t waited = final_event.Number("waited_ms").value_or(0);
  if (final_event.Number("status").value_or(0) >= 500) {
    return FailureCause::kServerError;
  }
  if (took > kSlowMs &&
      static_cast<double>(waited) > kWaitShare * static_cast<double>(took)) {
    return FailureCause::kServedAfterWait;
  }
  return HasReason(trail, {"incomplete-answer", "instance-crashed", "timeout",
                           "server-error", "slow", "link-lost", "silent",
                           "wrong-incarnation"})
             ? FailureCause::kServedAfterRetry
             : FailureCause::kServed;
}

FailureCause ClassifyFinalEvent(const LogLine& final_event,
                                const std::vector<TrailEntry>& trail) {
  if (final_event.m_event == "request_unrouted") {
    return final_event.Number("config").value_or(-1) < 0
               ? FailureCause::kNoConfiguration
               : FailureCause::kNoRoute;
  }
  if (final_event.m_event == "request_misconfigured") {
    return FailureCause::kMisconfigured;
  }
  if (final_event.m_event == "request_unauthorized") {
    return FailureCause::kUnknownKey;
  }
  if (final_event.m_event == "request_limited") {
    return FailureCause::kOverLimit;
  }
  if (final_event.m_event == "request_answered") {
    return ClassifyFinalResponse(final_event, trail);
  }
  const std::string_view outcome = final_event.Get("outcome");
  if (outcome == "server-error") {
    return FailureCause::kServerError;
  }
  return outcome == "not-run" ? ClassifyRefusal(final_event, trail)
                              : ClassifyUnknownOutcome(final_event, trail);
}

// Events that change the state of a node's instance.
const std::set<std::string>& InstanceEvents() {
  static const std::set<std::string> kEvents = {
      "instance_held", "instance_open", "instance_changed"};
  return kEvents;
}

class Explainer {
 public:
  Explainer(const std::vector<LogLine>& lines, std::string_view request)
      : m_index(lines) {
    for (const LogLine& line : lines) {
      const std::string_view id = line.Get("request");
      if (id.size() > request.size() && id.starts_with(request) &&
          id[request.size()] == '.' && IsFinalEvent(line)) {
        m_nested_requests.push_back(&line);
      }
      if (id == request) {
        m_request_lines.push_back(&line);
        m_final_event = IsFinalEvent(line) ? &line : m_final_event;
      }
    }
    std::stable_sort(m_request_lines.begin(), m_request_lines.end(),
                     [](const LogLine* a, const LogLine* b) {
                       return a->m_time < b->m_time;
                     });
  }

  Explanation Explain() {
    if (m_final_event == nullptr) {
      AddMissingFinalEvent();
      m_result.m_summary = SummarizeCause(m_result.m_cause);
      return std::move(m_result);
    }
    const auto trail = ParseTrail(m_final_event->Get("trail"));
    m_result.m_cause = ClassifyFinalEvent(*m_final_event, trail);
    m_result.m_summary = SummarizeCause(m_result.m_cause);
    AddIngressState();
    AddTrail(trail);
    AddAttempts();
    AddNestedRequests();
    AddInstanceCounts();
    m_result.m_steps.push_back("end: " + FormatLine(*m_final_event));
    return std::move(m_result);
  }

 private:
  void AddMissingFinalEvent() {
    for (const LogLine* line : m_request_lines) {
      m_result.m_steps.push_back(FormatLine(*line));
    }
    m_result.m_missing.emplace_back(
        m_request_lines.empty()
            ? "no line has the id of the request: check that it was sent to "
              "these nodes and that their logs are complete"
            : "the log of the ingress, or the caller disconnected before its "
              "response (caller_left, logged with --verbose)");
  }

  // Adds the state of the ingress when the request ended.
  void AddIngressState() {
    const std::string& source = m_final_event->m_source;
    const LogLine* config = m_index.LatestBefore(source, m_final_event->m_time,
                                                 {"config_in_force"});
    if (config != nullptr) {
      m_result.m_steps.push_back("configuration in force: " +
                                 FormatLine(*config));
    } else if (m_final_event->Number("config").value_or(-1) >= 0) {
      m_result.m_missing.push_back("the time at which version " +
                                   std::string(m_final_event->Get("config")) +
                                   " came into force at " + source);
    }
    const LogLine* store = m_index.LatestBefore(
        source, m_final_event->m_time, {"store_lost", "store_regained"});
    if (store != nullptr && store->m_event == "store_lost") {
      m_result.m_steps.push_back("the store was unreachable: " +
                                 FormatLine(*store));
    }
    const LogLine* start =
        m_index.LatestBefore(source, m_final_event->m_time, {"node_started"});
    if (start != nullptr) {
      m_result.m_steps.push_back("latest start of the ingress: " +
                                 FormatLine(*start));
    }
  }

  // Adds the attempts without success and the state of their instances.
  void AddTrail(const std::vector<TrailEntry>& trail) {
    for (const TrailEntry& entry : trail) {
      const auto source = m_index.FindSource(entry.m_node);
      m_result.m_steps.push_back("attempt at " + ToText(entry) +
                                 (source ? " [" + *source + "]" : ""));
      if (!source) {
        m_result.m_missing.push_back("the log of node " + entry.m_node +
                                     " since its start");
        continue;
      }
      AddLatestEvent(*source, "  state of its instance: ", InstanceEvents());
      if (entry.m_reason == "link-lost" || entry.m_reason == "silent" ||
          entry.m_reason == "wrong-incarnation") {
        AddLatestEvent(*source, "  state of the node: ",
                       {"node_started", "node_stopping", "node_stopped"});
      }
    }
  }

  void AddLatestEvent(const std::string& source,
                      const std::string& intro,
                      const std::set<std::string>& events) {
    if (const LogLine* line =
            m_index.LatestBefore(source, m_final_event->m_time, events)) {
      m_result.m_steps.push_back(intro + FormatLine(*line));
    }
  }

  // Adds the other lines of the request, such as those of the egresses.
  void AddAttempts() {
    for (const LogLine* line : m_request_lines) {
      if (line != m_final_event) {
        m_result.m_steps.push_back("logged: " + FormatLine(*line));
      }
    }
  }

  // Adds requests that the instance sent while it ran this one. Their ids
  // extend the id of this request.
  void AddNestedRequests() {
    for (const LogLine* line : m_nested_requests) {
      const auto trail = ParseTrail(line->Get("trail"));
      m_result.m_steps.push_back(fmt::format(
          "nested request of the instance: {}; {}",
          ToString(ClassifyFinalEvent(*line, trail)), FormatLine(*line)));
    }
  }

  void AddInstanceCounts() {
    if (m_final_event->Has("known")) {
      m_result.m_steps.push_back(fmt::format(
          "of {} known instances {} were held, {} full, {} without a usable "
          "link; the data from the store was {} ms old",
          m_final_event->Get("known"), m_final_event->Get("held"),
          m_final_event->Get("full"), m_final_event->Get("cut"),
          m_final_event->Get("knowledge_ms")));
    }
    if (m_final_event->Has("waited_ms")) {
      m_result.m_steps.push_back(fmt::format(
          "an instance began to run the request after {} of {} ms",
          m_final_event->Get("waited_ms"), m_final_event->Get("took_ms")));
    }
  }

  NodeLogIndex m_index;
  Lines m_request_lines;
  // Final events of the requests whose ids extend the id of this request.
  Lines m_nested_requests;
  const LogLine* m_final_event = nullptr;
  Explanation m_result;
};

}  // namespace

std::string_view ToString(FailureCause cause) {
  switch (cause) {
    case FailureCause::kNotFound:
      return "not-found";
    case FailureCause::kServed:
      return "served";
    case FailureCause::kServedAfterWait:
      return "served-after-wait";
    case FailureCause::kServedAfterRetry:
      return "served-after-repeat";
    case FailureCause::kNoConfiguration:
      return "no-configuration";
    case FailureCause::kNoRoute:
      return "no-route";
    case FailureCause::kMisconfigured:
      return "misconfigured";
    case FailureCause::kUnknownKey:
      return "unknown-key";
    case FailureCause::kNoInstanceKnown:
      return "no-instance-known";
    case FailureCause::kPathsCut:
      return "paths-cut";
    case FailureCause::kInstancesHeld:
      return "instances-held";
    case FailureCause::kInstancesFull:
      return "instances-full";
    case FailureCause::kInstancesChanging:
      return "instances-changing";
    case FailureCause::kRetryBudget:
      return "retry-budget";
    case FailureCause::kDownstreamFull:
      return "downstream-full";
    case FailureCause::kOutOfTime:
      return "out-of-time";
    case FailureCause::kBrokenResponse:
      return "broken-answer";
    case FailureCause::kInstanceSilent:
      return "instance-silent";
    case FailureCause::kNodeRestarted:
      return "node-restarted";
    case FailureCause::kLinkLost:
      return "link-lost";
    case FailureCause::kServerError:
      return "server-error";
    case FailureCause::kQuarantined:
      return "quarantined";
    case FailureCause::kOverLimit:
      return "over-limit";
  }
  return "";
}

Explanation ExplainRequest(const std::vector<LogLine>& lines,
                           std::string_view request) {
  return Explainer(lines, request).Explain();
}

std::map<std::string, RouteCauseCounts> CountCausesByRoute(
    const std::vector<LogLine>& lines) {
  std::map<std::string, RouteCauseCounts> counts_by_route;
  for (const LogLine& line : lines) {
    if (!IsFinalEvent(line)) {
      continue;
    }
    const std::string route(line.Has("route") ? line.Get("route") : "-");
    ++counts_by_route[route].m_requests;
    ++counts_by_route[route]
          .m_causes[ClassifyFinalEvent(line, ParseTrail(line.Get("trail")))];
  }
  return counts_by_route;
}

std::string ToText(const Explanation& explanation) {
  std::string text = fmt::format(
      "cause: {}\n{}\n", ToString(explanation.m_cause), explanation.m_summary);
  for (const std::string& step : explanation.m_steps) {
    text += step + "\n";
  }
  for (const std::string& missing : explanation.m_missing) {
    text += "missing: " + missing + "\n";
  }
  return text;
}

}  // namespace sequoiastage
