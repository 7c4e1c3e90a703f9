#ifndef SEQUOIASTAGE_LIMITS_COORDINATOR_CHOICE_H_
#define SEQUOIASTAGE_LIMITS_COORDINATOR_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "sequoiastage/base/ids.h"

namespace sequoiastage {

/// Number of shards that the accounts of a region of this size are spread over,
/// at least 1. One shard up to 128 nodes: each node sends a message to each
/// coordinator several times a second.
uint32_t AccountShardCount(size_t region_nodes);

/// Shard of an account, below `shards`.
uint32_t AccountShardOf(AccountId account, uint32_t shards);

/// The first `count` nodes in the order in which they coordinate a shard, by
/// rendezvous hashing: a node that joins or leaves moves no other shard.
std::vector<NodeId> CoordinatorOrder(const std::vector<NodeId>& nodes,
                                     uint32_t shard,
                                     size_t count);

/// The first `count` nodes of an order, or all if it has fewer.
std::span<const NodeId> FirstCandidates(const std::vector<NodeId>& order,
                                        size_t count);

bool ContainsNode(std::span<const NodeId> nodes, NodeId node);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_LIMITS_COORDINATOR_CHOICE_H_
