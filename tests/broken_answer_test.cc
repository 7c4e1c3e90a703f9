#include <fmt/format.h>
#include <gtest/gtest.h>

#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>
#include <atomic>
#include <future>
#include <memory>
#include <nlohmann/json.hpp>
#include <thread>
#include <vector>

#include "fleet.h"
#include "sequoiastage/base/time.h"
#include "sequoiastage/testing/resident_memory.h"
#include "sequoiastage/testing/scripted_server.h"

// The only instance of a service sends answers that are broken.
namespace sequoiastage {
namespace {

using std::chrono::milliseconds;

constexpr size_t kMiB = size_t{1} << 20;
constexpr int kSlots = 16;
// Default of BodyBudget.
constexpr size_t kBodyBudget = 24 * kMiB;
const std::string kOk = "HTTP/1.1 200 OK\r\n";
const std::string kLength = "Content-Length: 7\r\n";
const std::string kBody = "\r\nspoiled";
const std::string kChunked = kOk + "Transfer-Encoding: chunked\r\n\r\n";

class BrokenAnswerTest : public testing::Test {
 protected:
  BrokenAnswerTest()
      : m_fleet({.m_nodes = 1,
                 .m_instances_per_node = 1,
                 .m_slots = kSlots,
                 .m_floor = 1}) {}

  ~BrokenAnswerTest() override {
    m_io.stop();
    if (m_thread.joinable()) {
      m_thread.join();
    }
  }

  // Ends the instance and listens at its address.
  void ReplaceInstance() {
    ASSERT_EQ(m_fleet.Start(), "");
    const Endpoint instance = m_fleet.Instance(0, 0);
    Call({.m_to = instance, .m_method = "POST", .m_target = "/standin/exit"});
    ASSERT_TRUE(WaitUntil(milliseconds(5000), [instance] {
      return Call({.m_to = instance, .m_target = "/health"}).m_is_unsent;
    }));
    m_instance =
        std::make_unique<ScriptedServer>(m_io, ServerScript{}, instance);
    m_thread = std::thread([this] { m_io.run(); });
    m_incarnation = WallNow().time_since_epoch().count();
    Announce();
  }

  // Announcements expire after some seconds.
  void Announce() {
    const nlohmann::json body = {{"service", "work"},
                                 {"endpoint", ToString(m_fleet.Instance(0, 0))},
                                 {"incarnation", m_incarnation},
                                 {"slots", kSlots},
                                 {"draining", false}};
    EXPECT_EQ(Call({.m_to = m_fleet.Announce(0),
                    .m_method = "POST",
                    .m_target = "/v1/announce",
                    .m_body = body.dump()})
                  .m_status,
              204);
  }

  // Runs `function` on the thread of the instance and returns its result.
  template <class Function>
  auto AtInstance(Function function) {
    std::packaged_task<decltype(function())()> task(std::move(function));
    auto result = task.get_future();
    asio::post(m_io, [&task] { task(); });
    return result.get();
  }

  void SetAnswer(const std::string& response,
                 const std::string& repeated = "") {
    AtInstance([&] {
      m_instance->SetResponse(response);
      m_instance->SetRepeated(repeated);
    });
  }

  size_t Responses() {
    return AtInstance([this] { return m_instance->Responses(); });
  }

  CallerResponse SendRequest() {
    return Call({.m_to = m_fleet.Caller(0),
                 .m_target = "/jobs/x",
                 .m_fields = {{"Host", "move.example"}}});
  }

  // Sends requests until one has been answered by the instance. No caller may
  // get that answer.
  void ExpectNoAnswer(const std::string& response) {
    SetAnswer(response);
    const size_t before = Responses();
    EXPECT_TRUE(WaitUntil(milliseconds(20'000), [&] {
      Announce();
      const CallerResponse got = SendRequest();
      EXPECT_TRUE(got.IsComplete()) << response << got.m_error;
      EXPECT_GE(got.m_status, 500) << response;
      EXPECT_EQ(got.m_body.find("spoiled"), std::string::npos) << response;
      return Responses() > before;
    })) << response;
  }

  Fleet m_fleet;
  asio::io_context m_io;
  asio::executor_work_guard<asio::io_context::executor_type> m_guard{
      m_io.get_executor()};
  std::unique_ptr<ScriptedServer> m_instance;
  std::thread m_thread;
  int64_t m_incarnation = 0;
};

TEST_F(BrokenAnswerTest, ReachesNoCaller) {
  ASSERT_NO_FATAL_FAILURE(ReplaceInstance());
  for (const std::string& response :
       {fmt::format("HTTP/1.1 000 OK\r\n{}{}", kLength, kBody),
        fmt::format("HTTP/1.1 600 OK\r\n{}{}", kLength, kBody),
        fmt::format("{}{}X Y: 1\r\n{}", kOk, kLength, kBody),
        fmt::format("{}{}X\x01Y: 1\r\n{}", kOk, kLength, kBody),
        fmt::format("{}First: 1\r\n X-Id: 1\r\n{}{}", kOk, kLength, kBody),
        fmt::format("{}Content-Length : 2\r\n{}{}", kOk, kLength, kBody),
        fmt::format("{}Content-Length: 2\r\n{}{}", kOk, kLength, kBody),
        kOk + kBody}) {
    ExpectNoAnswer(response);
  }
}

// Guards against a node that keeps what an instance sends until its memory
// ends, and with it the requests of its other callers.
TEST_F(BrokenAnswerTest, WithoutEndTakesLittleMemory) {
  // A body that grows is copied, and the heap may keep its earlier copies.
  constexpr size_t kMaxGrowth = 3 * kBodyBudget;
  ASSERT_NO_FATAL_FAILURE(ReplaceInstance());
  const size_t before = PeakMemory(m_fleet.Node(0).Pid());
  const std::vector<std::pair<std::string, std::string>> answers = {
      {"", "x"},
      {kOk, "X: x\r\n"},
      {kOk + "\r\n", "x"},
      {kChunked + "ffffffff\r\n", "x"},
      {kChunked + "1;", "x"},
      {kChunked + "0\r\n", "X: x\r\n"}};
  for (const auto& [response, repeated] : answers) {
    SetAnswer(response, repeated);
    const size_t responses = Responses();
    std::atomic<bool> is_done = false;
    std::vector<std::thread> callers;
    callers.reserve(kSlots);
    for (int i = 0; i < kSlots; ++i) {
      callers.emplace_back([this, &is_done] {
        while (!is_done) {
          EXPECT_GE(SendRequest().m_status, 500);
          std::this_thread::sleep_for(milliseconds(20));
        }
      });
    }
    EXPECT_TRUE(WaitUntil(milliseconds(20'000), [&] {
      Announce();
      return Responses() >= responses + kSlots;
    })) << response;
    is_done = true;
    for (std::thread& caller : callers) {
      caller.join();
    }
  }
  EXPECT_EQ(m_fleet.Node(0).Ended(), std::nullopt);
  const size_t growth = PeakMemory(m_fleet.Node(0).Pid()) - before;
  RecordProperty("growth_bytes", std::to_string(growth));
  EXPECT_LE(growth, kMaxGrowth);
  SetAnswer(kOk + "Content-Length: 5\r\n\r\nsound");
  EXPECT_TRUE(WaitUntil(milliseconds(20'000), [this] {
    Announce();
    return SendRequest().m_body == "sound";
  }));
}

}  // namespace
}  // namespace sequoiastage
