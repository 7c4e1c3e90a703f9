#include "config_update_p.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "config_reader_p.h"

namespace sequoiastage {

namespace {

struct Section {
  const char* m_key;
  std::set<std::string> TouchedParts::*m_names;
};

constexpr std::array<Section, 3> kSections = {
    {{"services", &TouchedParts::m_services},
     {"routes", &TouchedParts::m_routes},
     {"accounts", &TouchedParts::m_accounts}}};

const Section* FindSection(const std::string& key) {
  const auto found = std::find_if(
      kSections.begin(), kSections.end(),
      [&](const Section& section) { return section.m_key == key; });
  return found == kSections.end() ? nullptr : &*found;
}

bool AddNames(const JsonDocument& document, TouchedParts& parts) {
  for (const auto& [key, members] : document.Value().items()) {
    const Section* section = FindSection(key);
    if (section == nullptr || !members.is_object()) {
      return false;
    }
    for (const auto& [name, member] : members.items()) {
      (parts.*section->m_names).insert(name);
    }
  }
  return true;
}

// Those of `items` that `names` does not name.
template <class T>
std::vector<T> Without(const SharedList<T>& items,
                       const std::set<std::string>& names) {
  std::vector<T> rest;
  rest.reserve(items.size() + names.size());
  std::copy_if(items.begin(), items.end(), std::back_inserter(rest),
               [&](const T& item) { return !names.contains(item.m_name); });
  return rest;
}

// `rest` and `added`, both in the order of `less`, as one list. Empty when two
// items are equal in that order.
template <class T, class Less>
std::optional<SharedList<T>> Merged(std::vector<T> rest,
                                    const SharedList<T>& added,
                                    Less less) {
  const auto middle = static_cast<std::ptrdiff_t>(rest.size());
  rest.insert(rest.end(), added.begin(), added.end());
  std::inplace_merge(rest.begin(), rest.begin() + middle, rest.end(), less);
  const auto same = std::adjacent_find(
      rest.begin(), rest.end(),
      [&](const T& a, const T& b) { return !less(a, b) && !less(b, a); });
  if (same != rest.end()) {
    return std::nullopt;
  }
  return SharedList<T>(std::move(rest));
}

template <class T>
bool IdLess(const T& a, const T& b) {
  return a.m_id < b.m_id;
}

bool RouteNameLess(const Route& a, const Route& b) {
  return a.m_name < b.m_name;
}

bool HaveOverlap(const SharedList<Route>& routes) {
  using Match = std::pair<std::string_view, std::string_view>;
  std::vector<Match> matches;
  matches.reserve(routes.size());
  for (const Route& route : routes) {
    matches.emplace_back(route.m_host, RoutePrefix(route.m_path));
  }
  std::sort(matches.begin(), matches.end());
  return std::adjacent_find(matches.begin(), matches.end()) != matches.end();
}

// Services that `parts` names and `read` has no longer.
std::set<ServiceId> LostServices(const Config& before,
                                 const TouchedParts& parts,
                                 const SharedList<Service>& read) {
  std::set<std::string_view> kept;
  for (const Service& service : read) {
    kept.insert(service.m_name);
  }
  std::set<ServiceId> lost;
  for (const Service& service : before.m_services) {
    if (parts.m_services.contains(service.m_name) &&
        !kept.contains(service.m_name)) {
      lost.insert(service.m_id);
    }
  }
  return lost;
}

// Whether a route that was not read again goes to a service that is gone.
bool IsRouteLeftBehind(const Config& before,
                       const TouchedParts& parts,
                       const SharedList<Service>& read) {
  const std::set<ServiceId> lost = LostServices(before, parts, read);
  return !lost.empty() &&
         std::any_of(before.m_routes.begin(), before.m_routes.end(),
                     [&](const Route& route) {
                       return lost.contains(route.m_service) &&
                              !parts.m_routes.contains(route.m_name);
                     });
}

// `before` with `parts` read again from `document`.
std::optional<Config> UpdateConfig(const Config& before,
                                   const TouchedParts& parts,
                                   const JsonDocument& document) {
  Findings findings;
  Config after = before;
  std::vector<Service> services = Without(before.m_services, parts.m_services);
  const Config read =
      ReadConfigParts(before.m_site, document, services, findings);
  if (!findings.IsEmpty() ||
      IsRouteLeftBehind(before, parts, read.m_services)) {
    return std::nullopt;
  }
  if (!parts.m_services.empty()) {
    auto merged = Merged(std::move(services), read.m_services, IdLess<Service>);
    if (!merged) {
      return std::nullopt;
    }
    after.m_services = std::move(*merged);
  }
  if (!parts.m_routes.empty()) {
    auto merged = Merged(Without(before.m_routes, parts.m_routes),
                         read.m_routes, RouteNameLess);
    if (!merged || HaveOverlap(*merged)) {
      return std::nullopt;
    }
    after.m_routes = std::move(*merged);
  }
  if (!parts.m_accounts.empty()) {
    auto merged = Merged(Without(before.m_accounts, parts.m_accounts),
                         read.m_accounts, IdLess<Account>);
    if (!merged) {
      return std::nullopt;
    }
    after.m_accounts = std::move(*merged);
  }
  return after;
}

}  // namespace

std::optional<TouchedParts> PartsNamedBy(
    std::initializer_list<const JsonDocument*> documents) {
  TouchedParts parts;
  for (const JsonDocument* document : documents) {
    if (!AddNames(*document, parts)) {
      return std::nullopt;
    }
  }
  return parts;
}

MemberNames ToMemberNames(const TouchedParts& parts) {
  MemberNames names;
  for (const Section& section : kSections) {
    names[section.m_key] = parts.*section.m_names;
  }
  return names;
}

std::optional<FleetConfig> UpdateFleetConfig(const FleetUpdate& update) {
  FleetConfig fleet = update.m_before;
  const bool is_base = update.m_scope == kBaseScope;
  if (is_base) {
    auto base = UpdateConfig(fleet.m_base, update.m_parts, update.m_base);
    if (!base) {
      return std::nullopt;
    }
    fleet.m_base = std::move(*base);
  }
  for (auto& [site, config] : fleet.m_sites) {
    const auto overlay = update.m_overlays.find(site);
    if (overlay == update.m_overlays.end()) {
      config = ConfigOfSite(site, fleet.m_base);
      continue;
    }
    if (!is_base && site != update.m_scope) {
      continue;
    }
    auto updated = UpdateConfig(config, update.m_parts,
                                update.m_base.MergedWith(overlay->second));
    if (!updated) {
      return std::nullopt;
    }
    config = std::move(*updated);
    ShareEqualLists(fleet.m_base, config);
  }
  return fleet;
}

}  // namespace sequoiastage
