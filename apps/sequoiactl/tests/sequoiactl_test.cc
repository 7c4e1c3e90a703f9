#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdio>
#include <deque>
#include <fstream>
#include <map>
#include <sstream>

#include "config_commands.h"
#include "json_output.h"
#include "show_commands.h"

namespace sequoiastage {
namespace {

constexpr char kBase[] = R"({
  "sites": ["znojmo", "mikulov"],
  "services": {"approvals": {"instances": 12, "floor": 9}},
  "routes": {"approve": {"host": "filing.example", "path": "/approvals",
                         "service": "approvals"}}
})";

// Returns queued responses by target; the last one of a queue is repeated.
struct FakeApi {
  std::map<std::string, std::deque<ApiResponse>> m_responses;
  std::vector<std::pair<std::string, Json>> m_posts;

  ApiResponse Get(const std::string& target) { return Next(target); }

  ApiResponse Post(const std::string& target, const Json& body) {
    m_posts.emplace_back(target, body);
    return Next(target);
  }

  ApiResponse Next(const std::string& target) {
    auto& responses = m_responses[target];
    if (responses.empty()) {
      return {.m_reason = "no answer set for target: " + target};
    }
    ApiResponse response = responses.front();
    if (responses.size() > 1) {
      responses.pop_front();
    }
    return response;
  }
};

// Advances only in Sleep().
struct FakeClock {
  TimePoint m_now{};

  TimePoint Now() const { return m_now; }
  void Sleep(Duration duration) { m_now += duration; }
};

class SequoiactlTest : public testing::Test {
 protected:
  SequoiactlTest() {
    m_path = testing::TempDir() + "sequoiactl_test_" +
             testing::UnitTest::GetInstance()->current_test_info()->name() +
             ".json";
    m_options.m_file = m_path;
  }
  ~SequoiactlTest() override { std::remove(m_path.c_str()); }

  void WriteFile(const std::string& text) { std::ofstream(m_path) << text; }

  CommandOutput Output(OutputFormat format = OutputFormat::kTable) {
    return {.m_format = format, .m_out = &m_out, .m_err = &m_err};
  }

  // Sets up a node with kBase in force as version 4 and a file with a higher
  // floor.
  void SetUpVersion4() {
    m_api.m_responses["/v1/config"] = {
        {.m_status = 200,
         .m_json = {{"version", 4},
                    {"documents",
                     {{{"scope", "base"},
                       {"version", 4},
                       {"document", Json::parse(kBase)}}}}}}};
    Json changed = Json::parse(kBase);
    changed["services"]["approvals"]["floor"] = 10;
    WriteFile(changed.dump());
  }

  ApiResponse Rollout(uint64_t in_force, uint64_t nodes) {
    Json missing = Json::array();
    if (in_force < nodes) {
      missing.push_back({{"node", "127.0.2.1:8081"},
                         {"failure_domain", "south-b"},
                         {"config_version", 4}});
    }
    return {.m_status = 200,
            .m_json = {{"version", 5},
                       {"nodes", nodes},
                       {"in_force", in_force},
                       {"missing", missing}}};
  }

  ExitCode Publish() {
    return PublishConfig(m_api, m_clock, m_options, Output());
  }

  FakeApi m_api;
  FakeClock m_clock;
  std::ostringstream m_out;
  std::ostringstream m_err;
  std::string m_path;
  PublishOptions m_options = {.m_scope = "base",
                              .m_from_version = 4,
                              .m_author = "jana",
                              .m_change_id = "c1",
                              .m_wait = std::chrono::seconds(9)};
};

TEST_F(SequoiactlTest, PublishWaitsUntilTheVersionIsInForceEverywhere) {
  SetUpVersion4();
  m_api.m_responses["/v1/config/publish"] = {
      {.m_status = 200, .m_json = {{"version", 5}}}};
  m_api.m_responses["/v1/config/status?version=5"] = {
      Rollout(1, 3), Rollout(1, 3), Rollout(2, 3), Rollout(3, 3)};
  EXPECT_EQ(Publish(), ExitCode::kDone);
  EXPECT_EQ(m_err.str(),
            "/services/approvals/floor: 9 -> 10\n"
            "accepted as version 5\n"
            "version 5: in force on 1 of 3 nodes\n"
            "version 5: in force on 2 of 3 nodes\n"
            "version 5: in force on 3 of 3 nodes\n");
  EXPECT_EQ(m_out.str(), "version 5 is in force on 3 of 3 nodes\n");
  ASSERT_EQ(m_api.m_posts.size(), 1u);
  EXPECT_EQ(m_api.m_posts[0].second["from_version"], 4);
  EXPECT_EQ(m_api.m_posts[0].second["change_id"], "c1");
  EXPECT_EQ(m_api.m_posts[0].second["author"], "jana");
}

