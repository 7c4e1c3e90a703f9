#include <gtest/gtest.h>

#include "fake_platform.h"
#include "sequoiastage/mesh/egress.h"
#include "sequoiastage/testing/scripted_server.h"

// Responses of an instance that break off, at each byte and for each framing.
namespace sequoiastage {
namespace {

constexpr PeerKey kPeer{.m_node = NodeId(Endpoint{.m_ip = 1, .m_port = 1}),
                        .m_incarnation = Incarnation(7)};
constexpr NodeId kSelf{Endpoint{.m_ip = 2, .m_port = 1}};

const std::string kHead = "HTTP/1.1 200 OK\r\nid: 1\r\nseal: 1\r\n";
const std::string kWithLength = kHead + "Content-Length: 5\r\n\r\nhello";
const std::string kChunked = kHead +
                             "Transfer-Encoding: chunked\r\n\r\n"
                             "3\r\nhel\r\n0000002;x=y\r\nlo\r\n"
                             "0\r\nTrailer: 1\r\n\r\n";
const std::string kUntilClose = kHead + "\r\nhello";

class BrokenResponseTest : public testing::Test {
 protected:
  BrokenResponseTest()
      : m_endpoint{.m_ip = TestIp(1), .m_port = 9000},
        m_instance(m_io, {}, m_endpoint),
        m_quarantine(kSelf, {}, [] {}),
        m_egress(m_io,
                 kSelf,
                 {},
                 m_quarantine,
                 {.m_on_mismatch = [](const InstanceIncarnation&) {},
                  .m_on_leaving = [](const InstanceIncarnation&) {}}) {
    const InstanceAnnouncement announcement{.m_name = "i-1",
                                            .m_address = m_endpoint,
                                            .m_service = "plans",
                                            .m_slots = 2};
    m_egress.SetInstance(&announcement);
  }

  // Runs a request whose response is cut after `size` bytes.
  OutcomeMessage RunCut(const std::string& response, size_t size) {
    m_instance.SetResponse(response.substr(0, size));
    std::optional<OutcomeMessage> outcome;
    m_egress.OnOffer(
        kPeer,
        {.m_attempt = AttemptNumber(++m_attempts),
         .m_service = MakeServiceId("plans"),
         .m_instance = "i-1",
         .m_is_idempotent = true,
         .m_starts_immediately = true,
         .m_accepts_held = true,
         .m_time_left_ms = 2000,
         .m_request_id = "1",
         .m_request = {.m_method = m_body.empty() ? "GET" : "POST",
                       .m_target = "/x/",
                       .m_fields = {{"Host", "a"}, {"id", "1"}},
                       .m_body = m_body}},
        [&outcome](const Message& message) {
          if (const auto* end = std::get_if<OutcomeMessage>(&message)) {
            outcome = *end;
          }
        });
    EXPECT_TRUE(RunUntil(m_io, [&] { return outcome.has_value(); }));
    return outcome.value_or(OutcomeMessage{});
  }

  void ExpectBrokenAtEachCut(const std::string& response) {
    for (size_t size = 0; size < response.size(); ++size) {
      const OutcomeMessage outcome = RunCut(response, size);
      ASSERT_EQ(outcome.m_result, AttemptResult::kFailed) << size;
      ASSERT_EQ(outcome.m_reason, AttemptReason::kIncompleteResponse) << size;
    }
  }

  asio::io_context m_io;
  Endpoint m_endpoint;
  ScriptedServer m_instance;
  SharedQuarantine m_quarantine;
  Egress<FakeCodec> m_egress;
  uint64_t m_attempts = 0;
  // Body of the requests.
  std::string m_body;
};

TEST_F(BrokenResponseTest, CompleteResponsesAreAnswers) {
  for (const std::string& response : {kWithLength, kChunked, kUntilClose}) {
    const OutcomeMessage outcome = RunCut(response, response.size());
    EXPECT_EQ(outcome.m_result, AttemptResult::kAnswered);
    EXPECT_EQ(outcome.m_response.m_body, "hello");
  }
}

TEST_F(BrokenResponseTest, ClosedConnectionIsNoEndOfACountedBody) {
  ExpectBrokenAtEachCut(kWithLength);
  ExpectBrokenAtEachCut(kChunked);
}

TEST_F(BrokenResponseTest, ResetConnectionIsNoEndOfAnyBody) {
  m_instance.SetEnd(ConnectionEnd::kReset);
  ExpectBrokenAtEachCut(kWithLength);
  ExpectBrokenAtEachCut(kChunked);
  ExpectBrokenAtEachCut(kUntilClose);
}

// The instance has read little of the upload when it resets the connection.
TEST_F(BrokenResponseTest, ResetDuringAnUploadIsNoEndOfAnyBody) {
  m_body.resize(size_t{16} << 20, 'x');
  for (const ConnectionEnd end :
       {ConnectionEnd::kReset, ConnectionEnd::kAbandon}) {
    m_instance.SetEnd(end);
    for (int i = 0; i < 5; ++i) {
      const OutcomeMessage outcome = RunCut(kUntilClose, kUntilClose.size());
      EXPECT_EQ(outcome.m_result, AttemptResult::kFailed);
      EXPECT_EQ(outcome.m_reason, AttemptReason::kIncompleteResponse);
    }
  }
}

// Without a length, only a close within the head leaves the response
// incomplete. The head ends with its empty line.
TEST_F(BrokenResponseTest, ClosedConnectionWithinTheHeadIsNoAnswer) {
  ExpectBrokenAtEachCut(kHead + "\r\n");
  ExpectBrokenAtEachCut("HTTP/1.1 100 Continue\r\n\r\n" + kHead + "\r\n");
}

}  // namespace
}  // namespace sequoiastage
