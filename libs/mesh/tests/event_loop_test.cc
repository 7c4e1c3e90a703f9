#include "sequoiastage/mesh/event_loop.h"

#include <gtest/gtest.h>

#include <asio/post.hpp>
#include <stdexcept>

namespace sequoiastage {
namespace {

using std::chrono::milliseconds;

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

// Guards against periodic work that ends for good with one exception.
TEST(EventLoopTest, ExceptionEndsNeitherOtherStepsNorLaterRuns) {
  asio::io_context io;
  PeriodicSteps steps(io, milliseconds(1));
  int failed = 0;
  int completed = 0;
  steps.Add("fails", [&] {
    ++failed;
    throw std::out_of_range("unexpected");
  });
  steps.Add("completes", [&] {
    if (++completed == 3) {
      steps.Stop();
    }
  });
  steps.Start();
  EXPECT_EQ(RunEventLoop(io), 0U);
  EXPECT_EQ(failed, 3);
  EXPECT_EQ(completed, 3);
}

TEST(EventLoopTest, StoppedStepsRunAgainOnceStarted) {
  asio::io_context io;
  PeriodicSteps steps(io, milliseconds(1));
  int runs = 0;
  steps.Add("counts", [&] {
    ++runs;
    steps.Stop();
  });
  steps.Add("follows", [] { FAIL() << "ran after Stop()"; });
  steps.Start();
  RunEventLoop(io);
  io.restart();
  steps.Start();
  steps.Start();
  RunEventLoop(io);
  EXPECT_EQ(runs, 2);
}

}  // namespace
}  // namespace sequoiastage
