#include "mesh_node_fixture.h"

namespace sequoiastage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_F(MeshNodeTest, ForwardsARequestToTheInstanceOfAnotherNode) {
  PublishConfig("1 a /x/ plans once");
  EXPECT_EQ(Announce(*m_second), 200);
  ASSERT_TRUE(WaitForStatus(*m_first, "/x/", 200));
  EXPECT_EQ(SendRequest(*m_first, "/x/").m_response.m_body, "answer to body");
  EXPECT_TRUE(m_first->m_instance.m_requests.empty());
  EXPECT_EQ(FakeCodec::FieldValue(m_second->m_instance.m_requests[0].m_fields,
                                  "instance"),
            "i-1");
}

TEST_F(MeshNodeTest, IsReadyOnceAConfigurationIsLoaded) {
  EXPECT_EQ(QueryReadiness(*m_first), 503);
  EXPECT_EQ(SendRequest(*m_first, "/x/").m_response.m_status, 503);
  PublishConfig("1 a /x/ plans");
  EXPECT_TRUE(
      RunUntil(m_io, [this] { return QueryReadiness(*m_first) == 200; }));
}

TEST_F(MeshNodeTest, LeavingInstanceReceivesNoMoreRequests) {
  PublishConfig("1 a /x/ plans");
  Announce(*m_second);
  ASSERT_TRUE(WaitForStatus(*m_first, "/x/", 200));
  EXPECT_EQ(Announce(*m_second, " leaving"), 200);
  const size_t before = m_second->m_instance.m_requests.size();
  for (int i = 0; i < 5; ++i) {
    EXPECT_EQ(SendRequest(*m_first, "/x/").m_response.m_status, 503);
  }
  EXPECT_EQ(m_second->m_instance.m_requests.size(), before);
}

TEST_F(MeshNodeTest, OlderConfigurationVersionsAreIgnored) {
  PublishConfig("5 a /x/ plans");
  Announce(*m_second);
  ASSERT_TRUE(WaitForStatus(*m_first, "/x/", 200));
  PublishConfig("4 a /old/ plans");
  PublishConfig("not a configuration");
  PublishConfig("6 a /y/ plans");
  ASSERT_TRUE(WaitForStatus(*m_first, "/y/", 200));
  EXPECT_EQ(SendRequest(*m_first, "/x/").m_response.m_status, 404);
  EXPECT_EQ(SendRequest(*m_first, "/old/").m_response.m_status, 404);
}

// One of the two nodes reads the store and relays changes to the other.
// Whichever loses access to the store, both apply the next configuration within
// the bound.
// The store restarts from a copy in which a departed instance is still present.
TEST_F(MeshNodeTest, DepartedInstanceIsNotUsedAfterTheStoreWasRestored) {
  PublishConfig("1 a /x/ plans once");
  ASSERT_EQ(Announce(*m_second), 200);
  ASSERT_TRUE(WaitForStatus(*m_first, "/x/", 200));
  const size_t members = m_log.m_topics[1].size();
  ASSERT_EQ(Announce(*m_second, " leaving"), 200);
  ASSERT_TRUE(WaitForStatus(*m_first, "/x/", 503));
  // Let the first node read the change before the store loses it.
  RunUntil(
      m_io, [] { return false; }, milliseconds(600));
  m_log.Rewind(1, members);
  const auto writes = [this] {
    return std::count_if(m_log.m_topics[1].begin(), m_log.m_topics[1].end(),
                         [](const auto& record) {
                           return record.second.find("\"era\":1") !=
                                  std::string::npos;
                         });
  };
  const size_t reached = m_second->m_instance.m_requests.size();
  EXPECT_TRUE(RunUntil(m_io, [&] {
    SendRequest(*m_first, "/x/");
    return writes() == 2;
  }));
  EXPECT_EQ(SendRequest(*m_first, "/x/").m_response.m_status, 503);
  EXPECT_EQ(m_second->m_instance.m_requests.size(), reached);
  // Each node has written its record again, once.
  RunUntil(
      m_io, [] { return false; }, seconds(2));
  EXPECT_EQ(writes(), 2);
}

