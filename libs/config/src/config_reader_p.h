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

/// Whether `name` may name a site, service, route or account.
bool IsConfigName(std::string_view name);

/// Reads one site's configuration from `document`, base and overlay merged.
Config ReadConfig(std::string site,
                  const JsonDocument& document,
                  Findings& findings);

/// The same for a document with some of a site's services, routes and accounts.
/// Routes may also go to `other_services`, sorted by id.
Config ReadConfigParts(std::string site,
                       const JsonDocument& document,
                       const std::vector<Service>& other_services,
                       Findings& findings);

/// `path` without a slash at its end, which makes no difference to a route.
std::string_view RoutePrefix(std::string_view path);

/// The configuration of a site without overlay.
Config ConfigOfSite(const std::string& site, const Config& base);

/// Lets `config` share the lists of `base` that are equal to its own.
void ShareEqualLists(const Config& base, Config& config);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_CONFIG_CONFIG_READER_P_H_
