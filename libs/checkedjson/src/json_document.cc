#include "sequoiastage/checkedjson/json_document.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>
#include <vector>

namespace sequoiastage {

namespace {

using Json = nlohmann::json;

constexpr int kMaxDepth = 64;
constexpr size_t kMaxTextBytes = 8UL * 1024 * 1024;

// Follows a parse to find what the parser itself accepts: duplicate keys and
// deep nesting.
class StructureCheck {
 public:
  StructureCheck(const std::string& source, Findings& findings)
      : m_source(source), m_findings(findings) {}

  // Returns false when the parser is to drop the value.
  bool OnEvent(int depth, Json::parse_event_t event, const Json& parsed) {
    switch (event) {
      case Json::parse_event_t::object_start:
      case Json::parse_event_t::array_start:
        return Open(depth, event == Json::parse_event_t::array_start);
      case Json::parse_event_t::object_end:
      case Json::parse_event_t::array_end:
        m_levels.pop_back();
        return true;
      case Json::parse_event_t::key:
        TakeKey(parsed.get_ref<const std::string&>());
        return true;
      case Json::parse_event_t::value:
        CountElement();
        return true;
    }
    return true;
  }

  bool HasFault() const { return m_has_fault; }

 private:
  struct Level {
    bool m_is_array = false;
    int64_t m_next_index = 0;
    std::string m_token{};
    std::set<std::string> m_keys{};
  };

  bool Open(int depth, bool is_array) {
    CountElement();
    m_levels.push_back(Level{.m_is_array = is_array});
    if (depth < kMaxDepth) {
      return true;
    }
    if (!m_is_too_deep) {
      Report("is nested too deeply");
    }
    m_is_too_deep = true;
    // The parser reports no end for a dropped value.
    m_levels.pop_back();
    return false;
  }

  void CountElement() {
    if (!m_levels.empty() && m_levels.back().m_is_array) {
      Level& level = m_levels.back();
      level.m_token = std::to_string(level.m_next_index++);
    }
  }

  void TakeKey(const std::string& key) {
    Level& level = m_levels.back();
    level.m_token = EscapePointerToken(key);
    if (!level.m_keys.insert(key).second) {
      Report("is a duplicate key");
    }
  }

  void Report(std::string message) {
    std::string pointer;
    for (const Level& level : m_levels) {
      if (!level.m_token.empty() || !level.m_keys.empty()) {
        pointer += "/" + level.m_token;
      }
    }
    m_findings.Add(m_source, pointer, std::move(message));
    m_has_fault = true;
  }

  const std::string& m_source;
  Findings& m_findings;
  std::vector<Level> m_levels;
  bool m_has_fault = false;
  bool m_is_too_deep = false;
};

std::string DescribePosition(std::string_view text, size_t byte) {
  const std::string_view before = text.substr(0, std::min(byte, text.size()));
  const auto line = 1 + std::count(before.begin(), before.end(), '\n');
  const size_t newline = before.rfind('\n');
  const size_t column =
      newline == std::string_view::npos ? before.size() : byte - newline - 1;
  return "line " + std::to_string(line) + ", column " + std::to_string(column);
}

// Applies `patch` to `target` and notes the pointer of each value it sets.
void MergePatch(Json& target,
                const Json& patch,
                const std::string& pointer,
                std::vector<std::string>& set_pointers) {
  if (!patch.is_object()) {
    target = patch;
    set_pointers.push_back(pointer);
    return;
  }
  if (!target.is_object()) {
    target = Json::object();
    set_pointers.push_back(pointer);
  }
  for (const auto& [key, value] : patch.items()) {
    const std::string child = pointer + "/" + EscapePointerToken(key);
    if (value.is_null()) {
      target.erase(key);
      continue;
    }
    MergePatch(target[key], value, child, set_pointers);
  }
}

}  // namespace

JsonDocument::JsonDocument()
    : JsonDocument("", std::make_shared<const Json>(Json::object())) {}

JsonDocument JsonDocument::FromValue(std::string source,
                                     const nlohmann::json& value) {
  return {std::move(source), std::make_shared<const Json>(value)};
}

JsonDocument::JsonDocument(std::string source,
                           std::shared_ptr<const nlohmann::json> value)
    : m_source(std::move(source)), m_value(std::move(value)) {}

std::optional<JsonDocument> JsonDocument::Parse(std::string source,
                                                std::string_view text,
                                                Findings& findings) {
  if (text.size() > kMaxTextBytes) {
    findings.Add(std::move(source), "", "is larger than 8 MiB");
    return std::nullopt;
  }
  StructureCheck check(source, findings);
  const auto follow = [&check](int depth, Json::parse_event_t event,
                               Json& parsed) {
    return check.OnEvent(depth, event, parsed);
  };
  try {
    auto value = std::make_shared<const Json>(
        Json::parse(text.begin(), text.end(), follow));
    if (check.HasFault()) {
      return std::nullopt;
    }
    return JsonDocument(std::move(source), std::move(value));
  } catch (const Json::parse_error& error) {
    findings.Add(source, "",
                 "is no valid JSON at " + DescribePosition(text, error.byte));
  } catch (const Json::exception&) {
    findings.Add(source, "", "holds a number that is out of range");
  }
  return std::nullopt;
}

JsonDocument JsonDocument::MergedWith(const JsonDocument& patch) const {
  Json merged = *m_value;
  std::vector<std::string> set_pointers;
  MergePatch(merged, *patch.m_value, "", set_pointers);
  JsonDocument result(m_source,
                      std::make_shared<const Json>(std::move(merged)));
  result.m_patched = m_patched;
  for (const std::string& pointer : set_pointers) {
    result.m_patched[pointer] = patch.m_source;
  }
  return result;
}

const std::string& JsonDocument::SourceOf(std::string_view pointer) const {
  while (true) {
    const auto found = m_patched.find(pointer);
    if (found != m_patched.end()) {
      return found->second;
    }
    const size_t slash = pointer.rfind('/');
    if (slash == std::string_view::npos) {
      return m_source;
    }
    pointer = pointer.substr(0, slash);
  }
}

std::string JsonDocument::ToText() const {
  return m_value->dump();
}

bool JsonDocument::IsEmptyObject() const {
  return m_value->is_object() && m_value->empty();
}

bool operator==(const JsonDocument& a, const JsonDocument& b) {
  return *a.m_value == *b.m_value;
}

std::string EscapePointerToken(std::string_view key) {
  std::string token;
  for (const char c : key) {
    if (c == '~') {
      token += "~0";
    } else if (c == '/') {
      token += "~1";
    } else {
      token += c;
    }
  }
  return token;
}

}  // namespace sequoiastage
