#ifndef SEQUOIASTAGE_BENCH_CAPACITY_BENCH_SECTIONS_H_
#define SEQUOIASTAGE_BENCH_CAPACITY_BENCH_SECTIONS_H_

#include <cstdint>

namespace sequoiastage {

/// Whole fleets in memory and virtual time: bytes and processor time of a node,
/// time until a change or a loss is known everywhere.
void MeasureFleets(uint64_t seed);

/// Whole fleets that exchange group reports: bytes of a node, how often and of
/// how many siblings it hears.
void MeasureGroups(uint64_t seed);

/// Whole fleets that lose a failure domain: time until all know, bytes of a
/// node.
void MeasureDomains(uint64_t seed);

/// Whole fleets in which configurations come in force: bytes of a node.
void MeasureVersions(uint64_t seed);

/// One node with the entries of a large fleet: memory, processor time of
/// datagrams, ticks, digests and snapshots.
void MeasureMemberState(uint64_t seed);

/// Routes and accounts: memory, parsing, lookups.
void MeasureConfig(uint64_t seed);

/// Log replay: configuration changes, ejection grants, snapshots.
void MeasureReplay(uint64_t seed);

/// An ingress before a fleet of the full size: connections, spread of its work.
void MeasureConnections(uint64_t seed);

/// Selection, subsets, load and paths.
void MeasureRouting(uint64_t seed);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_BENCH_CAPACITY_BENCH_SECTIONS_H_
