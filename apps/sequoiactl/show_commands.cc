#include "show_commands.h"

#include <ostream>

namespace sequoiastage {

namespace {

std::vector<Column> InstanceColumns() {
  return {{"INSTANCE", "instance"},
          {"SERVICE", "service"},
          {"STANDING", "standing"},
          {"SLOTS", "slots"},
          {"NODE", "node"},
          {"REGION", "region"},
          {"FAILURE DOMAIN", "failure_domain"}};
}

}  // namespace

View ServiceListView() {
  return {.m_list = "services",
          .m_columns = {{"SERVICE", "service"},
                        {"FLOOR", "floor"},
                        {"INSTANCES", "instances"},
                        {"SLOTS", "slots"},
                        {"HEALTHY", "healthy"},
                        {"SUSPECT", "suspect"},
                        {"EJECTED", "ejected"},
                        {"DRAINING", "draining"},
                        {"WARMING UP", "warming-up"}}};
}

View ServiceView() {
  return {.m_list = "members", .m_columns = InstanceColumns()};
}

View InstanceListView() {
  return {.m_list = "instances", .m_columns = InstanceColumns()};
}

View NodeListView() {
  return {.m_list = "nodes",
          .m_columns = {{"NODE", "node"},
                        {"REGION", "region"},
                        {"FAILURE DOMAIN", "failure_domain"},
                        {"SITE", "site"},
                        {"CONFIG", "config_version"},
                        {"INSTANCES", "instances"},
                        {"DRAINING", "draining"},
                        {"UNREACHABLE", "unreachable"}}};
}

View HistoryView() {
  return {.m_list = "changes",
          .m_columns = {{"VERSION", "offset"},
                        {"FROM", "from_version"},
                        {"SCOPE", "subject"},
                        {"AUTHOR", "author"},
                        {"TIME", "time"},
                        {"CHANGE", "change_id"},
                        {"DIFFERENCES", "differences"}}};
}

View AuditView() {
  return {.m_list = "records",
          .m_columns = {{"OFFSET", "offset"},
                        {"KIND", "kind"},
                        {"SUBJECT", "subject"},
                        {"AUTHOR", "author"},
                        {"TIME", "time"},
                        {"ACCEPTED", "accepted"},
                        {"REASON", "reason"},
                        {"FROM", "from_version"},
                        {"DIFFERENCES", "differences"}}};
}

View RolloutView() {
  return {.m_list = "missing",
          .m_columns = {{"MISSING NODE", "node"},
                        {"FAILURE DOMAIN", "failure_domain"},
                        {"HAS VERSION", "config_version"}}};
}

ExitCode PrintResponse(const ApiResponse& response,
                       const View& view,
                       const CommandOutput& output) {
  if (response.m_status != kHttpOk || !response.m_json.is_object()) {
    return ReportProblem(response, output);
  }
  if (output.m_format == OutputFormat::kJson) {
    PrintJson(response.m_json, *output.m_out);
    return ExitCode::kDone;
  }
  *output.m_out << ToLines(response.m_json);
  if (view.m_list.empty()) {
    return ExitCode::kDone;
  }
  const Json rows = ListAt(response.m_json, view.m_list);
  if (!rows.empty()) {
    *output.m_out << "\n" << ToTable(view.m_columns, rows);
  }
  return ExitCode::kDone;
}

}  // namespace sequoiastage
