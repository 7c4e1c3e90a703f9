#include "sequoiastage/membership/membership.h"

#include <algorithm>
#include <utility>

#include "membership_impl_p.h"

namespace sequoiastage {
namespace {

constexpr Duration kCleanupInterval = std::chrono::seconds(1);
/// Longest random wait before the newest configuration version is announced, so
/// that of several nodes that get it at a time only the first ones do.
constexpr Duration kStatusHoldPerMember = std::chrono::milliseconds(5);
constexpr Duration kLongestStatusHold = std::chrono::seconds(3);
/// Above this interval between two statuses of a node, the nodes spread theirs
/// over it; below, so few nodes announce theirs together that it does no harm.
constexpr Duration kSpreadStatusInterval = std::chrono::seconds(2);
/// Size of an encoded status.
constexpr int64_t kStatusBytes = 32;
/// What all nodes' statuses may cost each node. They change together, whenever
/// a configuration comes in force.
constexpr int64_t kStatusBytesPerSecond = 1000;

std::string Shortened(const std::string& name) {
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
      m_heard_any_at(now),
      m_next_gossip(now),
      m_next_digest(now),
      m_next_seed(now),
      m_next_cleanup(now) {
  const MemberEntry own{
      .m_node = m_options.m_node,
      .m_incarnation = m_options.m_incarnation,
      .m_version = 1,
      .m_region = Shortened(m_options.m_region),
      .m_failure_domain = Shortened(m_options.m_failure_domain),
      .m_site = Shortened(m_options.m_site)};
  m_table.MergeEntry({.m_entry = own, .m_status = 1}, now);
  ++m_change_count;
  Queue(m_options.m_node, UpdateKind::kEntry);
}

std::vector<OutgoingDatagram> Membership::Impl::OnTick(TimePoint now) {
  m_now = now;
  Outbox outbox(Header());
  ApplyFindings(m_prober.OnTick(now, outbox));
  m_stats.m_probes = m_prober.Started();
  if (now >= m_next_cleanup) {
    m_next_cleanup = now + kCleanupInterval;
    RemoveSilent();
    FindLostDomains();
    m_table.ExpireRemoved(now);
  }
  AnnounceStatus();
  if (now >= m_next_seed) {
    ContactSeed(outbox);
  }
  if (now >= m_next_digest) {
    StartDigest(outbox);
  }
  if (now >= m_next_gossip) {
    m_next_gossip = now + m_options.m_gossip_interval;
    SendGossip(outbox);
  }
  m_stats.m_group_reports_out +=
      m_groups.OnTick(m_table, m_change_count, now, outbox);
  return Take(outbox);
}

bool Membership::Impl::SetOwn(const OwnState& state, TimePoint now) {
  m_now = now;
  if (state.m_instances.size() > kMaxInstancesPerNode) {
    m_last_reason = "more than " + std::to_string(kMaxInstancesPerNode) +
                    " instances on one node";
    return false;
  }
  MemberRecord& own = OwnRecord();
  if (own.m_entry.m_config_version != state.m_config_version) {
    own.m_entry.m_config_version = state.m_config_version;
    m_status_hold_until = now + StatusHold();
    if (!m_is_status_due) {
      m_is_status_due = true;
      m_status_follow_at = FollowTime();
    }
    ++m_change_count;
    AnnounceStatus();
  }
  if (own.m_entry.m_state == state.m_state &&
      own.m_entry.m_instances == state.m_instances) {
    return true;
  }
  m_table.Modify(own, [&](MemberRecord& changed) {
    changed.m_entry.m_state = state.m_state;
    changed.m_entry.m_instances = state.m_instances;
    ++changed.m_entry.m_version;
  });
  Note(m_options.m_node, {.m_entry = true}, true);
  return true;
}

void Membership::Impl::AnnounceStatus() {
  const bool is_newest = OwnRecord().m_entry.m_config_version > m_newest_config;
  const bool may_announce =
      m_now >= (is_newest ? m_status_hold_until : m_status_follow_at);
  if (!m_is_status_due || !may_announce) {
    return;
  }
  m_is_status_due = false;
  m_last_status = m_now;
  m_table.Modify(OwnRecord(),
                 [](MemberRecord& changed) { ++changed.m_status; });
  Note(m_options.m_node, {.m_status = true}, true);
}

Duration Membership::Impl::StatusHold() {
  const auto members = static_cast<int64_t>(m_table.Records().size());
  return RandomPart(
      std::min(kStatusHoldPerMember * members, kLongestStatusHold));
}

TimePoint Membership::Impl::FollowTime() {
  const Duration interval = StatusInterval();
  const Duration spread =
      interval < kSpreadStatusInterval ? Duration::zero() : interval;
  return std::max(m_last_status + interval, m_now + RandomPart(spread));
}

Duration Membership::Impl::RandomPart(Duration longest) {
  constexpr uint32_t kParts = 1000;
  return longest * static_cast<int64_t>(m_picker.Below(kParts)) / kParts;
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

std::vector<OutgoingDatagram> Membership::Impl::Take(Outbox& outbox) {
  std::vector<OutgoingDatagram> datagrams = outbox.Take();
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

bool Membership::SetOwn(const OwnState& state, TimePoint now) {
  return m_impl->SetOwn(state, now);
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
  return m_impl->m_groups.Take();
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

const MemberEntry& Membership::Own() const {
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
