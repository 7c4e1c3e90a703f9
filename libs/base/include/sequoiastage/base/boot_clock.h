#ifndef SEQUOIASTAGE_BASE_BOOT_CLOCK_H_
#define SEQUOIASTAGE_BASE_BOOT_CLOCK_H_

#include <ctime>

#include "sequoiastage/base/time.h"

namespace sequoiastage {

/// Time since boot, standstills of the host included: std::steady_clock does
/// not count those, so that deadlines would outlive their callers. Never
/// jumps with the time of day. Only code with sockets calls it.
inline TimePoint BootNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(now.tv_sec) +
      std::chrono::nanoseconds(now.tv_nsec)));
}

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_BASE_BOOT_CLOCK_H_
