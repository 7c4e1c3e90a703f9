#ifndef SEQUOIASTAGE_BENCH_CAPACITY_BENCH_SECTIONS_H_
#define SEQUOIASTAGE_BENCH_CAPACITY_BENCH_SECTIONS_H_

#include <cstdint>

namespace sequoiastage {

/// Whole fleets in memory and virtual time: bytes and processor time per node,
/// time until a change reaches all nodes.
void MeasureFleets(uint64_t seed);

/// Whole fleets that exchange group reports: bytes per node, interval between
/// reports and number of siblings that report.
void MeasureGroups(uint64_t seed);

/// Whole fleets that lose a failure domain: time until all nodes detect the
/// loss, bytes per node.
void MeasureDomains(uint64_t seed);

/// Whole fleets that activate new configurations: bytes per node.
void MeasureVersions(uint64_t seed);

/// One node with the entries of a large fleet: memory, processor time of
/// datagrams, ticks, digests and snapshots.
void MeasureMemberState(uint64_t seed);

/// Routes and accounts: memory, parsing, lookups.
void MeasureConfig(uint64_t seed);

/// Log replay: configuration changes, ejection grants, snapshots.
void MeasureReplay(uint64_t seed);

/// An ingress in a fleet of the full size: connections, distribution of its
/// requests.
void MeasureConnections(uint64_t seed);

/// Crash reports and the requests that they put into quarantine: memory,
/// processor time of reports and lookups.
void MeasureQuarantine(uint64_t seed);

/// Configuration documents of the mesh node with client accounts: memory,
/// lookups, processor time to apply a version.
void MeasureAccountTable(uint64_t seed);

/// Target selection, subsets, load table and path monitor.
void MeasureRouting(uint64_t seed);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_BENCH_CAPACITY_BENCH_SECTIONS_H_
