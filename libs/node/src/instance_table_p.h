#ifndef SEQUOIASTAGE_NODE_INSTANCE_TABLE_P_H_
#define SEQUOIASTAGE_NODE_INSTANCE_TABLE_P_H_

#include <deque>
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

// Registration of an instance, sent to /v1/announce as JSON:
//
//   {"service": "approvals", "endpoint": "127.0.1.1:9001",
//    "incarnation": 1733240000000, "slots": 3, "draining": false,
//    "health_path": "/health"}
//
// "slots", "draining" and "health_path" are optional. Without "slots" the
// configuration of the service sets them.
struct Announcement {
  std::string m_service;
  InstanceId m_id;
  Incarnation m_incarnation;
  std::optional<uint16_t> m_slots;
  bool m_is_draining = false;
  // Request target of the health check, whose GET returns 2xx while the
  // instance is healthy. Empty for none.
  std::string m_health_path;
};

// Parses an announcement; empty with errors in `findings` when it is invalid.
std::optional<Announcement> ParseAnnouncement(std::string_view text,
                                              Findings& findings);

// Returns the announced slots, else those of the service in `config` (which may
// be null), else 1.
uint16_t ResolveSlots(const Announcement& announcement, const Config* config);

// Registry of the instances on this host. An entry expires kAnnouncementTtl
// after its last announcement.
class InstanceTable {
 public:
  static constexpr std::chrono::seconds kAnnouncementTtl{10};
  // For this time after its start the latency of an instance is not used as
  // evidence.
  static constexpr std::chrono::seconds kWarmUpTime{30};

  struct Entry {
    Announcement m_announcement;
    // Set by an operator; reset by an undrain or a new incarnation.
    bool m_is_drained = false;
    bool m_is_suspect = false;
    TimePoint m_first_seen;
    TimePoint m_last_seen;
  };

  // Adds or renews an entry. Returns false when the incarnation is older than
  // the registered one or has left.
  bool Announce(const Announcement& announcement, TimePoint now);

  enum class LeaveResult : uint8_t {
    kLeft,
    // The departure is remembered all the same.
    kUnknown,
    // A later incarnation is registered, and stays.
    kOldIncarnation,
  };

  // Removes the instance. This incarnation and earlier ones can't announce
  // themselves again.
  LeaveResult Leave(const Announcement& announcement);

  // Sets an operator's drain state. Returns false when the instance is unknown.
  bool SetDrained(InstanceId id, bool is_drained);

  // Sets the verdict of the egress; ignored when the instance is unknown.
  void SetSuspect(InstanceId id, bool is_suspect);

  // Removes the expired entries and returns their instances.
  std::vector<InstanceId> Expire(TimePoint now);

  const std::map<InstanceId, Entry>& Entries() const { return m_entries; }

  // Returns the instances for this node's member entry.
  std::vector<InstanceEntry> ToMemberEntries(TimePoint now,
                                             const Config* config) const;

 private:
  struct Departure {
    InstanceId m_id;
    Incarnation m_incarnation;
  };

  std::map<InstanceId, Entry> m_entries;
  // The latest ones, oldest first; one for each instance.
  std::deque<Departure> m_departures;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_NODE_INSTANCE_TABLE_P_H_
