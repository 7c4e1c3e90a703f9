#include "sequoiastage/events/log_line.h"

#include <algorithm>
#include <charconv>

namespace sequoiastage {

namespace {

constexpr std::string_view kFirstKey = "time=";
constexpr size_t kEscapeDigits = 2;

bool IsKeyChar(char c) {
  return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '_';
}

// Parses the quoted value at the start of `text` and removes it, quotes
// included. Empty for a malformed value.
std::optional<std::string> ConsumeQuoted(std::string_view& text) {
  std::string value;
  text.remove_prefix(1);
  while (!text.empty() && text.front() != '"') {
    if (text.front() != '\\') {
      value += text.front();
      text.remove_prefix(1);
      continue;
    }
    text.remove_prefix(1);
    if (text.empty()) {
      return std::nullopt;
    }
    if (text.front() != 'x') {
      value += text.front();
      text.remove_prefix(1);
      continue;
    }
    unsigned code = 0;
    text.remove_prefix(1);
    const std::string_view digits = text.substr(0, kEscapeDigits);
    const char* end = digits.data() + digits.size();
    if (digits.size() < kEscapeDigits ||
        std::from_chars(digits.data(), end, code, 16).ptr != end) {
      return std::nullopt;
    }
    value += static_cast<char>(code);
    text.remove_prefix(kEscapeDigits);
  }
  if (text.empty()) {
    return std::nullopt;
  }
  text.remove_prefix(1);
  return value;
}

// Parses "key=value" at the start of `text` and removes it. Empty when it is
// malformed.
std::optional<std::pair<std::string, std::string>> ConsumePair(
    std::string_view& text) {
  const auto key_end = std::find_if_not(text.begin(), text.end(), IsKeyChar);
  const std::string key(text.begin(), key_end);
  text.remove_prefix(key.size());
  if (key.empty() || text.empty() || text.front() != '=') {
    return std::nullopt;
  }
  text.remove_prefix(1);
  if (!text.empty() && text.front() == '"') {
    auto value = ConsumeQuoted(text);
    if (!value || (!text.empty() && text.front() != ' ')) {
      return std::nullopt;
    }
    return std::pair(key, *std::move(value));
  }
  const std::string value(text.substr(0, text.find(' ')));
  text.remove_prefix(value.size());
  return std::pair(key, value);
}

std::string ParseSource(std::string_view before, std::string_view fallback) {
  const auto is_space = [](char c) { return c == ' ' || c == '\t'; };
  while (!before.empty() && is_space(before.back())) {
    before.remove_suffix(1);
  }
  const size_t space = before.find_last_of(" \t");
  const std::string_view word =
      space == std::string_view::npos ? before : before.substr(space + 1);
  const bool is_number = std::all_of(word.begin(), word.end(), [](char c) {
    return (c >= '0' && c <= '9') || c == '.' || c == '-';
  });
  return std::string(is_number ? fallback : word);
}

}  // namespace

std::string_view LogLine::Get(std::string_view key) const {
  for (const auto& [name, value] : m_fields) {
    if (name == key) {
      return value;
    }
  }
  return {};
}

bool LogLine::Has(std::string_view key) const {
  return std::any_of(m_fields.begin(), m_fields.end(),
                     [key](const auto& field) { return field.first == key; });
}

std::optional<int64_t> LogLine::Number(std::string_view key) const {
  const std::string_view text = Get(key);
  int64_t number = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (text.empty() || error != std::errc() ||
      end != text.data() + text.size()) {
    return std::nullopt;
  }
  return number;
}

std::optional<LogLine> ParseLogLine(std::string_view text,
                                    std::string_view source) {
  while (!text.empty() && (text.back() == '\n' || text.back() == '\r')) {
    text.remove_suffix(1);
  }
  const size_t begin = text.find(kFirstKey);
  if (begin == std::string_view::npos) {
    return std::nullopt;
  }
  LogLine line{.m_source = ParseSource(text.substr(0, begin), source)};
  text.remove_prefix(begin);
  while (!text.empty()) {
    auto pair = ConsumePair(text);
    if (!pair) {
      return std::nullopt;
    }
    auto& [key, value] = *pair;
    if (key == "time") {
      line.m_time = std::move(value);
    } else if (key == "level") {
      line.m_level = std::move(value);
    } else if (key == "event") {
      line.m_event = std::move(value);
    } else {
      line.m_fields.push_back(*std::move(pair));
    }
    text.remove_prefix(std::min<size_t>(text.size(), 1));
  }
  if (line.m_time.empty() || line.m_event.empty()) {
    return std::nullopt;
  }
  return line;
}

}  // namespace sequoiastage
