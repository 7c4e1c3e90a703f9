#ifndef SEQUOIASTAGE_NODE_GROUP_REPORT_P_H_
#define SEQUOIASTAGE_NODE_GROUP_REPORT_P_H_

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "sequoiastage/health/instance_summary.h"
#include "sequoiastage/wire/messages.h"

namespace sequoiastage {

// What one egress tells the other egresses of a service of one instance.
struct InstanceNews {
  InstanceLoad m_load;
  InstanceSummary m_summary;
};

// `news` as bytes of a group report.
std::vector<uint8_t> EncodeGroupReport(const std::vector<InstanceNews>& news);

// Empty when `bytes` are no group report.
std::optional<std::vector<InstanceNews>> DecodeGroupReport(
    std::span<const uint8_t> bytes);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_NODE_GROUP_REPORT_P_H_
