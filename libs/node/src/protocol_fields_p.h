#ifndef SEQUOIASTAGE_NODE_PROTOCOL_FIELDS_P_H_
#define SEQUOIASTAGE_NODE_PROTOCOL_FIELDS_P_H_

#include <cstdint>

#include "sequoiastage/base/time.h"

namespace sequoiastage {

// Header fields exchanged with callers and backend servers.
inline constexpr const char* kOutcomeField = "Sequoiastage-Outcome";
inline constexpr const char* kDeadlineField = "Sequoiastage-Deadline-Ms";
inline constexpr const char* kKeyField = "Idempotency-Key";

// Converts the deadline of a wire message, in milliseconds since the epoch.
inline WallTime DeadlineFromMs(int64_t deadline_ms) {
  return WallTime(std::chrono::milliseconds(deadline_ms));
}

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_NODE_PROTOCOL_FIELDS_P_H_
