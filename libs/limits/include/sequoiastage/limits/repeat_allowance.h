#ifndef SEQUOIASTAGE_LIMITS_REPEAT_ALLOWANCE_H_
#define SEQUOIASTAGE_LIMITS_REPEAT_ALLOWANCE_H_

#include <array>
#include <cstdint>

#include "sequoiastage/base/time.h"

namespace sequoiastage {

struct RepeatAllowanceOptions {
  /// Repeats allowed for each first arrival in the window.
  double m_ratio = 0.2;
  /// Repeats that the whole service may have in the window beside these.
  double m_service_slack = 60;
  Duration m_window = std::chrono::seconds(10);
  /// Part of the allowance that is used. The rest covers calls of work that
  /// itself was a repeat, which nobody can tell from others, and load that is
  /// spread unevenly.
  double m_used_part = 0.65;
  /// Part of it that less urgent work may use.
  double m_less_urgent_part = 0.6;
  /// Part of it that copies of slow work may use; the rest is left to work that
  /// has failed.
  double m_copy_part = 0.25;
};

/// Why a request is sent once more.
enum class RepeatCause : uint8_t {
  /// An attempt failed, or was refused by the instance.
  kFailure,
  /// An attempt takes long and goes on.
  kSlow,
};

/// Bounds the repeats that reach one instance, so that the repeats of its
/// service over the whole fleet stay within their budget without a word
/// between nodes: each egress has the same part of the service's slack.
///
/// Load pattern: many instances fail at once and every ingress wants to send
/// its requests a second time. An egress sees all that reaches its instance,
/// and a request it refuses costs nothing of the budget. While the budget does
/// not suffice, the calls that other work waits for are repeated first.
///
/// Load pattern: a service is full, so that much of its work is slow, and part
/// of its instances refuse or break what they get. Copies of slow work would
/// use the budget up, fill the slots further, and leave none for the work that
/// failed; so they may only use a small part of it.
class RepeatAllowance {
 public:
  explicit RepeatAllowance(const RepeatAllowanceOptions& options = {})
      : m_options(options) {}

  /// `instances`: how many the service has.
  void SetInstances(uint32_t instances) { m_instances = instances; }

  /// A request arrives for the first time.
  void OnFirst(TimePoint now, uint8_t urgency = 0);

  /// Takes one repeat; false when the allowance is used up. Work that is less
  /// urgent than other work of late leaves a part of it to that.
  bool TryRepeat(TimePoint now,
                 uint8_t urgency = 0,
                 RepeatCause cause = RepeatCause::kFailure);

 private:
  static constexpr size_t kParts = 10;

  struct Part {
    int64_t m_number = -1;
    uint32_t m_firsts = 0;
    uint32_t m_repeats = 0;
    uint32_t m_copies = 0;
    // The most urgent that arrived.
    uint8_t m_urgency = UINT8_MAX;
  };

  Part& PartAt(TimePoint now);
  Part Sum(TimePoint now) const;
  int64_t NumberAt(TimePoint now) const;

  RepeatAllowanceOptions m_options;
  uint32_t m_instances = 1;
  std::array<Part, kParts> m_parts{};
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_LIMITS_REPEAT_ALLOWANCE_H_
