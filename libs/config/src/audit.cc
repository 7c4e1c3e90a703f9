#include <nlohmann/json.hpp>

#include "audit_p.h"

namespace sequoiastage {

namespace {

constexpr size_t kMaxDifferences = 20;
constexpr size_t kMaxDifferenceBytes = 200;
constexpr size_t kMaxReasonBytes = 500;

}  // namespace

std::vector<std::string> DescribeDifferences(const JsonDocument& before,
                                             const JsonDocument& after) {
  const auto patch = nlohmann::json::diff(before.Value(), after.Value());
  std::vector<std::string> differences;
  for (const auto& operation : patch) {
    if (differences.size() == kMaxDifferences) {
      differences.push_back(
          "and " + std::to_string(patch.size() - kMaxDifferences) + " more");
      break;
    }
    const std::string text = operation["op"].get<std::string>() + " " +
                             operation["path"].get<std::string>();
    differences.push_back(TruncateText(text, kMaxDifferenceBytes));
  }
  return differences;
}

std::string SummarizeFindings(const Findings& findings) {
  std::string text = findings.ToText();
  while (!text.empty() && text.back() == '\n') {
    text.pop_back();
  }
  for (char& c : text) {
    c = c == '\n' ? ';' : c;
  }
  return TruncateText(text, kMaxReasonBytes);
}

std::string TruncateText(std::string_view text, size_t max_bytes) {
  if (text.size() <= max_bytes) {
    return std::string(text);
  }
  constexpr unsigned char kContinuationMask = 0xc0;
  constexpr unsigned char kContinuation = 0x80;
  size_t end = max_bytes;
  while (end > 0 && (static_cast<unsigned char>(text[end]) &
                     kContinuationMask) == kContinuation) {
    --end;
  }
  return std::string(text.substr(0, end));
}

}  // namespace sequoiastage
