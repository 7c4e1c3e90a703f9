#include "behavior.h"

#include <array>
#include <utility>

namespace sequoiastage::standins {

namespace {

constexpr std::array<std::pair<std::string_view, Mode>, 8> kModes = {{
    {"healthy", Mode::kHealthy},
    {"errors", Mode::kErrors},
    {"hang", Mode::kHang},
    {"truncated", Mode::kTruncated},
    {"empty", Mode::kEmpty},
    {"slow", Mode::kSlow},
    {"shed", Mode::kShed},
    {"no-answer", Mode::kNoAnswer},
}};

}  // namespace

std::optional<Mode> ParseMode(std::string_view text) {
  for (const auto& [name, mode] : kModes) {
    if (name == text) {
      return mode;
    }
  }
  return std::nullopt;
}

}  // namespace sequoiastage::standins
