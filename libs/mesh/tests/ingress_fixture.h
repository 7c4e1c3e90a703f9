#ifndef SEQUOIASTAGE_MESH_TESTS_INGRESS_FIXTURE_H_
#define SEQUOIASTAGE_MESH_TESTS_INGRESS_FIXTURE_H_

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "fake_platform.h"
#include "sequoiastage/mesh/ingress.h"

namespace sequoiastage {

// Remote node that replies to offers as scripted by the test.
class FakeEgressNode {
 public:
  using Script = std::function<void(const Message&, const MessageSink&)>;

  FakeEgressNode(asio::io_context& io, uint8_t host, uint64_t incarnation)
      : m_self{.m_node = NodeId(Endpoint{.m_ip = TestIp(host), .m_port = 7000}),
               .m_incarnation = Incarnation(incarnation)},
        m_links(io,
                m_self,
                {},
                {.m_on_reply = [](const PeerKey&, const Message&) {},
                 .m_on_opened = [](NodeId, Incarnation) {},
                 .m_on_lost = [](NodeId, const std::string&) {},
                 .m_on_request =
                     [this](const PeerKey&,
                            const Message& message,
                            const MessageSink& sink) {
                       m_messages.push_back(message);
                       m_script(message, sink);
                     },
                 .m_on_peer_opened = [](const PeerKey&, const MessageSink&) {},
                 .m_on_peer_lost = [](const PeerKey&) {}}) {
    EXPECT_TRUE(m_links.Start(m_self.m_node.Get()))
        << "cannot listen on " << ToString(m_self.m_node);
  }

  MemberRecord Record() const {
    return {.m_node = m_self.m_node,
            .m_domain = "d",
            .m_region = "r",
            .m_instance = "i-1",
            .m_service = MakeServiceId("plans"),
            .m_slots = 3};
  }

  template <class T>
  size_t Count() const {
    return static_cast<size_t>(std::count_if(
        m_messages.begin(), m_messages.end(),
        [](const Message& m) { return std::holds_alternative<T>(m); }));
  }

  PeerKey m_self;
  std::vector<Message> m_messages;
  Script m_script = [](const Message&, const MessageSink&) {};
  MeshLinks m_links;
};

class MeshIngressTest : public testing::Test {
 protected:
  // `host`: number of the address of the local node.
  explicit MeshIngressTest(uint8_t host = 1)
      : m_self{.m_node = NodeId(Endpoint{.m_ip = TestIp(host), .m_port = 7000}),
               .m_incarnation = Incarnation(1)},
        m_targets({.m_node = m_self.m_node, .m_domain = "d", .m_region = "r"}),
        m_links(m_io,
                m_self,
                {},
                {.m_on_reply =
                     [this](const PeerKey& peer, const Message& message) {
                       if (!m_limiter.OnReply(peer.m_node, message)) {
                         m_ingress.OnReply(peer.m_node, message);
                       }
                     },
                 .m_on_opened =
                     [this](NodeId node, Incarnation incarnation) {
                       m_ingress.OnLinkOpened(node, incarnation);
                     },
                 .m_on_lost =
                     [this](NodeId node, const std::string&) {
                       m_limiter.OnLinkLost(node);
                       m_ingress.OnLinkLost(node);
                     },
                 .m_on_request =
                     [](const PeerKey&, const Message&, const MessageSink&) {},
                 .m_on_peer_opened = [](const PeerKey&, const MessageSink&) {},
                 .m_on_peer_lost = [](const PeerKey&) {}}),
        m_ingress(
            m_io,
            {},
            "homes",
            m_targets,
            m_links,
            m_quarantine,
            {.m_send_to_local_egress = [](const Message&) {},
             .m_on_failure = [] {},
             .m_find_parent =
                 [](std::string_view id) -> std::optional<ParentRequest> {
               if (id != "call" && id != "later-call") {
                 return std::nullopt;
               }
               return ParentRequest{.m_share_account = AccountId(9),
                                    .m_urgency = 4,
                                    .m_is_extra_attempt = true,
                                    .m_route = "entry",
                                    .m_has_served_call = id == "later-call"};
             },
             .m_knowledge_age = [] { return Duration{}; },
             .m_limiter = &m_limiter,
             .m_on_call_end =
                 [this](const CallEnd& end) { m_call_ends.push_back(end); }}) {}

