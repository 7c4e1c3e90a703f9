#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <asio/io_context.hpp>
#include <deque>
#include <memory>
#include <vector>

#include "sequoiastage/http/stream_server.h"
#include "sequoiastage/testing/slow_caller.h"

namespace sequoiastage {
namespace {

using std::chrono::milliseconds;

constexpr size_t kBodyBytes = 540'000;
constexpr size_t kBudgetBytes = 2'400'000;

Endpoint TestEndpoint() {
  const auto pid = static_cast<uint32_t>(getpid());
  return {.m_ip = 0x7f000000U | (61 + pid / 250 % 30) << 16 |
                  (1 + pid % 250) << 8 | 1,
          .m_port = 8000};
}

std::string Head(size_t length) {
  return "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
         std::to_string(length) + "\r\n\r\n";
}

class StreamBudgetTest : public testing::Test {
 protected:
  StreamBudgetTest()
      : m_server(m_io,
                 [this](const HttpRequest& request, StreamResponder responder) {
                   ++m_requests;
                   m_request_bytes += request.m_body.size();
                   m_responders.push_back(std::move(responder));
                   return CancelHook();
                 }) {
    m_server.SetBudget(m_budget);
    m_server.SetLimits({.m_applies_budget = true});
    EXPECT_TRUE(m_server.Start(TestEndpoint())) << m_server.LastReason();
  }

  template <class Condition>
  bool RunUntil(Condition done) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!done() && std::chrono::steady_clock::now() < end) {
      m_io.restart();
      m_io.run_for(milliseconds(5));
    }
    return done();
  }

  void RunFor(milliseconds time) {
    m_io.restart();
    m_io.run_for(time);
  }

  std::vector<std::unique_ptr<SlowCaller>> Connect(size_t count) {
    std::vector<std::unique_ptr<SlowCaller>> callers;
    for (size_t i = 0; i < count; ++i) {
      callers.push_back(std::make_unique<SlowCaller>(m_io, TestEndpoint()));
    }
    return callers;
  }

  void RespondToFirst(size_t body_bytes) {
    const StreamResponder responder = std::move(m_responders.front());
    m_responders.pop_front();
    responder({.m_status = 200, .m_body = std::string(body_bytes, 'r')});
  }

  asio::io_context m_io;
  std::shared_ptr<ByteBudget> m_budget =
      std::make_shared<ByteBudget>(kBudgetBytes);
  size_t m_requests = 0;
  size_t m_request_bytes = 0;
  std::deque<StreamResponder> m_responders;
  StreamServer m_server;
};

// Guards against large bodies that take the memory of the node: what does not
// fit is left unread, and read once there is room. Small requests pass.
TEST_F(StreamBudgetTest, LargeBodyIsReadOnceThereIsRoom) {
  m_server.SetLimits(
      {.m_applies_budget = true, .m_max_room_wait = std::chrono::seconds(5)});
  auto callers = Connect(4);
  for (auto& caller : callers) {
    caller->StartReading();
    caller->Write(Head(kBodyBytes) + std::string(kBodyBytes, 'x'));
  }
  ASSERT_TRUE(RunUntil([this] { return m_requests == 2; }));
  RunFor(milliseconds(100));
  EXPECT_EQ(m_requests, 2U);
  SlowCaller small(m_io, TestEndpoint());
  small.StartReading();
  small.Write(Head(100) + std::string(100, 's'));
  ASSERT_TRUE(RunUntil([this] { return m_requests == 3; }));
  for (size_t i = 0; i < 5; ++i) {
    ASSERT_TRUE(RunUntil([this] { return !m_responders.empty(); }));
    RespondToFirst(10);
  }
  EXPECT_TRUE(RunUntil([this] { return m_budget->Held() == 0; }));
  EXPECT_EQ(m_request_bytes, 4 * kBodyBytes + 100);
  EXPECT_LE(m_budget->Peak(), kBudgetBytes);
  EXPECT_EQ(m_budget->Refusals(), 0U);
}

TEST_F(StreamBudgetTest, LargeBodyWithoutRoomIsRejected) {
  auto callers = Connect(3);
  for (auto& caller : callers) {
    caller->StartReading();
    caller->Write(Head(kBodyBytes) + std::string(kBodyBytes, 'x'));
  }
  ASSERT_TRUE(RunUntil([this] { return m_budget->Refusals() == 1; }));
  ASSERT_TRUE(RunUntil([&] {
    return std::any_of(callers.begin(), callers.end(), [](const auto& caller) {
      return caller->HasStatus(503) &&
             caller->m_received.find("Retry-After: 1\r\n") != std::string::npos;
    });
  }));
  EXPECT_EQ(m_requests, 2U);
}

// Guards against many callers that each send a part of a body and together fill
// the budget, so that none can end.
TEST_F(StreamBudgetTest, ManySlowUploadsNeitherExceedNorBlockTheBudget) {
  auto callers = Connect(40);
  for (auto& caller : callers) {
    caller->StartReading();
    caller->Write(Head(kBodyBytes) + std::string(kBodyBytes / 2, 'x'));
  }
  RunFor(milliseconds(300));
  EXPECT_LE(m_budget->Held(), kBudgetBytes);
  SlowCaller small(m_io, TestEndpoint());
  small.Write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  EXPECT_TRUE(RunUntil([this] { return m_requests == 1; }));
  for (auto& caller : callers) {
    caller->Write(std::string(kBodyBytes - kBodyBytes / 2, 'x'));
  }
  EXPECT_TRUE(RunUntil([this] { return m_requests == 3; }));
  EXPECT_TRUE(RunUntil([this] { return m_budget->Refusals() == 38; }));
  EXPECT_LE(m_budget->Peak(), kBudgetBytes);
}

