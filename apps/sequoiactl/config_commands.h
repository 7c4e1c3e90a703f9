#ifndef SEQUOIASTAGE_SEQUOIACTL_CONFIG_COMMANDS_H_
#define SEQUOIASTAGE_SEQUOIACTL_CONFIG_COMMANDS_H_

#include <optional>
#include <string>
#include <vector>

#include "admin_api.h"
#include "config_file.h"
#include "exit_code.h"
#include "json_output.h"
#include "sequoiastage/base/time.h"

namespace sequoiastage {

struct PublishOptions {
  std::string m_file{};
  /// "base", or a site.
  std::string m_scope{};
  /// Version of the scope the file was made from; none for the first.
  std::optional<uint64_t> m_from_version{};
  std::string m_author{};
  std::string m_change_id{};
  /// How long to wait until the change is in force on every node.
  Duration m_wait = std::chrono::seconds(30);
};

/// A file that is ready to be published.
struct PreparedDocument {
  Json m_document{};
  std::vector<std::string> m_differences{};
};

/// Checks files without a node; all findings are printed.
ExitCode CheckConfig(const std::string& base,
                     const std::vector<std::string>& overlays,
                     const CommandOutput& output);

/// Prints the document of `scope` in force and its version.
ExitCode PrintDocument(const ApiAnswer& config,
                       const std::string& scope,
                       const CommandOutput& output);

/// Prints in what `file` differs from the document of `scope` in force.
ExitCode PrintDifferences(const ApiAnswer& config,
                          const std::string& scope,
                          const std::string& file,
                          const CommandOutput& output);

/// Reads `options.m_file` and checks it with the documents in force. Empty
/// when anything is wrong, which is then printed and told by `exit_code`.
std::optional<PreparedDocument> PrepareDocument(const ApiAnswer& config,
                                                const PublishOptions& options,
                                                const CommandOutput& output,
                                                ExitCode* exit_code);

/// Body of POST /v1/config/publish.
Json ToPublishBody(const PublishOptions& options, const Json& document);

/// Explains why a publish did not hold, and how to go on.
ExitCode ReportPublishProblem(const ApiAnswer& answer,
                              const PublishOptions& options,
                              const CommandOutput& output);

/// Nodes that have a version in force, from GET /v1/config/status.
struct RolloutCount {
  uint64_t m_nodes = 0;
  uint64_t m_in_force = 0;
  Json m_missing = Json::array();

  bool IsEverywhere() const { return m_nodes > 0 && m_in_force == m_nodes; }
};

/// Empty when the answer has no counts.
std::optional<RolloutCount> ReadRolloutCount(const ApiAnswer& answer);

/// Prints the end of a publish: who has the version, who misses it.
ExitCode PrintRollout(uint64_t version,
                      const RolloutCount& count,
                      const CommandOutput& output);

/// Polls until `version` is in force on all nodes or `wait` is over, and
/// prints progress.
template <AdminApi Api, CommandClock Clock>
ExitCode WaitForRollout(Api& api,
                        Clock& clock,
                        uint64_t version,
                        Duration wait,
                        const CommandOutput& output);

/// Checks and publishes a document, then waits for it. An answer that was lost
/// is asked for again under the same change id.
template <AdminApi Api, CommandClock Clock>
ExitCode PublishConfig(Api& api,
                       Clock& clock,
                       const PublishOptions& options,
                       const CommandOutput& output);

}  // namespace sequoiastage

#include "config_commands_inl.h"

#endif  // SEQUOIASTAGE_SEQUOIACTL_CONFIG_COMMANDS_H_
