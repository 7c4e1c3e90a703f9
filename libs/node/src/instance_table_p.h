#ifndef SEQUOIASTAGE_NODE_INSTANCE_TABLE_P_H_
#define SEQUOIASTAGE_NODE_INSTANCE_TABLE_P_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sequoiastage/base/findings.h"
#include "sequoiastage/base/ids.h"
#include "sequoiastage/base/time.h"
#include "sequoiastage/config/config.h"
#include "sequoiastage/membership/member_entry.h"

namespace sequoiastage {

// What an instance says of itself, in JSON:
//
//   {"service": "approvals", "endpoint": "127.0.1.1:9001",
//    "incarnation": 1733240000000, "slots": 3, "draining": false}
//
// Without "slots" the configuration of its service tells them.
struct Announcement {
  std::string m_service;
  InstanceId m_id;
  Incarnation m_incarnation;
  std::optional<uint16_t> m_slots;
  bool m_is_draining = false;
};

// Reads an announcement; faults go to `findings`.
std::optional<Announcement> ParseAnnouncement(std::string_view text,
                                              Findings& findings);

// Slots of the instance: as announced, else as `config` (may be null) says of
// its service.
uint16_t SlotsOf(const Announcement& announcement, const Config* config);

// The instances on this host, as they announced themselves. An instance that
// stops announcing itself is gone after kAnnouncementTtl.
class InstanceTable {
 public:
  static constexpr std::chrono::seconds kAnnouncementTtl{10};
  // Latency of an instance that started this short a time ago is no evidence.
  static constexpr std::chrono::seconds kWarmUpTime{30};

  struct Entry {
    Announcement m_announced;
    // Drained by an operator, until undrained or started anew.
    bool m_is_drained = false;
    bool m_is_suspect = false;
    TimePoint m_first_seen;
    TimePoint m_last_seen;
  };

  // Takes an announcement. False when it tells of an incarnation older than
  // the one known.
  bool Announce(const Announcement& announcement, TimePoint now);

  // The instance leaves at once. False when it is unknown.
  bool Leave(InstanceId id);

  // An operator's word. False when the instance is unknown.
  bool SetDrained(InstanceId id, bool is_drained);

  // The egress's verdict.
  void SetSuspect(InstanceId id, bool is_suspect);

  // Drops instances that stopped announcing themselves; returns them.
  std::vector<InstanceId> Expire(TimePoint now);

  const std::map<InstanceId, Entry>& Entries() const { return m_entries; }

  // The table as this node's member entry has it.
  std::vector<InstanceEntry> ToMemberEntries(TimePoint now,
                                             const Config* config) const;

 private:
  std::map<InstanceId, Entry> m_entries;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_NODE_INSTANCE_TABLE_P_H_
