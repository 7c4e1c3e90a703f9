#ifndef SEQUOIASTAGE_TESTS_EXECUTION_CHECK_H_
#define SEQUOIASTAGE_TESTS_EXECUTION_CHECK_H_

#include <map>
#include <string>

#include "load.h"

namespace sequoiastage {

/// Checks what each keyed request was told against the instances' own counts.
/// Returns how many were told not-run for good.
int CheckExecutions(const LoadResult& result,
                    const std::map<std::string, int>& executions);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_TESTS_EXECUTION_CHECK_H_
