#include "sequoiastage/limits/coordinator_choice.h"

#include <algorithm>
#include <utility>

namespace sequoiastage {

namespace {

constexpr size_t kNodesPerShard = 128;
constexpr int kPortBits = 16;
constexpr int kShardBits = 40;

// Finalizer of splitmix64: every bit of the input changes every bit of the
// result with equal probability.
uint64_t Mix(uint64_t value) {
  value += 0x9e3779b97f4a7c15;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
  value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
  return value ^ (value >> 31);
}

uint64_t WeightOf(NodeId node, uint32_t shard) {
  return Mix(Mix(uint64_t{node.Get().m_ip} << kPortBits | node.Get().m_port) ^
             uint64_t{shard} << kShardBits);
}

}  // namespace

uint32_t AccountShardCount(size_t region_nodes) {
  return static_cast<uint32_t>(std::max<size_t>(
      1, (region_nodes + kNodesPerShard - 1) / kNodesPerShard));
}

uint32_t AccountShardOf(AccountId account, uint32_t shards) {
  return static_cast<uint32_t>(Mix(account.Get()) % std::max(1U, shards));
}

std::vector<NodeId> CoordinatorOrder(const std::vector<NodeId>& nodes,
                                     uint32_t shard,
                                     size_t count) {
  std::vector<std::pair<uint64_t, NodeId>> weighted;
  weighted.reserve(nodes.size());
  for (const NodeId node : nodes) {
    weighted.emplace_back(WeightOf(node, shard), node);
  }
  const size_t taken = std::min(count, weighted.size());
  std::partial_sort(weighted.begin(),
                    weighted.begin() + static_cast<ptrdiff_t>(taken),
                    weighted.end());
  std::vector<NodeId> order;
  for (size_t i = 0; i < taken; ++i) {
    order.push_back(weighted[i].second);
  }
  return order;
}

std::span<const NodeId> FirstCandidates(const std::vector<NodeId>& order,
                                        size_t count) {
  return std::span(order).first(std::min(order.size(), count));
}

bool ContainsNode(std::span<const NodeId> nodes, NodeId node) {
  return std::find(nodes.begin(), nodes.end(), node) != nodes.end();
}

}  // namespace sequoiastage
