#include "sequoiastage/events/event_table.h"

namespace sequoiastage {

namespace {

constexpr std::string_view kDebug = "DEBUG";
constexpr std::string_view kInfo = "INFO";
constexpr std::string_view kWarn = "WARN";
constexpr std::string_view kError = "ERROR";

const EventField kRequest{"request", "id of the caller's request"};
const EventField kFingerprint{
    "fingerprint",
    "hash of the request's method, host, target, body and calling service"};
const EventField kReason{"reason", "explanation in words"};
const EventField kTookMs{"took_ms", "time since the request was read"};
const EventField kTrail{
    "trail",
    "nodes that refused it or did not complete it, in order: "
    "NODE=REASON;told=MS;load=R+Q/S;hold=MS, where told is the age of the load "
    "report at the ingress, and load (running + queued / slots) and hold are "
    "from the reply of the egress"};

std::vector<EventInfo> RequestEvents() {
  return {
      {.m_name = "request_answered",
       .m_level = kInfo,
       .m_help = "a caller received the response of an instance",
       .m_fields = {kRequest,
                    {"route", "route that was in force"},
                    {"config", "version of the configuration"},
                    kTrail,
                    {"node", "node whose instance responded"},
                    {"status", "HTTP status of the response"},
                    {"waited_ms", "time until an instance began to run it"},
                    kTookMs}},
      {.m_name = "request_failed",
       .m_level = kInfo,
       .m_help = "a request was refused or failed",
       .m_fields =
           {kRequest,
            {"route", "route that was in force"},
            {"config", "version of the configuration"},
            {"knowledge_ms", "age of the node's data from the store"},
            {"outcome",
             "not-run: it did not run; unknown: it may have run; server-error: "
             "an instance responded with an error"},
            {"cause", "why the request ended"},
            {"latest", "reason of the latest attempt"},
            kTrail,
            {"known", "known instances of the service"},
            {"held", "of these, held as of their last load report"},
            {"full",
             "of these, without a free slot as of their last load report"},
            {"cut", "of these, on nodes without a usable link"},
            {"started", "attempts that may have begun to run"},
            kTookMs}},
      {.m_name = "request_unrouted",
       .m_level = kInfo,
       .m_help = "no route matches, or the node has no configuration yet",
       .m_fields = {kRequest,
                    {"host", "Host field of the request"},
                    {"config",
                     "version in force, -1 without a configuration"}}},
      {.m_name = "request_misconfigured",
       .m_level = kInfo,
       .m_help = "the configuration has the route or account, but the node "
                 "can't use it",
       .m_fields = {kRequest,
                    {"route", "route that matches, empty when none does"},
                    {"cause",
                     "route: it was left out; account: the key is of an "
                     "account that was left out, or of several; no-routes: the "
                     "list of routes can't be read"},
                    {"config", "version in force"}}},
      {.m_name = "request_unauthorized",
       .m_level = kDebug,
       .m_help = "no account has the key of the request, or it has none",
       .m_fields = {kRequest,
                    {"route", "route that matches"},
                    {"config", "version in force"}}},
      {.m_name = "request_limited",
       .m_level = kInfo,
       .m_help = "a request was rejected because its account is over its limit",
       .m_fields = {kRequest,
                    {"account", "client account of the request"},
                    {"route", "route that was in force"},
                    {"config", "version of the configuration"},
                    {"retry_ms", "time until the next request is due"},
                    kTookMs}},
      {.m_name = "attempt_failed",
       .m_level = kInfo,
       .m_help = "egress: an attempt ended without a complete response",
       .m_fields = {kRequest,
                    {"instance", "instance of this node"},
                    {"ran",
                     "no: it certainly did not run; maybe: it may have run"},
                    {"reason", "code of the failure"},
                    {"repeatable",
                     "whether a second execution is allowed: yes or no"},
                    {"fingerprint",
                     "as in request_quarantined; empty when it was not sent"},
                    {"took_ms", "time since it was sent to the instance"}}},
      {.m_name = "offer_refused",
       .m_level = kDebug,
       .m_help = "egress: an offer was refused",
       .m_fields = {kRequest,
                    {"instance", "instance the offer was addressed to"},
                    {"reason", "code of the refusal"},
                    {"running", "slots in use"},
                    {"queued", "queued offers"},
                    {"hold_ms",
                     "time until the instance gets a trial request"}}},
      {.m_name = "egress_silent",
       .m_level = kInfo,
       .m_help = "an offer timed out without a reply; the ingress tries "
                 "another instance",
       .m_fields =
           {kRequest,
            {"node", "node that did not reply"},
            {"link",
             "alive: the link has received data since; silent: it has not"}}},
      {.m_name = "caller_left",
       .m_level = kDebug,
       .m_help = "a caller closed its connection before the response",
       .m_fields = {kRequest}},
  };
}

std::vector<EventInfo> FleetEvents() {
  return {
      {.m_name = "instance_held",
       .m_level = kInfo,
       .m_help = "the egress withholds its instance from traffic for a time",
       .m_fields = {{"instance", "instance of this node"},
                    {"cause",
                     "reason of the attempt that caused the hold; late when "
                     "requests exceed the usual time of their kind"},
                    {"relapses",
                     "holds in succession, without a long interval between"},
                    {"hold_ms", "time until it gets a trial request"}}},
      {.m_name = "instance_open",
       .m_level = kInfo,
       .m_help = "the instance succeeded again and receives traffic",
       .m_fields = {{"instance", "instance of this node"},
                    {"cause", "none"},
                    {"relapses",
                     "holds in succession, without a long interval between"},
                    {"hold_ms", "0"}}},
      {.m_name = "instance_changed",
       .m_level = kInfo,
       .m_help = "the instance was replaced, is draining or was removed",
       .m_fields =
           {{"instance", "instance in service, or empty"},
            {"cause",
             "announced, deregistered, address-taken, leaving-stated in a "
             "response, departed-before-restart"},
            {"in_service", "yes or no"}}},
      {.m_name = "instance_limit",
       .m_level = kInfo,
       .m_help = "the instance states another rate limit in its responses",
       .m_fields = {{"instance", "instance of this node"},
                    {"per_s",
                     "requests per second that it accepts from all hosts "
                     "together, or none"}}},
      {.m_name = "route_limited",
       .m_level = kInfo,
       .m_help = "a service that requests of the route call is short of "
                 "capacity; this node limits how many of them run",
       .m_fields = {{"route", "limited route"},
                    {"service", "service whose calls were refused or delayed"},
                    {"limit", "requests that may run at this node's instance"},
                    {"running", "requests that run now"}}},
      {.m_name = "route_unlimited",
       .m_level = kInfo,
       .m_help = "the limit of a route is lifted",
       .m_fields = {{"route", "route that was limited"}}},
      {.m_name = "instance_statement_invalid",
       .m_level = kWarn,
       .m_help = "a response states something about its instance that can't be "
                 "read; what it stated before stays in force",
       .m_fields = {{"instance", "instance of this node"}, kReason}},
      {.m_name = "instance_crashed",
       .m_level = kInfo,
       .m_help = "the instance ended unexpectedly while it executed requests",
       .m_fields = {{"instance", "instance of this node"},
                    {"proof",
                     "refused: it broke requests, then refused a connection; "
                     "replaced: another incarnation announced itself"},
                    {"running",
                     "fingerprints of the requests, separated by spaces"},
                    {"large_bytes",
                     "bytes of the large requests among those that ran"},
                    {"explained",
                     "bytes: the large requests together exceeded what the "
                     "instance bears, and are not listed; otherwise no"}}},
      {.m_name = "request_quarantined",
       .m_level = kWarn,
       .m_help = "a request crashes the instances that execute it; the node "
                 "rejects it from now on, whoever sends it",
       .m_fields = {kFingerprint,
                    {"crashes", "instances that crashed while executing it"}}},
      {.m_name = "announcement_invalid",
       .m_level = kWarn,
       .m_help = "an announcement is invalid; the previous one stays in force",
       .m_fields = {{"target", "path of the request", true},
                    {"instance", "instance name in the announcement", true},
                    kReason}},
      {.m_name = "link_lost",
       .m_level = kInfo,
       .m_help =
           "a link to another node was lost; expected when that node restarts",
       .m_fields = {{"node", "the other node"}, kReason}},
      {.m_name = "account_coordinator_changed",
       .m_level = kInfo,
       .m_help = "this node asks another node for tokens of account limits; "
                 "expected when a node starts, leaves or is cut off",
       .m_fields = {{"shard", "number of the group of accounts"},
                    {"node", "the coordinator"},
                    {"place",
                     "first: the regular one; next: an earlier one in the "
                     "order is unusable"}}},
      {.m_name = "account_tokens_moved",
       .m_level = kInfo,
       .m_help = "tokens of an account's limit moved between regions; logged "
                 "for every 100 tokens",
       .m_fields = {{"account", "client account"},
                    {"direction", "lent or borrowed"},
                    {"node", "node of the other region"},
                    {"tokens", "tokens since the last line"}}},
      {.m_name = "member_changed",
       .m_level = kDebug,
       .m_help = "the record of another node changed",
       .m_fields = {{"node", "the other node"},
                    {"incarnation",
                     "process that wrote the record, 0 if an older build"},
                    {"instance", "its instance"},
                    {"leaving", "whether the node is draining: yes or no"}}},
      {.m_name = "statement_ignored",
       .m_level = kInfo,
       .m_help =
           "a statement is about a start of a node or instance other than "
           "the known one, or older than the last, and has no effect",
       .m_fields = {{"statement",
                     "draining of a node; else a cause of instance_changed"},
                    {"subject", "the node or instance"},
                    {"start",
                     "incarnation of the node, or start time of the instance, "
                     "that the statement is about"}}},
      {.m_name = "member_rejected",
       .m_level = kWarn,
       .m_help = "a member record is malformed",
       .m_fields = {{"key", "key of the record"}}},
      {.m_name = "relay_outdated",
       .m_level = kInfo,
       .m_help = "the data of the node that this one receives updates from is "
                 "too old; another one is chosen",
       .m_fields = {{"node", "the relay"},
                    {"age_ms", "age of its data, as far as this node knows"}}},
      {.m_name = "store_scope_changed",
       .m_level = kInfo,
       .m_help = "this node reads more or less of the store itself",
       .m_fields = {{"scope",
                     "none: a relay is up to date; all: as a relay or in place "
                     "of one; backup: the configuration only"},
                    {"relay", "node that it receives updates from, or none"},
                    {"age_ms",
                     "age of that node's data, or -1 before its first "
                     "report"}}},
      {.m_name = "config_in_force",
       .m_level = kInfo,
       .m_help = "a new configuration version is in force",
       .m_fields = {{"version", "version of the configuration"},
                    {"offset", "offset of its record"},
                    {"routes", "number of routes"},
                    {"accounts", "number of client accounts"},
                    {"findings",
                     "number of elements that can't be used as written"},
                    {"source",
                     "store, or relay when received from another node"}}},
      {.m_name = "config_finding",
       .m_level = kWarn,
       .m_help = "an element of the new version can't be used as it is written "
                 "and was left out; at most 20 are logged for a version",
       .m_fields = {{"version", "version of the configuration"},
                    {"at", "JSON pointer to the element"},
                    kReason}},
      {.m_name = "config_superseded",
       .m_level = kInfo,
       .m_help = "an older version was received and ignored",
       .m_fields = {{"version", "version received"},
                    {"in_force", "version in force"}}},
      {.m_name = "config_rejected",
       .m_level = kWarn,
       .m_help = "a configuration can't be parsed or has no valid version; the "
                 "previous one stays in force",
       .m_fields = {{"offset", "offset of its record"}, kReason}},
      {.m_name = "byte_budget_short",
       .m_level = kWarn,
       .m_help = "requests were refused because the node holds too many bytes; "
                 "at most once a second",
       .m_fields = {{"refused", "requests refused since the last such event"},
                    {"limit", "byte budget"},
                    {"held", "bytes held now"},
                    {"caller_requests", "of these, request bodies of callers"},
                    {"caller_responses",
                     "responses that callers have not read, and room reserved "
                     "for responses"},
                    {"links", "queued for other nodes"},
                    {"instance", "requests and responses of the instance"}}},
      {.m_name = "relay_damaged",
       .m_level = kWarn,
       .m_help = "records relayed by another node are malformed",
       .m_fields = {{"node", "the other node"}}},
      {.m_name = "store_lost",
       .m_level = kWarn,
       .m_help = "the store can't be read; the last data read stays in force",
       .m_fields = {{"topic", "0 configuration, 1 members"}, kReason}},
      {.m_name = "store_regained",
       .m_level = kInfo,
       .m_help = "the store can be read again",
       .m_fields = {{"topic", "0 configuration, 1 members"},
                    {"failures", "failed calls since store_lost"}}},
      {.m_name = "store_era_changed",
       .m_level = kWarn,
       .m_help = "the store has restarted from an older copy; records are read "
                 "anew and the node's own record is written again",
       .m_fields = {{"previous", "era before"},
                    {"era", "era of the store now"},
                    {"config_offset", "offset to read the configuration from"},
                    {"member_offset", "offset to read the members from"},
                    {"source", "where the era was noticed: store or relay"}}},
      {.m_name = "store_era_invalid",
       .m_level = kWarn,
       .m_help = "a response of the store names an era that is no number",
       .m_fields = {{"value", "the field as received"}}},
      {.m_name = "member_lost",
       .m_level = kInfo,
       .m_help = "removed a node that the store lost in its restart and that "
                 "neither wrote its record again nor answers",
       .m_fields = {{"node", "the removed node"}}},
      {.m_name = "member_not_written",
       .m_level = kWarn,
       .m_help =
           "the node's own member record could not be written; it is retried",
       .m_fields = {kReason}},
  };
}

std::vector<EventInfo> ProcessEvents() {
  return {
      {.m_name = "handler_failed",
       .m_level = kError,
       .m_help = "an unexpected exception ended the handling of one event; the "
                 "process continues",
       .m_fields = {kReason, {"count", "exceptions since the start"}}},
      {.m_name = "step_failed",
       .m_level = kError,
       .m_help =
           "an unexpected exception ended one step of periodic work or of "
           "reading the store; the other steps continue",
       .m_fields = {{"step", "name of the step"}, kReason}},
      {.m_name = "node_started",
       .m_level = kInfo,
       .m_help = "the process serves requests",
       .m_fields = {{"node",
                     "identity of the node: its address for other nodes"},
                    {"region", "region of the host"},
                    {"domain", "failure domain of the host"},
                    {"service", "service of the host's instance"}}},
      {.m_name = "node_stopping",
       .m_level = kInfo,
       .m_help = "the process received the request to stop",
       .m_fields = {{"requests", "callers' requests in flight"},
                    {"work", "offers at the egress that have not ended"}}},
      {.m_name = "node_stopped",
       .m_level = kInfo,
       .m_help = "the process exits",
       .m_fields = {{"requests", "callers' requests that were aborted"},
                    {"after_ms", "time since node_stopping"}}},
      {.m_name = "start_failed",
       .m_level = kError,
       .m_help = "a listening address could not be bound",
       .m_fields = {kReason}},
      {.m_name = "settings_reloaded",
       .m_level = kInfo,
       .m_help = "SIGHUP: the settings are valid; they take effect at the "
                 "next start",
       .m_fields = {{"path", "path of the settings"},
                    {"findings", "errors and their locations"}}},
      {.m_name = "settings_refused",
       .m_level = kWarn,
       .m_help = "SIGHUP: the settings are invalid",
       .m_fields = {{"path", "path of the settings"},
                    {"findings", "errors and their locations"}}},
  };
}

}  // namespace

std::span<const EventInfo> MeshEvents() {
  static const std::vector<EventInfo> kEvents = [] {
    std::vector<EventInfo> all = RequestEvents();
    for (const auto& more : {FleetEvents(), ProcessEvents()}) {
      all.insert(all.end(), more.begin(), more.end());
    }
    return all;
  }();
  return kEvents;
}

}  // namespace sequoiastage
