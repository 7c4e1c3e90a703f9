#ifndef SEQUOIASTAGE_MEMBERSHIP_MEMBER_TABLE_P_H_
#define SEQUOIASTAGE_MEMBERSHIP_MEMBER_TABLE_P_H_

#include <array>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "datagram_p.h"
#include "sequoiastage/base/time.h"
#include "sequoiastage/membership/member_entry.h"

namespace sequoiastage {

/// A node's copy of one member. Entry, status and hint versions only grow
/// within an incarnation, so updates merge to the same value in any order.
struct MemberRecord {
  MemberEntry m_entry{};
  uint32_t m_status_version = 0;
  /// Greatest status version at which a node failed to reach the member.
  uint32_t m_hint_version = 0;
  /// Losses of the failure domain up to this version were refuted by the member
  /// itself.
  uint16_t m_refuted_loss_version = 0;
  /// Hints up to this version are void on this node: the member replied to its
  /// probe.
  uint32_t m_cleared_hint_version = 0;
  /// The last probe by this node failed, directly and through helpers.
  bool m_locally_unreachable = false;
  uint8_t m_failed_probes = 0;
  /// Time of the last datagram from the member or of the last newer state of
  /// it.
  TimePoint m_last_contact_at{};

  bool IsHinted() const { return m_hint_version >= m_status_version; }
  bool IsUnreachable() const {
    return m_locally_unreachable ||
           (IsHinted() && m_cleared_hint_version < m_hint_version);
  }
  StampMessage Stamp() const;
};

/// What a merge changed.
struct MergeResult {
  bool m_entry_changed = false;
  bool m_status_changed = false;
  bool m_hint_changed = false;
  bool HasChanges() const {
    return m_entry_changed || m_status_changed || m_hint_changed;
  }
};

/// The copies of all members, their merge rules and bucket hashes.
class MemberTable {
 public:
  MergeResult MergeEntry(const EntryMessage& message, TimePoint now);
  MergeResult MergeStatus(const StatusMessage& message, TimePoint now);
  MergeResult MergeHint(const HintMessage& message);
  /// Returns false if the loss is already known or there are too many losses.
  bool MergeLoss(const DomainLossMessage& message);

  /// Version of the newest known loss of `domain`; 0 if there is none.
  uint16_t LossVersion(const FailureDomain& domain) const;
  const std::map<FailureDomain, uint16_t>& Losses() const { return m_losses; }
  /// Whether a loss of its failure domain applies to the member.
  bool HasActiveLoss(const MemberRecord& record) const {
    return !m_losses.empty() &&
           record.m_refuted_loss_version < LossVersion(GetDomain(record));
  }
  static FailureDomain GetDomain(const MemberRecord& record) {
    return {.m_region = record.m_entry.m_region,
            .m_name = record.m_entry.m_failure_domain};
  }

  /// Runs `change` on `record`, which belongs to this table, and updates the
  /// hashes. Any change of entry, status or hint must go through this function.
  template <class Change>
  void Modify(MemberRecord& record, Change change) {
    ToggleHash(record);
    change(record);
    ToggleHash(record);
  }

  MemberRecord* Find(NodeId node);
  const MemberRecord* Find(NodeId node) const;
  const std::vector<MemberRecord>& Records() const { return m_records; }
  MemberRecord& At(std::size_t index) { return m_records[index]; }

  /// Removes the member. Updates of the same incarnation that are not newer are
  /// rejected until `keep_until`, so that nodes which remove it later do not
  /// add it again.
  void Remove(NodeId node, TimePoint keep_until);
  /// Stamp of a removed member; null if there is none.
  const StampMessage* FindRemoved(NodeId node) const;
  void ExpireRemoved(TimePoint now);

  const std::array<uint32_t, kDigestBuckets>& BucketHashes() const {
    return m_hashes;
  }
  static uint8_t GetBucket(NodeId node);
  static uint32_t HashStamp(const StampMessage& stamp);
  /// Members in a bucket.
  std::vector<NodeId> BucketMembers(uint8_t bucket) const;

 private:
  struct RemovedMember {
    StampMessage m_stamp;
    TimePoint m_keep_until;
  };

  void ToggleHash(const MemberRecord& record);
  /// Hints `record` if a loss of its failure domain applies to it. Called after
  /// each merge, so that any order of merges yields the same copy.
  void ApplyLoss(MemberRecord& record);
  bool IsStale(NodeId node,
               Incarnation incarnation,
               uint32_t status_version) const;

  std::vector<MemberRecord> m_records;
  std::unordered_map<NodeId, uint32_t> m_index;
  std::unordered_map<NodeId, RemovedMember> m_removed;
  std::map<FailureDomain, uint16_t> m_losses;
  std::array<uint32_t, kDigestBuckets> m_hashes{};
  std::array<std::vector<NodeId>, kDigestBuckets> m_buckets;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MEMBERSHIP_MEMBER_TABLE_P_H_
