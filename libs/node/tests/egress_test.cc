#include "../src/egress_p.h"

#include <gtest/gtest.h>

#include <asio/ip/tcp.hpp>
#include <optional>

#include "sequoiastage/http/http_server.h"

namespace sequoiastage {
namespace {

constexpr Incarnation kOwnIncarnation{7};
constexpr ServiceId kService{1};

InstanceId At(uint16_t port) {
  return InstanceId(Endpoint{.m_ip = 0x7f000001, .m_port = port});
}

const LocalInstance kInstance{.m_id = At(9),
                              .m_service = kService,
                              .m_incarnation = Incarnation(1),
                              .m_slots = 1};

class EgressTest : public testing::Test {
 protected:
  EgressTest() : m_egress(m_io, kOwnIncarnation) { SetQueueLength(0); }

  void SetQueueLength(uint16_t length) {
    LocalInstance instance = kInstance;
    instance.m_queue_length = length;
    m_egress.SetInstances({instance});
  }

  JudgeReport GetJudgeReport() const {
    return m_egress.Reports().front().m_judge;
  }

  // Result of a dispatch that is refused immediately; empty otherwise.
  std::optional<ResultMessage> Dispatch(uint64_t counter) {
    std::optional<ResultMessage> result;
    Dispatch(counter, result);
    return std::exchange(result, std::nullopt);
  }

  // Stores the result in `result` when it arrives; `result` has to outlive
  // that.
  void Dispatch(uint64_t counter, std::optional<ResultMessage>& result) {
    const auto deadline = WallNow() + std::chrono::seconds(5);
    m_egress.Dispatch(
        {.m_attempt = {.m_incarnation = Incarnation(1), .m_counter = counter},
         .m_egress_incarnation = kOwnIncarnation,
         .m_service = kService,
         .m_instance = At(9),
         .m_is_idempotent = true,
         .m_deadline_ms = deadline.time_since_epoch().count(),
         .m_request = {.m_method = "GET", .m_target = "/"}},
        [&result](ResultMessage received) { result = std::move(received); });
  }

