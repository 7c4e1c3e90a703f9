#ifndef SEQUOIASTAGE_MESH_EVENT_LOOP_H_
#define SEQUOIASTAGE_MESH_EVENT_LOOP_H_

#include <asio/io_context.hpp>
#include <cstdint>

namespace sequoiastage {

/// Runs `io` until it is stopped or has no work left. An exception that a
/// handler throws ends only that handler and is logged. Returns the number of
/// such exceptions.
uint64_t RunEventLoop(asio::io_context& io);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MESH_EVENT_LOOP_H_
