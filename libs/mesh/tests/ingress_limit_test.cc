#include <gtest/gtest.h>

#include <chrono>
#include <thread>

#include "ingress_fixture.h"
#include "sequoiastage/limits/coordinator_choice.h"

namespace sequoiastage {
namespace {

// Numbers of two addresses, of which the first coordinates all accounts.
struct CoordinationHosts {
  uint8_t m_coordinator = 1;
  uint8_t m_other = 2;
};

NodeId NodeOf(uint32_t pid, uint8_t host) {
  return NodeId(Endpoint{.m_ip = TestIpOf(pid, host), .m_port = 7000});
}

// The addresses of a process derive from its id, and so does their order. The
// local node therefore takes whichever of two addresses comes last.
CoordinationHosts HostsOf(uint32_t pid) {
  constexpr CoordinationHosts kHosts;
  const NodeId first = NodeOf(pid, kHosts.m_coordinator);
  return CoordinatorOrder({first, NodeOf(pid, kHosts.m_other)}, 0, 1)[0] ==
                 first
             ? kHosts
             : CoordinationHosts{.m_coordinator = kHosts.m_other,
                                 .m_other = kHosts.m_coordinator};
}

class MeshIngressLimitTest : public MeshIngressTest {
 protected:
  using MeshIngressTest::MeshIngressTest;

  // The record of the local node, which is the only member so far.
  void AddSelf() { m_targets.SetMember(m_targets.Self()); }

  void SendLimited() {
    SendRequestWithFields({{"id", "7"}, {"key", "secret"}});
  }

  size_t CountStatus(uint16_t status) const {
    return static_cast<size_t>(std::count_if(
        m_responses.begin(), m_responses.end(),
        [=](const HttpResponse& r) { return r.m_status == status; }));
  }

  // Another node asks `limiter` for a loan. Returns what it is lent.
  static uint32_t Borrow(AccountLimiter& limiter,
                         const std::string& account,
                         uint32_t wanted_milli) {
    uint32_t lent_milli = 0;
    limiter.OnRequest(
        {.m_node = NodeId(Endpoint{.m_ip = TestIp(2), .m_port = 7000}),
         .m_incarnation = Incarnation(5)},
        TokenLoanRequestMessage{.m_number = 1,
                                .m_account = MakeAccountId(account),
                                .m_wanted_milli = wanted_milli},
        [&](const Message& reply) {
          lent_milli = std::get<TokenLoanMessage>(reply).m_tokens_milli;
        });
    return lent_milli;
  }

