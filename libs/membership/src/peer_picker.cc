#include "peer_picker_p.h"

#include <algorithm>
#include <utility>

namespace sequoiastage {
namespace {

/// A smaller region is too small to spread a change on its own.
constexpr uint32_t kMinRegionMembers = 8;
/// Percentage of choices restricted to the local region if it is large enough.
constexpr uint32_t kLocalRegionPercent = 80;
/// Percentage of choices that can select an unreachable member.
constexpr uint32_t kUnreachablePercent = 10;
constexpr int kMaxTries = 12;

}  // namespace

PeerPicker::PeerPicker(const MemberTable& table,
                       NodeId self,
                       std::string region,
                       uint64_t seed)
    : m_table(table),
      m_self(self),
      m_region(std::move(region)),
      m_random(seed) {}

std::vector<NodeId> PeerPicker::Pick(uint32_t count) {
  CountRegionMembers();
  std::vector<NodeId> picked;
  for (int tries = 0; tries < kMaxTries && picked.size() < count; ++tries) {
    const MemberRecord* record = PickOne();
    if (record == nullptr) {
      break;
    }
    const NodeId node = record->m_entry.m_node;
    if (std::find(picked.begin(), picked.end(), node) == picked.end()) {
      picked.push_back(node);
    }
  }
  return picked;
}

std::vector<NodeId> PeerPicker::PickHelpers(NodeId target, uint32_t count) {
  const std::vector<MemberRecord>& records = m_table.Records();
  std::vector<const MemberRecord*> chosen;
  std::vector<const MemberRecord*> spare;
  for (int tries = 0; tries < 3 * kMaxTries && chosen.size() < count; ++tries) {
    const MemberRecord& record =
        records[RandomBelow(static_cast<uint32_t>(records.size()))];
    const NodeId node = record.m_entry.m_node;
    if (node == m_self || node == target || record.IsUnreachable() ||
        record.m_entry.m_state == HostState::kLeft) {
      continue;
    }
    const bool is_region_used = std::any_of(
        chosen.begin(), chosen.end(), [&](const MemberRecord* other) {
          return other->m_entry.m_region == record.m_entry.m_region;
        });
    (is_region_used ? spare : chosen).push_back(&record);
  }
  chosen.insert(chosen.end(), spare.begin(), spare.end());
  std::vector<NodeId> helpers;
  for (const MemberRecord* record : chosen) {
    const NodeId node = record->m_entry.m_node;
    const bool is_new =
        std::find(helpers.begin(), helpers.end(), node) == helpers.end();
    if (is_new && helpers.size() < count) {
      helpers.push_back(node);
    }
  }
  return helpers;
}

uint32_t PeerPicker::RandomBelow(uint32_t bound) {
  return std::uniform_int_distribution<uint32_t>(0, bound - 1)(m_random);
}

const MemberRecord* PeerPicker::PickOne() {
  const std::vector<MemberRecord>& records = m_table.Records();
  const bool stays_in_region = m_region_members >= kMinRegionMembers &&
                               RandomBelow(100) < kLocalRegionPercent;
  const bool allows_unreachable = RandomBelow(100) < kUnreachablePercent;
  const MemberRecord* picked = nullptr;
  for (int tries = 0; tries < kMaxTries; ++tries) {
    const MemberRecord& record =
        records[RandomBelow(static_cast<uint32_t>(records.size()))];
    if (record.m_entry.m_node == m_self) {
      continue;
    }
    picked = &record;
    const bool fits_region =
        !stays_in_region || record.m_entry.m_region == m_region;
    const bool is_live =
        !record.IsUnreachable() && record.m_entry.m_state != HostState::kLeft;
    if (fits_region && (is_live || allows_unreachable)) {
      return picked;
    }
  }
  return picked;
}

void PeerPicker::CountRegionMembers() {
  const std::vector<MemberRecord>& records = m_table.Records();
  if (m_counted_size == records.size()) {
    return;
  }
  m_counted_size = records.size();
  m_region_members = static_cast<uint32_t>(std::count_if(
      records.begin(), records.end(), [this](const MemberRecord& record) {
        return record.m_entry.m_region == m_region;
      }));
}

}  // namespace sequoiastage
