#ifndef SEQUOIASTAGE_CONFIG_CONFIG_READER_P_H_
#define SEQUOIASTAGE_CONFIG_CONFIG_READER_P_H_

#include <string>
#include <string_view>
#include <vector>

#include "sequoiastage/base/findings.h"
#include "sequoiastage/checkedjson/json_document.h"
#include "sequoiastage/config/config.h"

namespace sequoiastage {

inline constexpr std::string_view kConfigNameFault =
    "is reserved or no name of at most 64 lower-case letters, digits and \"-\"";

/// Whether `name` is a valid name of a site, service, route or account.
bool IsConfigName(std::string_view name);

/// Reads the configuration of one site from `document`, the base merged with
/// the site's overlay.
Config ReadConfig(std::string site,
                  const JsonDocument& document,
                  Findings& findings);

/// Like ReadConfig(), for a document with only some of a site's services,
/// routes and accounts. Routes can also refer to `other_services`, sorted by
/// id.
Config ReadPartialConfig(std::string site,
                         const JsonDocument& document,
                         const std::vector<Service>& other_services,
                         Findings& findings);

/// `path` without a trailing slash, which is insignificant in a route.
std::string_view RoutePrefix(std::string_view path);

/// Returns the configuration of a site without overlay.
Config MakeSiteConfig(const std::string& site, const Config& base);

/// Makes `config` share the lists of `base` that are equal to its own.
void ShareEqualLists(const Config& base, Config& config);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_CONFIG_CONFIG_READER_P_H_
