#include "sequoiastage/events/explanation.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "trail_p.h"

namespace sequoiastage {

namespace {

using Lines = std::vector<const LogLine*>;

// Served later than this, a caller may ask why.
constexpr int64_t kSlowMs = 100;
// Part of the time before the start that makes the wait the cause.
constexpr double kWaitPart = 0.5;

// What the logs say of each node.
class NodeIndex {
 public:
  explicit NodeIndex(const std::vector<LogLine>& lines) {
    for (const LogLine& line : lines) {
      m_by_source[line.m_source].push_back(&line);
      if (line.m_event == "node_started") {
        m_source_of[std::string(line.Get("node"))] = line.m_source;
      }
    }
  }

  // Empty when no log of the node is at hand.
  std::optional<std::string> SourceOf(const std::string& node) const {
    const auto found = m_source_of.find(node);
    return found == m_source_of.end() ? std::nullopt
                                      : std::optional(found->second);
  }

  // The latest line of a source at or before `time` whose event is one of
  // `events`.
  const LogLine* LatestBefore(const std::string& source,
                              const std::string& time,
                              const std::set<std::string>& events) const {
    const auto found = m_by_source.find(source);
    const LogLine* latest = nullptr;
    if (found != m_by_source.end()) {
      for (const LogLine* line : found->second) {
        if (line->m_time <= time && events.contains(line->m_event)) {
          latest = line;
        }
      }
    }
    return latest;
  }

