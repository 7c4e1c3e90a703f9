#ifndef SEQUOIASTAGE_BENCH_CAPACITY_BENCH_CONFIG_TEXT_H_
#define SEQUOIASTAGE_BENCH_CAPACITY_BENCH_CONFIG_TEXT_H_

#include <cstdint>
#include <string>
#include <vector>

namespace sequoiastage {

/// Returns `count` account names with different handles; validation rejects
/// names that share one.
std::vector<std::string> MakeAccountNames(uint32_t count);

/// Returns a base document of the given size with the site "north". `floor`
/// applies to every service; each has 28 instances.
std::string MakeBaseText(uint32_t services,
                         uint32_t routes,
                         uint32_t accounts,
                         uint32_t floor = 20);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_BENCH_CAPACITY_BENCH_CONFIG_TEXT_H_
