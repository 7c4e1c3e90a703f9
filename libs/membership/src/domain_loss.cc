#include <algorithm>
#include <chrono>

#include "membership_impl_p.h"

namespace sequoiastage {
namespace {

/// Minimum size of a failure domain that can be declared lost. Smaller ones
/// cause few enough individual hints.
constexpr int64_t kMinDomainMembers = 8;
/// Hinted members out of 4 at which a failure domain is declared lost.
constexpr int64_t kMinHintedQuarters = 3;
/// A failure domain is not declared lost if a datagram from one of its members,
/// or newer state of one, was received within this time.
constexpr Duration kContactWindow = std::chrono::seconds(3);

struct DomainCount {
  int64_t m_members = 0;
  /// Members that are hinted and not covered by an active loss.
  int64_t m_hinted = 0;
  uint16_t m_newest_loss_version = 0;
  bool m_has_recent_contact = false;
};

}  // namespace

void Membership::Impl::Handle(NodeId /*from*/,
                              const DomainLossMessage& message,
                              Outbox& /*outbox*/) {
  MergeLoss(message);
}

void Membership::Impl::MergeLoss(const DomainLossMessage& message) {
  if (!m_table.MergeLoss(message)) {
    return;
  }
  ++m_change_count;
  if (!message.m_is_repair) {
    m_loss_rounds[message.m_domain] = GossipRounds();
  }
  const MemberRecord& local = LocalRecord();
  if (m_table.HasActiveLoss(local)) {
    RefuteHint(local.m_status_version);
  }
}

void Membership::Impl::DetectLostDomains() {
  const std::vector<MemberRecord>& records = m_table.Records();
  const auto hinted = std::count_if(
      records.begin(), records.end(),
      [](const MemberRecord& record) { return record.IsHinted(); });
  if (4 * hinted < kMinHintedQuarters * kMinDomainMembers) {
    return;
  }
  std::map<FailureDomain, DomainCount> domains;
  for (const MemberRecord& record : records) {
    if (record.m_entry.m_state == HostState::kLeft) {
      continue;
    }
    DomainCount& count = domains[MemberTable::GetDomain(record)];
    const bool is_hinted = record.IsHinted() && !m_table.HasActiveLoss(record);
    ++count.m_members;
    count.m_hinted += is_hinted ? 1 : 0;
    count.m_newest_loss_version =
        std::max(count.m_newest_loss_version, record.m_refuted_loss_version);
    count.m_has_recent_contact |=
        m_now - record.m_last_contact_at < kContactWindow;
  }
  domains.erase(MemberTable::GetDomain(LocalRecord()));
  for (const auto& [domain, count] : domains) {
    const bool is_lost =
        count.m_members >= kMinDomainMembers &&
        4 * count.m_hinted >= kMinHintedQuarters * count.m_members;
    if (!is_lost || count.m_has_recent_contact) {
      continue;
    }
    ++m_stats.m_domain_losses_issued;
    const uint16_t newest =
        std::max(count.m_newest_loss_version, m_table.LossVersion(domain));
    MergeLoss({.m_domain = domain,
               .m_loss_version = static_cast<uint16_t>(newest + 1)});
  }
}

void Membership::Impl::AddLosses(DatagramWriter& writer) {
  for (auto it = m_loss_rounds.begin(); it != m_loss_rounds.end();) {
    writer.Add(
        DomainLossMessage{.m_domain = it->first,
                          .m_loss_version = m_table.LossVersion(it->first)});
    it = --it->second == 0 ? m_loss_rounds.erase(it) : std::next(it);
  }
}

void Membership::Impl::SendLosses(NodeId to, Outbox& outbox) {
  for (const auto& [domain, loss_version] : m_table.Losses()) {
    outbox.Send(to, DomainLossMessage{.m_domain = domain,
                                      .m_loss_version = loss_version,
                                      .m_is_repair = true});
  }
}

}  // namespace sequoiastage
