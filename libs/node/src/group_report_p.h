#ifndef SEQUOIASTAGE_NODE_GROUP_REPORT_P_H_
#define SEQUOIASTAGE_NODE_GROUP_REPORT_P_H_

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "sequoiastage/health/instance_summary.h"
#include "sequoiastage/wire/messages.h"

namespace sequoiastage {

// Load and health summary of one instance, sent by its egress to the other
// egresses of the service.
struct InstanceUpdate {
  InstanceLoad m_load;
  InstanceSummary m_summary;
};

// Encodes a group report; at most the first 255 updates are included.
std::vector<uint8_t> EncodeGroupReport(
    const std::vector<InstanceUpdate>& updates);

// Decodes a group report; empty when `bytes` are malformed.
std::optional<std::vector<InstanceUpdate>> DecodeGroupReport(
    std::span<const uint8_t> bytes);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_NODE_GROUP_REPORT_P_H_
