#include "execution_check.h"

#include <gtest/gtest.h>

namespace sequoiastage {

int CheckExecutions(const LoadResult& result,
                    const std::map<std::string, int>& executions) {
  int not_run = 0;
  for (const auto& [id, record] : result.m_keyed) {
    const auto found = executions.find(id);
    const int count = found == executions.end() ? 0 : found->second;
    EXPECT_LE(count, 1) << id << " ran more than once";
    if (record.m_was_answered) {
      EXPECT_EQ(count, 1) << id << " was answered";
    }
    if (record.m_is_not_run) {
      ++not_run;
      EXPECT_EQ(count, 0) << id << " was told not-run";
    }
  }
  return not_run;
}

}  // namespace sequoiastage