  bool WaitForResponses(size_t count) {
    return RunUntil(m_io, [=, this] { return m_responses.size() >= count; });
  }
};

// Runs every request that it is offered.
void Answer(const Message& message, const MessageSink& sink) {
  if (const auto* tagged = std::get_if<TaggedOfferMessage>(&message)) {
    sink(OfferReplyMessage{.m_attempt = tagged->m_offer.m_attempt,
                           .m_verdict = OfferVerdict::kReady});
  } else if (const auto* start = std::get_if<StartMessage>(&message)) {
    sink(OutcomeMessage{.m_attempt = start->m_attempt,
                        .m_result = AttemptResult::kAnswered,
                        .m_response = {.m_status = 200}});
  }
}

TEST_F(MeshIngressLimitTest, RejectsOverTheLimitAtOnce) {
  AddSelf();
  FakeEgressNode egress(m_io, 2, 5);
  MemberRecord record = egress.Record();
  record.m_region = "r2";  // Not a coordinator of the local region.
  m_targets.SetMember(record);
  egress.m_script = Answer;
  SetConfigWithLimit({.m_rate = RequestRate(0.1), .m_burst = 4});
  for (int i = 0; i < 8; ++i) {
    SendLimited();
  }
  ASSERT_TRUE(WaitForResponses(8));
  // Half of the nodes are in this region: half of the burst.
  EXPECT_EQ(CountStatus(200), 2U);
  EXPECT_EQ(CountStatus(429), 6U);
  for (const HttpResponse& response : m_responses) {
    if (response.m_status == 429) {
      ASSERT_EQ(response.m_fields.back().m_name, "Retry-After");
      EXPECT_GT(std::stod(response.m_fields.back().m_value), 0.09);
    }
  }
  EXPECT_EQ(m_ingress.Stats().m_over_limit, 6U);
  const AccountLimiterStats stats = m_limiter.Stats();
  ASSERT_EQ(stats.m_accounts.size(), 1U);
  const AccountUsage& usage = stats.m_accounts[0].m_usage;
  EXPECT_EQ(usage.m_account, "ferries");
  EXPECT_EQ(usage.m_requests, 8U);
  EXPECT_EQ(usage.m_refused, 6U);
  EXPECT_EQ(usage.m_spent, 2U);
}

// A request that finds no instance must not use up the limit of its account.
TEST_F(MeshIngressLimitTest, RequestThatDidNotRunReturnsItsToken) {
  AddSelf();
  SetConfigWithLimit({.m_rate = RequestRate(0.001), .m_burst = 2});
  for (size_t i = 1; i <= 10; ++i) {
    SendLimited();
    ASSERT_TRUE(WaitForResponses(i));
    // The returned token is reported within a tick.
    const uint64_t returned = m_limiter.Stats().m_returned;
    EXPECT_EQ(returned, i);
    const auto end = BootNow() + std::chrono::milliseconds(60);
    RunUntil(m_io, [&] { return BootNow() > end; });
  }
  EXPECT_EQ(CountStatus(503), 10U);
}

TEST_F(MeshIngressLimitTest, RequestWithoutAccountTakesNoToken) {
  AddSelf();
  SetConfigWithLimit({.m_rate = RequestRate(0.001), .m_burst = 1});
  for (int i = 0; i < 5; ++i) {
    SendRequestWithFields({{"id", "7"}});
    SendRequestWithFields({{"id", "call"}});
  }
  ASSERT_TRUE(WaitForResponses(10));
  EXPECT_EQ(CountStatus(503), 10U);
  EXPECT_EQ(m_limiter.Stats().m_requests, 0U);
}

// A node that knows no other one would take the whole limit for itself.
TEST_F(MeshIngressLimitTest, NothingIsAdmittedBeforeTheMembersAreKnown) {
  m_has_members = false;
  AddSelf();
  SetConfigWithLimit({.m_rate = RequestRate(10), .m_burst = 10});
  SendLimited();
  ASSERT_TRUE(WaitForResponses(1));
  EXPECT_EQ(m_responses[0].m_status, 503);
  EXPECT_EQ(m_limiter.Stats().m_requests, 0U);
}

// Guards against a choice of addresses that leaves the local node as the
// coordinator, which then decides at once and sends no token request. Addresses
// repeat after 25,000 process ids.
TEST(CoordinationHostsTest, AnotherNodeCoordinatesForEveryProcessId) {
  for (uint32_t pid = 0; pid < 25000; ++pid) {
    const CoordinationHosts hosts = HostsOf(pid);
    const NodeId coordinator = NodeOf(pid, hosts.m_coordinator);
    const NodeId other = NodeOf(pid, hosts.m_other);
    ASSERT_NE(coordinator, other) << "process " << pid;
    ASSERT_EQ(CoordinatorOrder({other, coordinator}, 0, 2),
              (std::vector<NodeId>{coordinator, other}))
        << "process " << pid;
  }
}

// Guards against loans that are missing in the metrics, or counted in the wrong
// direction.
TEST_F(MeshIngressLimitTest, CountsLoansByAccount) {
  AddSelf();
  FakeEgressNode other(m_io, 2, 5);
  MemberRecord record = other.Record();
  record.m_region = "r2";
  record.m_instance.clear();
  m_targets.SetMember(record);
  other.m_script = [](const Message& message, const MessageSink& sink) {
    if (const auto* request = std::get_if<TokenLoanRequestMessage>(&message)) {
      sink(TokenLoanMessage{.m_number = request->m_number,
                            .m_account = request->m_account,
                            .m_tokens_milli = request->m_wanted_milli});
    }
  };
  SetConfigWithLimit({.m_rate = RequestRate(0.1), .m_burst = 4});
  EXPECT_TRUE(m_limiter.Stats().m_accounts.empty());

  EXPECT_EQ(Borrow(m_limiter, "ferries", 500), 500U);
  // Reported without any request of the account at this node.
  ASSERT_EQ(m_limiter.Stats().m_accounts.size(), 1U);
  AccountReport report = m_limiter.Stats().m_accounts[0];
  EXPECT_EQ(report.m_usage.m_account, "ferries");
  EXPECT_EQ(report.m_usage.m_requests, 0U);
  EXPECT_EQ(report.m_loans.m_lent, 0.5);
  EXPECT_EQ(report.m_loans.m_borrowed, 0);
  EXPECT_EQ(report.m_limit, RequestRate(0.1));

  for (int i = 0; i < 4; ++i) {
    SendLimited();
  }
  ASSERT_TRUE(RunUntil(m_io, [&] {
    return m_limiter.Stats().m_accounts[0].m_loans.m_borrowed > 0;
  }));
  report = m_limiter.Stats().m_accounts[0];
  EXPECT_EQ(report.m_usage.m_requests, 4U);
  EXPECT_EQ(report.m_loans.m_lent, 0.5);
  EXPECT_EQ(report.m_loans.m_borrowed, m_limiter.Stats().m_borrowed);
}

// The metrics must name the account over its limit, however many there are.
TEST_F(MeshIngressLimitTest, ReportsTheMostRefusedAccountsFirst) {
  AddSelf();
  AccountLimiter limiter(m_io, m_self,
                         {.m_quota = {.m_slack = 0},
                          .m_is_first_start = true,
                          .m_max_reported = 3},
                         m_targets, m_links, [] { return true; });
  TrafficConfig config;
  for (const std::string name : {"idle", "small", "lender", "busy", "over"}) {
    config.m_accounts.push_back(
        {.m_name = name,
         .m_limit = AccountLimit{.m_rate = RequestRate(0.1),
                                 .m_burst = name == "over" ? 1.0 : 100.0}});
  }
  limiter.SetConfig(std::make_shared<const TrafficConfig>(config));
  for (int i = 0; i < 8; ++i) {
    limiter.Acquire(config.m_accounts[4], [](bool, Duration) {});
  }
  for (int i = 0; i < 20; ++i) {
    limiter.Acquire(config.m_accounts[3], [](bool, Duration) {});
  }
  ASSERT_TRUE(RunUntil(m_io, [&] { return limiter.Stats().m_refused > 0; }));
  EXPECT_EQ(Borrow(limiter, "small", 500), 500U);
  EXPECT_EQ(Borrow(limiter, "lender", 2000), 2000U);
  const AccountLimiterStats stats = limiter.Stats();
  ASSERT_EQ(stats.m_accounts.size(), 3U);
  EXPECT_EQ(stats.m_accounts[0].m_usage.m_account, "over");
  EXPECT_GT(stats.m_accounts[0].m_usage.m_refused, 0U);
  EXPECT_EQ(stats.m_accounts[1].m_usage.m_account, "busy");
  EXPECT_EQ(stats.m_accounts[1].m_usage.m_refused, 0U);
  EXPECT_EQ(stats.m_accounts[2].m_usage.m_account, "lender");
}

class SilentCoordinatorTest : public MeshIngressLimitTest {
 protected:
  SilentCoordinatorTest()
      : SilentCoordinatorTest(HostsOf(static_cast<uint32_t>(getpid()))) {}

