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

/// Reads a whole file. Adds a finding and returns nullopt when the file can't
/// be read or is empty.
std::optional<std::string> ReadTextFile(const std::string& path,
                                        Findings& findings);

/// Reads an overlay given on the command line as "SITE=FILE", or as FILE alone;
/// the site is then the file name without its folder and extension.
std::optional<SiteOverlay> ReadOverlay(const std::string& argument,
                                       Findings& findings);

/// Checks the base and overlay files together.
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

/// Reads the documents from the response to GET /v1/config.
DocumentsInForce ReadDocumentsInForce(const Json& config);

/// Checks `content` as the new document of `scope` together with the other
/// documents in force.
void CheckAgainstInForce(const std::string& scope,
                         const ConfigText& content,
                         const DocumentsInForce& in_force,
                         Findings& findings);

/// Returns one line for each different value: its JSON pointer, the value
/// before and the value after.
std::vector<std::string> ListDifferences(const Json& before, const Json& after);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_SEQUOIACTL_CONFIG_FILE_H_
