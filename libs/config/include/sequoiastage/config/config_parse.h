#ifndef SEQUOIASTAGE_CONFIG_CONFIG_PARSE_H_
#define SEQUOIASTAGE_CONFIG_CONFIG_PARSE_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sequoiastage/base/findings.h"
#include "sequoiastage/checkedjson/json_document.h"
#include "sequoiastage/config/config.h"

/// Parses the configuration from one base document and one overlay per site
/// that differs from it. An overlay is a JSON Merge Patch (RFC 7396): it holds
/// only the differences, and null removes a member. Example of a base:
///
///   {
///     "sites": ["znojmo", "mikulov"],
///     "services": {
///       "approvals": {
///         "instances": 12,
///         "floor": 9,
///         "ejection": {"false_ejection_bound": "1000h"},
///         "limits": {"slots": 3, "queue_length": 6, "timeout": "5s"},
///         "retries": {"budget_share": 0.1, "max_attempts": 2},
///         "completeness_header": "X-Complete"
///       }
///     },
///     "routes": {
///       "approve": {
///         "host": "filing.example",
///         "path": "/approvals",
///         "service": "approvals",
///         "methods": ["GET", "POST"],
///         "idempotent": ["GET"]
///       }
///     },
///     "accounts": {"mikulov-growers": {"share": 2}}
///   }
///
/// Required members: sites, services and routes; instances and floor of a
/// service; host, path and service of a route. The false ejection bound is in
/// instance-hours. Names consist of lower-case letters, digits and "-".
namespace sequoiastage {

/// Scope name of the base document. Reserved: no site can have this name.
inline constexpr std::string_view kBaseScope = "base";

/// A JSON text with its source.
struct ConfigText {
  /// File name or log record that findings refer to.
  std::string m_source;
  std::string m_text;
};

/// The overlay of one site.
struct SiteOverlay {
  std::string m_site;
  ConfigText m_content;
};

/// The configurations of all sites.
struct FleetConfig {
  /// The base without any overlay; belongs to no site.
  Config m_base;
  std::map<std::string, Config, std::less<>> m_sites;

  /// Null when the base lists no such site.
  const Config* FindSite(std::string_view site) const;

  friend bool operator==(const FleetConfig&, const FleetConfig&) = default;
};

/// Parses and validates the base together with the overlays. Empty when there
/// is any finding; all findings are reported at once, each with the file that
/// set the value. The base must also be valid without overlays.
std::optional<FleetConfig> ParseFleetConfig(
    const ConfigText& base,
    const std::vector<SiteOverlay>& overlays,
    Findings& findings);

/// Validates documents that are already parsed, like ParseFleetConfig().
/// `overlays` is keyed by site.
std::optional<FleetConfig> CheckFleetConfig(
    const JsonDocument& base,
    const std::map<std::string, JsonDocument>& overlays,
    Findings& findings);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_CONFIG_CONFIG_PARSE_H_
