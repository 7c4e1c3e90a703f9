#include "config_feed_p.h"

#include <algorithm>
#include <utility>

#include "sequoiastage/logging/log_event.h"

namespace sequoiastage {

namespace {

constexpr std::chrono::milliseconds kPollInterval{500};
constexpr std::chrono::milliseconds kPendingPollInterval{50};
// Poll interval of nodes that receive changes from peers.
constexpr std::chrono::seconds kFallbackPollInterval{60};
// Limit of the records kept for replies to peers.
constexpr size_t kMaxRecentBytes = size_t{4} << 20;
// A page may be large and the line slow: the timeout is for its parts.
constexpr std::chrono::seconds kReadTimeout{2};
constexpr std::chrono::seconds kMaxReadTime{15};
constexpr std::chrono::seconds kAppendTimeout{2};
constexpr std::chrono::seconds kPublishTimeout{5};
constexpr uint32_t kPageRecords = 256;
// Upper limit of the random interval between snapshot checks.
constexpr std::chrono::milliseconds kMaxSnapshotCheckInterval{20'000};

ConfigChange ToChange(const PublishRequest& request, JsonDocument content) {
  return {.m_header = {.m_change_id = request.m_change_id,
                       .m_author = request.m_author,
                       .m_time = WallNow()},
          .m_scope = request.m_scope,
          .m_from = request.m_from_version,
          .m_content = std::move(content)};
}

std::string FormatVersion(std::optional<LogOffset> version) {
  return version ? "version " + std::to_string(version->Get()) : "no version";
}

bool IsEjectionChange(const AuditEntry& entry) {
  if (entry.m_verdict == AuditVerdict::kVoid) {
    return true;
  }
  if (entry.m_differences.empty()) {
    return false;
  }
  const std::string& first = entry.m_differences.front();
  return first.rfind("eject ", 0) == 0 || first.rfind("readmit ", 0) == 0;
}

}  // namespace

ConfigFeed::ConfigFeed(asio::io_context& io,
                       Options options,
                       std::function<void()> on_change)
    : m_options(std::move(options)),
      m_on_change(std::move(on_change)),
      m_client(io),
      m_timer(io),
      m_snapshots({}, Now()),
      m_random(std::random_device()()) {}

void ConfigFeed::Start() {
  Poll();
}

void ConfigFeed::Stop() {
  m_timer.cancel();
}

const std::map<ServiceId, ServiceEjections>& ConfigFeed::EnforcedEjections()
    const {
  static const std::map<ServiceId, ServiceEjections> kNone;
  return m_has_read_to_end ? m_replay.State().m_ejections : kNone;
}

void ConfigFeed::Append(const RecordContent& content) {
  auto request = MakeAppendRequest(ToRecordText(content));
  if (!request) {
    return;
  }
  m_client.Start({.m_server = m_options.m_log, .m_timeout = kAppendTimeout},
                 std::move(*request), [this](const HttpCallResult& result) {
                   const AppendResult append = ToAppendResult(result);
                   if (append.m_outcome != AppendOutcome::kAppended) {
                     LogEvent(LogLevel::kWarn, "append_failed")
                         .Add("reason", append.m_reason);
                   }
                   Poll();
                 });
}

void ConfigFeed::AppendSnapshotIfDue(LogOffset first_retained) {
  const TimePoint now = Now();
  if (const auto snapshot_end = m_replay.SnapshotEnd()) {
    m_snapshots.OnSnapshot(*snapshot_end, now);
  }
  if (!m_is_log_reader || now < m_next_snapshot_check) {
    return;
  }
  m_next_snapshot_check =
      now + std::uniform_int_distribution<int64_t>(
                0, kMaxSnapshotCheckInterval.count())(m_random) *
                std::chrono::milliseconds(1);
  if (!m_snapshots.IsDue(first_retained, Version(), now)) {
    return;
  }
  const std::string author = m_options.m_site;
  const WallTime wall = WallNow();
  const std::string text = m_replay.MakeSnapshot(
      {.m_change_id = "snapshot-" + std::to_string(Version().Get()) + "-" +
                      std::to_string(m_random()),
       .m_author = author,
       .m_time = wall});
  auto request = MakeAppendRequest(text);
  if (request) {
    LogEvent(LogLevel::kInfo, "snapshot_appended")
        .Add("covers", static_cast<int64_t>(Version().Get()));
    m_client.Start({.m_server = m_options.m_log, .m_timeout = kAppendTimeout},
                   std::move(*request), [](const HttpCallResult&) {});
  }
}

void ConfigFeed::Poll() {
  if (m_is_polling) {
    return;
  }
  m_is_polling = true;
  m_client.Start({.m_server = m_options.m_log,
                  .m_timeout = kReadTimeout,
                  .m_max_duration = kMaxReadTime,
                  .m_is_idempotent = true},
                 MakeReadRequest(m_replay.NextOffset(), kPageRecords),
                 [this](const HttpCallResult& result) {
                   m_is_polling = false;
                   OnPage(result);
                 });
}

void ConfigFeed::ArmPoll(std::chrono::milliseconds interval) {
  m_timer.expires_after(interval);
  m_timer.async_wait([this](const asio::error_code& error) {
    if (!error) {
      Poll();
    }
  });
}

void ConfigFeed::OnPage(const HttpCallResult& result) {
  std::string reason;
  const auto page = ToLogPage(result, m_replay.NextOffset(), &reason);
  if (m_is_log_reachable != page.has_value()) {
    m_is_log_reachable = page.has_value();
    LogEvent(page ? LogLevel::kInfo : LogLevel::kWarn,
             page ? "log_reachable" : "log_unreachable")
        .Add("reason", reason);
  }
  const bool has_more = page && ApplyPage(*page);
  if (page && !has_more) {
    AppendSnapshotIfDue(page->m_first_retained);
  }
  ResolvePending();
  if (has_more) {
    Poll();
    return;
  }
  if (!m_pending.empty()) {
    ArmPoll(kPendingPollInterval);
    return;
  }
  ArmPoll(m_is_log_reader || !m_has_read_to_end ? kPollInterval
                                                : kFallbackPollInterval);
}

bool ConfigFeed::ApplyPage(const LogPage& page) {
  const LogOffset before = m_replay.State().m_next;
  m_replay.SetFirstRetained(page.m_first_retained);
  for (const LogRecord& record : page.m_records) {
    const ApplyOutcome outcome = ApplyRecord(record.m_offset, record.m_text);
    if (outcome == ApplyOutcome::kRestored ||
        outcome == ApplyOutcome::kOutOfOrder) {
      break;
    }
  }
  const bool is_at_end = m_replay.NextOffset() == page.m_end;
  const bool is_first_time_at_end = is_at_end && !m_has_read_to_end;
  m_has_read_to_end = m_has_read_to_end || is_at_end;
  if (m_replay.State().m_next != before || is_first_time_at_end) {
    OnStateChange(before);
  }
  return !is_at_end && !page.m_records.empty();
}

ApplyOutcome ConfigFeed::ApplyRecord(LogOffset offset,
                                     const std::string& text) {
  const LogOffset before = m_replay.State().m_next;
  const ApplyOutcome outcome = m_replay.Apply(offset, text);
  if (m_replay.State().m_next == before) {
    return outcome;
  }
  if (offset != before) {
    m_recent.clear();
    m_recent_bytes = 0;
  }
  if (outcome != ApplyOutcome::kRestored) {
    m_recent.push_back({.m_offset = offset, .m_text = text});
    m_recent_bytes += text.size();
  }
  while (m_recent_bytes > kMaxRecentBytes) {
    m_recent_bytes -= m_recent.front().m_text.size();
    m_recent.pop_front();
  }
  return outcome;
}

void ConfigFeed::OnStateChange(LogOffset before) {
  LogNewAuditEntries(before);
  UpdateInForce();
}

ConfigReplyMessage ConfigFeed::BuildConfigReply(
    const ConfigRequestMessage& request) const {
  ConfigReplyMessage reply{.m_attempt = request.m_attempt};
  if (request.m_start_offset >= Version()) {
    return reply;
  }
  if (m_recent.empty() || request.m_start_offset < m_recent.front().m_offset) {
    reply.m_state = ToDocument(m_replay.State()).ToText();
    return reply;
  }
  for (const RelayedRecord& record : m_recent) {
    if (record.m_offset >= request.m_start_offset) {
      reply.m_records.push_back(record);
    }
  }
  return reply;
}

void ConfigFeed::ApplyPeerReply(const ConfigReplyMessage& reply) {
  const LogOffset before = Version();
  for (const RelayedRecord& record : reply.m_records) {
    if (record.m_offset >= Version()) {
      ApplyRecord(record.m_offset, record.m_text);
    }
  }
  if (!reply.m_state.empty()) {
    ApplyPeerState(reply.m_state);
  }
  if (Version() != before) {
    OnStateChange(before);
    ResolvePending();
  }
}

void ConfigFeed::ApplyPeerState(const std::string& text) {
  Findings findings;
  const auto document = JsonDocument::Parse("peer", text, findings);
  const auto state =
      document ? ParseReplayState(*document, findings) : std::nullopt;
  if (!state) {
    LogEvent(LogLevel::kWarn, "peer_state_refused")
        .Add("findings", findings.ToText());
    return;
  }
  if (m_replay.Merge(*state)) {
    m_recent.clear();
    m_recent_bytes = 0;
  }
}

void ConfigFeed::LogNewAuditEntries(LogOffset before) {
  for (const AuditEntry& entry : m_replay.State().m_audit) {
    if (entry.m_offset < before) {
      continue;
    }
    LogEvent(LogLevel::kInfo, "log_record_judged")
        .Add("offset", static_cast<int64_t>(entry.m_offset.Get()))
        .Add("subject", entry.m_subject)
        .Add("author", entry.m_header.m_author)
        .Add("verdict", ToString(entry.m_verdict))
        .Add("reason", entry.m_reason);
  }
}

void ConfigFeed::UpdateInForce() {
  if (m_fleet != m_replay.InForce()) {
    m_fleet = m_replay.InForce();
    const Config* config =
        m_fleet ? m_fleet->FindSite(m_options.m_site) : nullptr;
    UpdateRoutes(config);
    m_config = std::shared_ptr<const Config>(m_fleet, config);
  }
  m_on_change();
}

void ConfigFeed::UpdateRoutes(const Config* config) {
  if (config == nullptr) {
    m_routes = nullptr;
    return;
  }
  const bool is_same = m_routes != nullptr && m_config != nullptr &&
                       m_config->m_routes.IsSharedWith(config->m_routes);
  if (!is_same) {
    m_routes = std::make_shared<const RouteTable>(config->m_routes);
  }
}

void ConfigFeed::Publish(const PublishRequest& request, PublishDone done) {
  const AuditEntry* known = m_replay.FindChange(request.m_change_id);
  if (known != nullptr) {
    done(ToResult(*known));
    return;
  }
  Findings findings;
  auto content =
      JsonDocument::Parse(request.m_scope, request.m_document, findings);
  if (!content) {
    done({.m_verdict = PublishVerdict::kInvalid,
          .m_findings = findings.Items(),
          .m_reason = "the document is no JSON object"});
    return;
  }
  const ConfigChange change =
      m_replay.Shorten(ToChange(request, std::move(*content)));
  const auto in_force = m_replay.State().FindVersion(change.m_scope);
  if (change.m_from != in_force) {
    done(ConflictResult(change.m_scope, "the change was made from " +
                                            FormatVersion(change.m_from) +
                                            ", but " + FormatVersion(in_force) +
                                            " is in force"));
    return;
  }
  m_replay.CheckChange(change, findings);
  if (!findings.IsEmpty()) {
    done({.m_verdict = PublishVerdict::kInvalid,
          .m_findings = findings.Items(),
          .m_reason = "the configuration has faults"});
    return;
  }
  if (!m_is_log_reachable) {
    Poll();
    done({.m_verdict = PublishVerdict::kLogUnavailable,
          .m_reason = "the last read of the log failed, so that nothing was "
                      "appended"});
    return;
  }
  auto append = MakeAppendRequest(ToRecordText(change));
  if (!append) {
    done({.m_verdict = PublishVerdict::kInvalid,
          .m_reason = "the document is no UTF-8 text"});
    return;
  }
  m_client.Start(
      {.m_server = m_options.m_log, .m_timeout = kAppendTimeout},
      std::move(*append),
      [this, id = request.m_change_id, done = std::move(done)](
          const HttpCallResult& result) { OnAppended(id, result, done); });
}

void ConfigFeed::OnAppended(const std::string& change_id,
                            const HttpCallResult& result,
                            const PublishDone& done) {
  const AppendResult append = ToAppendResult(result);
  if (append.m_outcome == AppendOutcome::kFailed) {
    done({.m_verdict = PublishVerdict::kLogUnavailable,
          .m_reason = append.m_reason});
    return;
  }
  m_pending.push_back({.m_change_id = change_id,
                       .m_reason = append.m_reason,
                       .m_deadline = Now() + kPublishTimeout,
                       .m_done = done});
  Poll();
}

void ConfigFeed::ResolvePending() {
  const TimePoint now = Now();
  std::vector<PendingChange> waiting;
  std::swap(waiting, m_pending);
  for (PendingChange& pending : waiting) {
    const AuditEntry* entry = m_replay.FindChange(pending.m_change_id);
    if (entry != nullptr) {
      pending.m_done(ToResult(*entry));
    } else if (now >= pending.m_deadline) {
      pending.m_done({.m_verdict = PublishVerdict::kUnknown,
                      .m_reason = "the change was not seen on the log in "
                                  "time " +
                                  pending.m_reason});
    } else {
      m_pending.push_back(std::move(pending));
    }
  }
}

PublishResult ConfigFeed::ToResult(const AuditEntry& entry) const {
  switch (entry.m_verdict) {
    case AuditVerdict::kAccepted:
      return {.m_verdict = PublishVerdict::kAccepted,
              .m_version = entry.m_offset};
    case AuditVerdict::kConflict:
      return ConflictResult(entry.m_subject, entry.m_reason);
    default:
      return {.m_verdict = PublishVerdict::kInvalid,
              .m_reason = entry.m_reason};
  }
}

PublishResult ConfigFeed::ConflictResult(const std::string& scope,
                                         std::string reason) const {
  PublishResult result{.m_verdict = PublishVerdict::kConflict,
                       .m_reason = std::move(reason)};
  const auto in_force = m_replay.State().m_scopes.find(scope);
  if (in_force == m_replay.State().m_scopes.end()) {
    return result;
  }
  const ScopeState& state = in_force->second;
  result.m_version = state.m_version;
  result.m_winner = AuditRecord{.m_offset = state.m_version,
                                .m_time = state.m_header.m_time,
                                .m_author = state.m_header.m_author,
                                .m_subject = scope,
                                .m_change_id = state.m_header.m_change_id,
                                .m_is_accepted = true};
  for (const AuditEntry& entry : m_replay.State().m_audit) {
    if (entry.m_offset == state.m_version) {
      result.m_winner = ToAuditRecord(entry);
    }
  }
  return result;
}

AuditRecord ToAuditRecord(const AuditEntry& entry) {
  const bool is_accepted = entry.m_verdict == AuditVerdict::kAccepted;
  const std::string verdict(ToString(entry.m_verdict));
  return {.m_offset = entry.m_offset,
          .m_kind = IsEjectionChange(entry) ? AuditKind::kEjectionChange
                                            : AuditKind::kConfigChange,
          .m_time = entry.m_header.m_time,
          .m_author = entry.m_header.m_author,
          .m_subject = entry.m_subject,
          .m_from_version = entry.m_from,
          .m_change_id = entry.m_header.m_change_id,
          .m_is_accepted = is_accepted,
          .m_reason = is_accepted ? "" : verdict + ": " + entry.m_reason,
          .m_differences = entry.m_differences};
}

}  // namespace sequoiastage
