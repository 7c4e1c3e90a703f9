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

/// Checks and rebuilds only the parts of a configuration that a change touches.
/// What it can't decide by those parts alone, faults among them, is left to
/// CheckFleetConfig().
namespace sequoiastage {

/// Names of the services, routes and accounts that a change may alter.
struct TouchedParts {
  std::set<std::string> m_services;
  std::set<std::string> m_routes;
  std::set<std::string> m_accounts;
};

/// The parts that `documents`, patches or overlays, name. Empty when one of
/// them has anything but services, routes and accounts by name.
std::optional<TouchedParts> PartsNamedBy(
    std::initializer_list<const JsonDocument*> documents);

/// `parts` by section; all three sections are there.
MemberNames ToMemberNames(const TouchedParts& parts);

/// A valid fleet before a change, and the change.
struct FleetUpdate {
  const FleetConfig& m_before;
  std::string_view m_scope;
  TouchedParts m_parts;
  /// The parts of the base and of the overlays, by site, after the change.
  JsonDocument m_base;
  std::map<std::string, JsonDocument> m_overlays;
};

/// The fleet after the change. Empty when it takes a check of the whole to say
/// whether that is valid.
std::optional<FleetConfig> UpdateFleetConfig(const FleetUpdate& update);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_CONFIG_CONFIG_UPDATE_P_H_
