#include "sequoiastage/config/scope_content.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace sequoiastage {

namespace {

using Json = nlohmann::json;

template <class Member>
bool IsNameBefore(const Member& member, const std::string& name) {
  return member.m_name < name;
}

template <class Members>
auto FindMember(Members& members, const std::string& name) {
  using Member = typename std::decay_t<Members>::value_type;
  return std::lower_bound(members.begin(), members.end(), name,
                          IsNameBefore<Member>);
}

std::string KeyText(const std::string& key) {
  return Json(key).dump() + ":";
}

size_t MemberBytes(const std::string& name, const std::string& text) {
  return KeyText(name).size() + text.size();
}

}  // namespace

ScopeContent::ScopeContent(const JsonDocument& document) {
  for (const auto& [key, value] : document.Value().items()) {
    Section& section = m_sections[key];
    section.m_is_object = value.is_object();
    if (section.m_is_object) {
      PutMembers(value, section);
    } else {
      section.m_text = value.dump();
    }
  }
}

void ScopeContent::PutMembers(const Json& members, Section& section) {
  section.m_members.reserve(members.size());
  for (const auto& [name, value] : members.items()) {
    Member member{.m_name = name, .m_text = value.dump()};
    section.m_member_bytes += MemberBytes(name, member.m_text);
    section.m_members.push_back(std::move(member));
  }
}

JsonDocument ScopeContent::ToDocument(std::string source) const {
  Json root = Json::object();
  for (const auto& [key, section] : m_sections) {
    if (!section.m_is_object) {
      root[key] = Json::parse(section.m_text);
      continue;
    }
    Json& members = root[key] = Json::object();
    for (const Member& member : section.m_members) {
      members[member.m_name] = Json::parse(member.m_text);
    }
  }
  return JsonDocument::FromValue(std::move(source), std::move(root));
}

JsonDocument ScopeContent::Select(std::string source,
                                  const MemberNames& names) const {
  Json root = Json::object();
  for (const auto& [key, member_names] : names) {
    const auto section = m_sections.find(key);
    if (section != m_sections.end()) {
      root[key] = SelectMembers(section->second, member_names);
    }
  }
  return JsonDocument::FromValue(std::move(source), std::move(root));
}

Json ScopeContent::SelectMembers(const Section& section,
                                 const std::set<std::string>& names) {
  if (!section.m_is_object) {
    return Json::parse(section.m_text);
  }
  Json selected = Json::object();
  for (const std::string& name : names) {
    const auto member = FindMember(section.m_members, name);
    if (member != section.m_members.end() && member->m_name == name) {
      selected[name] = Json::parse(member->m_text);
    }
  }
  return selected;
}

bool ScopeContent::AreObjects(const MemberNames& names) const {
  return std::all_of(m_sections.begin(), m_sections.end(), [&](const auto& at) {
    return at.second.m_is_object || !names.contains(at.first);
  });
}

void ScopeContent::Merge(const JsonDocument& patch) {
  for (const auto& [key, value] : patch.Value().items()) {
    if (value.is_null()) {
      m_sections.erase(key);
      continue;
    }
    Section& section = m_sections[key];
    if (!value.is_object()) {
      section = {.m_is_object = false, .m_text = value.dump()};
      continue;
    }
    if (!section.m_is_object) {
      section = {};
    }
    for (const auto& [name, member] : value.items()) {
      MergeMember(name, member, section);
    }
  }
}

void ScopeContent::MergeMember(const std::string& name,
                               const Json& patch,
                               Section& section) {
  const auto position = FindMember(section.m_members, name);
  const bool exists =
      position != section.m_members.end() && position->m_name == name;
  Json merged = exists ? Json::parse(position->m_text) : Json();
  if (exists) {
    section.m_member_bytes -= MemberBytes(name, position->m_text);
  }
  if (patch.is_null()) {
    if (exists) {
      section.m_members.erase(position);
    }
    return;
  }
  merged.merge_patch(patch);
  std::string text = merged.dump();
  section.m_member_bytes += MemberBytes(name, text);
  if (exists) {
    position->m_text = std::move(text);
  } else {
    section.m_members.insert(position,
                             {.m_name = name, .m_text = std::move(text)});
  }
}

std::string ScopeContent::ToText() const {
  std::string text = "{";
  text.reserve(TextBytes());
  for (const auto& [key, section] : m_sections) {
    text += (text.size() > 1 ? "," : "") + KeyText(key);
    if (!section.m_is_object) {
      text += section.m_text;
      continue;
    }
    text += "{";
    const char* separator = "";
    for (const Member& member : section.m_members) {
      text += separator + KeyText(member.m_name) + member.m_text;
      separator = ",";
    }
    text += "}";
  }
  return text + "}";
}

size_t ScopeContent::TextBytes() const {
  // Braces, and a comma between any two sections or members.
  size_t bytes = 2 + (m_sections.empty() ? 0 : m_sections.size() - 1);
  for (const auto& [key, section] : m_sections) {
    bytes += KeyText(key).size() + section.m_text.size();
    if (section.m_is_object) {
      const size_t count = section.m_members.size();
      bytes += 2 + (count == 0 ? 0 : count - 1);
    }
    bytes += section.m_member_bytes;
  }
  return bytes;
}

}  // namespace sequoiastage
