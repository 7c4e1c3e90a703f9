#ifndef SEQUOIASTAGE_CONFIG_CONFIG_READER_P_H_
#define SEQUOIASTAGE_CONFIG_CONFIG_READER_P_H_

#include <string>
#include <string_view>

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

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_CONFIG_CONFIG_READER_P_H_
