#include "sequoiastage/membership/membership.h"

#include <algorithm>
#include <utility>

#include "membership_impl_p.h"

namespace sequoiastage {
namespace {

constexpr Duration kCleanupInterval = std::chrono::seconds(1);
/// Maximum random delay before the newest configuration version is announced,
/// so that only the first few of several nodes that adopt it at the same time
/// announce it without waiting for their status interval.
constexpr Duration kStatusDelayPerMember = std::chrono::milliseconds(5);
constexpr Duration kMaxStatusDelay = std::chrono::seconds(3);
/// If the interval between two statuses of a node is longer than this, the
/// nodes spread their announcements over it; otherwise the nodes are so few
/// that announcing together is harmless.
constexpr Duration kMinSpreadInterval = std::chrono::seconds(2);
/// Size of an encoded status, in bytes.
constexpr int64_t kStatusBytes = 32;
/// Limit on the traffic per node for the statuses of all nodes, which all
/// change whenever a configuration comes into force.
constexpr int64_t kStatusBytesPerSecond = 1000;

std::string TruncateName(const std::string& name) {
  return name.substr(0, kMaxLocationNameBytes);
}

}  // namespace

Membership::Impl::Impl(MembershipOptions options, TimePoint now)
    : m_options(std::move(options)),
      m_groups(m_options.m_node,
               m_options.m_group_interval,
               m_options.m_group_bytes_per_second),
      m_picker(m_table,
               m_options.m_node,
               m_options.m_region,
               m_options.m_random_seed),
      m_prober(m_table,
               m_picker,
               m_options.m_node,
               {.m_interval = m_options.m_probe_interval,
                .m_timeout = m_options.m_probe_timeout,
                .m_indirect_timeout = m_options.m_indirect_timeout,
                .m_helpers = m_options.m_probe_helpers,
                .m_remove_after = m_options.m_remove_after}),
      m_gossip_tokens(m_options.m_gossip_bytes_per_second, now),
      m_repair_tokens(m_options.m_repair_bytes_per_second, now),
      m_now(now),
      m_last_received_at(now),
      m_next_gossip(now),
      m_next_digest(now),
      m_next_seed(now),
      m_next_cleanup(now) {
  const MemberEntry entry{
      .m_node = m_options.m_node,
      .m_incarnation = m_options.m_incarnation,
      .m_version = 1,
      .m_region = TruncateName(m_options.m_region),
      .m_failure_domain = TruncateName(m_options.m_failure_domain),
      .m_site = TruncateName(m_options.m_site)};
  m_table.MergeEntry({.m_entry = entry, .m_status_version = 1}, now);
  ++m_change_count;
  QueueUpdate(m_options.m_node, UpdateKind::kEntry);
}

std::vector<OutgoingDatagram> Membership::Impl::OnTick(TimePoint now) {
  m_now = now;
  Outbox outbox(Header());
  ApplyProbeResults(m_prober.OnTick(now, outbox));
  m_stats.m_probes = m_prober.ProbesStarted();
  if (now >= m_next_cleanup) {
    m_next_cleanup = now + kCleanupInterval;
    RemoveExpiredMembers();
    DetectLostDomains();
    m_table.ExpireRemoved(now);
  }
  AnnounceStatus();
  if (now >= m_next_seed) {
    ContactSeed(outbox);
  }
  if (now >= m_next_digest) {
    SendDigest(outbox);
  }
  if (now >= m_next_gossip) {
    m_next_gossip = now + m_options.m_gossip_interval;
    SendGossip(outbox);
  }
  m_stats.m_group_reports_out +=
      m_groups.OnTick(m_table, m_change_count, now, outbox);
  return FlushOutbox(outbox);
}

bool Membership::Impl::SetLocalState(const LocalState& state, TimePoint now) {
  m_now = now;
  if (state.m_instances.size() > kMaxInstancesPerNode) {
    m_last_reason = "more than " + std::to_string(kMaxInstancesPerNode) +
                    " instances on one node";
    return false;
  }
  MemberRecord& local = LocalRecord();
  if (local.m_entry.m_config_version != state.m_config_version) {
    local.m_entry.m_config_version = state.m_config_version;
    m_status_delay_until = now + StatusDelay();
    if (!m_is_status_due) {
      m_is_status_due = true;
      m_next_status_at = NextStatusTime();
    }
    ++m_change_count;
    AnnounceStatus();
  }
  if (local.m_entry.m_state == state.m_state &&
      local.m_entry.m_instances == state.m_instances) {
    return true;
  }
  m_table.Modify(local, [&](MemberRecord& changed) {
    changed.m_entry.m_state = state.m_state;
    changed.m_entry.m_instances = state.m_instances;
    ++changed.m_entry.m_version;
  });
  RecordChange(m_options.m_node, {.m_entry_changed = true}, true);
  return true;
}

void Membership::Impl::AnnounceStatus() {
  const bool is_newest =
      LocalRecord().m_entry.m_config_version > m_newest_config_version;
  const bool is_due =
      m_now >= (is_newest ? m_status_delay_until : m_next_status_at);
  if (!m_is_status_due || !is_due) {
    return;
  }
  m_is_status_due = false;
  m_last_status_at = m_now;
  m_table.Modify(LocalRecord(),
                 [](MemberRecord& changed) { ++changed.m_status_version; });
  RecordChange(m_options.m_node, {.m_status_changed = true}, true);
}

Duration Membership::Impl::StatusDelay() {
  const auto members = static_cast<int64_t>(m_table.Records().size());
  return RandomDuration(
      std::min(kStatusDelayPerMember * members, kMaxStatusDelay));
}

TimePoint Membership::Impl::NextStatusTime() {
  const Duration interval = StatusInterval();
  const Duration spread =
      interval < kMinSpreadInterval ? Duration::zero() : interval;
  return std::max(m_last_status_at + interval, m_now + RandomDuration(spread));
}

Duration Membership::Impl::RandomDuration(Duration limit) {
  constexpr uint32_t kResolution = 1000;
  return limit * static_cast<int64_t>(m_picker.RandomBelow(kResolution)) /
         kResolution;
}

Duration Membership::Impl::StatusInterval() const {
  const std::size_t members = m_table.Records().size();
  const int64_t bytes =
      static_cast<int64_t>(members) * CopiesToSend(members) * kStatusBytes;
  return Duration(std::chrono::seconds(1)) * bytes / kStatusBytesPerSecond;
}

DatagramHeader Membership::Impl::Header() const {
  return {.m_from = m_options.m_node, .m_incarnation = m_options.m_incarnation};
}

std::vector<OutgoingDatagram> Membership::Impl::FlushOutbox(Outbox& outbox) {
  std::vector<OutgoingDatagram> datagrams = outbox.Flush();
  for (const OutgoingDatagram& datagram : datagrams) {
    ++m_stats.m_datagrams_out;
    m_stats.m_bytes_out += datagram.m_bytes.size();
  }
  return datagrams;
}

Membership::Membership(MembershipOptions options, TimePoint now)
    : m_impl(std::make_unique<Impl>(std::move(options), now)) {}

Membership::~Membership() = default;
Membership::Membership(Membership&&) noexcept = default;
Membership& Membership::operator=(Membership&&) noexcept = default;

std::vector<OutgoingDatagram> Membership::OnDatagram(
    NodeId from,
    std::span<const uint8_t> bytes,
    TimePoint now) {
  return m_impl->OnDatagram(from, bytes, now);
}

std::vector<OutgoingDatagram> Membership::OnTick(TimePoint now) {
  return m_impl->OnTick(now);
}

bool Membership::SetLocalState(const LocalState& state, TimePoint now) {
  return m_impl->SetLocalState(state, now);
}

bool Membership::SetGroupReport(ServiceId service, std::vector<uint8_t> bytes) {
  if (bytes.size() > kMaxGroupReportBytes) {
    m_impl->m_last_reason = "group report is too large";
    return false;
  }
  m_impl->m_groups.SetReport(service, std::move(bytes));
  return true;
}

std::vector<GroupReport> Membership::TakeGroupReports() {
  return m_impl->m_groups.TakeReceived();
}

uint64_t Membership::ChangeCount() const {
  return m_impl->m_change_count;
}

std::vector<MemberView> Membership::Members() const {
  const std::vector<MemberRecord>& records = m_impl->m_table.Records();
  std::vector<MemberView> views;
  views.reserve(records.size());
  for (const MemberRecord& record : records) {
    views.push_back(
        {.m_entry = &record.m_entry, .m_unreachable = record.IsUnreachable()});
  }
  return views;
}

std::optional<MemberView> Membership::Find(NodeId node) const {
  const MemberTable& table = m_impl->m_table;
  const MemberRecord* record = table.Find(node);
  if (record == nullptr) {
    return std::nullopt;
  }
  return MemberView{.m_entry = &record->m_entry,
                    .m_unreachable = record->IsUnreachable()};
}

const MemberEntry& Membership::LocalEntry() const {
  return m_impl->m_table.Find(m_impl->m_options.m_node)->m_entry;
}

std::optional<Incarnation> Membership::SupersededBy() const {
  return m_impl->m_superseded_by;
}

const MembershipStats& Membership::Stats() const {
  return m_impl->m_stats;
}

const std::string& Membership::LastReason() const {
  return m_impl->m_last_reason;
}

}  // namespace sequoiastage
