#include "sequoiastage/checkedjson/json_document.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "document_builder_p.h"

namespace sequoiastage {

namespace {

using Json = nlohmann::json;

// Applies `patch` to `target` and adds the pointer of each value that it sets
// to `set_pointers`.
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

// Whether `value` contains a null that a merge patch would interpret as a
// deletion. Nulls in arrays are not, because arrays are replaced as a whole.
bool HasNullMember(const Json& value) {
  return value.is_null() ||
         (value.is_object() &&
          std::any_of(value.begin(), value.end(), HasNullMember));
}

// Equality that also compares number types: 1 differs from 1.0.
bool IsIdentical(const Json& a, const Json& b) {
  return a == b && a.type() == b.type() &&
         (a.is_primitive() || a.dump() == b.dump());
}

// Merge patch between two objects; null when no such patch exists.
Json DiffObjects(const Json& before, const Json& after);

// Adds to `patch` the change that sets member `key` to `value`. Returns whether
// a merge patch can express it.
bool DiffMember(const Json& before,
                const std::string& key,
                const Json& value,
                Json& patch) {
  const auto old = before.find(key);
  if (old != before.end() && old->is_object() && value.is_object()) {
    Json inner = DiffObjects(*old, value);
    if (inner.is_object() && !inner.empty()) {
      patch.emplace(key, std::move(inner));
      return true;
    }
    return inner.is_object();
  }
  if (old != before.end() && IsIdentical(*old, value)) {
    return true;
  }
  patch[key] = value;
  return !HasNullMember(value);
}

Json DiffObjects(const Json& before, const Json& after) {
  Json patch = Json::object();
  for (const auto& [key, value] : after.items()) {
    if (!DiffMember(before, key, value, patch)) {
      return nullptr;
    }
  }
  for (const auto& [key, value] : before.items()) {
    if (!after.contains(key)) {
      patch[key] = nullptr;
    }
  }
  return patch;
}

}  // namespace

JsonDocument::JsonDocument()
    : JsonDocument("", std::make_shared<Json>(Json::object())) {}

JsonDocument JsonDocument::FromValue(std::string source, nlohmann::json value) {
  return {std::move(source), std::make_shared<Json>(std::move(value))};
}

JsonDocument::JsonDocument(std::string source,
                           std::shared_ptr<nlohmann::json> value)
    : m_source(std::move(source)), m_value(std::move(value)) {}

std::optional<JsonDocument> JsonDocument::Parse(std::string source,
                                                std::string_view text,
                                                Findings& findings,
                                                size_t max_bytes) {
  if (text.size() > max_bytes) {
    findings.Add(std::move(source), "",
                 "is larger than " + std::to_string(max_bytes >> 20) + " MiB");
    return std::nullopt;
  }
  DocumentBuilder builder(source, text, findings);
  Json::sax_parse(text.begin(), text.end(), &builder);
  if (builder.HasFault()) {
    return std::nullopt;
  }
  return JsonDocument(std::move(source),
                      std::make_shared<Json>(builder.TakeRoot()));
}

JsonDocument JsonDocument::MergedWith(const JsonDocument& patch) const {
  JsonDocument result = *this;
  result.Merge(patch);
  return result;
}

void JsonDocument::Merge(const JsonDocument& patch) {
  if (m_value.use_count() > 1) {
    m_value = std::make_shared<Json>(*m_value);
  }
  std::vector<std::string> set_pointers;
  MergePatch(*m_value, *patch.m_value, "", set_pointers);
  for (const std::string& pointer : set_pointers) {
    if (FindSource(pointer) != patch.m_source) {
      m_patch_sources[pointer] = patch.m_source;
    }
  }
}

const std::string& JsonDocument::FindSource(std::string_view pointer) const {
  while (true) {
    const auto found = m_patch_sources.find(pointer);
    if (found != m_patch_sources.end()) {
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

std::optional<JsonDocument> MakeMergePatch(const JsonDocument& before,
                                           const JsonDocument& after) {
  if (!before.Value().is_object() || !after.Value().is_object()) {
    return std::nullopt;
  }
  const Json patch = DiffObjects(before.Value(), after.Value());
  if (!patch.is_object()) {
    return std::nullopt;
  }
  return JsonDocument::FromValue(after.FindSource(""), patch);
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
