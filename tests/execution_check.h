#ifndef SEQUOIASTAGE_TESTS_EXECUTION_CHECK_H_
#define SEQUOIASTAGE_TESTS_EXECUTION_CHECK_H_

#include <map>
#include <string>

#include "load.h"

namespace sequoiastage {

/// Checks the outcome that each keyed request received against the instances'
/// execution counts. Returns the number of requests whose final outcome is
/// not-run.
int CheckExecutions(const LoadResult& result,
                    const std::map<std::string, int>& executions);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_TESTS_EXECUTION_CHECK_H_