  asio::io_context m_io;
  Egress m_egress;
};

TEST_F(EgressTest, RefusalListsTheBestInstancesOnOtherNodes) {
  m_egress.SetSiblings(
      kService,
      {{.m_instance = At(1), .m_slots = 3, .m_in_use = 3},
       {.m_instance = At(2), .m_slots = 3, .m_is_suspect = true},
       {.m_instance = At(3), .m_slots = 3, .m_in_use = 1},
       {.m_instance = At(4), .m_slots = 3},
       {.m_instance = At(5), .m_slots = 3, .m_in_use = 3, .m_queued = 2}});
  ASSERT_FALSE(Dispatch(1).has_value());
  const auto refused = Dispatch(2);
  ASSERT_TRUE(refused.has_value());
  EXPECT_EQ(refused->m_result, AttemptResult::kNotStarted);
  EXPECT_EQ(refused->m_reason, AttemptReason::kBusy);
  std::vector<InstanceId> listed;
  for (const InstanceLoad& load : refused->m_loads) {
    listed.push_back(load.m_instance);
  }
  EXPECT_EQ(listed, (std::vector<InstanceId>{At(9), At(4), At(3), At(1)}));
}

// An instance may be announced before the node has a configuration.
TEST_F(EgressTest, QueueLengthChangeTakesEffectImmediately) {
  ASSERT_FALSE(Dispatch(1).has_value());
  ASSERT_TRUE(Dispatch(2).has_value());
  SetQueueLength(1);
  EXPECT_FALSE(Dispatch(3).has_value());
  EXPECT_TRUE(Dispatch(4).has_value());
}

TEST_F(EgressTest, ShorterQueueRefusesExcessQueuedAttempts) {
  SetQueueLength(2);
  ASSERT_FALSE(Dispatch(1).has_value());
  std::optional<ResultMessage> second;
  std::optional<ResultMessage> third;
  Dispatch(2, second);
  Dispatch(3, third);
  ASSERT_FALSE(third.has_value());
  SetQueueLength(1);
  EXPECT_FALSE(second.has_value());
  ASSERT_TRUE(third.has_value());
  EXPECT_EQ(third->m_result, AttemptResult::kNotStarted);
}

TEST_F(EgressTest, NothingNewIsStartedWhileDraining) {
  m_egress.SetDraining(true);
  const auto refused = Dispatch(1);
  ASSERT_TRUE(refused.has_value());
  EXPECT_EQ(refused->m_result, AttemptResult::kNotStarted);
  EXPECT_EQ(refused->m_reason, AttemptReason::kDraining);
  EXPECT_EQ(m_egress.InFlight(), 0U);
}

// A request that must not be retried once it may have run.
DispatchMessage NonIdempotent(uint16_t port, std::chrono::milliseconds time) {
  return {.m_attempt = {.m_incarnation = Incarnation(1), .m_counter = 1},
          .m_egress_incarnation = kOwnIncarnation,
          .m_service = kService,
          .m_instance = At(port),
          .m_deadline_ms = (WallNow() + time).time_since_epoch().count(),
          .m_request = {.m_method = "POST", .m_target = "/"}};
}

TEST_F(EgressTest, FailedConnectIsReportedAsNotStarted) {
  const DispatchMessage dispatch = NonIdempotent(9, std::chrono::seconds(5));
  std::vector<ResultMessage> results;
  const auto keep = [&results](ResultMessage received) {
    results.push_back(std::move(received));
  };
  m_egress.Dispatch(dispatch, keep);
  while (results.empty() && m_io.run_one_for(std::chrono::seconds(10)) > 0) {
  }
  m_egress.Dispatch(dispatch, keep);
  m_egress.Query({.m_attempt = dispatch.m_attempt,
                  .m_egress_incarnation = kOwnIncarnation,
                  .m_deadline_ms = dispatch.m_deadline_ms},
                 keep);
  ASSERT_EQ(results.size(), 3U);
  EXPECT_EQ(results[0].m_reason, AttemptReason::kConnectFailed);
  for (const ResultMessage& result : results) {
    EXPECT_EQ(result.m_result, AttemptResult::kNotStarted);
  }
  EXPECT_EQ(m_egress.Reports().front().m_summary.m_failures, 1U);
}

TEST_F(EgressTest, HangingConnectIsReportedAsNotStartedBeforeTheDeadline) {
  // With a full backlog the kernel drops further connection requests.
  asio::ip::tcp::acceptor server(m_io);
  server.open(asio::ip::tcp::v4());
  server.bind({asio::ip::address_v4::loopback(), 0});
  server.listen(0);
  asio::ip::tcp::socket first(m_io);
  first.connect(server.local_endpoint());
  const uint16_t port = server.local_endpoint().port();
  m_egress.SetInstances({{.m_id = At(port),
                          .m_service = kService,
                          .m_incarnation = Incarnation(1)}});
  const DispatchMessage dispatch =
      NonIdempotent(port, std::chrono::milliseconds(800));
  std::optional<ResultMessage> result;
  m_egress.Dispatch(dispatch, [&result](const ResultMessage& received) {
    result = received;
  });
  while (!result && m_io.run_one_for(std::chrono::seconds(10)) > 0) {
  }
  ASSERT_TRUE(result.has_value());
  EXPECT_EQ(result->m_result, AttemptResult::kNotStarted);
  EXPECT_LT(WallNow().time_since_epoch().count(), dispatch.m_deadline_ms);
}

// An instance with a health path, and the server behind it.
class EgressProbeTest : public testing::Test {
 protected:
  EgressProbeTest()
      : m_egress(m_io, kOwnIncarnation),
        m_server_endpoint(FreeEndpoint()),
        m_server(m_io,
                 {.m_listen = m_server_endpoint},
                 [this](const HttpRequest& request, HttpResponder responder) {
                   EXPECT_EQ(request.m_method, "GET");
                   EXPECT_EQ(request.m_target, "/health");
                   ++m_probes;
                   responder.Send({.m_status = m_status});
                 }) {}

