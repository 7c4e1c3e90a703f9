#ifndef SEQUOIASTAGE_BASE_STORE_POSITION_H_
#define SEQUOIASTAGE_BASE_STORE_POSITION_H_

#include <cstdint>

#include "sequoiastage/base/ids.h"
#include "sequoiastage/base/strong.h"

namespace sequoiastage {

/// Number of times that the platform's store has lost acknowledged records by
/// restarting from an older copy. Offsets are assigned again in each era.
using StoreEra = Strong<struct StoreEraTag, uint32_t>;

/// Position of a record in a topic of the store: the era in the upper bits, the
/// offset in the lower ones. Positions of a later era are greater, whatever
/// their offsets are.
using StorePosition = Strong<struct StorePositionTag, uint64_t>;

inline constexpr int kStoreOffsetBits = 40;

constexpr StorePosition MakeStorePosition(StoreEra era, LogOffset offset) {
  return StorePosition(uint64_t{era.Get()} << kStoreOffsetBits | offset.Get());
}

constexpr StoreEra EraOf(StorePosition position) {
  return StoreEra(static_cast<uint32_t>(position.Get() >> kStoreOffsetBits));
}

constexpr LogOffset OffsetOf(StorePosition position) {
  return LogOffset(position.Get() & ((uint64_t{1} << kStoreOffsetBits) - 1));
}

constexpr StorePosition NextPosition(StorePosition position) {
  return StorePosition(position.Get() + 1);
}

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_BASE_STORE_POSITION_H_
