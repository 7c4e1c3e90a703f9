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

// Replays the platform's log, holds the configuration in force and appends
// operators' changes. Used on the control thread only.
class ConfigFeed {
 public:
  struct Options {
    Endpoint m_log;
    std::string m_site;
  };
  using PublishDone = std::function<void(const PublishResult&)>;

  // `on_change` is called after each change of the configuration or the
  // ejections in force.
  ConfigFeed(asio::io_context& io,
             Options options,
             std::function<void()> on_change);

  void Start();
  void Stop();

  // Appends the change if it passes validation. Calls `done` with the verdict
  // of the replay, or with an error if the change is rejected beforehand, the
  // append fails or the replay takes too long.
  void Publish(const PublishRequest& request, PublishDone done);

  // A log reader polls the log at short intervals. Other nodes receive changes
  // from their peers and poll only as a fallback.
  void SetIsLogReader(bool is_log_reader) { m_is_log_reader = is_log_reader; }

  // Reads the log immediately, for use when no peer is reachable.
  void PollNow() { Poll(); }

  // Builds the reply with the records that the peer lacks, or with the whole
  // state if they are no longer kept. It is empty if the peer lacks none.
  ConfigReplyMessage BuildConfigReply(
      const ConfigRequestMessage& request) const;

  // Applies the records or the state that a peer sent.
  void ApplyPeerReply(const ConfigReplyMessage& reply);

  // Offset of the next record to apply; each earlier change is in force or was
  // refused.
  LogOffset Version() const { return m_replay.State().m_next; }
  const std::shared_ptr<const Config>& InForce() const { return m_config; }
  const std::shared_ptr<const RouteTable>& Routes() const { return m_routes; }
  const ReplayState& State() const { return m_replay.State(); }
  bool IsLogReachable() const { return m_is_log_reachable; }
  const LogReplay& Replay() const { return m_replay; }

  // Ejections to enforce; empty until the log has been read to its end once.
  const std::map<ServiceId, ServiceEjections>& EnforcedEjections() const;
  const ServiceEjections& FindEjections(ServiceId service) const {
    return m_replay.FindEjections(service);
  }

  // Appends a record without a retry; the replay yields its verdict.
  void Append(const RecordContent& content);

 private:
  // A change that was appended, or whose append has an unknown outcome.
  struct PendingChange {
    std::string m_change_id;
    std::string m_reason;
    TimePoint m_deadline;
    PublishDone m_done;
  };

  void Poll();
  void ArmPoll(std::chrono::milliseconds interval);
  void OnPage(const HttpCallResult& result);
  // Applies the page's records. Returns true when the log has more records to
  // read immediately.
  bool ApplyPage(const LogPage& page);
  ApplyOutcome ApplyRecord(LogOffset offset, const std::string& text);
  void OnStateChange(LogOffset before);
  void ApplyPeerState(const std::string& text);
  void AppendSnapshotIfDue(LogOffset first_retained);
  void LogNewAuditEntries(LogOffset before);
  void UpdateInForce();
  // Rebuilds the route table unless the routes of `config` are unchanged.
  void UpdateRoutes(const Config* config);
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
  // Time of the next check whether a snapshot is due. The checks are randomized
  // so that usually one node appends a snapshot before the others check.
  TimePoint m_next_snapshot_check;
  std::mt19937_64 m_random;
  std::vector<PendingChange> m_pending;
  // Contiguous newest records, kept for replies to peers.
  std::deque<RelayedRecord> m_recent;
  size_t m_recent_bytes = 0;
  bool m_is_log_reader = true;
  bool m_is_polling = false;
  bool m_is_log_reachable = false;
  bool m_has_read_to_end = false;
};

// Converts an entry of the audit trail for the administration API.
AuditRecord ToAuditRecord(const AuditEntry& entry);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_NODE_CONFIG_FEED_P_H_
