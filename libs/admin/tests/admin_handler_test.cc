#include "sequoiastage/admin/admin_handler.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <nlohmann/json.hpp>

#include "fake_admin_source.h"

namespace sequoiastage {
namespace {

HttpRequest MakeRequest(const std::string& method,
                        const std::string& target,
                        std::vector<HttpField> fields,
                        const std::string& body = "") {
  return {.m_method = method,
          .m_host = "127.0.0.1",
          .m_target = target,
          .m_fields = std::move(fields),
          .m_body = body};
}

NodeId MakeNode(const char* text) {
  return NodeId(*ParseEndpoint(text));
}

class AdminHandlerTest : public testing::Test {
 protected:
  HttpResponse Send(const HttpRequest& request) {
    AdminHandler<FakeAdminSource> handler(m_options, &m_source);
    std::optional<HttpResponse> response;
    handler.Handle(request, [&](HttpResponse sent) {
      EXPECT_FALSE(response) << "more than one response";
      response = std::move(sent);
    });
    return response.value_or(HttpResponse{});
  }

  HttpField Authorization() const {
    return {"Authorization", "Bearer " + m_options.m_token};
  }

  HttpResponse Get(const std::string& target) {
    return Send(MakeRequest("GET", target, {Authorization()}));
  }

  HttpRequest PostRequest(const std::string& target, const std::string& body) {
    return MakeRequest(
        "POST", target,
        {Authorization(), {"Content-Type", "application/json; charset=utf-8"}},
        body);
  }

  HttpResponse Post(const std::string& target, const std::string& body) {
    return Send(PostRequest(target, body));
  }

  nlohmann::json GetJson(const std::string& target) {
    const HttpResponse response = Get(target);
    EXPECT_EQ(response.m_status, 200) << response.m_body;
    EXPECT_EQ(*FindField(response.m_fields, "Content-Type"),
              "application/json");
    return nlohmann::json::parse(response.m_body);
  }

  // Sends a valid publish request and completes it with `result`.
  HttpResponse Publish(const PublishResult& result) {
    AdminHandler<FakeAdminSource> handler(m_options, &m_source);
    HttpResponse response;
    handler.Handle(PostRequest("/v1/config/publish", kPublish),
                   [&](HttpResponse sent) { response = std::move(sent); });
    EXPECT_EQ(response.m_body, "")
        << "response sent before the publish completed";
    EXPECT_EQ(m_source.m_publishes.size(), 1u);
    m_source.m_publishes.at(0).second(result);
    return response;
  }

  static constexpr char kPublish[] =
      R"({"scope": "base", "from_version": 7, "author": "jana",
          "change_id": "c1", "document": {"services": {}}})";

  AdminOptions m_options = {.m_token = "0123456789abcdef",
                            .m_listen = *ParseEndpoint("127.0.1.1:8082")};
  FakeAdminSource m_source;
};

TEST_F(AdminHandlerTest, WrongOrMissingTokenIsRefused) {
  for (const char* authorization :
       {"", "Bearer", "Bearer ", "Bearer 0123456789abcdeX",
        "Bearer 0123456789abcdef0", "Basic 0123456789abcdef",
        "0123456789abcdef"}) {
    const HttpResponse response = Send(
        MakeRequest("GET", "/v1/status", {{"Authorization", authorization}}));
    EXPECT_EQ(response.m_status, 401) << authorization;
    EXPECT_EQ(*FindField(response.m_fields, "Content-Type"),
              "application/problem+json");
    EXPECT_EQ(response.m_body.find(m_options.m_token), std::string::npos);
  }
}

TEST_F(AdminHandlerTest, NoAuthorizationFieldIsRefused) {
  EXPECT_EQ(Send(MakeRequest("GET", "/v1/status", {})).m_status, 401);
}

TEST_F(AdminHandlerTest, WithoutATokenOnlyLoopbackIsServed) {
  m_options.m_token.clear();
  EXPECT_EQ(Send(MakeRequest("GET", "/v1/status", {})).m_status, 200);
  m_options.m_listen = *ParseEndpoint("10.1.2.3:8082");
  EXPECT_EQ(Send(MakeRequest("GET", "/v1/status", {})).m_status, 401);
  EXPECT_EQ(Get("/v1/status").m_status, 401);
}

