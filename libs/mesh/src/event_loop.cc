#include "sequoiastage/mesh/event_loop.h"

#include <exception>

#include "sequoiastage/logging/log_event.h"

namespace sequoiastage {

uint64_t RunEventLoop(asio::io_context& io) {
  uint64_t exceptions = 0;
  while (true) {
    try {
      io.run();
      return exceptions;
    } catch (const std::exception& error) {
      ++exceptions;
      LogEvent(LogLevel::kError, "handler_failed")
          .Add("reason", error.what())
          .Add("count", static_cast<int64_t>(exceptions));
    }
  }
}

}  // namespace sequoiastage
