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

/// Configuration from one base document and an overlay for each site that
/// differs from it. An overlay is a JSON Merge Patch (RFC 7396): it names only
/// what differs, and null removes a member. The base:
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
/// Required are sites, services and routes; of a service, instances and floor;
/// of a route, host, path and service. The false ejection bound is in
/// instance-hours. Names have lower-case letters, digits and "-".
namespace sequoiastage {

/// Scope of the base, in place of a site's name. No site may be called so.
inline constexpr std::string_view kBaseScope = "base";

/// A JSON text and where it came from.
struct ConfigText {
  /// File name or log record, for findings.
  std::string m_source;
  std::string m_text;
};

/// An overlay with the site it is meant for.
struct SiteOverlay {
  std::string m_site;
  ConfigText m_content;
};

/// The configurations of all sites.
struct FleetConfig {
  /// Of no site: what the base says without overlays.
  Config m_base;
  std::map<std::string, Config, std::less<>> m_sites;

  /// Null when the base names no such site.
  const Config* FindSite(std::string_view site) const;

  friend bool operator==(const FleetConfig&, const FleetConfig&) = default;
};

/// Parses and checks base and overlays as a whole. Empty when there is any
/// finding; all findings are reported at once, each under the file that set
/// the value. The base has to be valid without overlays too.
std::optional<FleetConfig> ParseFleetConfig(
    const ConfigText& base,
    const std::vector<SiteOverlay>& overlays,
    Findings& findings);

/// The same for documents that are parsed already. `overlays` is keyed by
/// site.
std::optional<FleetConfig> CheckFleetConfig(
    const JsonDocument& base,
    const std::map<std::string, JsonDocument>& overlays,
    Findings& findings);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_CONFIG_CONFIG_PARSE_H_
