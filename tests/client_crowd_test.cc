#include <gtest/gtest.h>

#include <asio/executor_work_guard.hpp>
#include <string>

#include "fleet.h"
#include "sequoiastage/testing/client_crowd.h"
#include "sequoiastage/testing/process_descriptors.h"
#include "sequoiastage/testing/resident_memory.h"

// Clients that do not behave. The process lives, stays within its memory, and
// answers an ordinary request afterwards.
namespace sequoiastage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kMemoryBytes = 128'000'000;
constexpr size_t kLargeAnswer = 1'000'000;
constexpr rlim_t kDescriptors = 300;

class ClientCrowdTest : public testing::Test {
 protected:
  ClientCrowdTest()
      : m_fleet({.m_nodes = 1, .m_instances_per_node = 2, .m_slots = 8}),
        m_crowd(m_io) {}

  ~ClientCrowdTest() override { m_crowd.Leave(); }

  void RunFor(milliseconds time) {
    const auto work = asio::make_work_guard(m_io);
    m_io.restart();
    m_io.run_for(time);
  }

  // The instances answer with the body of the request.
  static std::string RequestText(const std::string& id, size_t answer_bytes) {
    return "GET /jobs/crowd HTTP/1.1\r\nHost: move.example\r\nX-Request-Id: " +
           id + "\r\nContent-Length: " + std::to_string(answer_bytes) +
           "\r\n\r\n" + std::string(answer_bytes, 'a');
  }

  void ExpectOrder(size_t most_descriptors) {
    EXPECT_FALSE(m_fleet.Node(0).Ended());
    const pid_t pid = m_fleet.Node(0).Pid();
    EXPECT_LT(PeakMemory(pid), kMemoryBytes);
    EXPECT_LT(OpenDescriptors(pid), most_descriptors);
    EXPECT_TRUE(
        WaitUntil(seconds(10), [this] { return m_fleet.IsServing(0); }));
  }

  asio::io_context m_io;
  Fleet m_fleet;
  ClientCrowd m_crowd;
};

TEST_F(ClientCrowdTest, UnreadAnswersOfOneRequestEach) {
  ASSERT_EQ(m_fleet.Start(), "");
  for (int i = 0; i < 100; ++i) {
    m_crowd.Add(m_fleet.Caller(0),
                RequestText("c" + std::to_string(i), 7 * kLargeAnswer / 2));
    RunFor(milliseconds(50));
  }
  RunFor(seconds(3));
  ExpectOrder(100 + 200);
}

// The answers of one connection are more than the kernel takes.
TEST_F(ClientCrowdTest, UnreadAnswersOfPipelinedRequests) {
  ASSERT_EQ(m_fleet.Start(), "");
  for (int i = 0; i < 40; ++i) {
    std::string requests;
    for (int k = 0; k < 5; ++k) {
      requests +=
          RequestText("p" + std::to_string(5 * i + k), 7 * kLargeAnswer / 2);
    }
    m_crowd.Add(m_fleet.Caller(0), std::move(requests));
    RunFor(milliseconds(150));
  }
  RunFor(seconds(3));
  ExpectOrder(40 + 200);
}

TEST_F(ClientCrowdTest, UnreadAnswersOfReadersThatLeave) {
  ASSERT_EQ(m_fleet.Start(), "");
  for (int round = 0; round < 5; ++round) {
    for (int i = 0; i < 40; ++i) {
      m_crowd.Add(
          m_fleet.Caller(0),
          RequestText("l" + std::to_string(40 * round + i), kLargeAnswer));
    }
    RunFor(milliseconds(700));
    m_crowd.Leave();
  }
  RunFor(seconds(2));
  ExpectOrder(200);
}

TEST_F(ClientCrowdTest, StoppedUploadsLeaveRoom) {
  ASSERT_EQ(m_fleet.Start(), "");
  for (int i = 0; i < 100; ++i) {
    m_crowd.Add(m_fleet.Caller(0),
                RequestText("u" + std::to_string(i), 2 * kLargeAnswer)
                    .substr(0, 3 * kLargeAnswer / 2));
  }
  RunFor(seconds(2));
  ExpectOrder(100 + 200);
}

TEST_F(ClientCrowdTest, OpenHeadsLeaveRoom) {
  ASSERT_EQ(m_fleet.Start(), "");
  for (int i = 0; i < 400; ++i) {
    m_crowd.Add(m_fleet.Caller(0),
                "GET /jobs/crowd HTTP/1.1\r\nHost: move.example\r\nX-Long: " +
                    std::string(30'000, 'h'));
  }
  RunFor(seconds(2));
  ExpectOrder(400 + 200);
}

TEST_F(ClientCrowdTest, IdleConnectionsLeaveDescriptors) {
  {
    const DescriptorLimit limit(kDescriptors);
    ASSERT_EQ(m_fleet.Start(), "");
  }
  for (int i = 0; i < 400; ++i) {
    m_crowd.Add(m_fleet.Caller(0), "");
  }
  RunFor(seconds(1));
  ExpectOrder(kDescriptors);
}

}  // namespace
}  // namespace sequoiastage
