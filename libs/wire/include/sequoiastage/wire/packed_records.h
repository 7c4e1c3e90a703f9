#ifndef SEQUOIASTAGE_WIRE_PACKED_RECORDS_H_
#define SEQUOIASTAGE_WIRE_PACKED_RECORDS_H_

#include <optional>
#include <string>
#include <vector>

#include "sequoiastage/wire/messages.h"

namespace sequoiastage {

/// Serializes and compresses `records` for RelayMessage. Configurations are
/// long, repetitive texts that are sent to every node of a region.
std::string PackRecords(const std::vector<StoreRecord>& records);

/// Restores the records given to PackRecords(). Empty when the bytes are
/// damaged or decompress to more than kMaxPayloadBytes.
std::optional<std::vector<StoreRecord>> UnpackRecords(const std::string& bytes);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_WIRE_PACKED_RECORDS_H_
