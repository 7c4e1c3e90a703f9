#include "sequoiastage/mesh/event_loop.h"

#include <gtest/gtest.h>

#include <asio/post.hpp>
#include <stdexcept>

namespace sequoiastage {
namespace {

TEST(EventLoopTest, ExceptionEndsOnlyItsHandler) {
  asio::io_context io;
  int completed = 0;
  for (int i = 0; i < 3; ++i) {
    asio::post(io, [] { throw std::out_of_range("unexpected"); });
    asio::post(io, [&completed] { ++completed; });
  }
  EXPECT_EQ(RunEventLoop(io), 3U);
  EXPECT_EQ(completed, 3);
}

}  // namespace
}  // namespace sequoiastage
