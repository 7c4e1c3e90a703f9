#include "json_output.h"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <ostream>

namespace sequoiastage {

namespace {

constexpr int kJsonIndent = 2;
constexpr size_t kColumnGap = 2;

constexpr int kHttpBadRequest = 400;
constexpr int kHttpUnauthorized = 401;
constexpr int kHttpNotFound = 404;
constexpr int kHttpConflict = 409;
constexpr int kHttpUnavailable = 503;
constexpr int kHttpGatewayTimeout = 504;
constexpr int kHttpServerError = 500;

using Row = std::vector<std::string>;

std::string RenderRow(const Row& row, const std::vector<size_t>& widths) {
  std::string line;
  for (size_t i = 0; i < row.size(); ++i) {
    line += row[i];
    if (i + 1 < row.size()) {
      line.append(widths[i] - row[i].size() + kColumnGap, ' ');
    }
  }
  return line + "\n";
}

ExitCode ToExitCode(int status) {
  switch (status) {
    case kHttpUnauthorized:
      return ExitCode::kNodeUnavailable;
    case kHttpNotFound:
      return ExitCode::kNotFound;
    case kHttpConflict:
      return ExitCode::kConflict;
    case kHttpUnavailable:
      return ExitCode::kLogUnavailable;
    case kHttpGatewayTimeout:
      return ExitCode::kUnknown;
    default:
      return status >= kHttpBadRequest && status < kHttpServerError
                 ? ExitCode::kInvalid
                 : ExitCode::kNodeUnavailable;
  }
}

void PrintFindings(const Json& problem, std::ostream& err) {
  for (const Json& finding : ListAt(problem, "findings")) {
    err << ToCell(MemberAt(finding, "source")) << ": "
        << ToCell(MemberAt(finding, "pointer")) << ": "
        << ToCell(MemberAt(finding, "message")) << "\n";
  }
}

}  // namespace

std::string ToCell(const Json& value) {
  if (value.is_null()) {
    return "-";
  }
  if (value.is_string()) {
    const auto& text = value.get_ref<const std::string&>();
    return text.empty() ? "-" : text;
  }
  if (!value.is_array()) {
    return value.dump();
  }
  std::string joined;
  for (const Json& element : value) {
    joined += (joined.empty() ? "" : "; ") + ToCell(element);
  }
  return joined.empty() ? "-" : joined;
}

uint64_t NumberAt(const Json& object, const std::string& name) {
  const Json member = MemberAt(object, name);
  const bool is_whole = member.is_number_unsigned() ||
                        (member.is_number_integer() && member >= 0);
  return is_whole ? member.get<uint64_t>() : 0;
}

Json ListAt(const Json& object, const std::string& name) {
  Json member = MemberAt(object, name);
  return member.is_array() ? member : Json::array();
}

Json MemberAt(const Json& object, const std::string& name) {
  if (!object.is_object() || !object.contains(name)) {
    return {};
  }
  return object.at(name);
}

std::string ToTable(const std::vector<Column>& columns, const Json& rows) {
  std::vector<Row> table(1);
  for (const Column& column : columns) {
    table[0].push_back(column.m_title);
  }
  for (const Json& json : rows) {
    Row row;
    for (const Column& column : columns) {
      row.push_back(ToCell(MemberAt(json, column.m_member)));
    }
    table.push_back(std::move(row));
  }
  std::vector<size_t> widths(columns.size());
  for (const Row& row : table) {
    for (size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  for (const Row& row : table) {
    text += RenderRow(row, widths);
  }
  return text;
}

std::string ToLines(const Json& object) {
  std::string text;
  for (const auto& [name, value] : object.items()) {
    const bool has_objects =
        value.is_object() ||
        (value.is_array() && !value.empty() && value.front().is_object());
    if (!has_objects) {
      text += fmt::format("{}: {}\n", name, ToCell(value));
    }
  }
  return text;
}

void PrintJson(const Json& json, std::ostream& out) {
  out << json.dump(kJsonIndent, ' ', false, Json::error_handler_t::replace)
      << "\n";
}

ExitCode ReportProblem(const ApiResponse& response,
                       const CommandOutput& output) {
  std::ostream& err = *output.m_err;
  if (response.m_status == 0) {
    err << "error: no answer from the node: " << response.m_reason << "\n";
    return ExitCode::kNodeUnavailable;
  }
  if (!response.m_json.is_object()) {
    err << "error: the node answered " << response.m_status
        << " without a reason\n";
    return ToExitCode(response.m_status);
  }
  if (output.m_format == OutputFormat::kJson) {
    PrintJson(response.m_json, *output.m_out);
  }
  err << "error: " << ToCell(MemberAt(response.m_json, "detail")) << "\n";
  PrintFindings(response.m_json, err);
  return ToExitCode(response.m_status);
}

std::string PercentEncode(const std::string& text) {
  std::string encoded;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) != 0 || c == '-' || c == '.' || c == '_' ||
        c == '~' || c == ':') {
      encoded += c;
    } else {
      encoded += fmt::format("%{:02X}", byte);
    }
  }
  return encoded;
}

}  // namespace sequoiastage