TEST_F(AdminHandlerTest, UnauthorizedCommandHasNoEffect) {
  const HttpResponse response =
      Send(MakeRequest("POST", "/v1/instances/127.0.1.1:7001/drain",
                       {{"Authorization", "Bearer wrong"}}));
  EXPECT_EQ(response.m_status, 401);
  EXPECT_TRUE(m_source.m_drains.empty());
}

TEST_F(AdminHandlerTest, UnknownPathsMethodsAndQueries) {
  EXPECT_EQ(Get("/").m_status, 404);
  EXPECT_EQ(Get("").m_status, 404);
  EXPECT_EQ(Get("/v1/nodes/").m_status, 404);
  EXPECT_EQ(Get("/v1/status/x").m_status, 404);
  const HttpResponse wrong_method = Post("/v1/status", "{}");
  EXPECT_EQ(wrong_method.m_status, 405);
  EXPECT_EQ(*FindField(wrong_method.m_fields, "Allow"), "GET");
  EXPECT_EQ(Get("/v1/nodes?limit=0").m_status, 400);
  EXPECT_EQ(Get("/v1/nodes?limit=x").m_status, 400);
  EXPECT_EQ(Get("/v1/nodes?colour=red").m_status, 400);
  EXPECT_EQ(Get("/v1/services/%4").m_status, 400);
}

TEST_F(AdminHandlerTest, ShowsStatus) {
  m_source.m_status = {.m_node = MakeNode("127.0.1.1:8081"),
                       .m_incarnation = Incarnation(5),
                       .m_software_version = "0.1.0",
                       .m_region = "south",
                       .m_failure_domain = "south-a",
                       .m_site = "znojmo",
                       .m_uptime = std::chrono::seconds(2),
                       .m_is_log_reachable = true,
                       .m_config_version = LogOffset(9)};
  const auto json = GetJson("/v1/status");
  EXPECT_EQ(json["node"], "127.0.1.1:8081");
  EXPECT_EQ(json["incarnation"], 5);
  EXPECT_EQ(json["uptime_ms"], 2000);
  EXPECT_EQ(json["config_version"], 9);
  EXPECT_EQ(json["log_reachable"], true);
}

TEST_F(AdminHandlerTest, ShowsDocumentsInForce) {
  m_source.m_config = {.m_version = LogOffset(4),
                       .m_documents = {{.m_scope = "base",
                                        .m_version = LogOffset(4),
                                        .m_text = R"({"a": 1})"}}};
  const auto json = GetJson("/v1/config");
  EXPECT_EQ(json["documents"][0]["document"]["a"], 1);
}

TEST_F(AdminHandlerTest, HistoryHasOnlyAcceptedChangesNewestFirst) {
  for (uint64_t offset = 1; offset <= 4; ++offset) {
    m_source.m_audit.push_back({.m_offset = LogOffset(offset),
                                .m_kind = offset == 3
                                              ? AuditKind::kEjectionChange
                                              : AuditKind::kConfigChange,
                                .m_author = "jana",
                                .m_subject = "base",
                                .m_from_version = LogOffset(offset - 1),
                                .m_change_id = "c",
                                .m_is_accepted = offset != 2,
                                .m_reason = offset == 2 ? "stale" : ""});
  }
  const auto history = GetJson("/v1/config/history");
  ASSERT_EQ(history["changes"].size(), 2u);
  EXPECT_EQ(history["changes"][0]["offset"], 4);
  EXPECT_EQ(history["changes"][1]["offset"], 1);
  const auto audit = GetJson("/v1/audit?limit=3");
  EXPECT_EQ(audit["total"], 4);
  ASSERT_EQ(audit["records"].size(), 3u);
  EXPECT_EQ(audit["records"][1]["kind"], "ejection-change");
  EXPECT_EQ(audit["records"][2]["reason"], "stale");
  EXPECT_EQ(audit["records"][2]["time"], "1970-01-01T00:00:00.000Z");
}

TEST_F(AdminHandlerTest, RolloutListsNodesWithoutTheVersion) {
  m_source.m_rollout = {
      .m_version = LogOffset(8),
      .m_nodes = {{MakeNode("127.0.1.1:1"), "a", LogOffset(8)},
                  {MakeNode("127.0.2.1:1"), "b", LogOffset(7)}}};
  const auto newest = GetJson("/v1/config/status");
  EXPECT_EQ(newest["in_force"], 1);
  EXPECT_EQ(newest["nodes"], 2);
  ASSERT_EQ(newest["missing"].size(), 1u);
  EXPECT_EQ(newest["missing"][0]["node"], "127.0.2.1:1");
  EXPECT_EQ(GetJson("/v1/config/status?version=7")["in_force"], 2);
  EXPECT_EQ(GetJson("/v1/config/status?version=9")["in_force"], 0);
}

