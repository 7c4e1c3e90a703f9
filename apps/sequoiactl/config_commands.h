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
  /// Version of the scope that the file is based on; empty for the first.
  std::optional<uint64_t> m_from_version{};
  std::string m_author{};
  std::string m_change_id{};
  /// Maximum time to wait until the change is in force on every node.
  Duration m_wait = std::chrono::seconds(30);
};

/// A checked document that is ready to be published.
struct PreparedDocument {
  Json m_document{};
  std::vector<std::string> m_differences{};
};

/// Checks files without a node and prints all findings.
ExitCode CheckConfig(const std::string& base,
                     const std::vector<std::string>& overlays,
                     const CommandOutput& output);

/// Prints the document of `scope` that is in force and its version; kNotFound
/// when there is none.
ExitCode PrintDocument(const ApiResponse& config,
                       const std::string& scope,
                       const CommandOutput& output);

/// Prints the differences between `file` and the document of `scope` in force.
ExitCode PrintDifferences(const ApiResponse& config,
                          const std::string& scope,
                          const std::string& file,
                          const CommandOutput& output);

/// Reads `options.m_file` and checks it with the documents in force. On failure
/// prints the error, sets `exit_code` and returns nullopt.
std::optional<PreparedDocument> PrepareDocument(const ApiResponse& config,
                                                const PublishOptions& options,
                                                const CommandOutput& output,
                                                ExitCode* exit_code);

/// Builds the body of POST /v1/config/publish.
Json BuildPublishBody(const PublishOptions& options, const Json& document);

/// Prints why a publish failed and what the operator does next.
ExitCode ReportPublishProblem(const ApiResponse& response,
                              const PublishOptions& options,
                              const CommandOutput& output);

/// Number of nodes that have a version in force, from GET /v1/config/status.
struct RolloutCount {
  uint64_t m_nodes = 0;
  uint64_t m_in_force = 0;
  Json m_missing = Json::array();

  bool IsComplete() const { return m_nodes > 0 && m_in_force == m_nodes; }
};

/// Empty when the request failed or the response is not an object.
std::optional<RolloutCount> ReadRolloutCount(const ApiResponse& response);

/// Prints the result of a publish: the number of nodes that have the version in
/// force and the nodes that do not.
ExitCode PrintRollout(uint64_t version,
                      const RolloutCount& count,
                      const CommandOutput& output);

/// Polls until `version` is in force on all nodes or `wait` has elapsed, and
/// prints the progress.
template <AdminApi Api, CommandClock Clock>
ExitCode WaitForRollout(Api& api,
                        Clock& clock,
                        uint64_t version,
                        Duration wait,
                        const CommandOutput& output);

/// Checks and publishes a document, then waits for the rollout. After a lost
/// response the publish is retried with the same change id.
template <AdminApi Api, CommandClock Clock>
ExitCode PublishConfig(Api& api,
                       Clock& clock,
                       const PublishOptions& options,
                       const CommandOutput& output);

}  // namespace sequoiastage

#include "config_commands_inl.h"

#endif  // SEQUOIASTAGE_SEQUOIACTL_CONFIG_COMMANDS_H_
