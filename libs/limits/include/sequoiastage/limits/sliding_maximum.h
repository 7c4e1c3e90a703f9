#ifndef SEQUOIASTAGE_LIMITS_SLIDING_MAXIMUM_H_
#define SEQUOIASTAGE_LIMITS_SLIDING_MAXIMUM_H_

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

#include "sequoiastage/base/time.h"

namespace sequoiastage {

/// Maximum of a value over the last `window` or up to a tenth of it more.
class SlidingMaximum {
 public:
  /// The value is assumed to have been `initial` until `now`.
  SlidingMaximum(Duration window, double initial, TimePoint now)
      : m_slot_time(std::max(window / kSlots, Duration(1))) {
    m_slots.fill({.m_index = IndexOf(now), .m_maximum = initial});
  }

  void Add(double value, TimePoint now) {
    const int64_t index = IndexOf(now);
    Slot& slot = m_slots[static_cast<size_t>(index) % m_slots.size()];
    slot = {.m_index = index,
            .m_maximum = slot.m_index == index ? std::max(slot.m_maximum, value)
                                               : value};
  }

  double At(TimePoint now) const {
    double maximum = 0;
    for (const Slot& slot : m_slots) {
      if (IndexOf(now) - slot.m_index <= kSlots) {
        maximum = std::max(maximum, slot.m_maximum);
      }
    }
    return maximum;
  }

 private:
  static constexpr int64_t kSlots = 10;

  struct Slot {
    int64_t m_index = 0;
    double m_maximum = 0;
  };

  int64_t IndexOf(TimePoint now) const {
    return now.time_since_epoch() / m_slot_time;
  }

  Duration m_slot_time;
  // One more than kSlots, since the oldest one is only partly in the window.
  std::array<Slot, kSlots + 1> m_slots;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_LIMITS_SLIDING_MAXIMUM_H_
