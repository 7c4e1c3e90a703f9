#ifndef SEQUOIASTAGE_BASE_TIME_H_
#define SEQUOIASTAGE_BASE_TIME_H_

#include <chrono>

namespace sequoiastage {

/// Span of time. Decision code takes time as parameters and reads no clock.
using Duration = std::chrono::microseconds;

/// Point on the monotonic clock of one process.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Point on the wall clock, used where two processes have to compare it
/// (absolute deadlines, key expiry).
using WallTime = std::chrono::time_point<std::chrono::system_clock,
                                         std::chrono::milliseconds>;

/// Monotonic time now. Only code with threads or sockets calls it.
inline TimePoint Now() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

/// Wall clock time now. Only code with threads or sockets calls it.
inline WallTime WallNow() {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
}

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_BASE_TIME_H_
