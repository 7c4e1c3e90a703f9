#ifndef SEQUOIASTAGE_SEQUOIACTL_JSON_OUTPUT_H_
#define SEQUOIASTAGE_SEQUOIACTL_JSON_OUTPUT_H_

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

#include "admin_api.h"
#include "exit_code.h"

namespace sequoiastage {

enum class OutputFormat { kTable, kJson };

/// Output of a command: results to `m_out`, progress and errors to `m_err`.
struct CommandOutput {
  OutputFormat m_format = OutputFormat::kTable;
  std::ostream* m_out = nullptr;
  std::ostream* m_err = nullptr;
};

/// One column of a table: its title and the JSON member that it prints.
struct Column {
  std::string m_title;
  std::string m_member;
};

/// Formats `value` as one cell: strings without quotes, lists joined by "; ",
/// and "-" for null or empty values.
std::string ToCell(const Json& value);

/// Returns the unsigned integer member `name`, 0 when there is none.
uint64_t NumberAt(const Json& object, const std::string& name);

/// Returns the array member `name`, empty when there is none.
Json ListAt(const Json& object, const std::string& name);

/// Returns the member `name`, null when there is none.
Json MemberAt(const Json& object, const std::string& name);

/// Formats `rows` as lines with aligned columns below the titles.
std::string ToTable(const std::vector<Column>& columns, const Json& rows);

/// Formats the members of `object` as "name: value" lines; omits objects and
/// lists of objects.
std::string ToLines(const Json& object);

/// Writes indented JSON.
void PrintJson(const Json& json, std::ostream& out);

/// Prints the error of a response other than 200 and returns its exit code.
ExitCode ReportProblem(const ApiResponse& response,
                       const CommandOutput& output);

/// Percent-encodes all characters of `text` except ":" and the unreserved ones
/// (RFC 3986).
std::string PercentEncode(const std::string& text);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_SEQUOIACTL_JSON_OUTPUT_H_