  void SetUp() override {
    ASSERT_TRUE(m_server.Start()) << m_server.LastReason();
  }
  void TearDown() override { m_server.Stop(); }

  void SetInstance(bool is_ejected) {
    m_egress.SetInstances({{.m_id = InstanceId(m_server_endpoint),
                            .m_service = kService,
                            .m_incarnation = Incarnation(1),
                            .m_is_ejected = is_ejected,
                            .m_health_path = "/health"}});
  }

  bool HasFailedProbe() const {
    return m_egress.Reports().front().m_judge.m_has_failed_probe;
  }

  // Ticks until the reported state of the last probe is `has_failed`.
  bool TickUntil(bool has_failed) {
    const TimePoint end = Now() + std::chrono::seconds(10);
    while (HasFailedProbe() != has_failed && Now() < end) {
      m_egress.Tick();
      m_io.run_one_for(std::chrono::milliseconds(100));
    }
    return HasFailedProbe() == has_failed;
  }

  asio::io_context m_io;
  Egress m_egress;
  Endpoint m_server_endpoint;
  HttpServer m_server;
  uint16_t m_status = 200;
  int m_probes = 0;

 private:
  // An endpoint whose port was free when this returned.
  Endpoint FreeEndpoint() {
    const uint32_t loopback = 0x7f000001;
    asio::ip::tcp::acceptor acceptor(m_io, {asio::ip::address_v4(loopback), 0});
    return {.m_ip = loopback, .m_port = acceptor.local_endpoint().port()};
  }
};

TEST_F(EgressProbeTest, ProbeResultsOfAnEjectedInstanceAreReported) {
  SetInstance(false);
  SetInstance(true);
  m_status = 500;
  ASSERT_TRUE(TickUntil(true));
  m_status = 200;
  EXPECT_TRUE(TickUntil(false));
}

// After a restart of this node during an ejection, the egress has to request
// readmission or the instance would stay ejected permanently.
TEST_F(EgressProbeTest, AnInstanceEjectedWhenFirstSeenCanBeReadmitted) {
  SetInstance(true);
  EXPECT_TRUE(m_egress.Reports().front().m_judge.m_is_ejected);
  SetInstance(false);
  EXPECT_FALSE(m_egress.Reports().front().m_judge.m_is_ejected);
}

TEST_F(EgressProbeTest, ProbeFailsWhenTheServerIsStopped) {
  SetInstance(true);
  m_server.Stop();
  EXPECT_TRUE(TickUntil(true));
}

TEST_F(EgressProbeTest, AnInstanceInServiceIsNotProbed) {
  SetInstance(false);
  m_egress.Tick();
  // A probe would have been sent before this request of the test.
  HttpClient client(m_io);
  bool has_ended = false;
  client.Start({.m_server = m_server_endpoint},
               {.m_method = "GET", .m_target = "/health"},
               [&has_ended](const HttpCallResult&) { has_ended = true; });
  while (!has_ended && m_io.run_one_for(std::chrono::seconds(10)) > 0) {
  }
  ASSERT_TRUE(has_ended);
  EXPECT_EQ(m_probes, 1);
}

// The floor may return an ejected instance to service. This does not end the
// ejection, and a later exclusion is not a new ejection.
TEST_F(EgressTest, EjectionPersistsWhileTheFloorKeepsTheInstanceInService) {
  LocalInstance instance = kInstance;
  instance.m_is_ejected = true;
  instance.m_is_excluded = true;
  m_egress.SetInstances({instance});
  EXPECT_TRUE(GetJudgeReport().m_is_ejected);
  EXPECT_TRUE(Dispatch(1).has_value());
  instance.m_is_excluded = false;
  m_egress.SetInstances({instance});
  EXPECT_TRUE(GetJudgeReport().m_is_ejected);
}

}  // namespace
}  // namespace sequoiastage