  explicit SilentCoordinatorTest(const CoordinationHosts& hosts)
      : MeshIngressLimitTest(hosts.m_other),
        m_coordinator(m_io, hosts.m_coordinator, 5) {
    AddSelf();
    MemberRecord record = m_coordinator.Record();
    record.m_instance.clear();
    m_targets.SetMember(record);
    m_links.SetManagesLoad(true);  // As the node does for such a configuration.
    SetConfigWithLimit({.m_rate = RequestRate(0.1), .m_burst = 1});
  }

  CancelHook SendWaiting() {
    return m_ingress.OnRequest({.m_method = "POST",
                                .m_host = "a",
                                .m_target = "/x/1",
                                .m_fields = {{"id", "7"}, {"key", "secret"}}},
                               [this](HttpResponse response) {
                                 m_responses.push_back(std::move(response));
                               });
  }

  bool WaitForTokenRequest() {
    return RunUntil(m_io, [this] {
      return std::any_of(
          m_coordinator.m_messages.begin(), m_coordinator.m_messages.end(),
          [](const Message& message) {
            const auto* request = std::get_if<TokenRequestMessage>(&message);
            return request != nullptr && !request->m_requests.empty();
          });
    });
  }

  // Receives the token of a request whose caller has left, and uses it for
  // another one. `pause`: time for which this process does not run while the
  // link to the coordinator is opened.
  void UseTokenOfACallerThatLeft(std::chrono::milliseconds pause) {
    const CancelHook cancel = SendWaiting();
    std::this_thread::sleep_for(pause);
    ASSERT_TRUE(WaitForTokenRequest());
    cancel();
    EXPECT_EQ(m_ingress.RequestCount(), 0U);
    EXPECT_TRUE(m_responses.empty());
    uint64_t number = 0;
    for (const Message& message : m_coordinator.m_messages) {
      const auto* request = std::get_if<TokenRequestMessage>(&message);
      if (request != nullptr && !request->m_requests.empty()) {
        number = request->m_number;
      }
    }
    m_limiter.OnReply(
        m_coordinator.m_self.m_node,
        TokenGrantMessage{.m_number = number,
                          .m_grants = {{.m_account = MakeAccountId("ferries"),
                                        .m_granted = 1}}});
    SendWaiting();
    ASSERT_TRUE(WaitForResponses(1));
    // Admitted: it finds no instance.
    EXPECT_EQ(m_responses[0].m_status, 503);
    EXPECT_EQ(m_limiter.Stats().m_spent, 1U);
  }

