#include "sequoiastage/config/config_parse.h"

#include <algorithm>
#include <set>
#include <utility>

#include "config_reader_p.h"
#include "sequoiastage/checkedjson/json_reader.h"

namespace sequoiastage {

namespace {

// Adds the `new_findings` that `findings` lacks, because an invalid value in
// the base is found again for every site.
void AddNewFindings(const Findings& new_findings, Findings& findings) {
  for (const Finding& item : new_findings.Items()) {
    const auto& existing = findings.Items();
    if (std::find(existing.begin(), existing.end(), item) == existing.end()) {
      findings.Add(item.m_source, item.m_pointer, item.m_message);
    }
  }
}

std::set<std::string> ReadSites(const JsonDocument& base, Findings& findings) {
  JsonObject root = JsonObject::Root(base, findings);
  std::set<std::string> sites;
  for (const JsonValue& element :
       root.ReadArray("sites", Presence::kRequired)) {
    const auto site = element.AsString();
    if (!site) {
      continue;
    }
    if (!IsConfigName(*site) || *site == kBaseScope) {
      element.Report(std::string(kConfigNameFault));
    } else if (!sites.insert(*site).second) {
      element.Report("is a duplicate site");
    }
  }
  if (root.Has("sites") && sites.empty()) {
    root.ReportAt("sites", "names no site");
  }
  return sites;
}

void CheckOverlays(const std::map<std::string, JsonDocument>& overlays,
                   const std::set<std::string>& sites,
                   Findings& findings) {
  for (const auto& [site, overlay] : overlays) {
    if (!sites.contains(site)) {
      findings.Add(overlay.FindSource(""), "",
                   "is an overlay for the unknown site \"" + site + "\"");
    }
    JsonObject root = JsonObject::Root(overlay, findings);
    if (root.Has("sites")) {
      root.ReportAt("sites", "may stand only in the base");
    }
  }
}

template <class T>
void ShareEqualList(const SharedList<T>& base, SharedList<T>& list) {
  if (list == base) {
    list = base;
  }
}

}  // namespace

Config MakeSiteConfig(const std::string& site, const Config& base) {
  Config config = base;
  config.m_site = site;
  return config;
}

void ShareEqualLists(const Config& base, Config& config) {
  ShareEqualList(base.m_services, config.m_services);
  ShareEqualList(base.m_routes, config.m_routes);
  ShareEqualList(base.m_accounts, config.m_accounts);
}

const Config* FleetConfig::FindSite(std::string_view site) const {
  const auto found = m_sites.find(site);
  return found == m_sites.end() ? nullptr : &found->second;
}

std::optional<FleetConfig> CheckFleetConfig(
    const JsonDocument& base,
    const std::map<std::string, JsonDocument>& overlays,
    Findings& findings) {
  Findings all_findings;
  const std::set<std::string> sites = ReadSites(base, all_findings);
  CheckOverlays(overlays, sites, all_findings);
  FleetConfig fleet{.m_base = ReadConfig("", base, all_findings)};
  for (const std::string& site : sites) {
    const auto overlay = overlays.find(site);
    if (overlay == overlays.end()) {
      fleet.m_sites.emplace(site, MakeSiteConfig(site, fleet.m_base));
      continue;
    }
    Findings site_findings;
    const JsonDocument merged = base.MergedWith(overlay->second);
    Config config = ReadConfig(site, merged, site_findings);
    ShareEqualLists(fleet.m_base, config);
    fleet.m_sites.emplace(site, std::move(config));
    AddNewFindings(site_findings, all_findings);
  }
  AddNewFindings(all_findings, findings);
  if (!all_findings.IsEmpty()) {
    return std::nullopt;
  }
  return fleet;
}

std::optional<FleetConfig> ParseFleetConfig(
    const ConfigText& base,
    const std::vector<SiteOverlay>& overlays,
    Findings& findings) {
  const auto base_document =
      JsonDocument::Parse(base.m_source, base.m_text, findings);
  bool is_complete = base_document.has_value();
  std::map<std::string, JsonDocument> overlay_documents;
  for (const SiteOverlay& overlay : overlays) {
    const ConfigText& content = overlay.m_content;
    auto document =
        JsonDocument::Parse(content.m_source, content.m_text, findings);
    if (!document) {
      is_complete = false;
    } else if (!overlay_documents.emplace(overlay.m_site, *document).second) {
      findings.Add(content.m_source, "",
                   "is a second overlay for site \"" + overlay.m_site + "\"");
      is_complete = false;
    }
  }
  if (!base_document) {
    return std::nullopt;
  }
  auto fleet = CheckFleetConfig(*base_document, overlay_documents, findings);
  return is_complete ? fleet : std::nullopt;
}

}  // namespace sequoiastage