 private:
  std::map<std::string, Lines> m_by_source;
  std::map<std::string, std::string> m_source_of;
};

std::string TextOf(const LogLine& line) {
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

bool IsEnd(const LogLine& line) {
  return line.m_event == "request_answered" ||
         line.m_event == "request_failed" || line.m_event == "request_unrouted";
}

// Cause of a refusal that is certain not to have run.
FailureCause CauseOfRefusal(const LogLine& end,
                            const std::vector<TrailEntry>& trail) {
  const int64_t known = end.Number("known").value_or(0);
  if (known == 0) {
    return FailureCause::kNoInstanceKnown;
  }
  if (end.Get("cause") == "out of time" ||
      HasReason(trail, {"past-deadline"})) {
    return FailureCause::kOutOfTime;
  }
  if (end.Number("cut").value_or(0) == known ||
      (!trail.empty() &&
       std::all_of(trail.begin(), trail.end(), [](const TrailEntry& entry) {
         return entry.m_reason == "link-lost" || entry.m_reason == "silent";
       }))) {
    return FailureCause::kPathsCut;
  }
  // What most of those that were asked said.
  std::map<std::string, int> counts;
  for (const TrailEntry& entry : trail) {
    ++counts[entry.m_reason];
  }
  counts["busy"] += counts["shed"];
  counts["draining"] += counts["unknown-instance"];
  std::pair<FailureCause, int> most = {FailureCause::kInstancesFull, 0};
  for (const auto& [reason, cause] :
       {std::pair("busy", FailureCause::kInstancesFull),
        std::pair("suspect", FailureCause::kInstancesHeld),
        std::pair("draining", FailureCause::kInstancesChanging),
        std::pair("retry-budget", FailureCause::kRetryBudget),
        std::pair("connect-failed", FailureCause::kBrokenAnswer),
        std::pair("link-lost", FailureCause::kPathsCut)}) {
    if (counts[reason] > most.second) {
      most = {cause, counts[reason]};
    }
  }
  return most.first;
}

// Cause of an end without an answer after an attempt that may have run.
FailureCause CauseOfUnknown(const LogLine& end,
                            const std::vector<TrailEntry>& trail) {
  if (HasReason(trail, {"wrong-incarnation"})) {
    return FailureCause::kNodeRestarted;
  }
  if (HasReason(trail, {"incomplete-answer"})) {
    return FailureCause::kBrokenAnswer;
  }
  if (HasReason(trail, {"link-lost", "silent"})) {
    return FailureCause::kLinkLost;
  }
  if (HasReason(trail, {"timeout"}) || end.Get("cause") == "out of time") {
    return FailureCause::kInstanceSilent;
  }
  return FailureCause::kBrokenAnswer;
}

FailureCause CauseOfAnswer(const LogLine& end,
                           const std::vector<TrailEntry>& trail) {
  const int64_t took = end.Number("took_ms").value_or(0);
  const int64_t waited = end.Number("waited_ms").value_or(0);
  if (end.Number("status").value_or(0) >= 500) {
    return FailureCause::kServerError;
  }
  if (took > kSlowMs &&
      static_cast<double>(waited) > kWaitPart * static_cast<double>(took)) {
    return FailureCause::kServedAfterWait;
  }
  return HasReason(trail, {"incomplete-answer", "timeout", "server-error",
                           "slow", "link-lost", "silent", "wrong-incarnation"})
             ? FailureCause::kServedAfterRepeat
             : FailureCause::kServed;
}

FailureCause CauseOf(const LogLine& end, const std::vector<TrailEntry>& trail) {
  if (end.m_event == "request_unrouted") {
    return end.Number("config").value_or(-1) < 0
               ? FailureCause::kNoConfiguration
               : FailureCause::kNoRoute;
  }
  if (end.m_event == "request_answered") {
    return CauseOfAnswer(end, trail);
  }
  const std::string_view outcome = end.Get("outcome");
  if (outcome == "server-error") {
    return FailureCause::kServerError;
  }
  return outcome == "not-run" ? CauseOfRefusal(end, trail)
                              : CauseOfUnknown(end, trail);
}

std::string_view SentenceOf(FailureCause cause) {
  switch (cause) {
    case FailureCause::kNotFound:
      return "No line of the logs names this request's end.";
    case FailureCause::kServed:
      return "The request was served without trouble.";
    case FailureCause::kServedAfterWait:
      return "The request was served late: most of its time passed before an "
             "instance began to run it.";
    case FailureCause::kServedAfterRepeat:
      return "The request was served by a further attempt, after an earlier "
             "one had failed.";
    case FailureCause::kNoConfiguration:
      return "The node knew no configuration yet, so it refused the request.";
    case FailureCause::kNoRoute:
      return "No route of the configuration in force fits the request.";
    case FailureCause::kNoInstanceKnown:
      return "The node knew no instance of the service, so it refused the "
             "request.";
    case FailureCause::kPathsCut:
      return "There are instances, but the links to their nodes were lost; the "
             "request was refused.";
    case FailureCause::kInstancesHeld:
      return "The instances that were asked were held back after failures of "
             "their own; the request was refused.";
    case FailureCause::kInstancesFull:
      return "Every instance that was asked was full; the request was refused.";
    case FailureCause::kInstancesChanging:
      return "The instances that were asked were leaving or had just changed; "
             "the request was refused.";
    case FailureCause::kRetryBudget:
      return "The budget for repeats of the service was used up.";
    case FailureCause::kOutOfTime:
      return "The caller's time was over before an instance could run the "
             "request.";
    case FailureCause::kBrokenAnswer:
      return "An instance broke off or spoiled its answer, and the request "
             "could not be sent again.";
    case FailureCause::kInstanceSilent:
      return "An instance had the request and did not answer in time.";
    case FailureCause::kNodeRestarted:
      return "The node beside the instance was restarted while the request "
             "was there; what became of it is not known.";
    case FailureCause::kLinkLost:
      return "The link to the node beside the instance was lost while the "
             "request was there; what became of it is not known.";
    case FailureCause::kServerError:
      return "The instance answered with an error.";
  }
  return "";
}

// Events that changed what a node believes of its instance.
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
          id[request.size()] == '.' && IsEnd(line)) {
        m_calls.push_back(&line);
      }
      if (id == request) {
        m_own.push_back(&line);
        m_end = IsEnd(line) ? &line : m_end;
      }
    }
    std::stable_sort(m_own.begin(), m_own.end(),
                     [](const LogLine* a, const LogLine* b) {
                       return a->m_time < b->m_time;
                     });
  }

  Explanation Run() {
    if (m_end == nullptr) {
      NoteMissingEnd();
      m_result.m_summary = SentenceOf(m_result.m_cause);
      return std::move(m_result);
    }
    const auto trail = ParseTrail(m_end->Get("trail"));
    m_result.m_cause = CauseOf(*m_end, trail);
    m_result.m_summary = SentenceOf(m_result.m_cause);
    AddIngress();
    AddTrail(trail);
    AddAttempts();
    AddCalls();
    AddCounts();
    m_result.m_steps.push_back("end: " + TextOf(*m_end));
    return std::move(m_result);
  }

 private:
  void NoteMissingEnd() {
    for (const LogLine* line : m_own) {
      m_result.m_steps.push_back(TextOf(*line));
    }
    m_result.m_missing.emplace_back(
        m_own.empty()
            ? "no line names the request: was it sent to these nodes, and are "
              "their logs complete?"
            : "the log of the node that took it from the caller, or the caller "
              "left before its answer (caller_left, with --verbose)");
  }

  // What the node that took the request believed then.
  void AddIngress() {
    const std::string& source = m_end->m_source;
    const LogLine* config =
        m_index.LatestBefore(source, m_end->m_time, {"config_in_force"});
    if (config != nullptr) {
      m_result.m_steps.push_back("configuration then: " + TextOf(*config));
    } else if (m_end->Number("config").value_or(-1) >= 0) {
      m_result.m_missing.push_back("when version " +
                                   std::string(m_end->Get("config")) +
                                   " came into force at " + source);
    }
    const LogLine* store = m_index.LatestBefore(
        source, m_end->m_time, {"store_lost", "store_regained"});
    if (store != nullptr && store->m_event == "store_lost") {
      m_result.m_steps.push_back("the store was out of reach: " +
                                 TextOf(*store));
    }
    const LogLine* start =
        m_index.LatestBefore(source, m_end->m_time, {"node_started"});
    if (start != nullptr) {
      m_result.m_steps.push_back("this run of the node began: " +
                                 TextOf(*start));
    }
  }

  // Who did not take it, and what that node believed of its instance.
  void AddTrail(const std::vector<TrailEntry>& trail) {
    for (const TrailEntry& entry : trail) {
      const auto source = m_index.SourceOf(entry.m_node);
      m_result.m_steps.push_back("asked " + ToText(entry) +
                                 (source ? " [" + *source + "]" : ""));
      if (!source) {
        m_result.m_missing.push_back("the log of node " + entry.m_node +
                                     " from its start on");
        continue;
      }
      AddBelief(*source, "  its instance then: ", InstanceEvents());
      if (entry.m_reason == "link-lost" || entry.m_reason == "silent" ||
          entry.m_reason == "wrong-incarnation") {
        AddBelief(*source, "  the node then: ",
                  {"node_started", "node_stopping", "node_stopped"});
      }
    }
  }

  void AddBelief(const std::string& source,
                 const std::string& intro,
                 const std::set<std::string>& events) {
    if (const LogLine* line =
            m_index.LatestBefore(source, m_end->m_time, events)) {
      m_result.m_steps.push_back(intro + TextOf(*line));
    }
  }

  // Lines of the egresses.
  void AddAttempts() {
    for (const LogLine* line : m_own) {
      if (line != m_end) {
        m_result.m_steps.push_back("seen: " + TextOf(*line));
      }
    }
  }

  // Calls that the instance made meanwhile, where their ids tell so.
  void AddCalls() {
    for (const LogLine* line : m_calls) {
      const auto trail = ParseTrail(line->Get("trail"));
      m_result.m_steps.push_back(fmt::format("a call of its instance: {}; {}",
                                             ToString(CauseOf(*line, trail)),
                                             TextOf(*line)));
    }
  }

  void AddCounts() {
    if (m_end->Has("known")) {
      m_result.m_steps.push_back(fmt::format(
          "of {} known instances {} were held back, {} full, {} behind a lost "
          "link; the node's knowledge of the fleet was {} ms old",
          m_end->Get("known"), m_end->Get("held"), m_end->Get("full"),
          m_end->Get("cut"), m_end->Get("knowledge_ms")));
    }
    if (m_end->Has("waited_ms")) {
      m_result.m_steps.push_back(
          fmt::format("an instance began after {} of {} ms",
                      m_end->Get("waited_ms"), m_end->Get("took_ms")));
    }
  }

  NodeIndex m_index;
  Lines m_own;
  // Ends of requests whose ids continue this one's.
  Lines m_calls;
  const LogLine* m_end = nullptr;
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
    case FailureCause::kServedAfterRepeat:
      return "served-after-repeat";
    case FailureCause::kNoConfiguration:
      return "no-configuration";
    case FailureCause::kNoRoute:
      return "no-route";
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
    case FailureCause::kOutOfTime:
      return "out-of-time";
    case FailureCause::kBrokenAnswer:
      return "broken-answer";
    case FailureCause::kInstanceSilent:
      return "instance-silent";
    case FailureCause::kNodeRestarted:
      return "node-restarted";
    case FailureCause::kLinkLost:
      return "link-lost";
    case FailureCause::kServerError:
      return "server-error";
  }
  return "";
}

Explanation ExplainRequest(const std::vector<LogLine>& lines,
                           std::string_view request) {
  return Explainer(lines, request).Run();
}

std::map<std::string, RouteEnds> CountEnds(const std::vector<LogLine>& lines) {
  std::map<std::string, RouteEnds> ends;
  for (const LogLine& line : lines) {
    if (!IsEnd(line)) {
      continue;
    }
    const std::string route(line.Has("route") ? line.Get("route") : "-");
    ++ends[route].m_requests;
    ++ends[route].m_causes[CauseOf(line, ParseTrail(line.Get("trail")))];
  }
  return ends;
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
