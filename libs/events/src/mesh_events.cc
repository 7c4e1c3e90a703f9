#include "sequoiastage/events/event_table.h"

namespace sequoiastage {

namespace {

constexpr std::string_view kDebug = "DEBUG";
constexpr std::string_view kInfo = "INFO";
constexpr std::string_view kWarn = "WARN";
constexpr std::string_view kError = "ERROR";

const EventField kRequest{"request", "id of the caller's request"};
const EventField kReason{"reason", "why, for a person"};
const EventField kTook{"took_ms", "since the request was read"};
const EventField kTrail{
    "trail",
    "who did not take or answer it, in turn: NODE=REASON;told=MS;load=R+Q/S;"
    "hold=MS, where told is the age of what the ingress knew, and load and "
    "hold are what the egress said: running, queued, slots"};

std::vector<EventInfo> RequestEvents() {
  return {
      {.m_name = "request_answered",
       .m_level = kInfo,
       .m_help = "a caller got the answer of an instance",
       .m_fields = {kRequest,
                    {"route", "route that was in force"},
                    {"config", "version of the configuration"},
                    kTrail,
                    {"node", "node whose instance answered"},
                    {"status", "status of the instance"},
                    {"waited_ms", "until an instance began to run it"},
                    kTook}},
      {.m_name = "request_failed",
       .m_level = kInfo,
       .m_help = "a caller got no success",
       .m_fields =
           {kRequest,
            {"route", "route that was in force"},
            {"config", "version of the configuration"},
            {"knowledge_ms", "age of what the node knows from the store"},
            {"outcome",
             "not-run: it never ran; unknown: it may have run; server-error: "
             "an instance answered an error"},
            {"cause", "what ended it"},
            {"latest", "reason of the latest attempt"},
            kTrail,
            {"known", "instances of the service that are known"},
            {"held", "of these, held back as last told"},
            {"full", "of these, without a free slot as last told"},
            {"cut", "of these, on nodes without a usable link"},
            {"started", "attempts that may have begun to run"},
            kTook}},
      {.m_name = "request_unrouted",
       .m_level = kInfo,
       .m_help = "no route fits, or no configuration is known",
       .m_fields = {kRequest,
                    {"host", "host of the request"},
                    {"config", "version in force, -1 without one"}}},
      {.m_name = "attempt_failed",
       .m_level = kInfo,
       .m_help = "at the egress: an attempt brought no whole answer",
       .m_fields = {kRequest,
                    {"instance", "instance of this node"},
                    {"ran", "maybe, or no where that is certain"},
                    {"reason", "code of the failure"},
                    {"repeatable", "whether the request may run again"},
                    {"took_ms", "since it was sent to the instance"}}},
      {.m_name = "offer_refused",
       .m_level = kDebug,
       .m_help = "at the egress: an offer was not taken",
       .m_fields = {kRequest,
                    {"instance", "instance that was meant"},
                    {"reason", "code of the refusal"},
                    {"running", "slots in use"},
                    {"queued", "offers waiting"},
                    {"hold_ms", "until the instance is tried again"}}},
      {.m_name = "egress_silent",
       .m_level = kInfo,
       .m_help = "an offer got no reply; the request goes on elsewhere",
       .m_fields = {kRequest,
                    {"node", "node that did not reply"},
                    {"link", "whether anything came over the link since"}}},
      {.m_name = "caller_left",
       .m_level = kDebug,
       .m_help = "a caller closed its connection before its answer",
       .m_fields = {kRequest}},
  };
}

std::vector<EventInfo> BeliefEvents() {
  return {
      {.m_name = "instance_held",
       .m_level = kInfo,
       .m_help = "the egress gives its instance no work for a while",
       .m_fields = {{"instance", "instance of this node"},
                    {"cause", "reason of the attempt that decided it"},
                    {"relapses", "holds without a long calm between"},
                    {"hold_ms", "until it is tried again"}}},
      {.m_name = "instance_open",
       .m_level = kInfo,
       .m_help = "the instance did well again and gets work",
       .m_fields = {{"instance", "instance of this node"},
                    {"cause", "none"},
                    {"relapses", "holds without a long calm between"},
                    {"hold_ms", "0"}}},
      {.m_name = "instance_changed",
       .m_level = kInfo,
       .m_help = "another run of the instance, or it leaves, or is gone",
       .m_fields = {{"instance", "instance in service, empty without one"},
                    {"cause", "announced, deregistered, address-taken"},
                    {"in_service", "yes or no"}}},
      {.m_name = "announcement_invalid",
       .m_level = kWarn,
       .m_help = "an announcement could not be used; what held before holds",
       .m_fields = {{"target", "path that was called", true},
                    {"instance", "name in it", true},
                    kReason}},
      {.m_name = "link_lost",
       .m_level = kInfo,
       .m_help = "a link to another node ended; normal when that one restarts",
       .m_fields = {{"node", "the other node"}, kReason}},
      {.m_name = "member_changed",
       .m_level = kDebug,
       .m_help = "the record of another node changed",
       .m_fields = {{"node", "the other node"},
                    {"instance", "its instance"},
                    {"leaving", "yes or no"}}},
      {.m_name = "member_rejected",
       .m_level = kWarn,
       .m_help = "a member record can't be read",
       .m_fields = {{"key", "its key"}}},
      {.m_name = "config_in_force",
       .m_level = kInfo,
       .m_help = "requests follow this version from now on",
       .m_fields = {{"version", "of the configuration"},
                    {"offset", "of its record"},
                    {"routes", "how many"},
                    {"source", "store, or relay: another node"}}},
      {.m_name = "config_superseded",
       .m_level = kInfo,
       .m_help = "an older version came and is ignored",
       .m_fields = {{"version", "that came"}, {"in_force", "version"}}},
      {.m_name = "config_rejected",
       .m_level = kWarn,
       .m_help = "a configuration can't be read; the last one stays in force",
       .m_fields = {{"offset", "of its record"}, kReason}},
      {.m_name = "relay_damaged",
       .m_level = kWarn,
       .m_help = "what another node passed on can't be read",
       .m_fields = {{"node", "the other node"}}},
      {.m_name = "store_lost",
       .m_level = kWarn,
       .m_help = "the store can't be read; what is known stays in force",
       .m_fields = {{"topic", "0 configuration, 1 members"}, kReason}},
      {.m_name = "store_regained",
       .m_level = kInfo,
       .m_help = "the store can be read again",
       .m_fields = {{"topic", "0 configuration, 1 members"},
                    {"failures", "calls that failed meanwhile"}}},
      {.m_name = "member_not_written",
       .m_level = kWarn,
       .m_help = "the node's own record was not written; it tries again",
       .m_fields = {kReason}},
  };
}

std::vector<EventInfo> ProcessEvents() {
  return {
      {.m_name = "node_started",
       .m_level = kInfo,
       .m_help = "the process serves",
       .m_fields = {{"node", "its address for other nodes, its identity"},
                    {"region", "of the host"},
                    {"domain", "failure domain of the host"},
                    {"service", "of the host's instance"}}},
      {.m_name = "node_stopping",
       .m_level = kInfo,
       .m_help = "the process was told to stop",
       .m_fields = {{"requests", "of callers in flight"},
                    {"work", "offers not ended"}}},
      {.m_name = "node_stopped",
       .m_level = kInfo,
       .m_help = "the process ends",
       .m_fields = {{"requests", "of callers cut off"},
                    {"after_ms", "since it was told to"}}},
      {.m_name = "start_failed",
       .m_level = kError,
       .m_help = "an address could not be had",
       .m_fields = {kReason}},
      {.m_name = "settings_reloaded",
       .m_level = kInfo,
       .m_help = "SIGHUP: the settings were checked; they hold from the next "
                 "start on",
       .m_fields = {{"path", "of the settings"},
                    {"findings", "faults with their place"}}},
      {.m_name = "settings_refused",
       .m_level = kWarn,
       .m_help = "SIGHUP: the settings have faults",
       .m_fields = {{"path", "of the settings"},
                    {"findings", "faults with their place"}}},
  };
}

}  // namespace

std::span<const EventInfo> MeshEvents() {
  static const std::vector<EventInfo> kEvents = [] {
    std::vector<EventInfo> all = RequestEvents();
    for (const auto& more : {BeliefEvents(), ProcessEvents()}) {
      all.insert(all.end(), more.begin(), more.end());
    }
    return all;
  }();
  return kEvents;
}

}  // namespace sequoiastage