TEST_F(AdminHandlerTest, ServicesCountTheirInstances) {
  m_source.m_services = {{.m_name = "approvals", .m_floor = 6},
                         {.m_name = "a b", .m_floor = 0}};
  m_source.m_instances = {
      {.m_instance = InstanceId(*ParseEndpoint("127.0.1.1:7001")),
       .m_service = "approvals",
       .m_slots = 3},
      {.m_instance = InstanceId(*ParseEndpoint("127.0.2.1:7001")),
       .m_service = "approvals",
       .m_condition = InstanceCondition::kSuspect,
       .m_slots = 3}};
  const auto services = GetJson("/v1/services");
  EXPECT_EQ(services["services"][0]["slots"], 6);
  EXPECT_EQ(services["services"][0]["healthy"], 1);
  EXPECT_EQ(services["services"][0]["suspect"], 1);
  EXPECT_EQ(services["services"][1]["instances"], 0);
  EXPECT_EQ(GetJson("/v1/services/approvals")["members"].size(), 2u);
  EXPECT_EQ(GetJson("/v1/services/a%20b")["members"].size(), 0u);
  EXPECT_EQ(Get("/v1/services/none").m_status, 404);
  EXPECT_EQ(GetJson("/v1/instances?service=approvals")["total"], 2);
  EXPECT_EQ(GetJson("/v1/instances?service=none")["total"], 0);
}

TEST_F(AdminHandlerTest, ShowsNodes) {
  m_source.m_nodes = {{.m_node = MakeNode("127.0.1.1:1"), .m_instances = 2}};
  EXPECT_EQ(GetJson("/v1/nodes")["total"], 1);
  EXPECT_EQ(GetJson("/v1/nodes/127.0.1.1:1")["instances"], 2);
  EXPECT_EQ(Get("/v1/nodes/127.0.1.1:2").m_status, 404);
}

TEST_F(AdminHandlerTest, DrainsAndUndrains) {
  EXPECT_EQ(Post("/v1/instances/127.0.1.1:7001/drain", "").m_status, 200);
  EXPECT_EQ(Post("/v1/instances/127.0.1.1:7001/undrain", "").m_status, 200);
  const InstanceId instance(*ParseEndpoint("127.0.1.1:7001"));
  EXPECT_EQ(m_source.m_drains, (std::vector<std::pair<InstanceId, bool>>(
                                   {{instance, true}, {instance, false}})));
  EXPECT_EQ(Post("/v1/instances/x/drain", "").m_status, 404);
  m_source.m_drain_result = {.m_verdict = DrainVerdict::kOtherNode,
                             .m_node = MakeNode("127.0.2.1:8081")};
  const HttpResponse other = Post("/v1/instances/127.0.2.1:7001/drain", "");
  EXPECT_EQ(other.m_status, 421);
  EXPECT_EQ(nlohmann::json::parse(other.m_body)["node"], "127.0.2.1:8081");
}

TEST_F(AdminHandlerTest, ShowsOutcomeOfKey) {
  m_source.m_keys["k1"] = {.m_outcome = KeyOutcome::kAnswered,
                           .m_owner = MakeNode("127.0.1.1:1"),
                           .m_reason = "run and answered"};
  EXPECT_EQ(GetJson("/v1/outcomes/k1")["outcome"], "answered");
  EXPECT_EQ(Get("/v1/outcomes/k2").m_status, 404);
}

TEST_F(AdminHandlerTest, PublishForwardsTheDocument) {
  const HttpResponse response = Publish(
      {.m_verdict = PublishVerdict::kAccepted, .m_version = LogOffset(8)});
  EXPECT_EQ(response.m_status, 200);
  EXPECT_EQ(nlohmann::json::parse(response.m_body)["version"], 8);
  const PublishRequest& request = m_source.m_publishes[0].first;
  EXPECT_EQ(request.m_scope, "base");
  EXPECT_EQ(request.m_from_version, LogOffset(7));
  EXPECT_EQ(request.m_author, "jana");
  EXPECT_EQ(request.m_change_id, "c1");
  EXPECT_EQ(request.m_document, R"({"services":{}})");
}

