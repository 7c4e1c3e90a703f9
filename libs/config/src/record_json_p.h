#ifndef SEQUOIASTAGE_CONFIG_RECORD_JSON_P_H_
#define SEQUOIASTAGE_CONFIG_RECORD_JSON_P_H_

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string_view>
#include <vector>

#include "sequoiastage/checkedjson/json_reader.h"
#include "sequoiastage/config/log_record.h"

/// JSON conversions shared by log records and the replay state. The read
/// functions add findings for missing and invalid members.
namespace sequoiastage {

nlohmann::json HeaderToJson(const RecordHeader& header);
RecordHeader ReadHeader(JsonObject& object);

void PutOffset(nlohmann::json& json,
               const char* key,
               std::optional<LogOffset> offset);
std::optional<LogOffset> ReadOffset(JsonObject& object,
                                    std::string_view key,
                                    Presence presence);

nlohmann::json RunToJson(const InstanceRun& run);
InstanceRun ReadRun(JsonObject& object);

nlohmann::json RunsToJson(const std::vector<InstanceRun>& runs);
std::vector<InstanceRun> ReadRuns(JsonObject& object, std::string_view key);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_CONFIG_RECORD_JSON_P_H_
