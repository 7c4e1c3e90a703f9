#ifndef SEQUOIASTAGE_STANDINS_BACKEND_SERVER_BEHAVIOR_H_
#define SEQUOIASTAGE_STANDINS_BACKEND_SERVER_BEHAVIOR_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sequoiastage::standins {

/// Failure mode of the stand-in.
enum class Mode : uint8_t {
  kHealthy,
  /// A share of the responses has status 500.
  kErrors,
  /// A share of the requests gets no response for one hour.
  kHang,
  /// A share of the responses is shorter than its Content-Length.
  kTruncated,
  /// A share of the responses has status 200 and an empty body.
  kEmpty,
  /// Responses take m_slow_factor times as long.
  kSlow,
  /// Every request is refused with 503 and Retry-After.
  kShed,
  /// The connection is closed after the request was executed, without a
  /// complete response.
  kNoAnswer,
};

struct Behavior {
  Mode m_mode = Mode::kHealthy;
  /// Share of the requests that the mode applies to, 0 to 1.
  double m_share = 1;
  double m_slow_factor = 5;
};

/// Parses a mode name such as "healthy" or "errors"; empty for other text.
std::optional<Mode> ParseMode(std::string_view text);

}  // namespace sequoiastage::standins

#endif  // SEQUOIASTAGE_STANDINS_BACKEND_SERVER_BEHAVIOR_H_
