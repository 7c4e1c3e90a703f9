#include "log_commands.h"

#include <filesystem>
#include <fstream>
#include <functional>
#include <optional>
#include <ostream>
#include <utility>

#include "sequoiastage/events/event_table.h"
#include "sequoiastage/events/explanation.h"
#include "sequoiastage/events/log_line.h"

namespace sequoiastage {

namespace {

// Calls `handle_line` for each line of the files. Prints an error and returns
// false when a file can't be read.
bool ForEachLine(
    const std::vector<std::string>& files,
    const CommandOutput& output,
    const std::function<void(const std::string& file, const std::string& line)>&
        handle_line) {
  for (const std::string& file : files) {
    std::ifstream stream(file);
    if (!stream) {
      *output.m_err << "error: " << file << " can't be read\n";
      return false;
    }
    for (std::string line; std::getline(stream, line);) {
      handle_line(file, line);
    }
  }
  return true;
}

// Parses all log lines; the file name without extension is the source of lines
// that name none. Empty when a file can't be read.
std::optional<std::vector<LogLine>> ReadLines(
    const std::vector<std::string>& files,
    const CommandOutput& output) {
  std::vector<LogLine> lines;
  const bool is_read = ForEachLine(
      files, output, [&](const std::string& file, const std::string& text) {
        const std::string source = std::filesystem::path(file).stem().string();
        if (auto line = ParseLogLine(text, source)) {
          lines.push_back(*std::move(line));
        }
      });
  return is_read ? std::optional(std::move(lines)) : std::nullopt;
}

// True for log lines of the node; other output in the file is ignored.
bool IsEventLine(const std::string& line) {
  return line.find(" event=") != std::string::npos;
}

Json ToJson(const Explanation& explanation) {
  return {{"cause", std::string(ToString(explanation.m_cause))},
          {"summary", explanation.m_summary},
          {"steps", explanation.m_steps},
          {"missing", explanation.m_missing}};
}

}  // namespace

ExitCode ExplainFromLogs(const std::string& request,
                         const std::vector<std::string>& files,
                         const CommandOutput& output) {
  const auto lines = ReadLines(files, output);
  if (!lines) {
    return ExitCode::kInvalid;
  }
  const Explanation explanation = ExplainRequest(*lines, request);
  if (output.m_format == OutputFormat::kJson) {
    *output.m_out << ToJson(explanation).dump(2) << "\n";
  } else {
    *output.m_out << ToText(explanation);
  }
  return explanation.m_cause == FailureCause::kNotFound ? ExitCode::kNotFound
                                                        : ExitCode::kDone;
}

ExitCode CheckLogs(const std::vector<std::string>& files,
                   const CommandOutput& output) {
  size_t count = 0;
  size_t faults = 0;
  const bool is_read = ForEachLine(
      files, output, [&](const std::string& file, const std::string& text) {
        if (!IsEventLine(text)) {
          return;
        }
        ++count;
        const auto line = ParseLogLine(text);
        const auto fault = line ? CheckLogLine(*line, MeshEvents())
                                : std::optional<std::string>("can't be read");
        if (fault) {
          ++faults;
          *output.m_out << file << ": " << *fault << ": " << text << "\n";
        }
      });
  if (!is_read) {
    return ExitCode::kInvalid;
  }
  *output.m_out << count << " lines, " << faults << " with a fault\n";
  return faults == 0 ? ExitCode::kDone : ExitCode::kInvalid;
}

ExitCode PrintCauseCounts(const std::vector<std::string>& files,
                          const CommandOutput& output) {
  const auto lines = ReadLines(files, output);
  if (!lines) {
    return ExitCode::kInvalid;
  }
  Json json = Json::object();
  for (const auto& [route, ends] : CountCausesByRoute(*lines)) {
    *output.m_out << (output.m_format == OutputFormat::kJson
                          ? ""
                          : route + ": " + std::to_string(ends.m_requests) +
                                " requests\n");
    for (const auto& [cause, count] : ends.m_causes) {
      json[route][std::string(ToString(cause))] = count;
      if (output.m_format != OutputFormat::kJson) {
        *output.m_out << "  " << count << " " << ToString(cause) << "\n";
      }
    }
  }
  if (output.m_format == OutputFormat::kJson) {
    *output.m_out << json.dump(2) << "\n";
  }
  return ExitCode::kDone;
}

ExitCode PrintEvents(const CommandOutput& output) {
  *output.m_out << RenderEventPage(MeshEvents());
  return ExitCode::kDone;
}

}  // namespace sequoiastage
