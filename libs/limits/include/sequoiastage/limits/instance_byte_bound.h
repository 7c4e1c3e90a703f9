#ifndef SEQUOIASTAGE_LIMITS_INSTANCE_BYTE_BOUND_H_
#define SEQUOIASTAGE_LIMITS_INSTANCE_BYTE_BOUND_H_

#include <cstddef>
#include <cstdint>

namespace sequoiastage {

struct InstanceByteBoundOptions {
  /// The bound never falls below this.
  size_t m_min_bytes = size_t{128} << 10;
  /// The bound after a crash, as a fraction of the bytes in flight.
  double m_decrease = 0.7;
  /// Added to the bound by a success at the bound.
  size_t m_increase_bytes = size_t{64} << 10;
  /// Close to the bytes of the last crash the increase is divided by this.
  size_t m_caution = 8;
};

/// Bound on the bytes of large requests that an instance executes at once.
/// Answers the load of many uploads to an instance whose memory they exceed
/// together: it crashes, its callers repeat the uploads, and the next one
/// crashes too. The bound is unknown until the first such crash; a crash lowers
/// it below the bytes in flight, and successes at the bound raise it (additive
/// increase, multiplicative decrease).
class InstanceByteBound {
 public:
  explicit InstanceByteBound(InstanceByteBoundOptions options = {})
      : m_options(options) {}

  /// Whether a request of `bytes` may run beside `in_flight` bytes. One large
  /// request may always run alone.
  bool Admit(size_t in_flight, size_t bytes);

  /// The instance crashed while it executed `large_requests` large requests
  /// with these bytes. Returns whether the bytes explain the crash: several
  /// large requests ran together, with more bytes than the instance has been
  /// seen to bear with a margin.
  bool OnCrash(size_t in_flight, size_t large_requests);

  /// A large request succeeded while `in_flight` bytes, with its own, were
  /// being executed.
  void OnSuccess(size_t in_flight);

  /// SIZE_MAX while it is unknown.
  size_t Bound() const { return m_bound; }

 private:
  InstanceByteBoundOptions m_options;
  size_t m_bound = SIZE_MAX;
  // Most bytes in flight at a success since the last crash they explain.
  size_t m_survived = 0;
  // Bytes in flight at the last crash that lowered the bound.
  size_t m_crashed_at = SIZE_MAX;
  // The bound has refused a request since the last success.
  bool m_has_refused = false;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_LIMITS_INSTANCE_BYTE_BOUND_H_
