#ifndef SEQUOIASTAGE_STANDINS_BACKEND_SERVER_BEHAVIOR_H_
#define SEQUOIASTAGE_STANDINS_BACKEND_SERVER_BEHAVIOR_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sequoiastage::standins {

/// How the stand-in fails.
enum class Mode : uint8_t {
  kHealthy,
  /// A share of the answers is 500.
  kErrors,
  /// A share of the requests is never answered.
  kHang,
  /// A share of the answers ends before its end.
  kTruncated,
  /// A share of the answers is 200 with an empty body.
  kEmpty,
  /// Answers take m_slow_factor times as long.
  kSlow,
  /// Every request is refused with 503 and Retry-After.
  kShed,
  /// The connection is closed after the work, without an answer.
  kNoAnswer,
};

struct Behavior {
  Mode m_mode = Mode::kHealthy;
  /// Share of the requests that fail, 0 to 1.
  double m_share = 1;
  double m_slow_factor = 5;
};

/// Reads "healthy", "errors", ...
std::optional<Mode> ParseMode(std::string_view text);

}  // namespace sequoiastage::standins

#endif  // SEQUOIASTAGE_STANDINS_BACKEND_SERVER_BEHAVIOR_H_
