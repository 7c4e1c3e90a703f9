#ifndef SEQUOIASTAGE_NODE_PROTOCOL_FIELDS_P_H_
#define SEQUOIASTAGE_NODE_PROTOCOL_FIELDS_P_H_

#include <cstdint>

#include "sequoiastage/base/time.h"

namespace sequoiastage {

// Header fields that callers and backend servers see.
inline constexpr const char* kOutcomeField = "Sequoiastage-Outcome";
inline constexpr const char* kDeadlineField = "Sequoiastage-Deadline-Ms";
inline constexpr const char* kKeyField = "Idempotency-Key";

// A deadline as messages carry it, in milliseconds since the epoch.
inline WallTime DeadlineOf(int64_t deadline_ms) {
  return WallTime(std::chrono::milliseconds(deadline_ms));
}

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_NODE_PROTOCOL_FIELDS_P_H_
