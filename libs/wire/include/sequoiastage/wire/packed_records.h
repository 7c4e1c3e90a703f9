#ifndef SEQUOIASTAGE_WIRE_PACKED_RECORDS_H_
#define SEQUOIASTAGE_WIRE_PACKED_RECORDS_H_

#include <optional>
#include <string>
#include <vector>

#include "sequoiastage/wire/messages.h"

namespace sequoiastage {

/// `records` as compressed bytes, for RelayMessage. Configurations are long
/// texts that repeat themselves and go to every node of a region.
std::string PackRecords(const std::vector<StoreRecord>& records);

/// What PackRecords() was given. Empty when the bytes are damaged or hold more
/// than kMaxPayloadBytes.
std::optional<std::vector<StoreRecord>> UnpackRecords(const std::string& bytes);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_WIRE_PACKED_RECORDS_H_
