#include <algorithm>
#include <chrono>

#include "membership_impl_p.h"

namespace sequoiastage {
namespace {

/// In smaller failure domains hints are few enough.
constexpr int64_t kFewestMembers = 8;
/// Hinted members out of 4 with which a domain is taken for lost.
constexpr int64_t kHintedQuarters = 3;
/// A domain with a member that was heard, here or by others, in this time is
/// not taken for lost.
constexpr Duration kSilence = std::chrono::seconds(3);

struct DomainCount {
  int64_t m_members = 0;
  /// Hinted without a loss that covers them.
  int64_t m_hinted = 0;
  uint16_t m_newest_loss = 0;
  bool m_is_heard = false;
};

}  // namespace

void Membership::Impl::Handle(NodeId /*from*/,
                              const DomainLossPart& part,
                              Outbox& /*outbox*/) {
  MergeLoss(part);
}

void Membership::Impl::MergeLoss(const DomainLossPart& part) {
  if (!m_table.MergeLoss(part)) {
    return;
  }
  ++m_change_count;
  if (!part.m_is_repair) {
    m_loss_rounds[part.m_domain] = Rounds();
  }
  const MemberRecord& own = OwnRecord();
  if (m_table.IsCovered(own)) {
    RefuteHint(own.m_status);
  }
}

void Membership::Impl::FindLostDomains() {
  const std::vector<MemberRecord>& records = m_table.Records();
  const auto hinted = std::count_if(
      records.begin(), records.end(),
      [](const MemberRecord& record) { return record.IsHinted(); });
  if (4 * hinted < kHintedQuarters * kFewestMembers) {
    return;
  }
  std::map<FailureDomain, DomainCount> domains;
  for (const MemberRecord& record : records) {
    if (record.m_entry.m_state == HostState::kLeft) {
      continue;
    }
    DomainCount& count = domains[MemberTable::DomainOf(record)];
    const bool is_hinted = record.IsHinted() && !m_table.IsCovered(record);
    ++count.m_members;
    count.m_hinted += is_hinted ? 1 : 0;
    count.m_newest_loss = std::max(count.m_newest_loss, record.m_refuted_loss);
    count.m_is_heard |= m_now - record.m_heard_at < kSilence;
  }
  domains.erase(MemberTable::DomainOf(OwnRecord()));
  for (const auto& [domain, count] : domains) {
    const bool is_lost =
        count.m_members >= kFewestMembers &&
        4 * count.m_hinted >= kHintedQuarters * count.m_members;
    if (!is_lost || count.m_is_heard) {
      continue;
    }
    ++m_stats.m_domain_losses_issued;
    const uint16_t newest =
        std::max(count.m_newest_loss, m_table.LossOf(domain));
    MergeLoss(
        {.m_domain = domain, .m_loss = static_cast<uint16_t>(newest + 1)});
  }
}

void Membership::Impl::AddLosses(DatagramWriter& writer) {
  for (auto it = m_loss_rounds.begin(); it != m_loss_rounds.end();) {
    writer.Add(DomainLossPart{.m_domain = it->first,
                              .m_loss = m_table.LossOf(it->first)});
    it = --it->second == 0 ? m_loss_rounds.erase(it) : std::next(it);
  }
}

void Membership::Impl::SendLosses(NodeId to, Outbox& outbox) {
  for (const auto& [domain, loss] : m_table.Losses()) {
    outbox.Send(to,
                DomainLossPart{
                    .m_domain = domain, .m_loss = loss, .m_is_repair = true});
  }
}

}  // namespace sequoiastage
