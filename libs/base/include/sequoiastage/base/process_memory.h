#ifndef SEQUOIASTAGE_BASE_PROCESS_MEMORY_H_
#define SEQUOIASTAGE_BASE_PROCESS_MEMORY_H_

#include <malloc.h>
#include <sys/resource.h>

#include <cstddef>
#include <limits>

namespace sequoiastage {

/// Returns the memory of large buffers to the system as soon as they are freed.
/// By default, glibc keeps buffers in the heap up to the size of the largest
/// one that was freed, where smaller blocks between them hold the memory.
inline void ReturnLargeBuffers() {
  constexpr int kLargeBytes = 256 << 10;
  mallopt(M_MMAP_THRESHOLD, kLargeBytes);
}

/// Number of descriptors that the process may open.
inline size_t MaxDescriptors() {
  rlimit limit{};
  return getrlimit(RLIMIT_NOFILE, &limit) == 0 &&
                 limit.rlim_cur != RLIM_INFINITY
             ? static_cast<size_t>(limit.rlim_cur)
             : std::numeric_limits<size_t>::max();
}

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_BASE_PROCESS_MEMORY_H_
