#ifndef SEQUOIASTAGE_BASE_PROCESS_MEMORY_H_
#define SEQUOIASTAGE_BASE_PROCESS_MEMORY_H_

#include <malloc.h>
namespace sequoiastage {

/// Returns the memory of large buffers to the system as soon as they are freed.
/// By default, glibc keeps buffers in the heap up to the size of the largest
/// one that was freed, where smaller blocks between them hold the memory.
inline void ReturnLargeBuffers() {
  constexpr int kLargeBytes = 256 << 10;
  mallopt(M_MMAP_THRESHOLD, kLargeBytes);
}

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_BASE_PROCESS_MEMORY_H_
