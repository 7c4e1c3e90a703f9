#include "config_commands.h"

#include <ostream>

#include "show_commands.h"

namespace sequoiastage {

namespace {

ExitCode PrintFindings(const Findings& findings, const CommandOutput& output) {
  if (output.m_format == OutputFormat::kJson) {
    Json list = Json::array();
    for (const Finding& finding : findings.Items()) {
      list.push_back({{"source", finding.m_source},
                      {"pointer", finding.m_pointer},
                      {"message", finding.m_message}});
    }
    PrintJson({{"findings", std::move(list)}}, *output.m_out);
  } else {
    *output.m_err << findings.ToText();
  }
  *output.m_err << findings.Items().size() << " finding(s)\n";
  return ExitCode::kInvalid;
}

// Parses text that has passed the configuration check.
Json ParseChecked(const std::string& text) {
  return Json::parse(text, nullptr, false);
}

void ExplainConflict(const Json& problem,
                     const PublishOptions& options,
                     std::ostream& err) {
  const Json winner = MemberAt(problem, "winner");
  if (winner.is_object()) {
    err << "in force is " << ToCell(MemberAt(winner, "author")) << "'s change "
        << ToCell(MemberAt(winner, "change_id")) << ", version "
        << ToCell(MemberAt(winner, "offset")) << " of "
        << ToCell(MemberAt(winner, "time")) << "\n";
    for (const Json& line : ListAt(winner, "differences")) {
      err << "  " << ToCell(line) << "\n";
    }
  }
  err << "your change had no effect. To continue, fetch the winner with\n"
      << "  sequoiactl config show --scope=" << options.m_scope << "\n"
      << "apply your change to it, and publish with --from_version set to its "
         "version\n";
}

}  // namespace

ExitCode CheckConfig(const std::string& base,
                     const std::vector<std::string>& overlays,
                     const CommandOutput& output) {
  Findings findings;
  CheckConfigFiles(base, overlays, findings);
  if (!findings.IsEmpty()) {
    return PrintFindings(findings, output);
  }
  if (output.m_format == OutputFormat::kJson) {
    PrintJson({{"findings", Json::array()}}, *output.m_out);
  } else {
    *output.m_out << "no findings in 1 base and " << overlays.size()
                  << " overlay(s)\n";
  }
  return ExitCode::kDone;
}

ExitCode PrintDocument(const ApiResponse& config,
                       const std::string& scope,
                       const CommandOutput& output) {
  if (config.m_status != kHttpStatusOk) {
    return ReportProblem(config, output);
  }
  const DocumentsInForce in_force = ReadDocumentsInForce(config.m_json);
  const auto document = in_force.find(scope);
  if (document == in_force.end()) {
    *output.m_err << "error: nothing is in force for scope " << scope << "\n";
    return ExitCode::kNotFound;
  }
  *output.m_err << "version " << document->second.m_version << " of scope "
                << scope << "\n";
  PrintJson(document->second.m_document, *output.m_out);
  return ExitCode::kDone;
}

ExitCode PrintDifferences(const ApiResponse& config,
                          const std::string& scope,
                          const std::string& file,
                          const CommandOutput& output) {
  const PublishOptions options = {.m_file = file, .m_scope = scope};
  ExitCode exit_code = ExitCode::kDone;
  const auto prepared = PrepareDocument(config, options, output, &exit_code);
  if (!prepared) {
    return exit_code;
  }
  const DocumentsInForce in_force = ReadDocumentsInForce(config.m_json);
  const auto document = in_force.find(scope);
  const bool has_document = document != in_force.end();
  if (output.m_format == OutputFormat::kJson) {
    PrintJson(
        {{"scope", scope},
         {"version", has_document ? Json(document->second.m_version) : Json()},
         {"differences", prepared->m_differences}},
        *output.m_out);
    return ExitCode::kDone;
  }
  *output.m_out << "against version "
                << (has_document ? std::to_string(document->second.m_version)
                                 : "none")
                << " of scope " << scope << ": "
                << prepared->m_differences.size() << " difference(s)\n";
  for (const std::string& line : prepared->m_differences) {
    *output.m_out << line << "\n";
  }
  return ExitCode::kDone;
}

std::optional<PreparedDocument> PrepareDocument(const ApiResponse& config,
                                                const PublishOptions& options,
                                                const CommandOutput& output,
                                                ExitCode* exit_code) {
  if (config.m_status != kHttpStatusOk || !config.m_json.is_object()) {
    *exit_code = ReportProblem(config, output);
    return std::nullopt;
  }
  const DocumentsInForce in_force = ReadDocumentsInForce(config.m_json);
  Findings findings;
  const auto text = ReadTextFile(options.m_file, findings);
  if (text) {
    CheckAgainstInForce(options.m_scope,
                        {.m_source = options.m_file, .m_text = *text}, in_force,
                        findings);
  }
  if (!findings.IsEmpty()) {
    *exit_code = PrintFindings(findings, output);
    return std::nullopt;
  }
  PreparedDocument prepared{.m_document = ParseChecked(*text)};
  const auto before = in_force.find(options.m_scope);
  prepared.m_differences = ListDifferences(
      before == in_force.end() ? Json() : before->second.m_document,
      prepared.m_document);
  return prepared;
}

Json BuildPublishBody(const PublishOptions& options, const Json& document) {
  Json body = {{"scope", options.m_scope},
               {"author", options.m_author},
               {"change_id", options.m_change_id},
               {"document", document}};
  if (options.m_from_version) {
    body["from_version"] = *options.m_from_version;
  }
  return body;
}

ExitCode ReportPublishProblem(const ApiResponse& response,
                              const PublishOptions& options,
                              const CommandOutput& output) {
  std::ostream& err = *output.m_err;
  const ExitCode exit_code = ReportProblem(response, output);
  // Without a response it is not known whether the node appended the change.
  if (response.m_status == 0 || exit_code == ExitCode::kUnknown) {
    err << "the change may or may not hold. Run the same command again with "
           "--change_id="
        << options.m_change_id << "; it takes effect at most once\n";
    return ExitCode::kUnknown;
  }
  if (exit_code == ExitCode::kConflict) {
    ExplainConflict(response.m_json, options, err);
  }
  if (exit_code == ExitCode::kLogUnavailable) {
    err << "the platform's log is down and this command wrote nothing; the "
           "configuration in force is unchanged. Run it again when the log is "
           "available\n";
  }
  return exit_code;
}

std::optional<RolloutCount> ReadRolloutCount(const ApiResponse& response) {
  if (response.m_status != kHttpStatusOk || !response.m_json.is_object()) {
    return std::nullopt;
  }
  const Json& json = response.m_json;
  return RolloutCount{.m_nodes = NumberAt(json, "nodes"),
                      .m_in_force = NumberAt(json, "in_force"),
                      .m_missing = ListAt(json, "missing")};
}

ExitCode PrintRollout(uint64_t version,
                      const RolloutCount& count,
                      const CommandOutput& output) {
  const bool is_done = count.IsComplete();
  if (output.m_format == OutputFormat::kJson) {
    PrintJson({{"result", "accepted"},
               {"version", version},
               {"nodes", count.m_nodes},
               {"in_force", count.m_in_force},
               {"missing", count.m_missing}},
              *output.m_out);
  } else {
    *output.m_out << "version " << version << " is in force on "
                  << count.m_in_force << " of " << count.m_nodes << " nodes\n";
    if (!count.m_missing.empty()) {
      *output.m_out << ToTable(RolloutView().m_columns, count.m_missing);
    }
  }
  if (is_done) {
    return ExitCode::kDone;
  }
  *output.m_err << "the change is accepted and will reach the other nodes when "
                   "they are reachable again; see sequoiactl config status\n";
  return ExitCode::kIncompleteRollout;
}

}  // namespace sequoiastage
