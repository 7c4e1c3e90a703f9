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

/// A parsed JSON text that knows which source each value came from.
/// Copies share the parsed values.
class JsonDocument {
 public:
  /// Longest text that Parse() takes.
  static constexpr size_t kMaxTextBytes = 8UL * 1024 * 1024;

  /// An empty object from no source.
  JsonDocument();

  /// Wraps `value`, for code that includes nlohmann/json itself.
  static JsonDocument FromValue(std::string source, nlohmann::json value);

  /// Parses `text`, which came from `source` (a file name, for instance).
  /// Syntax errors, duplicate keys, a nesting deeper than 64 levels and a text
  /// larger than 8 MiB are added to `findings`; the result is then empty.
  static std::optional<JsonDocument> Parse(std::string source,
                                           std::string_view text,
                                           Findings& findings);

  /// This document with `patch` applied (JSON Merge Patch, RFC 7396). Values
  /// that the patch sets are reported under the patch's source.
  JsonDocument MergedWith(const JsonDocument& patch) const;

  /// Applies `patch` to this document itself. Copies the values only when other
  /// documents share them. Not for documents whose copies other threads hold.
  void Merge(const JsonDocument& patch);

  /// Source of the value at JSON pointer `pointer`.
  const std::string& SourceOf(std::string_view pointer) const;

  /// The document as compact text with sorted keys.
  std::string ToText() const;

  /// For code that includes nlohmann/json itself.
  const nlohmann::json& Value() const { return *m_value; }

  bool IsEmptyObject() const;

  /// Compares the values, not their sources.
  friend bool operator==(const JsonDocument& a, const JsonDocument& b);

 private:
  JsonDocument(std::string source, std::shared_ptr<nlohmann::json> value);

  std::string m_source;
  // Source by JSON pointer, for values that a patch set.
  std::map<std::string, std::string, std::less<>> m_patched;
  // Copied before a change unless this is the only owner.
  std::shared_ptr<nlohmann::json> m_value;
};

/// The JSON Merge Patch (RFC 7396) that leads from `before` to `after`:
/// `before.MergedWith(patch)` is `after`, number types included. Holds only
/// what differs. Empty when there is none: a merge patch can't set a member to
/// null, and only objects are patched here.
std::optional<JsonDocument> MakeMergePatch(const JsonDocument& before,
                                           const JsonDocument& after);

/// `key` as one reference token of a JSON pointer ("~" and "/" escaped).
std::string EscapePointerToken(std::string_view key);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_CHECKEDJSON_JSON_DOCUMENT_H_
