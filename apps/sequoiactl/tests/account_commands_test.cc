#include "../account_commands.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <sstream>

#include "../account_summary.h"

namespace sequoiastage {
namespace {

const std::string kPrefix = "sequoiastage_mesh_";

Endpoint NodeAt(uint8_t host) {
  return {.m_ip = 0x7f000000U | host, .m_port = 8003};
}

std::string NodeText(int buckets, int granted, int changes) {
  return fmt::format(
      "{0}requests_total{{outcome=\"answered\"}} 7\n"
      "{0}limit_tokens_total{{use=\"spent\"}} 5\n"
      "{0}limit_tokens_total{{use=\"granted\"}} {2}\n"
      "{0}limit_coordinator_changes_total {3}\n"
      "{0}limit_buckets {1}\n",
      kPrefix, buckets, granted, changes);
}

std::string AccountText(const std::string& account,
                        int requests,
                        int rejected,
                        double lent = 0,
                        double borrowed = 0,
                        double limit = 2) {
  return fmt::format(
      "{0}account_requests_total{{account=\"{1}\"}} {2}\n"
      "{0}account_refused_total{{account=\"{1}\"}} {3}\n"
      "{0}account_tokens_spent_total{{account=\"{1}\"}} {4}\n"
      "{0}account_tokens_lent_total{{account=\"{1}\"}} {5}\n"
      "{0}account_tokens_borrowed_total{{account=\"{1}\"}} {6}\n"
      "{0}account_limit_per_second{{account=\"{1}\"}} {7}\n",
      kPrefix, account, requests, rejected, requests - rejected, lent, borrowed,
      limit);
}

MetricsResponse Response(uint8_t host, const std::string& text) {
  return {.m_node = NodeAt(host), .m_status = 200, .m_body = text};
}

class AccountCommandsTest : public testing::Test {
 protected:
  ExitCode Print(const std::vector<MetricsResponse>& responses,
                 size_t max_accounts = kDefaultAccountCount,
                 OutputFormat format = OutputFormat::kTable) {
    return PrintAccounts(
        responses, max_accounts,
        {.m_format = format, .m_out = &m_out, .m_err = &m_err});
  }

  Json PrintedJson(const std::vector<MetricsResponse>& responses,
                   size_t max_accounts = kDefaultAccountCount) {
    EXPECT_EQ(Print(responses, max_accounts, OutputFormat::kJson),
              ExitCode::kDone);
    return Json::parse(m_out.str(), nullptr, false);
  }

  // The names of the printed accounts, in order.
  static std::vector<std::string> Names(const Json& json) {
    std::vector<std::string> names;
    for (const Json& account : json.at("accounts")) {
      names.push_back(account.at("account"));
    }
    return names;
  }

  std::ostringstream m_out;
  std::ostringstream m_err;
};

TEST_F(AccountCommandsTest, PrintsSumsAndNodes) {
  EXPECT_EQ(Print({Response(1, NodeText(3, 40, 2) +
                                   AccountText("ferries", 10, 4, 1.5, 0.25)),
                   Response(2, NodeText(0, 0, 1) +
                                   AccountText("ferries", 100, 50, 0, 0.5) +
                                   AccountText("trams", 3, 0))}),
            ExitCode::kDone);
  EXPECT_EQ(m_out.str(),
            "ACCOUNT  LIMIT/S  REQUESTS  REJECTED  TOKENS SPENT  LENT  "
            "BORROWED\n"
            "ferries  2        110       54        56            1.5   0.75\n"
            "trams    2        3         0         3             0     0\n"
            "\n"
            "NODE            BUCKETS  TOKENS GRANTED  COORDINATOR CHANGES\n"
            "127.0.0.1:8003  3        40              2\n"
            "127.0.0.2:8003  0        0               1\n");
  EXPECT_EQ(m_err.str(), "");
}

TEST_F(AccountCommandsTest, PrintsJson) {
  EXPECT_EQ(
      PrintedJson({Response(1, NodeText(3, 40, 2) +
                                   AccountText("ferries", 10, 4, 0.1, 0.2)),
                   Response(2, NodeText(0, 0, 1) +
                                   AccountText("ferries", 1, 0, 0.2, 0))}),
      Json::parse(R"({"accounts": [{"account": "ferries",
                                    "limits_per_second": [2],
                                    "requests": 11,
                                    "rejected": 4,
                                    "tokens_spent": 7,
                                    "tokens_lent": 0.3,
                                    "tokens_borrowed": 0.2}],
                      "omitted_accounts": 0,
                      "nodes": [{"node": "127.0.0.1:8003",
                                 "buckets": 3,
                                 "tokens_granted": 40,
                                 "coordinator_changes": 2},
                                {"node": "127.0.0.2:8003",
                                 "buckets": 0,
                                 "tokens_granted": 0,
                                 "coordinator_changes": 1}]})"));
}

// While a configuration is rolled out, nodes apply different limits.
TEST_F(AccountCommandsTest, PrintsEachLimitInForce) {
  const Json json = PrintedJson(
      {Response(1, NodeText(0, 0, 0) + AccountText("a", 1, 0, 0, 0, 50)),
       Response(2, NodeText(0, 0, 0) + AccountText("a", 1, 0, 0, 0, 0.5)),
       Response(3, NodeText(0, 0, 0) + AccountText("a", 1, 0, 0, 0, 50))});
  EXPECT_EQ(json.at("accounts")[0].at("limits_per_second"),
            Json::parse("[0.5, 50]"));
}