  FakeEgressNode m_coordinator;
};

// Requests must not hang on a coordinator that is paused.
TEST_F(SilentCoordinatorTest, WaitEndsSoon) {
  SendWaiting();
  EXPECT_TRUE(m_responses.empty());
  const TimePoint begin = BootNow();
  ASSERT_TRUE(WaitForResponses(1));
  EXPECT_EQ(m_responses[0].m_status, 429);
  EXPECT_LT(BootNow() - begin, std::chrono::seconds(2));
  EXPECT_EQ(m_ingress.RequestCount(), 0U);
}

TEST_F(SilentCoordinatorTest, FailAllEndsWaitingRequests) {
  SendWaiting();
  m_ingress.FailAll("the node stops");
  ASSERT_EQ(m_responses.size(), 1U);
  EXPECT_EQ(m_responses[0].m_status, 503);
  EXPECT_EQ(m_ingress.RequestCount(), 0U);
}

// The token of a caller that has left is used by the next request.
TEST_F(SilentCoordinatorTest, TokenOfACallerThatLeftIsKept) {
  UseTokenOfACallerThatLeft({});
}

// Guards against a coordinator that counts as silent, a link that counts as
// lost, or a wait that ends, because this process did not run on a busy host.
TEST_F(SilentCoordinatorTest, PauseOfThisProcessIsNotSilence) {
  UseTokenOfACallerThatLeft(std::chrono::milliseconds(300));
}
TEST_F(SilentCoordinatorTest, PauseOfThisProcessEndsNoWait) {
  UseTokenOfACallerThatLeft(std::chrono::milliseconds(500));
}
TEST_F(SilentCoordinatorTest, PauseOfThisProcessLosesNoLink) {
  UseTokenOfACallerThatLeft(std::chrono::milliseconds(700));
}

}  // namespace
}  // namespace sequoiastage
