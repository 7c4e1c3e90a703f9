#ifndef SEQUOIASTAGE_WIRE_PACKED_RECORDS_H_
#define SEQUOIASTAGE_WIRE_PACKED_RECORDS_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "sequoiastage/wire/messages.h"

namespace sequoiastage {

/// Serializes and compresses `records` for RelayMessage. Configurations are
/// long, repetitive texts that are sent to every node of a region.
std::string PackRecords(const std::vector<StoreRecord>& records);

/// The same for a receiver that has the configuration record `base`: what
/// `records` have in common with it takes almost no bytes. Older builds can't
/// read it; see MemberRecord::m_reads_deltas.
std::string PackRecordsAgainst(const std::vector<StoreRecord>& records,
                               const StoreRecord& base);

/// Returns the value of the configuration record at a position; null when the
/// caller does not have it.
using FindBase = std::function<const std::string*(StorePosition)>;

/// Restores the records given to PackRecords() or PackRecordsAgainst(). Empty
/// when the bytes are damaged, decompress to more than kMaxPayloadBytes, or
/// need a base that is not available.
std::optional<std::vector<StoreRecord>> UnpackRecords(
    const std::string& bytes,
    const FindBase& find_base = {});

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_WIRE_PACKED_RECORDS_H_
