#ifndef SEQUOIASTAGE_WIRE_TESTS_ALLOCATION_PROBE_H_
#define SEQUOIASTAGE_WIRE_TESTS_ALLOCATION_PROBE_H_

#include <cstddef>

namespace sequoiastage {

/// Measures how far the heap of this program grows while it lives. One at a
/// time; for one thread.
class AllocationProbe {
 public:
  AllocationProbe();

  /// Largest number of bytes held at once since then, above what was held at
  /// the start.
  size_t PeakBytes() const;

 private:
  size_t m_start_bytes;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_WIRE_TESTS_ALLOCATION_PROBE_H_
