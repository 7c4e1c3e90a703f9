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

/// A node's copy of one member. Entry, status and hint only grow within an
/// incarnation, so copies merge in any order to the same value.
struct MemberRecord {
  MemberEntry m_entry{};
  uint32_t m_status = 0;
  /// Greatest status anyone failed to reach the member at.
  uint32_t m_hint = 0;
  /// Losses of its failure domain up to here are void: the member's own word.
  uint16_t m_refuted_loss = 0;
  /// Hints up to here are void for this node: the member answered it.
  uint32_t m_answered_hint = 0;
  /// The last probe by this node failed, directly and through helpers.
  bool m_own_unreachable = false;
  uint8_t m_failed_probes = 0;
  /// Last datagram from the member or newer word from it.
  TimePoint m_heard_at{};

  bool IsHinted() const { return m_hint >= m_status; }
  bool IsUnreachable() const {
    return m_own_unreachable || (IsHinted() && m_answered_hint < m_hint);
  }
  StampPart Stamp() const;
};

/// What a merge changed.
struct MergeResult {
  bool m_entry = false;
  bool m_status = false;
  bool m_hint = false;
  bool IsChange() const { return m_entry || m_status || m_hint; }
};

/// The copies of all members, their merge rules and bucket hashes.
class MemberTable {
 public:
  MergeResult MergeEntry(const EntryPart& part, TimePoint now);
  MergeResult MergeStatus(const StatusPart& part, TimePoint now);
  MergeResult MergeHint(const HintPart& part);
  /// False if the loss is known.
  bool MergeLoss(const DomainLossPart& part);

  /// Greatest loss of `domain` that is known; 0 if there was none.
  uint16_t LossOf(const FailureDomain& domain) const;
  const std::map<FailureDomain, uint16_t>& Losses() const { return m_losses; }
  /// Whether a loss of its domain holds for the member.
  bool IsCovered(const MemberRecord& record) const {
    return !m_losses.empty() &&
           record.m_refuted_loss < LossOf(DomainOf(record));
  }
  static FailureDomain DomainOf(const MemberRecord& record) {
    return {.m_region = record.m_entry.m_region,
            .m_name = record.m_entry.m_failure_domain};
  }

  /// Runs `change` on `record`, which belongs to this table, and brings the
  /// hashes up to date. Any change of entry, status or hint goes through it.
  template <class Change>
  void Modify(MemberRecord& record, Change change) {
    Toggle(record);
    change(record);
    Toggle(record);
  }

  MemberRecord* Find(NodeId node);
  const MemberRecord* Find(NodeId node) const;
  const std::vector<MemberRecord>& Records() const { return m_records; }
  MemberRecord& At(std::size_t index) { return m_records[index]; }

  /// Removes the member. Word of the same incarnation that is not newer is
  /// refused until `keep_until`, so that slower members do not bring it back.
  void Remove(NodeId node, TimePoint keep_until);
  /// The stamp a removed member had, null if there is none.
  const StampPart* FindRemoved(NodeId node) const;
  void ExpireRemoved(TimePoint now);

  const std::array<uint32_t, kDigestBuckets>& BucketHashes() const {
    return m_hashes;
  }
  static uint8_t BucketOf(NodeId node);
  static uint32_t HashOf(const StampPart& stamp);
  /// Members in a bucket.
  std::vector<NodeId> BucketMembers(uint8_t bucket) const;

 private:
  struct Removed {
    StampPart m_stamp;
    TimePoint m_keep_until;
  };

  void Toggle(const MemberRecord& record);
  /// Hints `record` if a loss of its domain holds for it. Done after each
  /// merge, so that any order of merges gives the same copy.
  void ApplyLoss(MemberRecord& record);
  bool IsRefused(NodeId node, Incarnation incarnation, uint32_t status) const;

  std::vector<MemberRecord> m_records;
  std::unordered_map<NodeId, uint32_t> m_index;
  std::unordered_map<NodeId, Removed> m_removed;
  std::map<FailureDomain, uint16_t> m_losses;
  std::array<uint32_t, kDigestBuckets> m_hashes{};
  std::array<std::vector<NodeId>, kDigestBuckets> m_buckets;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MEMBERSHIP_MEMBER_TABLE_P_H_
