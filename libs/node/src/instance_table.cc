#include "instance_table_p.h"

#include <algorithm>

#include "sequoiastage/checkedjson/json_document.h"
#include "sequoiastage/checkedjson/json_reader.h"

namespace sequoiastage {

namespace {

constexpr uint16_t kMaxSlots = 4096;
// Applies while there is no configuration for the service.
constexpr uint16_t kDefaultSlots = 1;
// Departures that are remembered.
constexpr size_t kMaxDepartures = 256;
constexpr int64_t kMaxIncarnation = int64_t{1} << 62;

}  // namespace

std::optional<Announcement> ParseAnnouncement(std::string_view text,
                                              Findings& findings) {
  const auto document = JsonDocument::Parse("announcement", text, findings);
  if (!document) {
    return std::nullopt;
  }
  JsonObject root = JsonObject::Root(*document, findings);
  Announcement announcement;
  Endpoint endpoint;
  int64_t incarnation = 0;
  root.ReadString("service", announcement.m_service, Presence::kRequired);
  root.ReadEndpoint("endpoint", endpoint, Presence::kRequired);
  root.ReadInteger<int64_t>("incarnation", incarnation,
                            {.m_min = 1, .m_max = kMaxIncarnation},
                            Presence::kRequired);
  uint16_t slots = 0;
  root.ReadInteger<uint16_t>("slots", slots, {.m_min = 1, .m_max = kMaxSlots});
  root.ReadBool("draining", announcement.m_is_draining);
  if (root.ReadString("health_path", announcement.m_health_path) &&
      announcement.m_health_path.front() != '/') {
    root.ReportAt("health_path", "has to begin with /");
  }
  root.ReportUnknownKeys();
  if (!findings.IsEmpty()) {
    return std::nullopt;
  }
  if (slots > 0) {
    announcement.m_slots = slots;
  }
  announcement.m_id = InstanceId(endpoint);
  announcement.m_incarnation = Incarnation(static_cast<uint64_t>(incarnation));
  return announcement;
}

bool InstanceTable::Announce(const Announcement& announcement, TimePoint now) {
  const bool has_left = std::any_of(
      m_departures.begin(), m_departures.end(),
      [&](const Departure& departure) {
        return departure.m_id == announcement.m_id &&
               announcement.m_incarnation <= departure.m_incarnation;
      });
  if (has_left) {
    return false;
  }
  const auto [it, is_new] = m_entries.try_emplace(
      announcement.m_id, Entry{.m_announcement = announcement,
                               .m_first_seen = now,
                               .m_last_seen = now});
  Entry& entry = it->second;
  if (is_new) {
    return true;
  }
  if (announcement.m_incarnation < entry.m_announcement.m_incarnation) {
    return false;
  }
  if (announcement.m_incarnation > entry.m_announcement.m_incarnation) {
    entry = Entry{.m_first_seen = now};
  }
  entry.m_announcement = announcement;
  entry.m_last_seen = now;
  return true;
}

InstanceTable::LeaveResult InstanceTable::Leave(
    const Announcement& announcement) {
  const auto entry = m_entries.find(announcement.m_id);
  const bool is_known = entry != m_entries.end();
  if (is_known &&
      announcement.m_incarnation < entry->second.m_announcement.m_incarnation) {
    return LeaveResult::kOldIncarnation;
  }
  Departure departure{.m_id = announcement.m_id,
                      .m_incarnation = announcement.m_incarnation};
  const auto earlier = std::find_if(
      m_departures.begin(), m_departures.end(),
      [&](const Departure& d) { return d.m_id == departure.m_id; });
  if (earlier != m_departures.end()) {
    departure.m_incarnation =
        std::max(departure.m_incarnation, earlier->m_incarnation);
    m_departures.erase(earlier);
  }
  m_departures.push_back(departure);
  if (m_departures.size() > kMaxDepartures) {
    m_departures.pop_front();
  }
  if (!is_known) {
    return LeaveResult::kUnknown;
  }
  m_entries.erase(entry);
  return LeaveResult::kLeft;
}

bool InstanceTable::SetDrained(InstanceId id, bool is_drained) {
  const auto it = m_entries.find(id);
  if (it == m_entries.end()) {
    return false;
  }
  it->second.m_is_drained = is_drained;
  return true;
}

void InstanceTable::SetSuspect(InstanceId id, bool is_suspect) {
  const auto it = m_entries.find(id);
  if (it != m_entries.end()) {
    it->second.m_is_suspect = is_suspect;
  }
}

std::vector<InstanceId> InstanceTable::Expire(TimePoint now) {
  std::vector<InstanceId> expired;
  for (const auto& [id, entry] : m_entries) {
    if (now - entry.m_last_seen > kAnnouncementTtl) {
      expired.push_back(id);
    }
  }
  for (const InstanceId id : expired) {
    m_entries.erase(id);
  }
  return expired;
}

uint16_t ResolveSlots(const Announcement& announcement, const Config* config) {
  if (announcement.m_slots) {
    return *announcement.m_slots;
  }
  const ServiceId id = MakeServiceId(announcement.m_service);
  const Service* service =
      config == nullptr ? nullptr : config->FindService(id);
  const uint32_t slots =
      service == nullptr ? kDefaultSlots : service->m_limits.m_slots;
  return static_cast<uint16_t>(std::min<uint32_t>(slots, kMaxSlots));
}

std::vector<InstanceEntry> InstanceTable::ToMemberEntries(
    TimePoint now,
    const Config* config) const {
  std::vector<InstanceEntry> member_entries;
  member_entries.reserve(m_entries.size());
  for (const auto& [id, entry] : m_entries) {
    const bool is_draining =
        entry.m_is_drained || entry.m_announcement.m_is_draining;
    member_entries.push_back(
        {.m_id = id,
         .m_service = MakeServiceId(entry.m_announcement.m_service),
         .m_incarnation = entry.m_announcement.m_incarnation,
         .m_slots = ResolveSlots(entry.m_announcement, config),
         .m_state =
             is_draining ? InstanceState::kDraining : InstanceState::kServing,
         .m_suspect = entry.m_is_suspect,
         .m_warm_up = now - entry.m_first_seen < kWarmUpTime});
  }
  return member_entries;
}

}  // namespace sequoiastage
