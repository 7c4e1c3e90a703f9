#include "member_table_p.h"

#include <xxhash.h>

#include <algorithm>

namespace sequoiastage {
namespace {

/// Maximum number of failure domains whose losses are retained.
constexpr std::size_t kMaxLosses = 64;

}  // namespace

StampMessage MemberRecord::Stamp() const {
  return StampMessage{.m_node = m_entry.m_node,
                      .m_incarnation = m_entry.m_incarnation,
                      .m_version = m_entry.m_version,
                      .m_status_version = m_status_version,
                      .m_hint_version = m_hint_version};
}

MergeResult MemberTable::MergeEntry(const EntryMessage& message,
                                    TimePoint now) {
  const MemberEntry& entry = message.m_entry;
  MemberRecord* record = Find(entry.m_node);
  if (record == nullptr) {
    if (IsStale(entry.m_node, entry.m_incarnation, message.m_status_version)) {
      return {};
    }
    m_removed.erase(entry.m_node);
    m_index[entry.m_node] = static_cast<uint32_t>(m_records.size());
    m_buckets[GetBucket(entry.m_node)].push_back(entry.m_node);
    m_records.push_back(
        MemberRecord{.m_entry = entry,
                     .m_status_version = message.m_status_version,
                     .m_refuted_loss_version = message.m_refuted_loss_version,
                     .m_last_contact_at = now});
    ToggleHash(m_records.back());
    ApplyLoss(m_records.back());
    return {.m_entry_changed = true, .m_status_changed = true};
  }
  if (entry.m_incarnation < record->m_entry.m_incarnation) {
    return {};
  }
  if (entry.m_incarnation > record->m_entry.m_incarnation) {
    Modify(*record, [&](MemberRecord& changed) {
      changed =
          MemberRecord{.m_entry = entry,
                       .m_status_version = message.m_status_version,
                       .m_refuted_loss_version = message.m_refuted_loss_version,
                       .m_last_contact_at = now};
    });
    ApplyLoss(*record);
    return {.m_entry_changed = true, .m_status_changed = true};
  }
  MergeResult result{
      .m_entry_changed = entry.m_version > record->m_entry.m_version,
      .m_status_changed = message.m_status_version > record->m_status_version};
  if (!result.HasChanges()) {
    return result;
  }
  Modify(*record, [&](MemberRecord& changed) {
    const LogOffset config_version = result.m_status_changed
                                         ? entry.m_config_version
                                         : changed.m_entry.m_config_version;
    if (result.m_entry_changed) {
      changed.m_entry = entry;
    }
    changed.m_entry.m_config_version = config_version;
    changed.m_status_version =
        std::max(changed.m_status_version, message.m_status_version);
    changed.m_refuted_loss_version = std::max(changed.m_refuted_loss_version,
                                              message.m_refuted_loss_version);
    changed.m_last_contact_at = now;
  });
  ApplyLoss(*record);
  return result;
}

MergeResult MemberTable::MergeStatus(const StatusMessage& message,
                                     TimePoint now) {
  MemberRecord* record = Find(message.m_node);
  if (record == nullptr ||
      record->m_entry.m_incarnation != message.m_incarnation ||
      record->m_status_version >= message.m_status_version) {
    return {};
  }
  Modify(*record, [&](MemberRecord& changed) {
    changed.m_status_version = message.m_status_version;
    changed.m_entry.m_config_version = message.m_config_version;
    changed.m_refuted_loss_version = std::max(changed.m_refuted_loss_version,
                                              message.m_refuted_loss_version);
    changed.m_last_contact_at = now;
  });
  ApplyLoss(*record);
  return {.m_status_changed = true};
}

MergeResult MemberTable::MergeHint(const HintMessage& message) {
  MemberRecord* record = Find(message.m_node);
  if (record == nullptr ||
      record->m_entry.m_incarnation != message.m_incarnation ||
      record->m_hint_version >= message.m_status_version) {
    return {};
  }
  Modify(*record, [&](MemberRecord& changed) {
    changed.m_hint_version = message.m_status_version;
  });
  return {.m_hint_changed = true};
}

bool MemberTable::MergeLoss(const DomainLossMessage& message) {
  const bool is_known = m_losses.contains(message.m_domain);
  if (LossVersion(message.m_domain) >= message.m_loss_version ||
      (!is_known && m_losses.size() >= kMaxLosses)) {
    return false;
  }
  m_losses[message.m_domain] = message.m_loss_version;
  for (MemberRecord& record : m_records) {
    ApplyLoss(record);
  }
  return true;
}

uint16_t MemberTable::LossVersion(const FailureDomain& domain) const {
  const auto found = m_losses.find(domain);
  return found == m_losses.end() ? 0 : found->second;
}

void MemberTable::ApplyLoss(MemberRecord& record) {
  if (record.IsHinted() || !HasActiveLoss(record)) {
    return;
  }
  Modify(record, [](MemberRecord& changed) {
    changed.m_hint_version = changed.m_status_version;
  });
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
  ToggleHash(m_records[index]);
  std::vector<NodeId>& bucket = m_buckets[GetBucket(node)];
  bucket.erase(std::find(bucket.begin(), bucket.end(), node));
  m_index.erase(found);
  if (index + 1 != m_records.size()) {
    m_records[index] = std::move(m_records.back());
    m_index[m_records[index].m_entry.m_node] = index;
  }
  m_records.pop_back();
}

const StampMessage* MemberTable::FindRemoved(NodeId node) const {
  const auto found = m_removed.find(node);
  return found == m_removed.end() ? nullptr : &found->second.m_stamp;
}

void MemberTable::ExpireRemoved(TimePoint now) {
  std::erase_if(m_removed, [now](const auto& item) {
    return item.second.m_keep_until <= now;
  });
}

uint8_t MemberTable::GetBucket(NodeId node) {
  const uint64_t key =
      (static_cast<uint64_t>(node.Get().m_ip) << 16) | node.Get().m_port;
  return static_cast<uint8_t>(XXH3_64bits(&key, sizeof(key)));
}

uint32_t MemberTable::HashStamp(const StampMessage& stamp) {
  const std::array<uint64_t, 4> key{
      (static_cast<uint64_t>(stamp.m_node.Get().m_ip) << 16) |
          stamp.m_node.Get().m_port,
      stamp.m_incarnation.Get(),
      (static_cast<uint64_t>(stamp.m_version) << 32) | stamp.m_status_version,
      stamp.m_hint_version};
  return static_cast<uint32_t>(XXH3_64bits(key.data(), sizeof(key)));
}

std::vector<NodeId> MemberTable::BucketMembers(uint8_t bucket) const {
  return m_buckets[bucket];
}

void MemberTable::ToggleHash(const MemberRecord& record) {
  m_hashes[GetBucket(record.m_entry.m_node)] ^= HashStamp(record.Stamp());
}

bool MemberTable::IsStale(NodeId node,
                          Incarnation incarnation,
                          uint32_t status_version) const {
  const StampMessage* removed = FindRemoved(node);
  if (removed == nullptr) {
    return false;
  }
  return incarnation < removed->m_incarnation ||
         (incarnation == removed->m_incarnation &&
          status_version <= removed->m_status_version);
}

}  // namespace sequoiastage
