#ifndef SEQUOIASTAGE_BENCH_DECISION_BENCH_OVERLOAD_H_
#define SEQUOIASTAGE_BENCH_DECISION_BENCH_OVERLOAD_H_

#include <cstdint>

namespace sequoiastage {

/// Prints the goodput of one service at loads from half to four times its
/// capacity, with healthy and with gray instances, compared to a naive version.
void RunOverload(uint64_t seed);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_BENCH_DECISION_BENCH_OVERLOAD_H_