// Guards against responses that are dropped or cut because their callers are
// slow, and against a slow caller that costs others: it holds its own bytes.
TEST_F(StreamBudgetTest, CallerThatStopsReadingGetsItsResponseLater) {
  auto callers = Connect(3);
  for (auto& caller : callers) {
    caller->Write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  }
  ASSERT_TRUE(RunUntil([this] { return m_requests == 3; }));
  while (!m_responders.empty()) {
    RespondToFirst(kBodyBytes);
  }
  RunFor(milliseconds(100));
  EXPECT_GE(m_budget->Held(HeldKind::kCallerResponses), 3 * kBodyBytes);
  callers[0]->StartReading();
  EXPECT_TRUE(RunUntil([&] { return callers[0]->HasResponse(kBodyBytes); }));
  RunFor(milliseconds(20));
  EXPECT_LT(m_budget->Held(), 3 * kBodyBytes);
  for (const size_t i : {1, 2}) {
    callers[i]->StartReading();
    EXPECT_TRUE(RunUntil([&] { return callers[i]->HasResponse(kBodyBytes); }));
  }
  EXPECT_TRUE(RunUntil([this] { return m_budget->Held() == 0; }));
}

// Guards against memory that grows without bound with responses that nobody
// reads, and against callers that are shut out by those who don't read.
TEST_F(StreamBudgetTest, CallersThatReadNothingMakeRoomForOthers) {
  auto callers = Connect(5);
  for (auto& caller : callers) {
    caller->Write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  }
  ASSERT_TRUE(RunUntil([this] { return m_requests == 5; }));
  callers[0]->StartReading();
  RespondToFirst(kBodyBytes);
  EXPECT_TRUE(RunUntil([&] { return !callers[0]->m_received.empty(); }));
  while (!m_responders.empty()) {
    RespondToFirst(kBodyBytes);
  }
  ASSERT_TRUE(RunUntil([this] { return m_budget->Held() <= kBudgetBytes; }));
  EXPECT_TRUE(RunUntil([&] { return callers[0]->HasResponse(kBodyBytes); }));
  SlowCaller late(m_io, TestEndpoint());
  late.StartReading();
  late.Write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  ASSERT_TRUE(RunUntil([this] { return m_requests == 6; }));
  RespondToFirst(kBodyBytes);
  EXPECT_TRUE(RunUntil([&] { return late.HasResponse(kBodyBytes); }));
  // A response is whole, or its connection was closed.
  for (size_t i = 1; i < callers.size(); ++i) {
    callers[i]->StartReading();
    EXPECT_TRUE(RunUntil([&] {
      return callers[i]->HasResponse(kBodyBytes) || callers[i]->m_is_closed;
    }));
  }
  EXPECT_TRUE(RunUntil([this] { return m_budget->Held() == 0; }));
}

TEST_F(StreamBudgetTest, CallerThatReadsNothingIsDisconnectedInTheEnd) {
  m_server.SetLimits({.m_unread_timeout = milliseconds(300)});
  auto callers = Connect(2);
  for (auto& caller : callers) {
    caller->Write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  }
  ASSERT_TRUE(RunUntil([this] { return m_requests == 2; }));
  callers[0]->StartReading();
  RespondToFirst(kBodyBytes);
  RespondToFirst(kBodyBytes);
  EXPECT_TRUE(RunUntil([this] { return m_server.ConnectionCount() == 1; }));
  EXPECT_TRUE(callers[0]->HasResponse(kBodyBytes));
}

TEST_F(StreamBudgetTest, RejectedUploadsHoldNothing) {
  m_server.SetLimits({.m_max_held_bytes = kBodyBytes});
  auto callers = Connect(4);
  for (auto& caller : callers) {
    caller->Write(Head(kBodyBytes) + std::string(kBodyBytes / 2, 'x'));
  }
  EXPECT_TRUE(RunUntil([this] { return m_server.HeldBytes() >= kBodyBytes; }));
  for (auto& caller : callers) {
    caller->StartReading();
  }
  EXPECT_TRUE(RunUntil([&] {
    return std::any_of(callers.begin(), callers.end(),
                       [](const auto& each) { return each->HasStatus(503); });
  }));
}

// Guards against callers that take all descriptors.
TEST_F(StreamBudgetTest, IdleConnectionsMakeRoomForNewOnes) {
  m_server.SetLimits({.m_max_connections = 3});
  auto callers = Connect(2);
  callers[0]->Write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  ASSERT_TRUE(RunUntil([this] { return m_requests == 1; }));
  const auto later = Connect(4);
  EXPECT_TRUE(RunUntil([this] { return m_server.ConnectionCount() == 3; }));
  callers[0]->StartReading();
  RespondToFirst(kBodyBytes);
  EXPECT_TRUE(RunUntil([&] { return callers[0]->HasResponse(kBodyBytes); }));
}

TEST_F(StreamBudgetTest, DisconnectedCallerReturnsItsBytes) {
  {
    auto callers = Connect(2);
    callers[0]->Write(Head(kBodyBytes) + std::string(kBodyBytes / 2, 'x'));
    callers[1]->Write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(RunUntil([this] { return m_requests == 1; }));
    RespondToFirst(kBodyBytes);
    RunFor(milliseconds(50));
    EXPECT_GE(m_budget->Held(), 2 * kBodyBytes);
    callers.clear();
    RunFor(milliseconds(20));
  }
  EXPECT_TRUE(RunUntil([this] { return m_budget->Held() == 0; }));
}

}  // namespace
}  // namespace sequoiastage
