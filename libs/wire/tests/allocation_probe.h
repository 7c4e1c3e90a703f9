#ifndef SEQUOIASTAGE_WIRE_TESTS_ALLOCATION_PROBE_H_
#define SEQUOIASTAGE_WIRE_TESTS_ALLOCATION_PROBE_H_

#include <cstddef>

namespace sequoiastage {

/// Measures the peak heap growth of the program during its own lifetime.
/// Supports one probe at a time in a single-threaded program.
class AllocationProbe {
 public:
  AllocationProbe();

  /// Peak number of bytes allocated since construction, above the number
  /// allocated at construction.
  size_t PeakBytes() const;

 private:
  size_t m_start_bytes;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_WIRE_TESTS_ALLOCATION_PROBE_H_