// Guards against requests for an instance that has left, when its announcement
// arrives late at a process that had not heard of it before.
TEST_F(MeshNodeTest, LateAnnouncementAfterARestartRestoresNoInstance) {
  PublishConfig("1 a /x/ plans once");
  ASSERT_EQ(Announce(*m_second), 200);
  ASSERT_TRUE(WaitForStatus(*m_first, "/x/", 200));
  for (int restart = 0; restart < 2; ++restart) {
    m_second.reset();
    m_second = std::make_unique<TestNode>(m_io, m_log, 2);
    if (restart == 0) {
      ASSERT_EQ(Deregister(*m_second, "10"), 200);
    } else {
      // The departure is known from the record of the process before.
      RunUntil(
          m_io, [] { return false; }, seconds(1));
    }
    Announce(*m_second);
    RunUntil(
        m_io, [] { return false; }, seconds(1));
    for (int i = 0; i < 5; ++i) {
      EXPECT_EQ(SendRequest(*m_first, "/x/").m_response.m_status, 503);
    }
    EXPECT_TRUE(m_second->m_instance.m_requests.empty());
  }
  // Started again under its old name.
  Announce(*m_second, "", "20");
  EXPECT_TRUE(WaitForStatus(*m_first, "/x/", 200));
}

TEST_F(MeshNodeTest, NodeCutOffFromTheStoreReceivesChangesByRelay) {
  PublishConfig("1 a /x/ plans");
  Announce(*m_second);
  ASSERT_TRUE(WaitForStatus(*m_first, "/x/", 200));
  RunUntil(
      m_io, [] { return false; }, seconds(1));
  std::string target = "/x/";
  int version = 1;
  for (TestNode* node : {m_first.get(), m_second.get()}) {
    node->m_store.m_is_cut = true;
    target += "y/";
    PublishConfig(std::to_string(++version) + " a " + target + " plans");
    EXPECT_TRUE(WaitForStatus(*m_first, target, 200, milliseconds(4500)));
    EXPECT_TRUE(WaitForStatus(*m_second, target, 200, milliseconds(4500)));
    node->m_store.m_is_cut = false;
    RunUntil(
        m_io, [] { return false; }, seconds(1));
  }
}