  void SetConfig(const std::string& text) {
    std::string reason;
    auto config = FakeCodec::DecodeConfig({.m_value = text}, &reason);
    m_ingress.SetConfig(
        std::make_shared<const TrafficConfig>(*std::move(config)));
  }

  // A configuration with one account, whose key is "secret".
  void SetConfigWithAccount() {
    std::string reason;
    auto config =
        FakeCodec::DecodeConfig({.m_value = "1 a /x/ plans"}, &reason);
    config->m_accounts = {
        {.m_name = "ferries", .m_keys = {"secret"}, .m_urgency = 2}};
    m_ingress.SetConfig(
        std::make_shared<const TrafficConfig>(*std::move(config)));
  }

  // As SetConfigWithAccount(); the account has a limit.
  void SetConfigWithLimit(const AccountLimit& limit) {
    std::string reason;
    auto config =
        FakeCodec::DecodeConfig({.m_value = "1 a /x/ plans"}, &reason);
    config->m_accounts = {
        {.m_name = "ferries", .m_keys = {"secret"}, .m_limit = limit}};
    config->m_routes[0].m_is_public = true;
    const auto shared =
        std::make_shared<const TrafficConfig>(*std::move(config));
    m_limiter.SetConfig(shared);
    m_ingress.SetConfig(shared);
  }

  void SendRequestWithFields(std::vector<HttpField> fields) {
    m_ingress.OnRequest({.m_method = "POST",
                         .m_host = "a",
                         .m_target = "/x/1",
                         .m_fields = std::move(fields)},
                        [this](HttpResponse response) {
                          m_responses.push_back(std::move(response));
                        });
  }

  CancelHook SendRequest(const std::string& target = "/x/1") {
    return m_ingress.OnRequest({.m_method = "POST",
                                .m_host = "a",
                                .m_target = target,
                                .m_fields = {{"Host", "a"}, {"id", "7"}},
                                .m_body = "body"},
                               [this](HttpResponse response) {
                                 m_responses.push_back(std::move(response));
                               });
  }

  // As SendRequest() sends it.
  static RequestFingerprint FingerprintOfRequest() {
    return FingerprintOf({.m_method = "POST",
                          .m_host = "a",
                          .m_target = "/x/1",
                          .m_fields = {},
                          .m_body = "body"},
                         "homes");
  }

  bool WaitForResponse() {
    return RunUntil(m_io, [this] { return !m_responses.empty(); });
  }

  // Replies to each offer with kReady.
  static void ReplyReady(const Message& message, const MessageSink& sink) {
    if (const auto* offer = std::get_if<OfferMessage>(&message)) {
      sink(OfferReplyMessage{.m_attempt = offer->m_attempt,
                             .m_verdict = OfferVerdict::kReady});
    }
  }

  static void SendResponse(AttemptNumber number,
                           uint16_t status,
                           const MessageSink& sink) {
    sink(OutcomeMessage{.m_attempt = number,
                        .m_result = AttemptResult::kAnswered,
                        .m_response = {.m_status = status}});
  }

  // Adds the nodes; each grants all offers and ends all attempts like this.
  void FailAttempts(const std::vector<FakeEgressNode*>& nodes,
                    AttemptResult result,
                    AttemptReason reason) {
    for (FakeEgressNode* egress : nodes) {
      m_targets.SetMember(egress->Record());
      egress->m_script = [result, reason](const Message& message,
                                          const MessageSink& sink) {
        ReplyReady(message, sink);
        if (const auto* start = std::get_if<StartMessage>(&message)) {
          sink(OutcomeMessage{.m_attempt = start->m_attempt,
                              .m_result = result,
                              .m_reason = reason});
        }
      };
    }
  }

  asio::io_context m_io;
  PeerKey m_self;
  TargetTable m_targets;
  MeshLinks m_links;
  AccountLimiter m_limiter{
      m_io,      m_self,  {.m_quota = {.m_slack = 0}, .m_is_first_start = true},
      m_targets, m_links, [this] { return m_has_members; }};
  bool m_has_members = true;
  SharedQuarantine m_quarantine{m_self.m_node, {}, [] {}};
  Ingress<FakeCodec> m_ingress;
  std::vector<HttpResponse> m_responses;
  std::vector<CallEnd> m_call_ends;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MESH_TESTS_INGRESS_FIXTURE_H_
