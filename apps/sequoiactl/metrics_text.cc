#include "metrics_text.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <set>
#include <utility>

namespace sequoiastage {

namespace {

bool IsNameStart(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_' ||
         c == ':';
}

bool IsNameCharacter(char c) {
  return IsNameStart(c) || (c >= '0' && c <= '9');
}

// Parses all of `text` as a number.
template <class Number>
std::optional<Number> ToNumber(std::string_view text) {
  Number number{};
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, number);
  return result.ec == std::errc() && result.ptr == end ? std::optional(number)
                                                       : std::nullopt;
}

// Parser of one line. Its functions consume what they return.
class LineParser {
 public:
  explicit LineParser(std::string_view line) : m_rest(line) {}

  std::optional<TextSample> Parse() {
    TextSample sample{.m_name = TakeName()};
    if (sample.m_name.empty()) {
      return std::nullopt;
    }
    SkipBlanks();
    if (Take('{') && !TakeLabels(&sample.m_labels)) {
      return std::nullopt;
    }
    const std::optional<double> value = TakeValue();
    if (!value || !TakeTimestamp()) {
      return std::nullopt;
    }
    sample.m_value = *value;
    return sample;
  }

 private:
  void SkipBlanks() {
    m_rest.remove_prefix(
        std::min(m_rest.find_first_not_of(" \t"), m_rest.size()));
  }

  bool Take(char c) {
    if (!m_rest.starts_with(c)) {
      return false;
    }
    m_rest.remove_prefix(1);
    return true;
  }

  // Empty when no name follows.
  std::string TakeName() {
    if (m_rest.empty() || !IsNameStart(m_rest.front())) {
      return "";
    }
    const auto end =
        std::find_if_not(m_rest.begin(), m_rest.end(), IsNameCharacter);
    std::string name(m_rest.begin(), end);
    m_rest.remove_prefix(name.size());
    return name;
  }

  // Takes the labels after the opening brace, and the closing one.
  bool TakeLabels(std::vector<MetricLabel>* labels) {
    for (;;) {
      SkipBlanks();
      if (Take('}')) {
        return true;
      }
      MetricLabel label{.m_name = TakeName()};
      SkipBlanks();
      if (label.m_name.empty() || !Take('=')) {
        return false;
      }
      SkipBlanks();
      if (!Take('"') || !TakeQuoted(&label.m_value)) {
        return false;
      }
      labels->push_back(std::move(label));
      SkipBlanks();
      if (!Take(',') && !m_rest.starts_with('}')) {
        return false;
      }
    }
  }

  // Takes the text up to the closing quote, without its escapes.
  bool TakeQuoted(std::string* text) {
    while (!m_rest.empty()) {
      if (Take('"')) {
        return true;
      }
      const bool is_escaped = Take('\\');
      const char c = m_rest.empty() ? '\0' : m_rest.front();
      if (is_escaped && c != 'n' && c != '"' && c != '\\') {
        return false;
      }
      *text += is_escaped && c == 'n' ? '\n' : c;
      m_rest.remove_prefix(1);
    }
    return false;
  }

  std::string_view TakeWord() {
    SkipBlanks();
    const std::string_view word = m_rest.substr(0, m_rest.find_first_of(" \t"));
    m_rest.remove_prefix(word.size());
    SkipBlanks();
    return word;
  }

  std::optional<double> TakeValue() {
    std::string_view word = TakeWord();
    if (word.starts_with('+')) {
      word.remove_prefix(1);
      if (word.starts_with('-')) {
        return std::nullopt;
      }
    }
    return ToNumber<double>(word);
  }

  // Takes the optional timestamp at the end of the line.
  bool TakeTimestamp() {
    if (m_rest.empty()) {
      return true;
    }
    return ToNumber<int64_t>(TakeWord()) && m_rest.empty();
  }

  std::string_view m_rest;
};

// Identifies a sample regardless of the order of its labels.
std::pair<std::string, std::set<std::pair<std::string, std::string>>>
IdentityOf(const TextSample& sample) {
  std::set<std::pair<std::string, std::string>> labels;
  for (const MetricLabel& label : sample.m_labels) {
    labels.emplace(label.m_name, label.m_value);
  }
  return {sample.m_name, std::move(labels)};
}

}  // namespace

std::optional<std::vector<TextSample>> ParseMetrics(std::string_view text,
                                                    std::string* reason) {
  std::vector<TextSample> samples;
  std::set<decltype(IdentityOf({}))> identities;
  for (size_t number = 1; !text.empty(); ++number) {
    const std::string where = "line " + std::to_string(number);
    const size_t end = text.find('\n');
    if (end == std::string_view::npos) {
      *reason = where + " has no end";
      return std::nullopt;
    }
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(end + 1);
    if (line.empty() || line.starts_with('#')) {
      continue;
    }
    auto sample = LineParser(line).Parse();
    if (!sample) {
      *reason = where + " is malformed";
      return std::nullopt;
    }
    if (!identities.insert(IdentityOf(*sample)).second) {
      *reason = where + " repeats a sample";
      return std::nullopt;
    }
    samples.push_back(*std::move(sample));
  }
  return samples;
}

const std::string* FindLabel(const TextSample& sample, std::string_view name) {
  const auto label = std::find_if(
      sample.m_labels.begin(), sample.m_labels.end(),
      [&](const MetricLabel& candidate) { return candidate.m_name == name; });
  return label == sample.m_labels.end() ? nullptr : &label->m_value;
}

}  // namespace sequoiastage
