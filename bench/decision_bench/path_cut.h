#ifndef SEQUOIASTAGE_BENCH_DECISION_BENCH_PATH_CUT_H_
#define SEQUOIASTAGE_BENCH_DECISION_BENCH_PATH_CUT_H_

#include <cstdint>

namespace sequoiastage {

/// Prints how soon an ingress stops using a path that returns no frames, and
/// how many requests it loses there, over `trials` runs.
void RunPathCut(uint64_t seed, int trials);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_BENCH_DECISION_BENCH_PATH_CUT_H_
