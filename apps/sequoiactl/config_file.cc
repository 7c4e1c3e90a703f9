#include "config_file.h"

#include <fmt/format.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "json_output.h"

namespace sequoiastage {

namespace {

std::string ValueAt(const Json& document, const Json::json_pointer& pointer) {
  return document.contains(pointer) ? document.at(pointer).dump() : "absent";
}

}  // namespace

std::optional<std::string> ReadTextFile(const std::string& path,
                                        Findings& findings) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) {
    findings.Add(path, "", "can't be read, or is empty");
    return std::nullopt;
  }
  return text.str();
}

std::optional<SiteOverlay> ReadOverlay(const std::string& argument,
                                       Findings& findings) {
  const size_t equals = argument.find('=');
  const bool has_site = equals != std::string::npos;
  const std::string path = has_site ? argument.substr(equals + 1) : argument;
  const auto text = ReadTextFile(path, findings);
  if (!text) {
    return std::nullopt;
  }
  return SiteOverlay{
      .m_site = has_site ? argument.substr(0, equals)
                         : std::filesystem::path(path).stem().string(),
      .m_content = {.m_source = path, .m_text = *text}};
}

void CheckConfigFiles(const std::string& base,
                      const std::vector<std::string>& overlays,
                      Findings& findings) {
  const auto base_text = ReadTextFile(base, findings);
  std::vector<SiteOverlay> read;
  for (const std::string& argument : overlays) {
    if (auto overlay = ReadOverlay(argument, findings)) {
      read.push_back(std::move(*overlay));
    }
  }
  if (base_text) {
    ParseFleetConfig({base, *base_text}, read, findings);
  }
}

DocumentsInForce ReadDocumentsInForce(const Json& config) {
  DocumentsInForce in_force;
  for (const Json& entry : ListAt(config, "documents")) {
    const Json scope = MemberAt(entry, "scope");
    if (scope.is_string()) {
      in_force[scope.get<std::string>()] = {
          .m_version = NumberAt(entry, "version"),
          .m_document = MemberAt(entry, "document")};
    }
  }
  return in_force;
}

void CheckAgainstInForce(const std::string& scope,
                         const ConfigText& content,
                         const DocumentsInForce& in_force,
                         Findings& findings) {
  std::optional<ConfigText> base;
  std::vector<SiteOverlay> overlays;
  for (const auto& [other_scope, document] : in_force) {
    if (other_scope == scope) {
      continue;
    }
    const ConfigText text = {.m_source = other_scope + " in force",
                             .m_text = document.m_document.dump()};
    if (other_scope == kBaseScope) {
      base = text;
    } else {
      overlays.push_back({.m_site = other_scope, .m_content = text});
    }
  }
  if (scope == kBaseScope) {
    base = content;
  } else {
    overlays.push_back({.m_site = scope, .m_content = content});
  }
  if (!base) {
    findings.Add(content.m_source, "",
                 "is an overlay, but no base is in force yet: publish the "
                 "base first");
    return;
  }
  ParseFleetConfig(*base, overlays, findings);
}

std::vector<std::string> ListDifferences(const Json& before,
                                         const Json& after) {
  if (before.is_null()) {
    return {"first document of this scope"};
  }
  std::vector<std::string> lines;
  const Json patch = Json::diff(before, after);
  for (const Json& operation : patch) {
    const auto path = operation.at("path").get<std::string>();
    const Json::json_pointer pointer(path);
    lines.push_back(fmt::format("{}: {} -> {}", path.empty() ? "/" : path,
                                ValueAt(before, pointer),
                                ValueAt(after, pointer)));
  }
  return lines;
}

}  // namespace sequoiastage
