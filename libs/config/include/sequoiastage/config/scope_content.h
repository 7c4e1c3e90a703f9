#ifndef SEQUOIASTAGE_CONFIG_SCOPE_CONTENT_H_
#define SEQUOIASTAGE_CONFIG_SCOPE_CONTENT_H_

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "sequoiastage/checkedjson/json_document.h"

namespace sequoiastage {

/// Member names by section.
using MemberNames = std::map<std::string, std::set<std::string>, std::less<>>;

/// Content of one scope: a JSON object whose members (sections) are mostly
/// objects with many small members. Each small member is stored as compact
/// text, which takes about a fifth of the memory of parsed values.
class ScopeContent {
 public:
  /// The empty object.
  ScopeContent() = default;

  /// `document` must be an object.
  explicit ScopeContent(const JsonDocument& document);

  /// The full content, parsed.
  JsonDocument ToDocument(std::string source) const;

  /// The sections listed in `names`, reduced to the members listed there. A
  /// section that is not an object is returned unchanged.
  JsonDocument Select(std::string source, const MemberNames& names) const;

  /// Whether each section listed in `names` is an object or absent.
  bool AreObjects(const MemberNames& names) const;

  /// Applies `patch`, an object (JSON Merge Patch, RFC 7396).
  void Merge(const JsonDocument& patch);

  /// Compact text with sorted keys.
  std::string ToText() const;

  /// Size of ToText() in bytes.
  size_t TextBytes() const;

  bool IsEmptyObject() const { return m_sections.empty(); }

  friend bool operator==(const ScopeContent&, const ScopeContent&) = default;

 private:
  struct Member {
    std::string m_name;
    std::string m_text;

    friend bool operator==(const Member&, const Member&) = default;
  };

  struct Section {
    bool m_is_object = true;
    // Used only when the section is not an object.
    std::string m_text{};
    // Sorted by name.
    std::vector<Member> m_members{};
    // Size of the members as text in bytes, without commas.
    size_t m_member_bytes = 0;

    friend bool operator==(const Section&, const Section&) = default;
  };

  static void PutMembers(const nlohmann::json& members, Section& section);
  static void MergeMember(const std::string& name,
                          const nlohmann::json& patch,
                          Section& section);
  static nlohmann::json SelectMembers(const Section& section,
                                      const std::set<std::string>& names);

  std::map<std::string, Section, std::less<>> m_sections;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_CONFIG_SCOPE_CONTENT_H_
