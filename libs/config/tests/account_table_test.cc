#include "sequoiastage/config/account_table.h"

#include <gtest/gtest.h>

namespace sequoiastage {
namespace {

TEST(AccountTableTest, FindsEachAccountByEachOfItsKeys) {
  const std::vector<ClientAccount> accounts = {
      {.m_name = "a", .m_keys = {"k1", "k2"}},
      {.m_name = "b", .m_keys = {"k3"}},
      {.m_name = "c"}};
  const AccountTable table(accounts);
  ASSERT_NE(table.Find("k1"), nullptr);
  EXPECT_EQ(table.Find("k1")->m_name, "a");
  EXPECT_EQ(table.Find("k2"), table.Find("k1"));
  EXPECT_EQ(table.Find("k3")->m_name, "b");
  EXPECT_EQ(table.Find(""), nullptr);
  EXPECT_EQ(table.Find("k"), nullptr);
  EXPECT_EQ(table.Find("k11"), nullptr);
}

// Otherwise a request could run under the name of another account.
TEST(AccountTableTest, AKeyOfTwoAccountsBelongsToNone) {
  const std::vector<ClientAccount> accounts = {
      {.m_name = "a", .m_keys = {"shared", "k1", "k1"}},
      {.m_name = "b", .m_keys = {"shared"}}};
  const AccountTable table(accounts);
  EXPECT_EQ(table.Find("shared"), nullptr);
  EXPECT_NE(table.Find("k1"), nullptr);
  EXPECT_TRUE(table.IsUnusable("shared"));
  EXPECT_FALSE(table.IsUnusable("k1"));
  EXPECT_FALSE(table.IsUnusable("unknown"));
}

// It is not known which account the caller belongs to.
TEST(AccountTableTest, AKeyOfAnOmittedAccountIsUnusable) {
  const std::vector<ClientAccount> accounts = {
      {.m_name = "a", .m_keys = {"shared", "k1"}}};
  const AccountTable table(accounts, {"shared", "omitted"});
  EXPECT_EQ(table.Find("omitted"), nullptr);
  EXPECT_TRUE(table.IsUnusable("omitted"));
  EXPECT_EQ(table.Find("shared"), nullptr);
  EXPECT_TRUE(table.IsUnusable("shared"));
  EXPECT_NE(table.Find("k1"), nullptr);
}

}  // namespace
}  // namespace sequoiastage