// Guards against entries of other writers that end the reading of the members.
TEST_F(MeshNodeTest, OddMemberRecordsEndNoReading) {
  PublishConfig("1 a /x/ plans once");
  ASSERT_TRUE(WaitForStatus(*m_first, "/x/", 503));
  ASSERT_TRUE(RunUntil(m_io, [this] { return m_log.m_topics[1].size() == 2; }));
  const std::string second = ToString(m_second->m_settings.m_peer);
  for (const std::string& odd : std::vector<std::string>{
           std::string(50'000, '['), std::string(R"({"node":1e999})"),
           R"({"node":")" + second + R"(","domain":"d","region":"r",)" +
               R"("instance":"i-1","service":1,"slots":1e300})",
           R"({"node":"127.0.0.1:70000","domain":"d","region":"r"})",
           std::string("\xff\xfe")}) {
    m_log.Write(StoreTopic::kMembers, second, odd);
    m_log.Write(StoreTopic::kMembers, "\xff\xfe", odd);
    m_log.Write(StoreTopic::kMembers, "127.0.0.1:70000", odd);
  }
  RunUntil(
      m_io, [] { return false; }, milliseconds(500));
  ASSERT_EQ(Announce(*m_second), 200);
  EXPECT_TRUE(WaitForStatus(*m_first, "/x/", 200));
}

// Guards against a relay that goes on reporting current data and passes no
// change on, after one of its periodic tasks has failed.
TEST_F(MeshNodeTest, RelayWithAFailingTaskPassesChangesOn) {
  PublishConfig("1 a /x/ plans");
  Announce(*m_second);
  ASSERT_TRUE(WaitForStatus(*m_first, "/x/", 200));
  // The first choice of both nodes as their relay.
  const NodeId first(m_first->m_settings.m_peer);
  uint8_t host = 3;
  for (; host < UINT8_MAX; ++host) {
    const NodeId other(TestNode::EndpointAt(host, 7000));
    RelayChoice choice(first);
    choice.SetRegion({first, NodeId(m_second->m_settings.m_peer), other});
    if (choice.Relay(BootNow()) == other) {
      break;
    }
  }
  const NodeId relay(TestNode::EndpointAt(host, 7000));
  ASSERT_TRUE(RunUntil(m_io, [this] { return m_log.m_topics[1].size() == 2; }));
  // Left by an earlier process of the relay.
  m_log.Write(
      StoreTopic::kMembers, ToString(relay),
      EncodeMember({.m_node = relay, .m_domain = "d", .m_region = "r"}));
  m_log.m_throws_on_write = true;
  TestNode node(m_io, m_log, host);
  const auto are_relayed = [&] {
    const int calls = m_first->m_store.m_calls + m_second->m_store.m_calls;
    RunUntil(
        m_io, [] { return false; }, milliseconds(1200));
    return m_first->m_store.m_calls + m_second->m_store.m_calls == calls;
  };
  ASSERT_TRUE(RunUntil(m_io, are_relayed)) << "the nodes don't use the relay";
  PublishConfig("2 a /y/ plans");
  EXPECT_TRUE(WaitForStatus(*m_first, "/y/", 200, milliseconds(3000)));
  EXPECT_TRUE(WaitForStatus(*m_second, "/y/", 200, milliseconds(3000)));
}

TEST_F(MeshNodeTest, OneNodePerRegionReadsTheStore) {
  PublishConfig("1 a /x/ plans");
  Announce(*m_second);
  ASSERT_TRUE(WaitForStatus(*m_first, "/x/", 200));
  RunUntil(
      m_io, [] { return false; }, seconds(2));
  const int first = m_first->m_store.m_calls;
  const int second = m_second->m_store.m_calls;
  RunUntil(
      m_io, [] { return false; }, seconds(2));
  const int more = std::min(m_first->m_store.m_calls - first,
                            m_second->m_store.m_calls - second);
  EXPECT_EQ(more, 0);
}

TEST_F(MeshNodeTest, StaleRecordOfTheNodeIsOverwritten) {
  PublishConfig("1 a /x/ plans");
  Announce(*m_second);
  ASSERT_TRUE(WaitForStatus(*m_first, "/x/", 200));
  auto& members = m_log.m_topics[static_cast<size_t>(StoreTopic::kMembers)];
  const std::string key = ToString(m_second->m_settings.m_peer);
  const auto own =
      std::find_if(members.begin(), members.end(),
                   [&key](const auto& record) { return record.first == key; });
  ASSERT_NE(own, members.end());
  // Its first record, without an instance, is delivered again.
  m_log.Write(StoreTopic::kMembers, key, own->second);
  EXPECT_TRUE(RunUntil(m_io, [&] {
    const auto last = std::find_if(
        members.rbegin(), members.rend(),
        [&key](const auto& record) { return record.first == key; });
    return last->second.find("i-1") != std::string::npos;
  }));
}

// The node whose instance crashed can't write to the store.
TEST_F(MeshNodeTest, CrashAtANodeCutOffFromTheStoreIsPublishedByTheIngress) {
  PublishConfig("1 a /x/ plans once");
  Announce(*m_second);
  ASSERT_TRUE(WaitForStatus(*m_first, "/x/", 200));
  m_second->m_store.m_is_cut = true;
  FakeInstance& instance = m_second->m_instance;
  instance.m_behavior = [&](const HttpRequest&, const StreamResponder&) {
    asio::post(m_io, [&instance] { instance.Crash(); });
    return CancelHook();
  };
  EXPECT_EQ(SendRequest(*m_first, "/x/").m_response.m_status, 502);
  const std::string key = ToString(NodeId(m_first->m_settings.m_peer));
  const auto has_crash = [&](const auto& record) {
    const auto member = DecodeMember(record.second);
    return record.first == key && member && member->m_crashes.size() == 1 &&
           member->m_crashes[0].m_node == NodeId(m_second->m_settings.m_peer);
  };
  const auto& members =
      m_log.m_topics[static_cast<size_t>(StoreTopic::kMembers)];
  EXPECT_FALSE(std::any_of(members.begin(), members.end(), has_crash));
  EXPECT_TRUE(RunUntil(m_io, [&] {
    return std::any_of(members.begin(), members.end(), has_crash);
  }));
}

TEST_F(MeshNodeTest, ShutdownCompletesAcceptedRequests) {
  PublishConfig("1 a /x/ plans once");
  Announce(*m_second);
  ASSERT_TRUE(WaitForStatus(*m_first, "/x/", 200));
  StreamResponder respond_later;
  HttpRequest received;
  m_second->m_instance.m_behavior = [&](const HttpRequest& request,
                                        const StreamResponder& responder) {
    received = request;
    respond_later = responder;
    return CancelHook();
  };
  auto connection = std::make_shared<ExchangeConnection>(
      m_io, m_first->m_settings.m_callers, ExchangeOptions{});
  std::optional<ExchangeResult> result;
  connection->Send({.m_method = "POST",
                    .m_target = "/x/",
                    .m_fields = {{"Host", "a"}, {"id", "8"}},
                    .m_body = "body"},
                   seconds(5), {},
                   [&result](ExchangeResult end) { result = std::move(end); });
  ASSERT_TRUE(RunUntil(m_io, [&] { return bool{respond_later}; }));
  m_first->m_node.StartShutdown();
  m_second->m_node.StartShutdown();
  EXPECT_EQ(QueryReadiness(*m_first), 503);
  respond_later(FakeInstance::BuildResponse(received));
  ASSERT_TRUE(RunUntil(m_io, [&] { return result.has_value(); }));
  EXPECT_EQ(result->m_response.m_status, 200);
}

// Load pattern: the nodes of a service are restarted in turn, several at a
// time, while their instances keep running. A stopping node accepts offers
// until its callers have drained, and refuses them afterwards.
TEST_F(MeshNodeTest, StoppingNodeAcceptsOffersUntilItsCallersHaveDrained) {
  PublishConfig("1 a /x/ plans once");
  Announce(*m_second);
  ASSERT_TRUE(WaitForStatus(*m_first, "/x/", 200));
  const auto begin = std::chrono::steady_clock::now();
  m_second->m_node.StartShutdown();
  EXPECT_EQ(QueryReadiness(*m_second), 503);
  while (std::chrono::steady_clock::now() - begin < milliseconds(2500)) {
    ASSERT_EQ(SendRequest(*m_first, "/x/").m_response.m_status, 200);
  }
  ASSERT_TRUE(WaitForStatus(*m_first, "/x/", 503));
  const auto stopped = std::chrono::steady_clock::now() - begin;
  EXPECT_GE(stopped, milliseconds(2800));
  EXPECT_LT(stopped, milliseconds(3200));
  int arrivals = 0;
  m_second->m_instance.m_behavior = [&](const HttpRequest& request,
                                        const StreamResponder& responder) {
    ++arrivals;
    responder(FakeInstance::BuildResponse(request));
    return CancelHook();
  };
  for (int i = 0; i < 5; ++i) {
    EXPECT_EQ(SendRequest(*m_first, "/x/").m_response.m_status, 503);
  }
  EXPECT_EQ(arrivals, 0);
}

TEST_F(MeshNodeTest, ServesMetrics) {
  PublishConfig("1 a /x/ plans");
  Announce(*m_second);
  ASSERT_TRUE(WaitForStatus(*m_first, "/x/", 200));
  const std::string text = Exchange(*m_first->m_settings.m_metrics,
                                    {.m_method = "GET", .m_target = "/metrics"})
                               .m_response.m_body;
  EXPECT_NE(text.find("sequoiastage_mesh_requests_total{outcome=\"answered\"}"),
            std::string::npos)
      << text;
  EXPECT_NE(text.find("sequoiastage_mesh_config_version 1"), std::string::npos);
}

}  // namespace
}  // namespace sequoiastage