TEST_F(SequoiactlTest, PublishListsTheNodesWithoutTheVersion) {
  SetUpVersion4();
  m_api.m_responses["/v1/config/publish"] = {
      {.m_status = 200, .m_json = {{"version", 5}}}};
  m_api.m_responses["/v1/config/status?version=5"] = {Rollout(2, 3)};
  EXPECT_EQ(Publish(), ExitCode::kIncompleteRollout);
  EXPECT_NE(m_out.str().find("127.0.2.1:8081"), std::string::npos);
  EXPECT_EQ(m_clock.m_now.time_since_epoch(), m_options.m_wait);
}

TEST_F(SequoiactlTest, ConflictReportsTheWinningChangeAndTheNextStep) {
  SetUpVersion4();
  m_api.m_responses["/v1/config/publish"] = {
      {.m_status = 409,
       .m_json = {{"detail", "the scope is at version 6"},
                  {"winner",
                   {{"author", "petr"},
                    {"change_id", "c7"},
                    {"offset", 6},
                    {"time", "2026-12-03T21:00:00.000Z"},
                    {"differences", {"/routes/approve/path: 1 -> 2"}}}}}}};
  EXPECT_EQ(Publish(), ExitCode::kConflict);
  EXPECT_NE(m_err.str().find("petr's change c7, version 6"), std::string::npos)
      << m_err.str();
  EXPECT_NE(m_err.str().find("/routes/approve/path"), std::string::npos);
  EXPECT_NE(m_err.str().find("config show --scope=base"), std::string::npos);
}

TEST_F(SequoiactlTest, LogOutageIsReported) {
  SetUpVersion4();
  m_api.m_responses["/v1/config/publish"] = {
      {.m_status = 503, .m_json = {{"detail", "no answer from the log"}}}};
  EXPECT_EQ(Publish(), ExitCode::kLogUnavailable);
  EXPECT_NE(m_err.str().find("log is down and this command wrote nothing"),
            std::string::npos);
  EXPECT_EQ(m_api.m_posts.size(), 1u);
}

TEST_F(SequoiactlTest, LostResponseIsRetriedWithTheSameChangeId) {
  SetUpVersion4();
  m_api.m_responses["/v1/config/publish"] = {
      {.m_status = 504, .m_json = {{"detail", "lost"}}},
      {.m_reason = "timeout"},
      {.m_status = 200, .m_json = {{"version", 5}}}};
  m_api.m_responses["/v1/config/status?version=5"] = {Rollout(3, 3)};
  EXPECT_EQ(Publish(), ExitCode::kDone);
  ASSERT_EQ(m_api.m_posts.size(), 3u);
  EXPECT_EQ(m_api.m_posts[0], m_api.m_posts[2]);
}

TEST_F(SequoiactlTest, ResponseLostUntilTheDeadlineIsUnknown) {
  SetUpVersion4();
  m_api.m_responses["/v1/config/publish"] = {{.m_reason = "timeout"}};
  EXPECT_EQ(Publish(), ExitCode::kUnknown);
  EXPECT_NE(m_err.str().find("--change_id=c1"), std::string::npos);
}

TEST_F(SequoiactlTest, OutageAfterALostResponseIsUnknown) {
  SetUpVersion4();
  m_api.m_responses["/v1/config/publish"] = {
      {.m_status = 504, .m_json = {{"detail", "lost"}}},
      {.m_status = 503, .m_json = {{"detail", "no log"}}}};
  EXPECT_EQ(Publish(), ExitCode::kUnknown);
  EXPECT_EQ(m_err.str().find("wrote nothing"), std::string::npos);
}

TEST_F(SequoiactlTest, InvalidFileIsNotPublished) {
  SetUpVersion4();
  WriteFile(R"({"sites": [], "services": {}, "colour": 1})");
  EXPECT_EQ(Publish(), ExitCode::kInvalid);
  EXPECT_TRUE(m_api.m_posts.empty());
  EXPECT_NE(m_err.str().find(m_path + ": /colour"), std::string::npos)
      << m_err.str();
}

TEST_F(SequoiactlTest, OverlayIsCheckedWithTheBaseInForce) {
  SetUpVersion4();
  m_options.m_scope = "mikulov";
  WriteFile(R"({"services": {"approvals": {"floor": 13}}})");
  EXPECT_EQ(Publish(), ExitCode::kInvalid);
  m_options.m_scope = "nowhere";
  WriteFile("{}");
  EXPECT_EQ(Publish(), ExitCode::kInvalid);
  EXPECT_TRUE(m_api.m_posts.empty());
}

