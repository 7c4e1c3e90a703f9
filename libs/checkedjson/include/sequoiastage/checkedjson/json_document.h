#ifndef SEQUOIASTAGE_CHECKEDJSON_JSON_DOCUMENT_H_
#define SEQUOIASTAGE_CHECKEDJSON_JSON_DOCUMENT_H_

#include <cstddef>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "sequoiastage/base/findings.h"

namespace sequoiastage {

/// A parsed JSON text that records the source of each value. Copies share the
/// parsed values.
class JsonDocument {
 public:
  /// Largest text that Parse() accepts by default, in bytes.
  static constexpr size_t kMaxTextBytes = 8UL * 1024 * 1024;

  /// An empty object with an empty source name.
  JsonDocument();

  /// Wraps `value`. For code that includes nlohmann/json itself.
  static JsonDocument FromValue(std::string source, nlohmann::json value);

  /// Parses `text` from `source`, such as a file name. Syntax errors, duplicate
  /// keys, nesting deeper than 64 levels and a text larger than `max_bytes` are
  /// added to `findings`; the result is then empty.
  static std::optional<JsonDocument> Parse(std::string source,
                                           std::string_view text,
                                           Findings& findings,
                                           size_t max_bytes = kMaxTextBytes);

  /// This document with `patch` applied (JSON Merge Patch, RFC 7396). Values
  /// set by the patch have the source of the patch.
  JsonDocument MergedWith(const JsonDocument& patch) const;

  /// Applies `patch` in place. Copies the values only when other documents
  /// share them. Not safe when other threads hold copies of this document.
  void Merge(const JsonDocument& patch);

  /// Source of the value at JSON pointer `pointer`: that of the patch that set
  /// it or its nearest ancestor, otherwise that of the document.
  const std::string& FindSource(std::string_view pointer) const;

  /// Serializes the document as compact text with sorted keys.
  std::string ToText() const;

  /// For code that includes nlohmann/json itself.
  const nlohmann::json& Value() const { return *m_value; }

  bool IsEmptyObject() const;

  /// Compares the values, not their sources.
  friend bool operator==(const JsonDocument& a, const JsonDocument& b);

 private:
  JsonDocument(std::string source, std::shared_ptr<nlohmann::json> value);

  std::string m_source;
  // Source by JSON pointer for values set by a patch.
  std::map<std::string, std::string, std::less<>> m_patch_sources;
  // Copied before modification unless this document is the only owner.
  std::shared_ptr<nlohmann::json> m_value;
};

/// The JSON Merge Patch (RFC 7396) that turns `before` into `after`:
/// `before.MergedWith(patch)` equals `after`, including number types. Contains
/// only the differences. Empty when no such patch exists: a merge patch can't
/// set a member to null, and both documents must be objects.
std::optional<JsonDocument> MakeMergePatch(const JsonDocument& before,
                                           const JsonDocument& after);

/// Escapes `key` as a reference token of a JSON pointer: "~" as "~0" and "/" as
/// "~1".
std::string EscapePointerToken(std::string_view key);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_CHECKEDJSON_JSON_DOCUMENT_H_
