#include <gtest/gtest.h>

#include <asio/ip/tcp.hpp>
#include <thread>

#include "egress_fixture.h"

namespace sequoiastage {
namespace {

// Instance that closes each connection when it receives a request.
class ClosingInstance {
 public:
  ClosingInstance(asio::io_context& io, const Endpoint& listen)
      : m_acceptor(io,
                   {asio::ip::address_v4(listen.m_ip), listen.m_port},
                   true) {
    Accept();
  }

  int m_accepted = 0;

 private:
  void Accept() {
    m_acceptor.async_accept(
        [this](const asio::error_code& error, asio::ip::tcp::socket socket) {
          if (error) {
            return;
          }
          ++m_accepted;
          auto connection =
              std::make_shared<asio::ip::tcp::socket>(std::move(socket));
          connection->async_wait(
              asio::ip::tcp::socket::wait_read,
              [connection](const asio::error_code&) { connection->close(); });
          Accept();
        });
  }

  asio::ip::tcp::acceptor m_acceptor;
};

TEST_F(MeshEgressTest, CrashIsReportedWithTheRequestsThatWereRunning) {
  ASSERT_TRUE(FillSlotsAndQueue());
  ASSERT_TRUE(
      RunUntil(m_io, [this] { return m_instance.m_requests.size() == 2; }));
  m_instance.Crash();
  ASSERT_TRUE(WaitForOutcomes(2));
  EXPECT_EQ(m_outcomes[0].m_result, AttemptResult::kFailed);
  EXPECT_EQ(m_outcomes[0].m_reason, AttemptReason::kInstanceCrashed);
  EXPECT_EQ(m_outcomes[1].m_reason, AttemptReason::kInstanceCrashed);
  MemberRecord record;
  m_quarantine.AddTo(record, WallNow());
  ASSERT_EQ(record.m_crashes.size(), 1U);
  EXPECT_EQ(record.m_crashes[0].m_node, kSelf);
  // Not the one that was queued.
  const auto& running = record.m_crashes[0].m_running;
  EXPECT_EQ(std::set(running.begin(), running.end()),
            std::set({FingerprintOf(MakeRequest(1), "homes"),
                      FingerprintOf(MakeRequest(2), "homes")}));
}

TEST_F(MeshEgressTest, BrokenResponseOfALivingInstanceIsNoCrash) {
  m_instance.Crash();
  ClosingInstance closing(m_io, m_instance.m_endpoint);
  Send(MakeOffer(1));
  ASSERT_TRUE(WaitForOutcomes(1));
  EXPECT_EQ(m_outcomes[0].m_reason, AttemptReason::kIncompleteResponse);
  EXPECT_TRUE(m_quarantine.IsEmpty());
  // The connection that showed this is used by the next request.
  OfferMessage offer = MakeOffer(2);
  offer.m_accepts_held = true;
  Send(offer);
  ASSERT_TRUE(WaitForOutcomes(2));
  EXPECT_EQ(m_egress.Stats().m_connections, 3U);
  EXPECT_EQ(closing.m_accepted, 3);
}

// The hold after a broken response lasts longer than a connection counts as
// fresh. The request that tries the instance afterwards has to tell.
TEST_F(MeshEgressTest, RequestThatBreaksAfterAHoldIsEvidence) {
  m_instance.Crash();
  ClosingInstance closing(m_io, m_instance.m_endpoint);
  Send(MakeOffer(1));
  ASSERT_TRUE(WaitForOutcomes(1));
  std::this_thread::sleep_for(std::chrono::milliseconds(1100));
  Send(MakeOffer(2));
  ASSERT_TRUE(WaitForOutcomes(2));
  EXPECT_EQ(m_egress.Stats().m_broken, 2U);
  EXPECT_EQ(m_egress.State(), HoldState::kHeld);
}

TEST_F(MeshEgressTest, InstanceReplacedWithoutADepartureHasCrashed) {
  ASSERT_TRUE(FillSlotsAndQueue());
  m_announcement.m_start_time_ms += 1000;
  m_egress.SetInstance(&m_announcement);
  EXPECT_EQ(m_quarantine.Reports().ReportCount(), 1U);
}

TEST_F(MeshEgressTest, DepartedInstanceHasNotCrashed) {
  ASSERT_TRUE(FillSlotsAndQueue());
  m_egress.SetInstance(nullptr);
  m_announcement.m_start_time_ms += 1000;
  m_egress.SetInstance(&m_announcement);
  EXPECT_TRUE(m_quarantine.IsEmpty());
}

// The next incarnation, under the same name, does not listen yet.
TEST_F(MeshEgressTest, EndOfADepartedIncarnationIsNoCrashOfTheNext) {
  ASSERT_TRUE(FillSlotsAndQueue());
  ASSERT_TRUE(
      RunUntil(m_io, [this] { return m_instance.m_requests.size() == 2; }));
  m_egress.SetInstance(nullptr);
  m_announcement.m_start_time_ms += 1000;
  m_egress.SetInstance(&m_announcement);
  m_instance.Crash();
  ASSERT_TRUE(WaitForOutcomes(2));
  EXPECT_EQ(m_outcomes[0].m_reason, AttemptReason::kIncompleteResponse);
  EXPECT_EQ(m_outcomes[1].m_reason, AttemptReason::kIncompleteResponse);
  EXPECT_TRUE(m_quarantine.IsEmpty());
}

TEST_F(MeshEgressTest, QuarantinedRequestsAreNotExecuted) {
  ReportCrashes(m_quarantine, FingerprintOf(MakeRequest(1), "homes"), 3);
  Send(MakeOffer(1));
  Send(MakeOffer(2));
  ASSERT_TRUE(WaitForOutcomes(2));
  EXPECT_EQ(m_outcomes[0].m_result, AttemptResult::kNotStarted);
  EXPECT_EQ(m_outcomes[0].m_reason, AttemptReason::kQuarantined);
  EXPECT_EQ(m_outcomes[1].m_result, AttemptResult::kAnswered);
  // The same content from another service is another request.
  OfferMessage offer = MakeOffer(1);
  offer.m_attempt = AttemptNumber(3);
  offer.m_caller_service = "plans";
  Send(offer);
  ASSERT_TRUE(WaitForOutcomes(3));
  EXPECT_EQ(m_outcomes[2].m_result, AttemptResult::kAnswered);
  EXPECT_EQ(m_instance.m_requests.size(), 2U);
}

TEST_F(MeshEgressTest, QuarantinedRequestsAreNotStarted) {
  Send(MakeOffer(1, false));
  ReportCrashes(m_quarantine, FingerprintOf(MakeRequest(1), "homes"), 3);
  m_egress.OnStart(kPeer, {.m_attempt = AttemptNumber(1),
                           .m_time_left_ms = 500,
                           .m_request = MakeRequest(1)});
  ASSERT_TRUE(WaitForOutcomes(1));
  EXPECT_EQ(m_outcomes[0].m_reason, AttemptReason::kQuarantined);
  EXPECT_TRUE(m_instance.m_requests.empty());
}

TEST_F(MeshEgressTest, CompleteResponseClearsARequest) {
  ReportCrashes(m_quarantine, FingerprintOf(MakeRequest(1), "homes"), 2);
  Send(MakeOffer(1));
  ASSERT_TRUE(WaitForOutcomes(1));
  ReportCrashes(m_quarantine, FingerprintOf(MakeRequest(1), "homes"), 4);
  EXPECT_FALSE(
      m_quarantine.TimeLeft(FingerprintOf(MakeRequest(1), "homes"), WallNow()));
}

}  // namespace
}  // namespace sequoiastage