// The order is that of the sums, not that of any node.
TEST_F(AccountCommandsTest, SortsByRejectedThenRequestsThenName) {
  EXPECT_EQ(
      Names(PrintedJson(
          {Response(1, NodeText(0, 0, 0) + AccountText("d", 9, 5) +
                           AccountText("c", 9, 4) + AccountText("b", 20, 0) +
                           AccountText("e", 30, 0) + AccountText("a", 20, 0)),
           Response(2, NodeText(0, 0, 0) + AccountText("c", 9, 4))})),
      (std::vector<std::string>{"c", "d", "e", "a", "b"}));
}

TEST_F(AccountCommandsTest, PrintsTheFirstAccountsOnly) {
  std::string text = NodeText(0, 0, 0);
  for (int i = 0; i < 23; ++i) {
    text += AccountText("a" + std::to_string(i), 100 - i, 0);
  }
  const Json json = PrintedJson({Response(1, text)});
  EXPECT_EQ(json.at("accounts").size(), 20U);
  EXPECT_EQ(json.at("omitted_accounts"), 3);
  EXPECT_EQ(Names(json).back(), "a19");
  m_out.str("");
  EXPECT_EQ(PrintedJson({Response(1, text)}, SIZE_MAX).at("accounts").size(),
            23U);
  m_out.str("");
  EXPECT_EQ(Print({Response(1, text)}), ExitCode::kDone);
  EXPECT_NE(m_out.str().find("\n3 more accounts; --all prints them\n"),
            std::string::npos);
}

TEST_F(AccountCommandsTest, NodesWithoutAccountsHaveAnEmptyTable) {
  EXPECT_EQ(Print({Response(1, NodeText(0, 0, 0))}), ExitCode::kDone);
  EXPECT_EQ(m_out.str().rfind("ACCOUNT  LIMIT/S", 0), 0U);
  EXPECT_NE(m_out.str().find("127.0.0.1:8003"), std::string::npos);
}

// An older node reports neither loans nor limits.
TEST_F(AccountCommandsTest, CountsAnOlderNode) {
  const Json json = PrintedJson(
      {Response(1, NodeText(0, 0, 0) + kPrefix +
                       "account_requests_total{account=\"a\"} 4\n")});
  EXPECT_EQ(json.at("accounts")[0].at("requests"), 4);
  EXPECT_TRUE(json.at("accounts")[0].at("limits_per_second").empty());
}

// One node that is down or answers something else must not hide the others,
// and must not be counted in part.
TEST_F(AccountCommandsTest, LeavesOutNodesWithoutAUsableResponse) {
  const std::string usable = NodeText(1, 1, 1) + AccountText("a", 5, 1);
  EXPECT_EQ(PrintedJson(
                {{.m_node = NodeAt(1), .m_reason = "no answer: refused"},
                 Response(2, usable),
                 {.m_node = NodeAt(3), .m_status = 404, .m_body = usable},
                 Response(4, "<html></html>\n"),
                 Response(5, "sequoiastage_requests_total 5\n"),
                 Response(6, usable + "a{"),
                 Response(7, usable + kPrefix +
                                 "account_refused_total{account=\"b\"} -1\n"),
                 Response(8, usable + kPrefix +
                                 "account_refused_total{account=\"b\"} NaN\n"),
                 Response(9, usable + kPrefix + "account_refused_total 1\n"),
                 Response(10, "")})
                .at("accounts")[0]
                .at("requests"),
            5);
  EXPECT_EQ(
      m_err.str(),
      "error: 127.0.0.1:8003 is left out: no answer: refused\n"
      "error: 127.0.0.3:8003 is left out: the node answered 404\n"
      "error: 127.0.0.4:8003 is left out: line 1 is malformed\n"
      "error: 127.0.0.5:8003 is left out: these are not the metrics of a "
      "mesh node\n"
      "error: 127.0.0.6:8003 is left out: line 12 has no end\n"
      "error: 127.0.0.7:8003 is left out: "
      "sequoiastage_mesh_account_refused_total has an invalid value\n"
      "error: 127.0.0.8:8003 is left out: "
      "sequoiastage_mesh_account_refused_total has an invalid value\n"
      "error: 127.0.0.9:8003 is left out: "
      "sequoiastage_mesh_account_refused_total names no account\n"
      "error: 127.0.0.10:8003 is left out: these are not the metrics of a "
      "mesh node\n");
}

TEST_F(AccountCommandsTest, NoUsableNodeIsAnUnreachableNode) {
  EXPECT_EQ(Print({{.m_node = NodeAt(1), .m_reason = "no answer: refused"}}),
            ExitCode::kNodeUnavailable);
  EXPECT_EQ(m_out.str(), "");
}

// A node that is given twice must not be counted twice.
TEST(AccountNodesTest, DropsRepeatedNodes) {
  std::string reason;
  EXPECT_EQ(ParseNodes({"127.0.0.2:8003", "127.0.0.1:8003", "127.0.0.2:8003"},
                       &reason),
            (std::vector<Endpoint>{NodeAt(2), NodeAt(1)}));
  EXPECT_FALSE(ParseNodes({"127.0.0.2:8003", "127.0.0.1"}, &reason));
  EXPECT_EQ(reason, "127.0.0.1 must be IP:PORT");
}

}  // namespace
}  // namespace sequoiastage
