#include "sequoiastage/mesh/local_instance.h"

namespace sequoiastage {

namespace {

// Two intervals between announcements, with room for a late one. A run that
// was heard from more lately than this is not replaced by an older one.
constexpr Duration kSilence = std::chrono::seconds(4);

}  // namespace

LocalInstance::Change LocalInstance::OnAnnounce(
    const InstanceAnnouncement& announcement,
    TimePoint now) {
  const bool is_same_run = m_current &&
                           m_current->m_name == announcement.m_name &&
                           m_current->m_born_ms == announcement.m_born_ms;
  if (is_same_run) {
    if (m_has_ended || announcement.m_sequence < m_current->m_sequence) {
      return Change::kStale;
    }
  } else if (m_current && announcement.m_born_ms <= m_current->m_born_ms &&
             (m_has_ended ? m_current->m_name == announcement.m_name
                          : now - m_heard_at < kSilence)) {
    return Change::kStale;
  }
  m_heard_at = now;
  InstanceAnnouncement latest = announcement;
  if (is_same_run) {
    // Leaving is not taken back.
    latest.m_is_leaving |= m_current->m_is_leaving;
  }
  const bool is_changed = !is_same_run || m_has_ended ||
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
    // Remembered, so that a late announcement does not bring it back.
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

LocalInstance::Change LocalInstance::OnMismatch() {
  if (InService() == nullptr) {
    return Change::kNone;
  }
  m_has_ended = true;
  return Change::kChanged;
}

const InstanceAnnouncement* LocalInstance::InService() const {
  if (!m_current || m_has_ended || m_current->m_is_leaving) {
    return nullptr;
  }
  return &*m_current;
}

}  // namespace sequoiastage
