#include "document_builder_p.h"

#include <algorithm>
#include <utility>

#include "sequoiastage/checkedjson/json_document.h"

namespace sequoiastage {

namespace {

constexpr size_t kMaxDepth = 64;

// Id of the nlohmann/json error for a number that fits no number type.
constexpr int kNumberOutOfRange = 406;

std::string DescribePosition(std::string_view text, size_t byte) {
  const std::string_view before = text.substr(0, std::min(byte, text.size()));
  const auto line = 1 + std::count(before.begin(), before.end(), '\n');
  const size_t newline = before.rfind('\n');
  const size_t column =
      newline == std::string_view::npos ? before.size() : byte - newline - 1;
  return "line " + std::to_string(line) + ", column " + std::to_string(column);
}

}  // namespace

bool DocumentBuilder::null() {
  return InsertValue(nullptr) != nullptr;
}

bool DocumentBuilder::boolean(bool value) {
  return InsertValue(value) != nullptr;
}

bool DocumentBuilder::number_integer(number_integer_t value) {
  return InsertValue(value) != nullptr;
}

bool DocumentBuilder::number_unsigned(number_unsigned_t value) {
  return InsertValue(value) != nullptr;
}

bool DocumentBuilder::number_float(number_float_t value, const string_t&) {
  return InsertValue(value) != nullptr;
}

bool DocumentBuilder::string(string_t& value) {
  return InsertValue(std::move(value)) != nullptr;
}

bool DocumentBuilder::binary(binary_t&) {
  return false;
}

bool DocumentBuilder::start_object(std::size_t) {
  return OpenContainer(Json::object());
}

bool DocumentBuilder::key(string_t& value) {
  Level& level = m_levels.back();
  const auto [member, is_new] = level.m_value->emplace(value, nullptr);
  level.m_member = &*member;
  level.m_key = std::move(value);
  if (!is_new) {
    Report(Pointer(), "is a duplicate key");
  }
  return true;
}

bool DocumentBuilder::end_object() {
  return CloseContainer();
}

bool DocumentBuilder::start_array(std::size_t) {
  return OpenContainer(Json::array());
}

bool DocumentBuilder::end_array() {
  return CloseContainer();
}

bool DocumentBuilder::parse_error(std::size_t position,
                                  const std::string&,
                                  const nlohmann::detail::exception& error) {
  if (error.id == kNumberOutOfRange) {
    Report("", "holds a number that is out of range");
  } else {
    Report("", "is no valid JSON at " + DescribePosition(m_text, position));
  }
  return false;
}

nlohmann::json* DocumentBuilder::InsertValue(Json value) {
  if (m_levels.empty()) {
    m_root = std::move(value);
    return &m_root;
  }
  Level& level = m_levels.back();
  if (level.m_value->is_array()) {
    level.m_value->push_back(std::move(value));
    return &level.m_value->back();
  }
  *level.m_member = std::move(value);
  return level.m_member;
}

bool DocumentBuilder::OpenContainer(Json value) {
  Json* opened = InsertValue(std::move(value));
  if (m_levels.size() == kMaxDepth) {
    Report(Pointer(), "is nested too deeply");
    return false;
  }
  m_levels.push_back(Level{.m_value = opened});
  return true;
}

bool DocumentBuilder::CloseContainer() {
  m_levels.pop_back();
  return true;
}

// JSON pointer of the value inserted last.
std::string DocumentBuilder::Pointer() const {
  std::string pointer;
  for (const Level& level : m_levels) {
    pointer += "/";
    pointer += level.m_value->is_array()
                   ? std::to_string(level.m_value->size() - 1)
                   : EscapePointerToken(level.m_key);
  }
  return pointer;
}

void DocumentBuilder::Report(std::string pointer, std::string message) {
  m_findings.Add(m_source, std::move(pointer), std::move(message));
  m_has_fault = true;
}

}  // namespace sequoiastage