TEST_F(AdminHandlerTest, FirstPublishOfScopeHasNoFromVersion) {
  AdminHandler<FakeAdminSource> handler(m_options, &m_source);
  handler.Handle(
      PostRequest("/v1/config/publish",
                  R"({"scope": "base", "author": "jana", "change_id": "c1",
                      "document": {}})"),
      [](const HttpResponse&) {});
  ASSERT_EQ(m_source.m_publishes.size(), 1u);
  EXPECT_FALSE(m_source.m_publishes[0].first.m_from_version);
}

TEST_F(AdminHandlerTest, MissingConfigurationIsNull) {
  EXPECT_TRUE(GetJson("/v1/status")["config_version"].is_null());
  m_source.m_rollout.m_nodes = {{MakeNode("127.0.1.1:1"), "a", {}}};
  EXPECT_EQ(GetJson("/v1/config/status")["in_force"], 1);
  EXPECT_EQ(GetJson("/v1/config/status?version=0")["in_force"], 0);
}

TEST_F(AdminHandlerTest, ConflictReportsTheWinningChange) {
  const HttpResponse response =
      Publish({.m_verdict = PublishVerdict::kConflict,
               .m_version = LogOffset(8),
               .m_winner = AuditRecord{.m_offset = LogOffset(8),
                                       .m_author = "petr",
                                       .m_subject = "base"},
               .m_reason = "petr published version 8 first"});
  EXPECT_EQ(response.m_status, 409);
  const auto json = nlohmann::json::parse(response.m_body);
  EXPECT_EQ(json["code"], "conflict");
  EXPECT_EQ(json["winner"]["author"], "petr");
}

TEST_F(AdminHandlerTest, InvalidConfigurationListsFindings) {
  const HttpResponse response =
      Publish({.m_verdict = PublishVerdict::kInvalid,
               .m_findings = {{"base", "/services", "is empty"},
                              {"base", "/routes", "is absent"}}});
  EXPECT_EQ(response.m_status, 422);
  EXPECT_EQ(nlohmann::json::parse(response.m_body)["findings"].size(), 2u);
}

TEST_F(AdminHandlerTest, DistinguishesLogOutageFromUnknownOutcome) {
  const HttpResponse down =
      Publish({.m_verdict = PublishVerdict::kLogUnavailable});
  EXPECT_EQ(down.m_status, 503);
  EXPECT_NE(FindField(down.m_fields, "Retry-After"), nullptr);
  m_source.m_publishes.clear();
  EXPECT_EQ(Publish({.m_verdict = PublishVerdict::kUnknown}).m_status, 504);
}

TEST_F(AdminHandlerTest, InvalidPublishListsAllFindingsAndIsNotForwarded) {
  const HttpResponse response = Post(
      "/v1/config/publish",
      R"({"scope": 1, "from_version": -1, "document": [], "colour": "red"})");
  EXPECT_EQ(response.m_status, 400);
  EXPECT_EQ(nlohmann::json::parse(response.m_body)["findings"].size(), 6u)
      << response.m_body;
  EXPECT_EQ(Post("/v1/config/publish", "").m_status, 400);
  EXPECT_TRUE(m_source.m_publishes.empty());
}

TEST_F(AdminHandlerTest, PublishNeedsTheJsonContentType) {
  const HttpResponse response = Send(
      MakeRequest("POST", "/v1/config/publish",
                  {Authorization(), {"Content-Type", "text/plain"}}, kPublish));
  EXPECT_EQ(response.m_status, 415);
  EXPECT_TRUE(m_source.m_publishes.empty());
}

TEST_F(AdminHandlerTest, MetricsAreText) {
  m_source.m_metrics = {{.m_name = "x_total",
                         .m_help = "X.",
                         .m_type = MetricType::kCounter,
                         .m_samples = {{.m_labels = {}, .m_value = 3}}}};
  const HttpResponse response = Get("/metrics");
  EXPECT_EQ(*FindField(response.m_fields, "Content-Type"), kMetricsContentType);
  EXPECT_NE(response.m_body.find("x_total 3\n"), std::string::npos);
}

RC_GTEST_PROP(AdminRouteTest, EveryTargetHasARouteOrAProblem, ()) {
  const auto target = *rc::gen::arbitrary<std::string>();
  HttpResponse problem;
  for (const std::string& path :
       {target, "/v1/services/" + target, "/v1/nodes?" + target}) {
    const auto route = ParseAdminRoute("GET", path, &problem);
    RC_ASSERT(route.has_value() || problem.m_status >= 400);
  }
}

}  // namespace
}  // namespace sequoiastage
