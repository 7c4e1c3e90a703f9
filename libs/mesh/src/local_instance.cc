#include "sequoiastage/mesh/local_instance.h"

#include <algorithm>
#include <utility>

namespace sequoiastage {

namespace {

// Two announcement intervals, with a margin for a late announcement. An
// incarnation that announced itself within this time is not replaced by an
// older one.
constexpr Duration kAnnouncementTimeout = std::chrono::seconds(4);

// Departures that are remembered.
constexpr size_t kMaxDepartures = 16;

}  // namespace

LocalInstance::Change LocalInstance::OnAnnounce(
    const InstanceAnnouncement& announcement,
    TimePoint now) {
  const bool is_same_incarnation =
      m_current && m_current->Incarnation() == announcement.Incarnation();
  const bool is_stale =
      is_same_incarnation
          ? m_has_ended || announcement.m_sequence < m_current->m_sequence
          : HasLeft(announcement, now) ||
                (m_current && !m_has_ended &&
                 announcement.m_start_time_ms <= m_current->m_start_time_ms &&
                 now - m_last_announced_at < kAnnouncementTimeout);
  if (is_stale) {
    return Change::kStale;
  }
  m_last_announced_at = now;
  InstanceAnnouncement latest = announcement;
  if (is_same_incarnation) {
    // Leaving is irreversible.
    latest.m_is_leaving |= m_current->m_is_leaving;
  }
  const bool is_changed = !is_same_incarnation ||
                          latest.m_is_leaving != m_current->m_is_leaving ||
                          latest.m_service != m_current->m_service ||
                          latest.m_slots != m_current->m_slots ||
                          latest.m_address != m_current->m_address;
  if (latest.m_is_leaving) {
    AddDeparture(
        {.m_name = latest.m_name, .m_start_time_ms = latest.m_start_time_ms});
  }
  m_current = std::move(latest);
  m_has_ended = false;
  return is_changed ? Change::kChanged : Change::kNone;
}

bool LocalInstance::HasLeft(const InstanceAnnouncement& announcement,
                            TimePoint now) {
  const auto departure = FindDeparture(announcement.m_name);
  if (departure == m_departures.end() || !departure->Covers(announcement)) {
    return false;
  }
  if (!departure->m_is_exact) {
    departure->m_heard_start_time_ms =
        departure->m_heard_start_time_ms.value_or(announcement.m_start_time_ms);
    if (announcement.m_start_time_ms <= *departure->m_heard_start_time_ms) {
      return true;
    }
  } else if (departure->m_start_time_ms == announcement.m_start_time_ms) {
    return true;
  }
  // Announcements that were late end soon, those of an instance go on.
  const bool is_known =
      m_returning && m_returning->m_name == announcement.m_name &&
      m_returning->m_start_time_ms == announcement.m_start_time_ms;
  if (!is_known) {
    m_returning = Returning{.m_name = announcement.m_name,
                            .m_start_time_ms = announcement.m_start_time_ms,
                            .m_sequence = announcement.m_sequence,
                            .m_first_announced_at = now};
    return true;
  }
  if (announcement.m_sequence <= m_returning->m_sequence) {
    return true;
  }
  m_returning->m_sequence = announcement.m_sequence;
  if (now - m_returning->m_first_announced_at < kAnnouncementTimeout) {
    return true;
  }
  m_returning.reset();
  m_departures.erase(departure);
  return false;
}

std::deque<InstanceDeparture>::iterator LocalInstance::FindDeparture(
    const std::string& name) {
  return std::find_if(
      m_departures.begin(), m_departures.end(),
      [&name](const InstanceDeparture& d) { return d.m_name == name; });
}

bool LocalInstance::AddDeparture(InstanceDeparture departure) {
  const auto known = FindDeparture(departure.m_name);
  if (known != m_departures.end()) {
    if (known->m_start_time_ms >= departure.m_start_time_ms) {
      return false;
    }
    m_departures.erase(known);
  }
  m_departures.push_back(std::move(departure));
  if (m_departures.size() > kMaxDepartures) {
    m_departures.pop_front();
  }
  return true;
}

LocalInstance::Change LocalInstance::End() {
  m_has_ended = true;
  return Change::kChanged;
}

LocalInstance::Change LocalInstance::OnDeregister(const std::string& name,
                                                  uint64_t start_time_ms,
                                                  WallTime now) {
  const bool is_current = m_current && m_current->m_name == name;
  InstanceDeparture departure{.m_name = name, .m_start_time_ms = start_time_ms};
  if (start_time_ms == 0 && is_current) {
    departure.m_start_time_ms = m_current->m_start_time_ms;
  } else if (start_time_ms == 0) {
    if (FindDeparture(name) != m_departures.end()) {
      return Change::kNone;  // Sent again.
    }
    // An incarnation that leaves had started before.
    departure.m_start_time_ms =
        static_cast<uint64_t>(now.time_since_epoch().count());
    departure.m_is_exact = false;
  }
  const bool ends_current =
      is_current && !m_has_ended && departure.Covers(*m_current);
  const bool is_new = AddDeparture(std::move(departure));
  if (ends_current) {
    return End();
  }
  return is_new ? Change::kChanged : Change::kNone;
}

LocalInstance::Change LocalInstance::OnLeaving(
    const InstanceIncarnation& instance) {
  if (m_current && m_current->Incarnation() != instance) {
    return Change::kStale;
  }
  if (!IsActive(instance)) {
    return Change::kNone;
  }
  AddDeparture(
      {.m_name = instance.m_name, .m_start_time_ms = instance.m_start_time_ms});
  m_current->m_is_leaving = true;
  return Change::kChanged;
}

LocalInstance::Change LocalInstance::RestoreDeparture(
    const InstanceIncarnation& instance) {
  AddDeparture(
      {.m_name = instance.m_name, .m_start_time_ms = instance.m_start_time_ms});
  return IsActive(instance) ? End() : Change::kNone;
}

LocalInstance::Change LocalInstance::OnMismatch(
    const InstanceIncarnation& instance) {
  if (m_current && m_current->Incarnation() != instance) {
    return Change::kStale;
  }
  return RestoreDeparture(instance);
}

bool LocalInstance::IsActive(const InstanceIncarnation& instance) const {
  const InstanceAnnouncement* active = ActiveInstance();
  return active != nullptr && active->Incarnation() == instance;
}

const InstanceAnnouncement* LocalInstance::ActiveInstance() const {
  if (!m_current || m_has_ended || m_current->m_is_leaving) {
    return nullptr;
  }
  return &*m_current;
}

}  // namespace sequoiastage
