#ifndef SEQUOIASTAGE_BENCH_CAPACITY_BENCH_CONFIG_TEXT_H_
#define SEQUOIASTAGE_BENCH_CAPACITY_BENCH_CONFIG_TEXT_H_

#include <cstdint>
#include <string>
#include <vector>

namespace sequoiastage {

/// `count` account names with different handles; the check refuses names that
/// share one.
std::vector<std::string> AccountNames(uint32_t count);

/// A base document of the given size with the site "north". `floor` is that of
/// every service of 28 instances.
std::string BaseText(uint32_t services,
                     uint32_t routes,
                     uint32_t accounts,
                     uint32_t floor = 20);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_BENCH_CAPACITY_BENCH_CONFIG_TEXT_H_
