#ifndef SEQUOIASTAGE_BASE_TIME_H_
#define SEQUOIASTAGE_BASE_TIME_H_

#include <chrono>

namespace sequoiastage {

/// Duration in microseconds. Decision logic receives the time as a parameter
/// and never reads a clock.
using Duration = std::chrono::microseconds;

/// Time of the monotonic clock of one process.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Wall clock time in milliseconds, for times that several processes compare
/// (absolute deadlines, key expiry).
using WallTime = std::chrono::time_point<std::chrono::system_clock,
                                         std::chrono::milliseconds>;

/// Current monotonic time. Called only by code that owns threads or sockets.
inline TimePoint Now() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

/// Current wall clock time. Called only by code that owns threads or sockets.
inline WallTime WallNow() {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
}

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_BASE_TIME_H_
