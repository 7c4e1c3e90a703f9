#include "sequoiastage/checkedjson/json_reader.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace sequoiastage {

namespace {

using Json = nlohmann::json;

struct Unit {
  std::string_view m_name;
  int64_t m_factor;
};

constexpr Unit kDurationUnits[] = {{"us", 1},
                                   {"ms", 1'000},
                                   {"s", 1'000'000},
                                   {"min", 60'000'000},
                                   {"h", 3'600'000'000}};
constexpr Unit kByteUnits[] = {{"B", 1}, {"KiB", 1024}, {"MiB", 1024L * 1024}};

// Parses "<whole number><unit>" as the number times the factor of the unit.
// Empty when the text has another form or the result overflows.
template <size_t N>
std::optional<int64_t> ParseQuantity(std::string_view text,
                                     const Unit (&units)[N]) {
  int64_t number = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, number);
  if (result.ec != std::errc() || number < 0) {
    return std::nullopt;
  }
  const std::string_view name(result.ptr,
                              static_cast<size_t>(end - result.ptr));
  for (const Unit& unit : units) {
    const bool fits =
        number <= std::numeric_limits<int64_t>::max() / unit.m_factor;
    if (name == unit.m_name && fits) {
      return number * unit.m_factor;
    }
  }
  return std::nullopt;
}

// Formats `quantity` in the largest unit that divides it.
template <size_t N>
std::string FormatQuantity(int64_t quantity, const Unit (&units)[N]) {
  const Unit* best = &units[0];
  for (const Unit& unit : units) {
    if (quantity != 0 && quantity % unit.m_factor == 0) {
      best = &unit;
    }
  }
  return std::to_string(quantity / best->m_factor) + std::string(best->m_name);
}

std::string DescribeWrongType(std::string_view wanted, const Json& value) {
  return "is no " + std::string(wanted) + " but " + value.type_name();
}

std::string FormatNumber(double value) {
  return Json(value).dump();
}

template <class T, class Format>
bool CheckRange(const T& value,
                const Range<T>& range,
                const JsonLocation& location,
                const Format& format) {
  if (value < range.m_min) {
    location.Report("is " + format(value) + ", below the minimum of " +
                    format(range.m_min));
    return false;
  }
  if (value > range.m_max) {
    location.Report("is " + format(value) + ", above the maximum of " +
                    format(range.m_max));
    return false;
  }
  return true;
}

const Json& EmptyObject() {
  static const Json kEmpty = Json::object();
  return kEmpty;
}

}  // namespace

void JsonLocation::Report(std::string message) const {
  m_findings->Add(m_document->FindSource(m_pointer), m_pointer,
                  std::move(message));
}

std::optional<JsonObject> JsonValue::AsObject() const {
  if (!m_value->is_object()) {
    Report(DescribeWrongType("object", *m_value));
    return std::nullopt;
  }
  return JsonObject(m_value, m_location);
}

std::optional<std::string> JsonValue::AsString() const {
  if (!m_value->is_string()) {
    Report(DescribeWrongType("string", *m_value));
    return std::nullopt;
  }
  const auto& text = m_value->get_ref<const std::string&>();
  if (text.empty()) {
    Report("is empty");
    return std::nullopt;
  }
  return text;
}

std::optional<Endpoint> JsonValue::AsEndpoint() const {
  const auto text = AsString();
  if (!text) {
    return std::nullopt;
  }
  const auto endpoint = ParseEndpoint(*text);
  if (!endpoint) {
    Report("is no address and port such as \"127.0.0.1:8080\"");
  }
  return endpoint;
}

std::optional<int64_t> JsonValue::AsInteger() const {
  if (!m_value->is_number_integer() ||
      (m_value->is_number_unsigned() &&
       !std::in_range<int64_t>(m_value->get<uint64_t>()))) {
    Report(DescribeWrongType("whole number", *m_value));
    return std::nullopt;
  }
  return m_value->get<int64_t>();
}

JsonObject JsonObject::Root(const JsonDocument& document, Findings& findings) {
  const JsonLocation location{.m_document = &document, .m_findings = &findings};
  const Json& value = document.Value();
  if (value.is_object()) {
    return {&value, location};
  }
  location.Report(DescribeWrongType("object", value));
  return {nullptr, location};
}

bool JsonObject::Has(std::string_view key) const {
  return m_object != nullptr && m_object->contains(key);
}

bool JsonObject::ReadString(std::string_view key,
                            std::string& out,
                            Presence presence) {
  const Json* value = Find(key, presence);
  if (value == nullptr) {
    return false;
  }
  auto text = JsonValue(value, MemberLocation(key)).AsString();
  if (!text) {
    return false;
  }
  out = std::move(*text);
  return true;
}

bool JsonObject::ReadText(std::string_view key,
                          std::string& out,
                          Presence presence) {
  const Json* value = Find(key, presence);
  if (value == nullptr) {
    return false;
  }
  if (!value->is_string()) {
    ReportAt(key, DescribeWrongType("string", *value));
    return false;
  }
  out = value->get<std::string>();
  return true;
}

bool JsonObject::ReadBool(std::string_view key, bool& out, Presence presence) {
  const Json* value = Find(key, presence);
  if (value == nullptr) {
    return false;
  }
  if (!value->is_boolean()) {
    ReportAt(key, DescribeWrongType("boolean", *value));
    return false;
  }
  out = value->get<bool>();
  return true;
}

bool JsonObject::ReadInt64(std::string_view key,
                           int64_t& out,
                           Range<int64_t> range,
                           Presence presence) {
  const Json* value = Find(key, presence);
  if (value == nullptr) {
    return false;
  }
  if (!value->is_number_integer()) {
    ReportAt(key, DescribeWrongType("whole number", *value));
    return false;
  }
  if (value->is_number_unsigned() &&
      !std::in_range<int64_t>(value->get<uint64_t>())) {
    ReportAt(key, "is too large");
    return false;
  }
  const auto number = value->get<int64_t>();
  if (!CheckRange(number, range, MemberLocation(key),
                  [](int64_t n) { return std::to_string(n); })) {
    return false;
  }
  out = number;
  return true;
}

bool JsonObject::ReadNumber(std::string_view key,
                            double& out,
                            Range<double> range,
                            Presence presence) {
  const Json* value = Find(key, presence);
  if (value == nullptr) {
    return false;
  }
  if (!value->is_number()) {
    ReportAt(key, DescribeWrongType("number", *value));
    return false;
  }
  const auto number = value->get<double>();
  if (!CheckRange(number, range, MemberLocation(key), FormatNumber)) {
    return false;
  }
  out = number;
  return true;
}

bool JsonObject::ReadDuration(std::string_view key,
                              Duration& out,
                              Range<Duration> range,
                              Presence presence) {
  std::string text;
  if (!ReadString(key, text, presence)) {
    return false;
  }
  const auto quantity = ParseQuantity(text, kDurationUnits);
  if (!quantity) {
    ReportAt(key, "is no duration such as \"250ms\" (us, ms, s, min, h)");
    return false;
  }
  const Duration duration(*quantity);
  if (!CheckRange(duration, range, MemberLocation(key), [](Duration d) {
        return FormatQuantity(d.count(), kDurationUnits);
      })) {
    return false;
  }
  out = duration;
  return true;
}

bool JsonObject::ReadBytes(std::string_view key,
                           uint64_t& out,
                           Range<uint64_t> range,
                           Presence presence) {
  std::string text;
  if (!ReadString(key, text, presence)) {
    return false;
  }
  const auto quantity = ParseQuantity(text, kByteUnits);
  if (!quantity) {
    ReportAt(key, "is no size such as \"64KiB\" (B, KiB, MiB)");
    return false;
  }
  const auto bytes = static_cast<uint64_t>(*quantity);
  if (!CheckRange(bytes, range, MemberLocation(key), [](uint64_t n) {
        return FormatQuantity(static_cast<int64_t>(n), kByteUnits);
      })) {
    return false;
  }
  out = bytes;
  return true;
}

bool JsonObject::ReadEndpoint(std::string_view key,
                              Endpoint& out,
                              Presence presence) {
  const Json* value = Find(key, presence);
  if (value == nullptr) {
    return false;
  }
  const auto endpoint = JsonValue(value, MemberLocation(key)).AsEndpoint();
  if (!endpoint) {
    return false;
  }
  out = *endpoint;
  return true;
}

std::optional<JsonObject> JsonObject::ReadObject(std::string_view key,
                                                 Presence presence) {
  const Json* value = Find(key, presence);
  if (value == nullptr) {
    return std::nullopt;
  }
  return JsonValue(value, MemberLocation(key)).AsObject();
}

std::optional<JsonDocument> JsonObject::ReadDocument(std::string_view key,
                                                     std::string source,
                                                     Presence presence) {
  const Json* value = Find(key, presence);
  if (value == nullptr) {
    return std::nullopt;
  }
  if (!value->is_object()) {
    ReportAt(key, DescribeWrongType("object", *value));
    return std::nullopt;
  }
  return JsonDocument::FromValue(std::move(source), *value);
}

std::vector<JsonValue> JsonObject::ReadArray(std::string_view key,
                                             Presence presence) {
  const Json* value = Find(key, presence);
  if (value == nullptr) {
    return {};
  }
  if (!value->is_array()) {
    ReportAt(key, DescribeWrongType("array", *value));
    return {};
  }
  std::vector<JsonValue> elements;
  const JsonLocation location = MemberLocation(key);
  for (size_t i = 0; i < value->size(); ++i) {
    JsonLocation element = location;
    element.m_pointer += "/" + std::to_string(i);
    elements.emplace_back(&(*value)[i], std::move(element));
  }
  return elements;
}

std::vector<std::string> JsonObject::ReadStrings(std::string_view key,
                                                 Presence presence) {
  std::vector<std::string> strings;
  for (const JsonValue& element : ReadArray(key, presence)) {
    auto text = element.AsString();
    if (text) {
      strings.push_back(std::move(*text));
    }
  }
  return strings;
}

std::vector<int64_t> JsonObject::ReadIntegers(std::string_view key,
                                              Presence presence) {
  std::vector<int64_t> numbers;
  for (const JsonValue& element : ReadArray(key, presence)) {
    if (const auto number = element.AsInteger()) {
      numbers.push_back(*number);
    }
  }
  return numbers;
}

std::vector<std::pair<std::string, JsonValue>> JsonObject::Members() {
  std::vector<std::pair<std::string, JsonValue>> members;
  const Json& object = m_object == nullptr ? EmptyObject() : *m_object;
  for (auto it = object.begin(); it != object.end(); ++it) {
    m_read_keys.insert(it.key());
    members.emplace_back(it.key(), JsonValue(&*it, MemberLocation(it.key())));
  }
  return members;
}

void JsonObject::ReportUnknownKeys() const {
  const Json& object = m_object == nullptr ? EmptyObject() : *m_object;
  for (auto it = object.begin(); it != object.end(); ++it) {
    if (!m_read_keys.contains(it.key())) {
      ReportAt(it.key(), "is an unknown key");
    }
  }
}

void JsonObject::ReportAt(std::string_view key, std::string message) const {
  MemberLocation(key).Report(std::move(message));
}

const Json* JsonObject::Find(std::string_view key, Presence presence) {
  m_read_keys.emplace(key);
  if (m_object == nullptr) {
    return nullptr;
  }
  const auto found = m_object->find(key);
  if (found != m_object->end()) {
    return &*found;
  }
  if (presence == Presence::kRequired) {
    ReportAt(key, "is missing");
  }
  return nullptr;
}

JsonLocation JsonObject::MemberLocation(std::string_view key) const {
  JsonLocation location = m_location;
  location.m_pointer += "/" + EscapePointerToken(key);
  return location;
}

}  // namespace sequoiastage
