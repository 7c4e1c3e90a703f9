#include <algorithm>

#include "membership_impl_p.h"

namespace sequoiastage {
namespace {

/// Number of differing buckets sent per received digest; the larger number
/// applies if so many differ that the sender is far behind.
constexpr uint32_t kBucketsPerDigest = 4;
constexpr uint32_t kManyBuckets = 16;
/// Maximum number of members listed per bucket; fits in a datagram.
constexpr std::size_t kMaxBucketItems = 110;
/// Number of unknown members from which this node considers itself far behind.
/// Outdated copies do not count, because some always exist under frequent
/// changes.
constexpr uint32_t kManyMissingMembers = 8;
constexpr Duration kDigestIntervalPerMember = std::chrono::milliseconds(20);
constexpr Duration kMinIdleInterval = std::chrono::seconds(1);
constexpr std::size_t kStatusBytes = 32;
/// Size of an encoded entry, in bytes: fixed fields, and each instance.
constexpr std::size_t kEntryBytes = 100;
constexpr std::size_t kInstanceBytes = 22;
constexpr Duration kSeedInterval = std::chrono::seconds(5);
constexpr Duration kSeedIntervalAlone = std::chrono::milliseconds(500);

bool IsNewer(const StampMessage& a, const StampMessage& b) {
  if (a.m_incarnation != b.m_incarnation) {
    return a.m_incarnation > b.m_incarnation;
  }
  return a.m_version > b.m_version || a.m_status_version > b.m_status_version ||
         a.m_hint_version > b.m_hint_version;
}

}  // namespace

void Membership::Impl::SendDigest(Outbox& outbox) {
  const std::vector<NodeId> peers = m_picker.Pick(1);
  for (const NodeId peer : peers) {
    const auto& hashes = m_table.BucketHashes();
    outbox.Send(peer,
                DigestMessage{.m_hashes = {hashes.begin(), hashes.end()}});
    SendLosses(peer, outbox);
  }
  m_next_digest = m_now + DigestInterval();
  m_missing_members = 0;
}

Duration Membership::Impl::DigestInterval() const {
  if (m_missing_members >= kManyMissingMembers ||
      m_table.Records().size() == 1) {
    return m_options.m_digest_interval_min;
  }
  const Duration idle =
      kDigestIntervalPerMember * static_cast<int64_t>(m_table.Records().size());
  return std::clamp(idle,
                    std::min(kMinIdleInterval, m_options.m_digest_interval_max),
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
      unknown[m_picker.RandomBelow(static_cast<uint32_t>(unknown.size()))];
  const auto& hashes = m_table.BucketHashes();
  outbox.Send(seed, LocalRecord().Stamp());
  outbox.Send(seed, DigestMessage{.m_hashes = {hashes.begin(), hashes.end()}});
}

void Membership::Impl::Handle(NodeId from,
                              const DigestMessage& message,
                              Outbox& outbox) {
  SendLosses(from, outbox);
  const uint32_t first = m_picker.RandomBelow(kDigestBuckets);
  std::vector<uint8_t> differing;
  for (std::size_t i = 0; i < kDigestBuckets; ++i) {
    const auto bucket = static_cast<uint8_t>((first + i) % kDigestBuckets);
    if (message.m_hashes[bucket] != m_table.BucketHashes()[bucket]) {
      differing.push_back(bucket);
    }
  }
  const std::size_t max_buckets =
      differing.size() >= kManyBuckets ? kManyBuckets : kBucketsPerDigest;
  differing.resize(std::min(differing.size(), max_buckets));
  for (const uint8_t bucket : differing) {
    BucketMessage reply_message{.m_bucket = bucket};
    for (const NodeId node : m_table.BucketMembers(bucket)) {
      if (reply_message.m_items.size() < kMaxBucketItems) {
        const StampMessage stamp = m_table.Find(node)->Stamp();
        reply_message.m_items.push_back(
            {.m_node = node, .m_hash = MemberTable::HashStamp(stamp)});
      }
    }
    outbox.Send(from, reply_message);
  }
}

void Membership::Impl::Handle(NodeId from,
                              const BucketMessage& message,
                              Outbox& outbox) {
  std::vector<NodeId> only_here = m_table.BucketMembers(message.m_bucket);
  for (const BucketMessage::Item& item : message.m_items) {
    std::erase(only_here, item.m_node);
    const MemberRecord* record = m_table.Find(item.m_node);
    const StampMessage stamp = record != nullptr
                                   ? record->Stamp()
                                   : StampMessage{.m_node = item.m_node};
    if (record == nullptr && m_table.FindRemoved(item.m_node) != nullptr) {
      continue;
    }
    if (record == nullptr || MemberTable::HashStamp(stamp) != item.m_hash) {
      m_missing_members += record == nullptr ? 1 : 0;
      outbox.Send(from, stamp);
    }
  }
  for (const NodeId node : only_here) {
    SendRecord(from, *m_table.Find(node), {.m_node = node}, outbox);
  }
}

void Membership::Impl::Handle(NodeId from,
                              const StampMessage& message,
                              Outbox& outbox) {
  const bool is_local = message.m_node == m_options.m_node;
  if (is_local && message.m_incarnation == m_options.m_incarnation) {
    RefuteHint(message.m_hint_version);
  }
  if (is_local && message.m_incarnation > m_options.m_incarnation) {
    m_superseded_by = message.m_incarnation;
    return;
  }
  const MemberRecord* record = m_table.Find(message.m_node);
  const StampMessage* removed = m_table.FindRemoved(message.m_node);
  StampMessage local{.m_node = message.m_node};
  if (record != nullptr) {
    local = record->Stamp();
  } else if (removed != nullptr) {
    local = *removed;
  }
  if (record != nullptr && IsNewer(local, message)) {
    SendRecord(from, *record, message, outbox);
  }
  if (!message.m_is_reply && IsNewer(message, local)) {
    StampMessage reply = local;
    reply.m_is_reply = true;
    outbox.Send(from, reply);
  }
}

void Membership::Impl::SendRecord(NodeId to,
                                  const MemberRecord& record,
                                  const StampMessage& remote,
                                  Outbox& outbox) {
  if (!m_repair_tokens.HasTokens(m_now)) {
    return;
  }
  const MemberEntry& entry = record.m_entry;
  // The entry of a new node has to be forwarded by the first node that receives
  // it.
  const bool is_repair = entry.m_node != m_options.m_node;
  const bool has_entry = remote.m_incarnation == entry.m_incarnation &&
                         remote.m_version >= entry.m_version;
  if (has_entry) {
    m_repair_tokens.Spend(kStatusBytes);
    outbox.Send(to, StatusMessage{
                        .m_node = entry.m_node,
                        .m_incarnation = entry.m_incarnation,
                        .m_status_version = record.m_status_version,
                        .m_config_version = entry.m_config_version,
                        .m_refuted_loss_version = record.m_refuted_loss_version,
                        .m_is_repair = is_repair});
  } else {
    m_repair_tokens.Spend(kEntryBytes +
                          kInstanceBytes * entry.m_instances.size());
    outbox.Send(to, EntryMessage{
                        .m_entry = entry,
                        .m_status_version = record.m_status_version,
                        .m_refuted_loss_version = record.m_refuted_loss_version,
                        .m_is_repair = is_repair});
  }
  if (record.m_hint_version > 0) {
    outbox.Send(to, HintMessage{.m_node = entry.m_node,
                                .m_incarnation = entry.m_incarnation,
                                .m_status_version = record.m_hint_version,
                                .m_is_repair = true});
  }
}

}  // namespace sequoiastage
