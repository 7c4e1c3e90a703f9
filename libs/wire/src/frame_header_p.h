#ifndef SEQUOIASTAGE_WIRE_FRAME_HEADER_P_H_
#define SEQUOIASTAGE_WIRE_FRAME_HEADER_P_H_

#include <cstdint>
#include <string>

namespace sequoiastage {

/// Fills in the header, which `frame` starts with, for the payload that follows
/// it.
void SealFrame(std::string& frame, uint8_t type);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_WIRE_FRAME_HEADER_P_H_
