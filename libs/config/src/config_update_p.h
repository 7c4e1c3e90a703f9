#ifndef SEQUOIASTAGE_CONFIG_CONFIG_UPDATE_P_H_
#define SEQUOIASTAGE_CONFIG_CONFIG_UPDATE_P_H_

#include <initializer_list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "sequoiastage/checkedjson/json_document.h"
#include "sequoiastage/config/config_parse.h"
#include "sequoiastage/config/scope_content.h"

/// Validates and rebuilds only the entries of a configuration that a change
/// affects. Cases that these entries alone do not decide, invalid content
/// included, are left to CheckFleetConfig().
namespace sequoiastage {

/// Names of the services, routes and accounts that a change can affect.
struct AffectedEntries {
  std::set<std::string> m_services;
  std::set<std::string> m_routes;
  std::set<std::string> m_accounts;
};

/// Collects the entries listed in `documents`, which are patches or overlays.
/// Empty when one of them contains anything but services, routes and accounts
/// by name.
std::optional<AffectedEntries> CollectAffectedEntries(
    std::initializer_list<const JsonDocument*> documents);

/// Converts `affected` to names by section; all three sections are present.
MemberNames ToMemberNames(const AffectedEntries& affected);

/// A valid fleet configuration and a change to it.
struct FleetUpdate {
  const FleetConfig& m_before;
  std::string_view m_scope;
  AffectedEntries m_affected;
  /// Affected entries of the base and, by site, of the overlays after the
  /// change.
  JsonDocument m_base;
  std::map<std::string, JsonDocument> m_overlays;
};

/// Returns the fleet configuration after the change. Empty when only a check of
/// all documents can determine whether it is valid.
std::optional<FleetConfig> UpdateFleetConfig(const FleetUpdate& update);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_CONFIG_CONFIG_UPDATE_P_H_
