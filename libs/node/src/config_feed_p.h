#ifndef SEQUOIASTAGE_NODE_CONFIG_FEED_P_H_
#define SEQUOIASTAGE_NODE_CONFIG_FEED_P_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "sequoiastage/admin/admin_state.h"
#include "sequoiastage/base/ids.h"
#include "sequoiastage/base/time.h"
#include "sequoiastage/config/config.h"
#include "sequoiastage/config/log_replay.h"
#include "sequoiastage/config/route_table.h"
#include "sequoiastage/config/snapshot_schedule.h"
#include "sequoiastage/http/http_client.h"
#include "sequoiastage/logclient/log_client.h"
#include "sequoiastage/wire/messages.h"

namespace sequoiastage {

// Follows the platform's log, keeps the configuration in force and appends
// operators' changes. Owned by the control thread.
class ConfigFeed {
 public:
  struct Options {
    Endpoint m_log;
    std::string m_site;
  };
  using PublishDone = std::function<void(const PublishResult&)>;

  // `on_change` is called after each change of what is in force.
  ConfigFeed(asio::io_context& io,
             Options options,
             std::function<void()> on_change);

  void Start();
  void Stop();

  // Appends the change, unless it can't hold, and calls back once the replay
  // has judged it, or when that takes too long.
  void Publish(const PublishRequest& request, PublishDone done);

  // With `is_reader` the log is polled for every change, else only now and
  // then: other nodes pass the changes on.
  void SetReader(bool is_reader) { m_is_reader = is_reader; }

  // Reads the log at once: the peers can't be reached.
  void PollNow() { Poll(); }

  // What a peer whose state ends before `have` lacks.
  ConfigReplyMessage AnswerPeer(const ConfigRequestMessage& request) const;

  // What a peer passed on.
  void TakeFromPeer(const ConfigReplyMessage& reply);

  // Every change before this offset is in force or was refused.
  LogOffset Version() const { return m_replay.State().m_next; }
  const std::shared_ptr<const Config>& InForce() const { return m_config; }
  const std::shared_ptr<const RouteTable>& Routes() const { return m_routes; }
  const ReplayState& State() const { return m_replay.State(); }
  bool IsLogReachable() const { return m_is_log_reachable; }
  const LogReplay& Replay() const { return m_replay; }

  // Ejections that may be enforced: none before the log was read to its end.
  const std::map<ServiceId, ServiceEjections>& EnforcedEjections() const;
  const ServiceEjections& EjectionsOf(ServiceId service) const {
    return m_replay.FindEjections(service);
  }

  // Appends a record once; its fate shows in the replay.
  void Append(const RecordContent& content);

 private:
  // A change that was appended, or may have been.
  struct Pending {
    std::string m_change_id;
    std::string m_reason;
    TimePoint m_deadline;
    PublishDone m_done;
  };

  void Poll();
  void ArmPoll(std::chrono::milliseconds interval);
  void OnPage(const HttpCallResult& result);
  // Applies the page's records; true when there are more to read at once.
  bool ApplyPage(const LogPage& page);
  ApplyOutcome ApplyRecord(LogOffset offset, const std::string& text);
  void OnStateChange(LogOffset before);
  void TakePeerState(const std::string& text);
  void AppendSnapshotIfDue(LogOffset first_retained);
  void LogNewAudit(LogOffset before);
  void TakeInForce();
  // Builds the route table of `config`, unless the routes are the same.
  void TakeRoutes(const Config* config);
  void OnAppended(const std::string& change_id,
                  const HttpCallResult& result,
                  const PublishDone& done);
  void ResolvePending();
  PublishResult ToResult(const AuditEntry& entry) const;
  PublishResult ConflictResult(const std::string& scope,
                               std::string reason) const;

  Options m_options;
  std::function<void()> m_on_change;
  HttpClient m_client;
  asio::steady_timer m_timer;
  LogReplay m_replay;
  std::shared_ptr<const FleetConfig> m_fleet;
  std::shared_ptr<const Config> m_config;
  std::shared_ptr<const RouteTable> m_routes;
  SnapshotSchedule m_snapshots;
  // When to look again whether a snapshot is due; nodes look at random times,
  // so that one of them comes first.
  TimePoint m_snapshot_look;
  std::mt19937_64 m_random;
  std::vector<Pending> m_pending;
  // Newest records without a gap, for peers.
  std::deque<RelayedRecord> m_recent;
  size_t m_recent_bytes = 0;
  bool m_is_reader = true;
  bool m_is_polling = false;
  bool m_is_log_reachable = false;
  bool m_has_read_to_end = false;
};

// One record of the audit trail as the administration API shows it.
AuditRecord ToAuditRecord(const AuditEntry& entry);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_NODE_CONFIG_FEED_P_H_
