#ifndef SEQUOIASTAGE_TESTING_RESIDENT_MEMORY_H_
#define SEQUOIASTAGE_TESTING_RESIDENT_MEMORY_H_

#include <unistd.h>

#include <cstddef>
#include <fstream>
#include <string>

namespace sequoiastage {

/// Most resident memory of a process so far, or since ResetPeakMemory(), in
/// bytes; 0 if there is no such process.
inline size_t PeakMemory(pid_t pid = getpid()) {
  constexpr size_t kKib = 1024;
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  for (std::string name; status >> name;) {
    size_t kib = 0;
    if (name == "VmHWM:" && status >> kib) {
      return kib * kKib;
    }
  }
  return 0;
}

/// Sets the peak of this process to its current resident memory.
inline void ResetPeakMemory() {
  std::ofstream("/proc/self/clear_refs") << "5";
}

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_TESTING_RESIDENT_MEMORY_H_
