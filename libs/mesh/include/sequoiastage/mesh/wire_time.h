#ifndef SEQUOIASTAGE_MESH_WIRE_TIME_H_
#define SEQUOIASTAGE_MESH_WIRE_TIME_H_

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <limits>

#include "sequoiastage/base/time.h"

namespace sequoiastage {

/// Converts `duration` to whole milliseconds, clamped to the range of `Number`.
template <std::unsigned_integral Number>
Number ToWireMs(Duration duration) {
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
  return static_cast<Number>(
      std::clamp<int64_t>(ms, 0, std::numeric_limits<Number>::max()));
}

/// Converts `duration` to whole milliseconds for a log field.
inline int64_t WholeMs(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MESH_WIRE_TIME_H_
