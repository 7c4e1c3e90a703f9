#ifndef SEQUOIASTAGE_CHECKEDJSON_JSON_READER_H_
#define SEQUOIASTAGE_CHECKEDJSON_JSON_READER_H_

#include <concepts>
#include <cstdint>
#include <limits>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "sequoiastage/base/findings.h"
#include "sequoiastage/base/ids.h"
#include "sequoiastage/base/time.h"
#include "sequoiastage/checkedjson/json_document.h"

/// Validating reader for a JsonDocument. No function throws: every fault is
/// added to the Findings passed to JsonObject::Root() with its source and JSON
/// pointer, and reading continues, so that one pass reports all faults:
///
///   Findings findings;
///   const auto document = JsonDocument::Parse("node.json", text, findings);
///   if (document) {
///     JsonObject root = JsonObject::Root(*document, findings);
///     root.ReadEndpoint("listen", settings.m_listen, Presence::kRequired);
///     root.ReadDuration("timeout", settings.m_timeout, {.m_min = 1ms});
///     root.ReportUnknownKeys();
///   }
namespace sequoiastage {

enum class Presence { kOptional, kRequired };

/// Inclusive bounds of a value.
template <class T>
struct Range {
  T m_min = std::numeric_limits<T>::lowest();
  T m_max = std::numeric_limits<T>::max();
};

template <>
struct Range<Duration> {
  Duration m_min = Duration::zero();
  Duration m_max = Duration::max();
};

class JsonObject;

/// Location of one value, and the findings to which its faults are added.
struct JsonLocation {
  const JsonDocument* m_document = nullptr;
  Findings* m_findings = nullptr;
  std::string m_pointer{};

  void Report(std::string message) const;
};

/// One value: an array element, or an object member whose key is data.
class JsonValue {
 public:
  JsonValue(const nlohmann::json* value, JsonLocation location)
      : m_value(value), m_location(std::move(location)) {}

  /// Each returns the value if it has the requested type. Otherwise it adds a
  /// finding and returns nothing. An empty string is also a fault for
  /// AsString() and AsEndpoint().
  std::optional<JsonObject> AsObject() const;
  std::optional<std::string> AsString() const;
  std::optional<Endpoint> AsEndpoint() const;
  std::optional<int64_t> AsInteger() const;

  /// Adds a finding at this value.
  void Report(std::string message) const {
    m_location.Report(std::move(message));
  }

 private:
  const nlohmann::json* m_value;
  JsonLocation m_location;
};

/// One JSON object. Each Read function looks up a member and, if the member is
/// present and valid, stores it in `out` and returns true. Otherwise `out` is
/// unchanged; a wrong type, a value out of range and a missing required member
/// are reported. The document and the findings must outlive the object.
class JsonObject {
 public:
  /// The root of `document`. If the root is not an object, that is reported and
  /// the result behaves like an empty object whose missing members are not
  /// reported.
  static JsonObject Root(const JsonDocument& document, Findings& findings);

  JsonObject(const nlohmann::json* object, JsonLocation location)
      : m_object(object), m_location(std::move(location)) {}

  bool Has(std::string_view key) const;

  /// Reports an empty string.
  bool ReadString(std::string_view key,
                  std::string& out,
                  Presence presence = Presence::kOptional);
  /// Like ReadString(), but accepts an empty string.
  bool ReadText(std::string_view key,
                std::string& out,
                Presence presence = Presence::kOptional);
  bool ReadBool(std::string_view key,
                bool& out,
                Presence presence = Presence::kOptional);

  template <std::integral T>
  bool ReadInteger(std::string_view key,
                   T& out,
                   Range<T> range = {},
                   Presence presence = Presence::kOptional) {
    int64_t wide = 0;
    const Range<int64_t> wide_range{.m_min = Clamp(range.m_min),
                                    .m_max = Clamp(range.m_max)};
    if (!ReadInt64(key, wide, wide_range, presence)) {
      return false;
    }
    out = static_cast<T>(wide);
    return true;
  }

  bool ReadNumber(std::string_view key,
                  double& out,
                  Range<double> range = {},
                  Presence presence = Presence::kOptional);

  /// A string of a whole number and a unit (us, ms, s, min, h), such as
  /// "250ms".
  bool ReadDuration(std::string_view key,
                    Duration& out,
                    Range<Duration> range = {},
                    Presence presence = Presence::kOptional);

  /// A string of a whole number and a unit (B, KiB, MiB), such as "64KiB".
  bool ReadBytes(std::string_view key,
                 uint64_t& out,
                 Range<uint64_t> range = {},
                 Presence presence = Presence::kOptional);

  /// A string "a.b.c.d:port".
  bool ReadEndpoint(std::string_view key,
                    Endpoint& out,
                    Presence presence = Presence::kOptional);

  std::optional<JsonObject> ReadObject(std::string_view key,
                                       Presence presence = Presence::kOptional);

  /// A copy of an object member as a separate document with source `source`.
  std::optional<JsonDocument> ReadDocument(
      std::string_view key,
      std::string source,
      Presence presence = Presence::kOptional);

  /// Elements of an array; empty when the member is absent or not an array.
  std::vector<JsonValue> ReadArray(std::string_view key,
                                   Presence presence = Presence::kOptional);

  /// Strings of an array. Empty strings and elements of another type are
  /// reported and left out.
  std::vector<std::string> ReadStrings(std::string_view key,
                                       Presence presence = Presence::kOptional);

  /// Whole numbers of an array. Elements of another type are reported and left
  /// out.
  std::vector<int64_t> ReadIntegers(std::string_view key,
                                    Presence presence = Presence::kOptional);

  /// All members in key order, for an object whose keys are data (names). They
  /// count as read by ReportUnknownKeys().
  std::vector<std::pair<std::string, JsonValue>> Members();

  /// Reports each member that no Read function has looked up.
  void ReportUnknownKeys() const;

  /// Adds a finding at this object.
  void Report(std::string message) const {
    m_location.Report(std::move(message));
  }

  /// Adds a finding at member `key`.
  void ReportAt(std::string_view key, std::string message) const;

  const std::string& Pointer() const { return m_location.m_pointer; }

 private:
  template <std::integral T>
  static int64_t Clamp(T bound) {
    return std::in_range<int64_t>(bound) ? static_cast<int64_t>(bound)
                                         : std::numeric_limits<int64_t>::max();
  }

  bool ReadInt64(std::string_view key,
                 int64_t& out,
                 Range<int64_t> range,
                 Presence presence);
  const nlohmann::json* Find(std::string_view key, Presence presence);
  JsonLocation MemberLocation(std::string_view key) const;

  const nlohmann::json* m_object;
  JsonLocation m_location;
  std::set<std::string, std::less<>> m_read_keys;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_CHECKEDJSON_JSON_READER_H_
