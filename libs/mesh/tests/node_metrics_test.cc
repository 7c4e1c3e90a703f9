#include "sequoiastage/mesh/node_metrics.h"

#include <gtest/gtest.h>

namespace sequoiastage {
namespace {

bool HasLine(const std::string& text, const std::string& line) {
  return text.find("\nsequoiastage_mesh_" + line + "\n") != std::string::npos;
}

// sequoiactl accounts reads these names and labels.
TEST(NodeMetricsTest, RendersAccounts) {
  const std::string text = RenderNodeMetrics(
      {.m_limits = {
           .m_granted = 40,
           .m_coordinator_changes = 2,
           .m_buckets = 3,
           .m_accounts = {{.m_usage = {.m_account = "ferries",
                                       .m_requests = 10,
                                       .m_refused = 4,
                                       .m_spent = 6},
                           .m_loans = {.m_lent = 1.5, .m_borrowed = 0.25},
                           .m_limit = RequestRate(0.5)},
                          {.m_usage = {.m_account = "trams"},
                           .m_loans = {.m_lent = 7},
                           .m_limit = RequestRate(50)}}}});
  for (const std::string line :
       {"account_requests_total{account=\"ferries\"} 10",
        "account_refused_total{account=\"ferries\"} 4",
        "account_tokens_spent_total{account=\"ferries\"} 6",
        "account_tokens_lent_total{account=\"ferries\"} 1.5",
        "account_tokens_borrowed_total{account=\"ferries\"} 0.25",
        "account_limit_per_second{account=\"ferries\"} 0.5",
        "account_requests_total{account=\"trams\"} 0",
        "account_tokens_lent_total{account=\"trams\"} 7",
        "account_tokens_borrowed_total{account=\"trams\"} 0",
        "account_limit_per_second{account=\"trams\"} 50",
        "limit_tokens_total{use=\"granted\"} 40",
        "limit_coordinator_changes_total 2", "limit_buckets 3"}) {
    EXPECT_TRUE(HasLine(text, line)) << line << "\n" << text;
  }
  EXPECT_NE(
      text.find("# TYPE sequoiastage_mesh_account_limit_per_second gauge"),
      std::string::npos);
  EXPECT_NE(
      text.find("# TYPE sequoiastage_mesh_account_tokens_lent_total counter"),
      std::string::npos);
}

// sequoiactl accounts takes a node that lacks these for one of another kind.
TEST(NodeMetricsTest, RendersTheLimitsOfTheNodeWithoutAccounts) {
  const std::string text = RenderNodeMetrics({});
  EXPECT_TRUE(HasLine(text, "limit_tokens_total{use=\"granted\"} 0"));
  EXPECT_TRUE(HasLine(text, "limit_coordinator_changes_total 0"));
  EXPECT_TRUE(HasLine(text, "limit_buckets 0"));
  EXPECT_EQ(text.find("sequoiastage_mesh_account_"), std::string::npos);
}

}  // namespace
}  // namespace sequoiastage
