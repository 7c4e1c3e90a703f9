#ifndef SEQUOIASTAGE_NODE_GROUP_REPORT_P_H_
#define SEQUOIASTAGE_NODE_GROUP_REPORT_P_H_

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "sequoiastage/base/ids.h"
#include "sequoiastage/base/strong.h"
#include "sequoiastage/health/instance_summary.h"
#include "sequoiastage/wire/messages.h"

namespace sequoiastage {

// Tells the runs of one instance apart in the few bytes of a report; 0 in
// reports of older builds.
using RunTag = Strong<struct RunTagTag, uint32_t>;

// Never 0.
RunTag RunTagOf(Incarnation incarnation);

// Load and health summary of one instance, sent by its egress to the other
// egresses of the service.
struct InstanceUpdate {
  // Run of the instance that the update is about.
  RunTag m_run;
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
