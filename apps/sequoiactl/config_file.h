#ifndef SEQUOIASTAGE_SEQUOIACTL_CONFIG_FILE_H_
#define SEQUOIASTAGE_SEQUOIACTL_CONFIG_FILE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "admin_api.h"
#include "sequoiastage/base/findings.h"
#include "sequoiastage/config/config_parse.h"

/// Configuration documents, from files and from a node.
namespace sequoiastage {

/// Reads a whole file; one that can't be read is a finding.
std::optional<std::string> ReadTextFile(const std::string& path,
                                        Findings& findings);

/// Reads an overlay named on the command line: "SITE=FILE", or FILE alone,
/// whose name without folder and ".json" is then the site.
std::optional<SiteOverlay> ReadOverlay(const std::string& argument,
                                       Findings& findings);

/// Checks base and overlay files as a whole.
void CheckConfigFiles(const std::string& base,
                      const std::vector<std::string>& overlays,
                      Findings& findings);

/// One document that a node has in force.
struct DocumentInForce {
  uint64_t m_version = 0;
  Json m_document{};
};

/// The documents in force by scope.
using DocumentsInForce = std::map<std::string, DocumentInForce>;

/// Documents in the answer to GET /v1/config.
DocumentsInForce ReadDocumentsInForce(const Json& config);

/// Checks `content` as the new document of `scope` together with the other
/// documents in force.
void CheckAgainstInForce(const std::string& scope,
                         const ConfigText& content,
                         const DocumentsInForce& in_force,
                         Findings& findings);

/// One line for each value that differs: its JSON pointer, the value before
/// and the value after.
std::vector<std::string> ListDifferences(const Json& before, const Json& after);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_SEQUOIACTL_CONFIG_FILE_H_
