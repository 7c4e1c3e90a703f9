#include "member_table_p.h"

#include <xxhash.h>

#include <algorithm>

namespace sequoiastage {
namespace {

/// Failure domains whose losses are kept.
constexpr std::size_t kMostLosses = 64;

}  // namespace

StampPart MemberRecord::Stamp() const {
  return StampPart{.m_node = m_entry.m_node,
                   .m_incarnation = m_entry.m_incarnation,
                   .m_version = m_entry.m_version,
                   .m_status = m_status,
                   .m_hint = m_hint};
}

MergeResult MemberTable::MergeEntry(const EntryPart& part, TimePoint now) {
  const MemberEntry& entry = part.m_entry;
  MemberRecord* record = Find(entry.m_node);
  if (record == nullptr) {
    if (IsRefused(entry.m_node, entry.m_incarnation, part.m_status)) {
      return {};
    }
    m_removed.erase(entry.m_node);
    m_index[entry.m_node] = static_cast<uint32_t>(m_records.size());
    m_buckets[BucketOf(entry.m_node)].push_back(entry.m_node);
    m_records.push_back(MemberRecord{.m_entry = entry,
                                     .m_status = part.m_status,
                                     .m_refuted_loss = part.m_refuted_loss,
                                     .m_heard_at = now});
    Toggle(m_records.back());
    ApplyLoss(m_records.back());
    return {.m_entry = true, .m_status = true};
  }
  if (entry.m_incarnation < record->m_entry.m_incarnation) {
    return {};
  }
  if (entry.m_incarnation > record->m_entry.m_incarnation) {
    Modify(*record, [&](MemberRecord& changed) {
      changed = MemberRecord{.m_entry = entry,
                             .m_status = part.m_status,
                             .m_refuted_loss = part.m_refuted_loss,
                             .m_heard_at = now};
    });
    ApplyLoss(*record);
    return {.m_entry = true, .m_status = true};
  }
  MergeResult result{.m_entry = entry.m_version > record->m_entry.m_version,
                     .m_status = part.m_status > record->m_status};
  if (!result.IsChange()) {
    return result;
  }
  Modify(*record, [&](MemberRecord& changed) {
    const LogOffset config_version = result.m_status
                                         ? entry.m_config_version
                                         : changed.m_entry.m_config_version;
    if (result.m_entry) {
      changed.m_entry = entry;
    }
    changed.m_entry.m_config_version = config_version;
    changed.m_status = std::max(changed.m_status, part.m_status);
    changed.m_refuted_loss =
        std::max(changed.m_refuted_loss, part.m_refuted_loss);
    changed.m_heard_at = now;
  });
  ApplyLoss(*record);
  return result;
}

MergeResult MemberTable::MergeStatus(const StatusPart& part, TimePoint now) {
  MemberRecord* record = Find(part.m_node);
  if (record == nullptr ||
      record->m_entry.m_incarnation != part.m_incarnation ||
      record->m_status >= part.m_status) {
    return {};
  }
  Modify(*record, [&](MemberRecord& changed) {
    changed.m_status = part.m_status;
    changed.m_entry.m_config_version = part.m_config_version;
    changed.m_refuted_loss =
        std::max(changed.m_refuted_loss, part.m_refuted_loss);
    changed.m_heard_at = now;
  });
  ApplyLoss(*record);
  return {.m_status = true};
}

MergeResult MemberTable::MergeHint(const HintPart& part) {
  MemberRecord* record = Find(part.m_node);
  if (record == nullptr ||
      record->m_entry.m_incarnation != part.m_incarnation ||
      record->m_hint >= part.m_status) {
    return {};
  }
  Modify(*record,
         [&](MemberRecord& changed) { changed.m_hint = part.m_status; });
  return {.m_hint = true};
}

bool MemberTable::MergeLoss(const DomainLossPart& part) {
  const bool is_known = m_losses.contains(part.m_domain);
  if (LossOf(part.m_domain) >= part.m_loss ||
      (!is_known && m_losses.size() >= kMostLosses)) {
    return false;
  }
  m_losses[part.m_domain] = part.m_loss;
  for (MemberRecord& record : m_records) {
    ApplyLoss(record);
  }
  return true;
}

uint16_t MemberTable::LossOf(const FailureDomain& domain) const {
  const auto found = m_losses.find(domain);
  return found == m_losses.end() ? 0 : found->second;
}

void MemberTable::ApplyLoss(MemberRecord& record) {
  if (record.IsHinted() || !IsCovered(record)) {
    return;
  }
  Modify(record,
         [](MemberRecord& changed) { changed.m_hint = changed.m_status; });
}

MemberRecord* MemberTable::Find(NodeId node) {
  const auto found = m_index.find(node);
  return found == m_index.end() ? nullptr : &m_records[found->second];
}

const MemberRecord* MemberTable::Find(NodeId node) const {
  const auto found = m_index.find(node);
  return found == m_index.end() ? nullptr : &m_records[found->second];
}

void MemberTable::Remove(NodeId node, TimePoint keep_until) {
  const auto found = m_index.find(node);
  if (found == m_index.end()) {
    return;
  }
  const uint32_t index = found->second;
  m_removed[node] = {.m_stamp = m_records[index].Stamp(),
                     .m_keep_until = keep_until};
  Toggle(m_records[index]);
  std::vector<NodeId>& bucket = m_buckets[BucketOf(node)];
  bucket.erase(std::find(bucket.begin(), bucket.end(), node));
  m_index.erase(found);
  if (index + 1 != m_records.size()) {
    m_records[index] = std::move(m_records.back());
    m_index[m_records[index].m_entry.m_node] = index;
  }
  m_records.pop_back();
}

const StampPart* MemberTable::FindRemoved(NodeId node) const {
  const auto found = m_removed.find(node);
  return found == m_removed.end() ? nullptr : &found->second.m_stamp;
}

void MemberTable::ExpireRemoved(TimePoint now) {
  std::erase_if(m_removed, [now](const auto& item) {
    return item.second.m_keep_until <= now;
  });
}

uint8_t MemberTable::BucketOf(NodeId node) {
  const uint64_t key =
      (static_cast<uint64_t>(node.Get().m_ip) << 16) | node.Get().m_port;
  return static_cast<uint8_t>(XXH3_64bits(&key, sizeof(key)));
}

uint32_t MemberTable::HashOf(const StampPart& stamp) {
  const std::array<uint64_t, 4> key{
      (static_cast<uint64_t>(stamp.m_node.Get().m_ip) << 16) |
          stamp.m_node.Get().m_port,
      stamp.m_incarnation.Get(),
      (static_cast<uint64_t>(stamp.m_version) << 32) | stamp.m_status,
      stamp.m_hint};
  return static_cast<uint32_t>(XXH3_64bits(key.data(), sizeof(key)));
}

std::vector<NodeId> MemberTable::BucketMembers(uint8_t bucket) const {
  return m_buckets[bucket];
}

void MemberTable::Toggle(const MemberRecord& record) {
  m_hashes[BucketOf(record.m_entry.m_node)] ^= HashOf(record.Stamp());
}

bool MemberTable::IsRefused(NodeId node,
                            Incarnation incarnation,
                            uint32_t status) const {
  const StampPart* removed = FindRemoved(node);
  if (removed == nullptr) {
    return false;
  }
  return incarnation < removed->m_incarnation ||
         (incarnation == removed->m_incarnation && status <= removed->m_status);
}

}  // namespace sequoiastage
