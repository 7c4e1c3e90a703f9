#include <algorithm>

#include "membership_impl_p.h"

namespace sequoiastage {
namespace {

/// Differing buckets answered for one digest; more if so many differ that the
/// sender is far behind.
constexpr uint32_t kBucketsPerDigest = 4;
constexpr uint32_t kManyBuckets = 16;
/// Members listed of one bucket; fits in a datagram.
constexpr std::size_t kMaxBucketItems = 110;
/// Members not known after which this node takes itself to be far behind.
/// Copies that are only old do not count: under many changes some always are.
constexpr uint32_t kManyMissing = 8;
constexpr Duration kDigestIntervalPerMember = std::chrono::milliseconds(20);
constexpr Duration kShortestIdleInterval = std::chrono::seconds(1);
constexpr std::size_t kStatusBytes = 32;
/// Size of an encoded entry: fixed part and each instance.
constexpr std::size_t kEntryBytes = 100;
constexpr std::size_t kInstanceBytes = 22;
constexpr Duration kSeedInterval = std::chrono::seconds(5);
constexpr Duration kSeedIntervalAlone = std::chrono::milliseconds(500);

bool IsNewer(const StampPart& a, const StampPart& b) {
  if (a.m_incarnation != b.m_incarnation) {
    return a.m_incarnation > b.m_incarnation;
  }
  return a.m_version > b.m_version || a.m_status > b.m_status ||
         a.m_hint > b.m_hint;
}

}  // namespace

void Membership::Impl::StartDigest(Outbox& outbox) {
  const std::vector<NodeId> peers = m_picker.Pick(1);
  for (const NodeId peer : peers) {
    const auto& hashes = m_table.BucketHashes();
    outbox.Send(peer, DigestPart{.m_hashes = {hashes.begin(), hashes.end()}});
    SendLosses(peer, outbox);
  }
  m_next_digest = m_now + DigestInterval();
  m_missing = 0;
}

Duration Membership::Impl::DigestInterval() const {
  if (m_missing >= kManyMissing || m_table.Records().size() == 1) {
    return m_options.m_digest_interval_min;
  }
  const Duration idle =
      kDigestIntervalPerMember * static_cast<int64_t>(m_table.Records().size());
  return std::clamp(
      idle, std::min(kShortestIdleInterval, m_options.m_digest_interval_max),
      m_options.m_digest_interval_max);
}

void Membership::Impl::ContactSeed(Outbox& outbox) {
  const bool is_alone = m_table.Records().size() == 1;
  m_next_seed = m_now + (is_alone ? kSeedIntervalAlone : kSeedInterval);
  std::vector<NodeId> unknown;
  for (const NodeId seed : m_options.m_seeds) {
    const MemberRecord* record = m_table.Find(seed);
    if (record == nullptr || record->IsUnreachable()) {
      unknown.push_back(seed);
    }
  }
  if (unknown.empty()) {
    return;
  }
  const NodeId seed =
      unknown[m_picker.Below(static_cast<uint32_t>(unknown.size()))];
  const auto& hashes = m_table.BucketHashes();
  outbox.Send(seed, OwnRecord().Stamp());
  outbox.Send(seed, DigestPart{.m_hashes = {hashes.begin(), hashes.end()}});
}

void Membership::Impl::Handle(NodeId from,
                              const DigestPart& part,
                              Outbox& outbox) {
  SendLosses(from, outbox);
  const uint32_t first = m_picker.Below(kDigestBuckets);
  std::vector<uint8_t> differing;
  for (std::size_t i = 0; i < kDigestBuckets; ++i) {
    const auto bucket = static_cast<uint8_t>((first + i) % kDigestBuckets);
    if (part.m_hashes[bucket] != m_table.BucketHashes()[bucket]) {
      differing.push_back(bucket);
    }
  }
  const std::size_t answers =
      differing.size() >= kManyBuckets ? kManyBuckets : kBucketsPerDigest;
  differing.resize(std::min(differing.size(), answers));
  for (const uint8_t bucket : differing) {
    BucketPart answer{.m_bucket = bucket};
    for (const NodeId node : m_table.BucketMembers(bucket)) {
      if (answer.m_items.size() < kMaxBucketItems) {
        const StampPart stamp = m_table.Find(node)->Stamp();
        answer.m_items.push_back(
            {.m_node = node, .m_hash = MemberTable::HashOf(stamp)});
      }
    }
    outbox.Send(from, answer);
  }
}

void Membership::Impl::Handle(NodeId from,
                              const BucketPart& part,
                              Outbox& outbox) {
  std::vector<NodeId> only_here = m_table.BucketMembers(part.m_bucket);
  for (const BucketPart::Item& item : part.m_items) {
    std::erase(only_here, item.m_node);
    const MemberRecord* record = m_table.Find(item.m_node);
    const StampPart stamp =
        record != nullptr ? record->Stamp() : StampPart{.m_node = item.m_node};
    if (record == nullptr && m_table.FindRemoved(item.m_node) != nullptr) {
      continue;
    }
    if (record == nullptr || MemberTable::HashOf(stamp) != item.m_hash) {
      m_missing += record == nullptr ? 1 : 0;
      outbox.Send(from, stamp);
    }
  }
  for (const NodeId node : only_here) {
    SendRecord(from, *m_table.Find(node), {.m_node = node}, outbox);
  }
}

void Membership::Impl::Handle(NodeId from,
                              const StampPart& part,
                              Outbox& outbox) {
  const bool is_own = part.m_node == m_options.m_node;
  if (is_own && part.m_incarnation == m_options.m_incarnation) {
    RefuteHint(part.m_hint);
  }
  if (is_own && part.m_incarnation > m_options.m_incarnation) {
    m_superseded_by = part.m_incarnation;
    return;
  }
  const MemberRecord* record = m_table.Find(part.m_node);
  const StampPart* removed = m_table.FindRemoved(part.m_node);
  StampPart mine{.m_node = part.m_node};
  if (record != nullptr) {
    mine = record->Stamp();
  } else if (removed != nullptr) {
    mine = *removed;
  }
  if (record != nullptr && IsNewer(mine, part)) {
    SendRecord(from, *record, part, outbox);
  }
  if (!part.m_is_reply && IsNewer(part, mine)) {
    StampPart reply = mine;
    reply.m_is_reply = true;
    outbox.Send(from, reply);
  }
}

void Membership::Impl::SendRecord(NodeId to,
                                  const MemberRecord& record,
                                  const StampPart& theirs,
                                  Outbox& outbox) {
  if (!m_repair_tokens.HasTokens(m_now)) {
    return;
  }
  const MemberEntry& entry = record.m_entry;
  // The own word of a new node has to go on from the first node that gets it.
  const bool is_repair = entry.m_node != m_options.m_node;
  const bool has_entry = theirs.m_incarnation == entry.m_incarnation &&
                         theirs.m_version >= entry.m_version;
  if (has_entry) {
    m_repair_tokens.Spend(kStatusBytes);
    outbox.Send(to, StatusPart{.m_node = entry.m_node,
                               .m_incarnation = entry.m_incarnation,
                               .m_status = record.m_status,
                               .m_config_version = entry.m_config_version,
                               .m_refuted_loss = record.m_refuted_loss,
                               .m_is_repair = is_repair});
  } else {
    m_repair_tokens.Spend(kEntryBytes +
                          kInstanceBytes * entry.m_instances.size());
    outbox.Send(to, EntryPart{.m_entry = entry,
                              .m_status = record.m_status,
                              .m_refuted_loss = record.m_refuted_loss,
                              .m_is_repair = is_repair});
  }
  if (record.m_hint > 0) {
    outbox.Send(to, HintPart{.m_node = entry.m_node,
                             .m_incarnation = entry.m_incarnation,
                             .m_status = record.m_hint,
                             .m_is_repair = true});
  }
}

}  // namespace sequoiastage
