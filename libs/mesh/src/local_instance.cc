#include "sequoiastage/mesh/local_instance.h"

namespace sequoiastage {

namespace {

// Two announcement intervals, with a margin for a late announcement. An
// incarnation that announced itself within this time is not replaced by an
// older one.
constexpr Duration kAnnouncementTimeout = std::chrono::seconds(4);

}  // namespace

LocalInstance::Change LocalInstance::OnAnnounce(
    const InstanceAnnouncement& announcement,
    TimePoint now) {
  const bool is_same_incarnation =
      m_current && m_current->m_name == announcement.m_name &&
      m_current->m_start_time_ms == announcement.m_start_time_ms;
  if (is_same_incarnation) {
    if (m_has_ended || announcement.m_sequence < m_current->m_sequence) {
      return Change::kStale;
    }
  } else if (m_current &&
             announcement.m_start_time_ms <= m_current->m_start_time_ms &&
             (m_has_ended ? m_current->m_name == announcement.m_name
                          : now - m_last_announced_at < kAnnouncementTimeout)) {
    return Change::kStale;
  }
  m_last_announced_at = now;
  InstanceAnnouncement latest = announcement;
  if (is_same_incarnation) {
    // Leaving is irreversible.
    latest.m_is_leaving |= m_current->m_is_leaving;
  }
  const bool is_changed = !is_same_incarnation || m_has_ended ||
                          latest.m_is_leaving != m_current->m_is_leaving ||
                          latest.m_service != m_current->m_service ||
                          latest.m_slots != m_current->m_slots ||
                          latest.m_address != m_current->m_address;
  m_current = std::move(latest);
  m_has_ended = false;
  return is_changed ? Change::kChanged : Change::kNone;
}

LocalInstance::Change LocalInstance::OnDeregister(const std::string& name) {
  if (!m_current) {
    // Recorded so that a late announcement does not restore the instance.
    m_current = InstanceAnnouncement{.m_name = name, .m_is_leaving = true};
    m_has_ended = true;
    return Change::kNone;
  }
  if (m_current->m_name != name || m_has_ended) {
    return Change::kNone;
  }
  m_has_ended = true;
  return Change::kChanged;
}

LocalInstance::Change LocalInstance::OnLeaving(const std::string& name,
                                               uint64_t start_time_ms) {
  if (ActiveInstance() == nullptr || m_current->m_name != name ||
      m_current->m_start_time_ms != start_time_ms) {
    return Change::kNone;
  }
  m_current->m_is_leaving = true;
  return Change::kChanged;
}

LocalInstance::Change LocalInstance::RestoreDeparture(const std::string& name,
                                                      uint64_t start_time_ms) {
  if (!m_current) {
    m_current = InstanceAnnouncement{
        .m_name = name, .m_is_leaving = true, .m_start_time_ms = start_time_ms};
    m_has_ended = true;
    return Change::kNone;
  }
  if (ActiveInstance() == nullptr || m_current->m_name != name ||
      m_current->m_start_time_ms != start_time_ms) {
    return Change::kNone;
  }
  m_has_ended = true;
  return Change::kChanged;
}

const InstanceAnnouncement* LocalInstance::Departed() const {
  return m_current && ActiveInstance() == nullptr ? &*m_current : nullptr;
}

LocalInstance::Change LocalInstance::OnMismatch() {
  if (ActiveInstance() == nullptr) {
    return Change::kNone;
  }
  m_has_ended = true;
  return Change::kChanged;
}

const InstanceAnnouncement* LocalInstance::ActiveInstance() const {
  if (!m_current || m_has_ended || m_current->m_is_leaving) {
    return nullptr;
  }
  return &*m_current;
}

}  // namespace sequoiastage
