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

/// Where a command writes: results to `m_out`, progress and errors to `m_err`.
struct CommandOutput {
  OutputFormat m_format = OutputFormat::kTable;
  std::ostream* m_out = nullptr;
  std::ostream* m_err = nullptr;
};

/// One column of a table: its title and the JSON member it shows.
struct Column {
  std::string m_title;
  std::string m_member;
};

/// `value` as one cell: strings bare, lists joined.
std::string ToCell(const Json& value);

/// The whole number at `name`, 0 when there is none.
uint64_t NumberAt(const Json& object, const std::string& name);

/// The list at `name`, empty when there is none.
Json ListAt(const Json& object, const std::string& name);

/// The member `name`, null when there is none.
Json MemberAt(const Json& object, const std::string& name);

/// `rows` as lines with aligned columns under the titles.
std::string ToTable(const std::vector<Column>& columns, const Json& rows);

/// The members of `object` as "name: value" lines; objects and lists of
/// objects are left out.
std::string ToLines(const Json& object);

/// Writes indented JSON.
void PrintJson(const Json& json, std::ostream& out);

/// Explains an answer other than 200 and returns the exit code for it.
ExitCode ReportProblem(const ApiAnswer& answer, const CommandOutput& output);

/// `text` with all but unreserved characters (RFC 3986) percent-encoded.
std::string PercentEncode(const std::string& text);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_SEQUOIACTL_JSON_OUTPUT_H_
