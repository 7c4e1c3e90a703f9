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

/// Checked reading of a JsonDocument. No function throws: every fault is added
/// to the Findings given to JsonObject::Root() with source and JSON pointer,
/// and reading goes on, so that one pass reports all faults:
///
///   Findings findings;
///   const auto document = JsonDocument::Parse("node.json", text, findings);
///   if (document) {
///     JsonObject root = JsonObject::Root(*document, findings);
///     root.ReadEndpoint("listen", settings.m_listen, Presence::kRequired);
///     root.ReadDuration("timeout", settings.m_timeout, {.m_min = 1ms});
///     root.RefuseUnknownKeys();
///   }
namespace sequoiastage {

enum class Presence { kOptional, kRequired };

/// Bounds of a value, both included.
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

/// Place of one value: what a reader needs to report about it.
struct JsonPlace {
  const JsonDocument* m_document = nullptr;
  Findings* m_findings = nullptr;
  std::string m_pointer{};

  void Report(std::string message) const;
};

/// One value, an element of an array or a member whose key is data.
class JsonValue {
 public:
  JsonValue(const nlohmann::json* value, JsonPlace place)
      : m_value(value), m_place(std::move(place)) {}

  /// Each reports a finding and returns nothing when the type is another.
  std::optional<JsonObject> AsObject() const;
  std::optional<std::string> AsString() const;
  std::optional<Endpoint> AsEndpoint() const;
  std::optional<int64_t> AsInteger() const;

  /// Adds a finding at this value.
  void Report(std::string message) const { m_place.Report(std::move(message)); }

 private:
  const nlohmann::json* m_value;
  JsonPlace m_place;
};

/// One JSON object. Each Read function looks up a member and, when it is there
/// and valid, stores it in `out` and returns true. Otherwise `out` keeps its
/// default; a wrong type, a value out of range and the absence of a required
/// member are reported. The document and the findings have to outlive it.
class JsonObject {
 public:
  /// The whole document, which has to be an object: otherwise that is reported
  /// and the result behaves as an empty object without required members.
  static JsonObject Root(const JsonDocument& document, Findings& findings);

  JsonObject(const nlohmann::json* object, JsonPlace place)
      : m_object(object), m_place(std::move(place)) {}

  bool Has(std::string_view key) const;

  /// An empty text is reported.
  bool ReadString(std::string_view key,
                  std::string& out,
                  Presence presence = Presence::kOptional);
  /// Like ReadString(), but the text may be empty.
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

  /// Text of a whole number and a unit: us, ms, s, min, h; "250ms".
  bool ReadDuration(std::string_view key,
                    Duration& out,
                    Range<Duration> range = {},
                    Presence presence = Presence::kOptional);

  /// Text of a whole number and a unit: B, KiB, MiB; "64KiB".
  bool ReadBytes(std::string_view key,
                 uint64_t& out,
                 Range<uint64_t> range = {},
                 Presence presence = Presence::kOptional);

  /// Text "a.b.c.d:port".
  bool ReadEndpoint(std::string_view key,
                    Endpoint& out,
                    Presence presence = Presence::kOptional);

  std::optional<JsonObject> ReadObject(std::string_view key,
                                       Presence presence = Presence::kOptional);

  /// A copy of an object member as a document of its own, with `source`.
  std::optional<JsonDocument> ReadDocument(
      std::string_view key,
      std::string source,
      Presence presence = Presence::kOptional);

  /// Elements of an array; empty when it is absent or no array.
  std::vector<JsonValue> ReadArray(std::string_view key,
                                   Presence presence = Presence::kOptional);

  /// Strings of an array; an element of another type is reported.
  std::vector<std::string> ReadStrings(std::string_view key,
                                       Presence presence = Presence::kOptional);

  /// Whole numbers of an array; an element of another type is reported.
  std::vector<int64_t> ReadIntegers(std::string_view key,
                                    Presence presence = Presence::kOptional);

  /// Every member of this object whose keys are data (names), in key order.
  std::vector<std::pair<std::string, JsonValue>> Members();

  /// Reports each member that no Read function asked for.
  void RefuseUnknownKeys() const;

  /// Adds a finding at this object.
  void Report(std::string message) const { m_place.Report(std::move(message)); }

  /// Adds a finding at member `key`.
  void ReportAt(std::string_view key, std::string message) const;

  const std::string& Pointer() const { return m_place.m_pointer; }

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
  JsonPlace PlaceOf(std::string_view key) const;

  const nlohmann::json* m_object;
  JsonPlace m_place;
  std::set<std::string, std::less<>> m_known;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_CHECKEDJSON_JSON_READER_H_
