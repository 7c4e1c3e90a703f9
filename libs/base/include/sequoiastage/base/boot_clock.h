#ifndef SEQUOIASTAGE_BASE_BOOT_CLOCK_H_
#define SEQUOIASTAGE_BASE_BOOT_CLOCK_H_

#include <ctime>

#include "sequoiastage/base/time.h"

namespace sequoiastage {

/// Time since boot, including time that the host is suspended.
/// std::steady_clock excludes suspension, so deadlines based on it would
/// outlast their callers. Independent of changes to the time of day.
/// Called only by code that owns sockets.
inline TimePoint BootNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(now.tv_sec) +
      std::chrono::nanoseconds(now.tv_nsec)));
}

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_BASE_BOOT_CLOCK_H_