TEST_F(SequoiactlTest, DiffShowsVersionAndDifferences) {
  SetUpVersion4();
  EXPECT_EQ(PrintDifferences(m_api.Get("/v1/config"), "base", m_path, Output()),
            ExitCode::kDone);
  EXPECT_EQ(m_out.str(),
            "against version 4 of scope base: 1 difference(s)\n"
            "/services/approvals/floor: 9 -> 10\n");
}

TEST_F(SequoiactlTest, CheckPrintsEveryFinding) {
  WriteFile(R"({"sites": ["znojmo"], "colour": 1,
    "services": {"approvals": {"instances": 2, "floor": 9, "size": 3},
                 "archive": {"instances": "many", "floor": 1}},
    "routes": {"r": {"host": "x", "path": "/", "service": "none"}}})");
  EXPECT_EQ(CheckConfig(m_path, {}, Output()), ExitCode::kInvalid);
  for (const char* place :
       {"/colour", "/services/approvals/floor", "/services/approvals/size",
        "/services/archive/instances", "/routes/r/service"}) {
    EXPECT_NE(m_err.str().find(m_path + ": " + place), std::string::npos)
        << place << "\n"
        << m_err.str();
  }
  EXPECT_NE(m_err.str().find("5 finding(s)"), std::string::npos) << m_err.str();
}

TEST_F(SequoiactlTest, CheckAcceptsOverlaysBySiteOrFileName) {
  WriteFile(kBase);
  const std::string overlay = testing::TempDir() + "mikulov.json";
  std::ofstream(overlay) << R"({"services": {"approvals": {"floor": 8}}})";
  EXPECT_EQ(CheckConfig(m_path, {overlay}, Output()), ExitCode::kDone)
      << m_err.str();
  EXPECT_EQ(CheckConfig(m_path, {"znojmo=" + overlay}, Output()),
            ExitCode::kDone)
      << m_err.str();
  EXPECT_EQ(CheckConfig(m_path, {"brno=" + overlay}, Output()),
            ExitCode::kInvalid);
  EXPECT_EQ(CheckConfig(m_path, {"no-such-file"}, Output()),
            ExitCode::kInvalid);
  std::remove(overlay.c_str());
}

TEST_F(SequoiactlTest, ListIsPrintedAsATable) {
  m_api.m_responses["/v1/nodes"] = {
      {.m_status = 200,
       .m_json = {{"total", 1},
                  {"nodes",
                   {{{"node", "127.0.1.1:8081"},
                     {"region", "south"},
                     {"config_version", nullptr}}}}}}};
  EXPECT_EQ(Show(m_api, "/v1/nodes",
                 {.m_list = "nodes",
                  .m_columns = {{"NODE", "node"},
                                {"CONFIG", "config_version"},
                                {"REGION", "region"}}},
                 Output()),
            ExitCode::kDone);
  EXPECT_EQ(m_out.str(),
            "total: 1\n\n"
            "NODE            CONFIG  REGION\n"
            "127.0.1.1:8081  -       south\n");
}

TEST_F(SequoiactlTest, EveryErrorStatusHasAnExitCode) {
  const std::map<int, ExitCode> expected = {
      {0, ExitCode::kNodeUnavailable},   {400, ExitCode::kInvalid},
      {401, ExitCode::kNodeUnavailable}, {404, ExitCode::kNotFound},
      {409, ExitCode::kConflict},        {422, ExitCode::kInvalid},
      {500, ExitCode::kNodeUnavailable}, {503, ExitCode::kLogUnavailable},
      {504, ExitCode::kUnknown},         {302, ExitCode::kNodeUnavailable}};
  for (const auto& [status, exit_code] : expected) {
    EXPECT_EQ(ReportProblem({.m_status = status}, Output()), exit_code)
        << status;
    EXPECT_EQ(ReportProblem({.m_status = status, .m_json = {{"detail", "why"}}},
                            Output()),
              exit_code)
        << status;
  }
}

RC_GTEST_PROP(SequoiactlOutputTest,
              MalformedResponseDoesNotCrashTheOutput,
              ()) {
  std::string text = R"({"total": 1, "nodes": [{"node": "x"}], "n": [1, "a"]})";
  for (int i = *rc::gen::inRange(0, 6); i > 0; --i) {
    text[*rc::gen::inRange<size_t>(0, text.size())] =
        *rc::gen::arbitrary<char>();
  }
  std::ostringstream out;
  std::ostringstream err;
  const ApiResponse response = {.m_status = 200,
                                .m_json = Json::parse(text, nullptr, false)};
  PrintResponse(response, NodeListView(), {.m_out = &out, .m_err = &err});
  ReadDocumentsInForce(response.m_json);
  ReadRolloutCount(response);
}

}  // namespace
}  // namespace sequoiastage
