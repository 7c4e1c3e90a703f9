#include "allocation_probe.h"

#include <malloc.h>

#include <algorithm>
#include <cstdlib>
#include <new>

namespace sequoiastage {
namespace {

size_t g_live_bytes = 0;
size_t g_peak_bytes = 0;

}  // namespace

AllocationProbe::AllocationProbe() : m_start_bytes(g_live_bytes) {
  g_peak_bytes = g_live_bytes;
}

size_t AllocationProbe::PeakBytes() const {
  return g_peak_bytes - m_start_bytes;
}

}  // namespace sequoiastage

void* operator new(size_t size) {
  void* memory = std::malloc(size);
  if (memory == nullptr) {
    throw std::bad_alloc();
  }
  sequoiastage::g_live_bytes += malloc_usable_size(memory);
  sequoiastage::g_peak_bytes =
      std::max(sequoiastage::g_peak_bytes, sequoiastage::g_live_bytes);
  return memory;
}

void operator delete(void* memory) noexcept {
  sequoiastage::g_live_bytes -= malloc_usable_size(memory);
  std::free(memory);
}

void operator delete(void* memory, size_t /*size*/) noexcept {
  operator delete(memory);
}
