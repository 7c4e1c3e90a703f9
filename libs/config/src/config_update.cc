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
  std::set<std::string> AffectedEntries::*m_names;
};

constexpr std::array<Section, 3> kSections = {
    {{"services", &AffectedEntries::m_services},
     {"routes", &AffectedEntries::m_routes},
     {"accounts", &AffectedEntries::m_accounts}}};

const Section* FindSection(const std::string& key) {
  const auto found = std::find_if(
      kSections.begin(), kSections.end(),
      [&](const Section& section) { return section.m_key == key; });
  return found == kSections.end() ? nullptr : &*found;
}

bool AddNames(const JsonDocument& document, AffectedEntries& affected) {
  for (const auto& [key, members] : document.Value().items()) {
    const Section* section = FindSection(key);
    if (section == nullptr || !members.is_object()) {
      return false;
    }
    for (const auto& [name, member] : members.items()) {
      (affected.*section->m_names).insert(name);
    }
  }
  return true;
}

// Returns the items whose name is not in `names`.
template <class T>
std::vector<T> CopyExcept(const SharedList<T>& items,
                          const std::set<std::string>& names) {
  std::vector<T> rest;
  rest.reserve(items.size() + names.size());
  std::copy_if(items.begin(), items.end(), std::back_inserter(rest),
               [&](const T& item) { return !names.contains(item.m_name); });
  return rest;
}

// Merges `rest` and `added`, both sorted by `less`. Empty when two items
// compare equal.
template <class T, class Less>
std::optional<SharedList<T>> MergeSorted(std::vector<T> rest,
                                         const SharedList<T>& added,
                                         Less less) {
  const auto middle = static_cast<std::ptrdiff_t>(rest.size());
  rest.insert(rest.end(), added.begin(), added.end());
  std::inplace_merge(rest.begin(), rest.begin() + middle, rest.end(), less);
  const auto duplicate = std::adjacent_find(
      rest.begin(), rest.end(),
      [&](const T& a, const T& b) { return !less(a, b) && !less(b, a); });
  if (duplicate != rest.end()) {
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

bool HasOverlap(const SharedList<Route>& routes) {
  using Match = std::pair<std::string_view, std::string_view>;
  std::vector<Match> matches;
  matches.reserve(routes.size());
  for (const Route& route : routes) {
    matches.emplace_back(route.m_host, RoutePrefix(route.m_path));
  }
  std::sort(matches.begin(), matches.end());
  return std::adjacent_find(matches.begin(), matches.end()) != matches.end();
}

// Returns the services listed in `affected` that `parsed` no longer contains.
std::set<ServiceId> FindRemovedServices(const Config& before,
                                        const AffectedEntries& affected,
                                        const SharedList<Service>& parsed) {
  std::set<std::string_view> kept;
  for (const Service& service : parsed) {
    kept.insert(service.m_name);
  }
  std::set<ServiceId> removed;
  for (const Service& service : before.m_services) {
    if (affected.m_services.contains(service.m_name) &&
        !kept.contains(service.m_name)) {
      removed.insert(service.m_id);
    }
  }
  return removed;
}

// Whether a route that was not parsed again refers to a removed service.
bool HasDanglingRoute(const Config& before,
                      const AffectedEntries& affected,
                      const SharedList<Service>& parsed) {
  const std::set<ServiceId> removed =
      FindRemovedServices(before, affected, parsed);
  return !removed.empty() &&
         std::any_of(before.m_routes.begin(), before.m_routes.end(),
                     [&](const Route& route) {
                       return removed.contains(route.m_service) &&
                              !affected.m_routes.contains(route.m_name);
                     });
}

// Returns `before` with the affected entries parsed again from `document`.
// Empty when only CheckFleetConfig() can validate the result.
std::optional<Config> UpdateConfig(const Config& before,
                                   const AffectedEntries& affected,
                                   const JsonDocument& document) {
  Findings findings;
  Config after = before;
  std::vector<Service> services =
      CopyExcept(before.m_services, affected.m_services);
  const Config parsed =
      ReadPartialConfig(before.m_site, document, services, findings);
  if (!findings.IsEmpty() ||
      HasDanglingRoute(before, affected, parsed.m_services)) {
    return std::nullopt;
  }
  if (!affected.m_services.empty()) {
    auto merged =
        MergeSorted(std::move(services), parsed.m_services, IdLess<Service>);
    if (!merged) {
      return std::nullopt;
    }
    after.m_services = std::move(*merged);
  }
  if (!affected.m_routes.empty()) {
    auto merged = MergeSorted(CopyExcept(before.m_routes, affected.m_routes),
                              parsed.m_routes, RouteNameLess);
    if (!merged || HasOverlap(*merged)) {
      return std::nullopt;
    }
    after.m_routes = std::move(*merged);
  }
  if (!affected.m_accounts.empty()) {
    auto merged =
        MergeSorted(CopyExcept(before.m_accounts, affected.m_accounts),
                    parsed.m_accounts, IdLess<Account>);
    if (!merged) {
      return std::nullopt;
    }
    after.m_accounts = std::move(*merged);
  }
  return after;
}

}  // namespace

std::optional<AffectedEntries> CollectAffectedEntries(
    std::initializer_list<const JsonDocument*> documents) {
  AffectedEntries affected;
  for (const JsonDocument* document : documents) {
    if (!AddNames(*document, affected)) {
      return std::nullopt;
    }
  }
  return affected;
}

MemberNames ToMemberNames(const AffectedEntries& affected) {
  MemberNames names;
  for (const Section& section : kSections) {
    names[section.m_key] = affected.*section.m_names;
  }
  return names;
}

std::optional<FleetConfig> UpdateFleetConfig(const FleetUpdate& update) {
  FleetConfig fleet = update.m_before;
  const bool is_base = update.m_scope == kBaseScope;
  if (is_base) {
    auto base = UpdateConfig(fleet.m_base, update.m_affected, update.m_base);
    if (!base) {
      return std::nullopt;
    }
    fleet.m_base = std::move(*base);
  }
  for (auto& [site, config] : fleet.m_sites) {
    const auto overlay = update.m_overlays.find(site);
    if (overlay == update.m_overlays.end()) {
      config = MakeSiteConfig(site, fleet.m_base);
      continue;
    }
    if (!is_base && site != update.m_scope) {
      continue;
    }
    auto updated = UpdateConfig(config, update.m_affected,
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
