#include "control_p.h"

#include <algorithm>
#include <set>
#include <utility>

#include "group_report_p.h"
#include "problem_p.h"
#include "sequoiastage/logging/log_event.h"
#include "view_builder_p.h"

namespace sequoiastage {

namespace {

constexpr std::chrono::milliseconds kTickInterval{100};
constexpr std::chrono::seconds kSiblingTtl{10};
// Older sibling loads are not sent as hints with a refusal.
constexpr std::chrono::seconds kMaxSiblingLoadAge{3};
// Greater incarnations can't be clock readings and are ignored.
constexpr Incarnation kMaxIncarnation{uint64_t{1} << 62};
// Delay after building a view, as a multiple of the build time; limits this
// work to about 1% of a core for any fleet size.
constexpr int kViewDelayFactor = 100;
constexpr Duration kMaxViewDelay = std::chrono::seconds(1);

std::vector<NodeId> ToNodeIds(const std::vector<Endpoint>& endpoints) {
  std::vector<NodeId> ids;
  ids.reserve(endpoints.size());
  for (const Endpoint& endpoint : endpoints) {
    ids.emplace_back(endpoint);
  }
  return ids;
}

MembershipOptions MakeMembershipOptions(const NodeSettings& settings,
                                        Incarnation incarnation) {
  return {.m_node = NodeId(settings.m_peer),
          .m_incarnation = incarnation,
          .m_region = settings.m_region,
          .m_failure_domain = settings.m_failure_domain,
          .m_site = settings.m_site,
          .m_seeds = ToNodeIds(settings.m_seeds),
          .m_random_seed = incarnation.Get()};
}

bool IsExcludedIn(const std::vector<LocalInstance>& instances, InstanceId id) {
  return std::any_of(instances.begin(), instances.end(),
                     [id](const LocalInstance& instance) {
                       return instance.m_id == id && instance.m_is_excluded;
                     });
}

// Logs which local instances were ejected or readmitted.
void LogEjections(const std::vector<LocalInstance>& before,
                  const std::vector<LocalInstance>& after) {
  for (const LocalInstance& instance : after) {
    if (instance.m_is_excluded != IsExcludedIn(before, instance.m_id)) {
      LogEvent(LogLevel::kInfo, instance.m_is_excluded ? "instance_ejected"
                                                       : "instance_readmitted")
          .Add("instance", ToString(instance.m_id));
    }
  }
}

HttpResponse MakeErrorResponse(uint16_t status,
                               std::string title,
                               std::string detail) {
  return ToResponse(Problem{.m_status = status,
                            .m_title = std::move(title),
                            .m_detail = std::move(detail)});
}

}  // namespace

Control::Control(asio::io_context& io,
                 const NodeSettings& settings,
                 Incarnation incarnation,
                 Outputs outputs)
    : m_settings(settings),
      m_outputs(std::move(outputs)),
      m_membership(MakeMembershipOptions(settings, incarnation), Now()),
      m_gossip(io,
               PeerBindEndpoint(settings),
               [this](NodeId from, std::span<const uint8_t> bytes) {
                 m_gossip.Send(m_membership.OnDatagram(from, bytes, Now()));
               }),
      m_announce(io,
                 {.m_listen = settings.m_announce},
                 [this](const HttpRequest& request, HttpResponder responder) {
                   OnAnnounceRequest(request, std::move(responder));
                 }),
      m_config(io,
               {.m_log = settings.m_log, .m_site = settings.m_site},
               [this] {
                 m_is_view_due = true;
                 Publish();
               }),
      m_relay(io,
              {.m_local_node = NodeId(settings.m_peer),
               .m_incarnation = incarnation,
               .m_bind_ip = PeerBindEndpoint(settings).m_ip},
              &m_membership,
              &m_config),
      m_ejections(&m_membership, &m_config),
      m_admin(io, MakeAdminDependencies()),
      m_tick(io) {}

bool Control::Start() {
  if (!m_gossip.Start()) {
    m_last_reason = "peer UDP: " + m_gossip.LastReason();
    return false;
  }
  if (!m_announce.Start()) {
    m_last_reason = "announce: " + m_announce.LastReason();
    return false;
  }
  if (!m_admin.Start()) {
    m_last_reason = "admin: " + m_admin.LastReason();
    return false;
  }
  m_config.Start();
  ArmTick();
  return true;
}

void Control::Stop() {
  m_tick.cancel();
  m_config.Stop();
  m_relay.Stop();
  m_admin.Stop();
  m_announce.Stop();
  m_gossip.Stop();
}

NodeAdminDependencies Control::MakeAdminDependencies() {
  return {.m_settings = &m_settings,
          .m_membership = &m_membership,
          .m_config = &m_config,
          .m_ejections = &m_ejections,
          .m_instances = &m_instances,
          .m_traffic = &m_traffic,
          .m_on_instances_changed = [this] { Publish(); },
          .m_look_up_key = m_outputs.m_look_up_key};
}

void Control::SetHostState(HostState state) {
  m_host_state = state;
  Publish();
  m_gossip.Send(m_membership.OnTick(Now()));
}

void Control::ArmTick() {
  m_tick.expires_after(kTickInterval);
  m_tick.async_wait([this](const asio::error_code& error) {
    if (!error) {
      Tick();
      ArmTick();
    }
  });
}

void Control::Tick() {
  const TimePoint now = Now();
  for (const InstanceId id : m_instances.Expire(now)) {
    LogEvent(LogLevel::kWarn, "instance_silent").Add("instance", ToString(id));
  }
  CheckIncarnation();
  Publish();
  ApplyGroupReports();
  m_relay.OnTick(now);
  m_gossip.Send(m_membership.OnTick(now));
}

void Control::CheckIncarnation() {
  const auto other = m_membership.SupersededBy();
  if (!other || m_is_superseded || *other > kMaxIncarnation) {
    return;
  }
  m_is_superseded = true;
  LogEvent(LogLevel::kWarn, "node_superseded")
      .Add("incarnation", static_cast<int64_t>(other->Get()));
  m_outputs.m_on_superseded(*other);
}

void Control::Publish() {
  const TimePoint start = Now();
  const bool is_due =
      m_is_view_due || m_membership.ChangeCount() != m_published_change;
  if (!is_due || start < m_next_view) {
    PublishLocalState();
    return;
  }
  m_ejections.Refresh();
  PublishLocalState();
  PublishView();
  const Duration elapsed = Now() - start;
  m_next_view = start + std::min(kViewDelayFactor * elapsed, kMaxViewDelay);
}

void Control::PublishLocalState() {
  const LocalState own{.m_state = m_host_state,
                       .m_config_version = m_config.Version(),
                       .m_instances = m_instances.ToMemberEntries(
                           Now(), m_config.InForce().get())};
  if (!m_membership.SetLocalState(own, Now())) {
    LogEvent(LogLevel::kError, "own_entry_refused")
        .Add("reason", m_membership.LastReason());
  }
  std::vector<LocalInstance> instances = MakeLocalInstances();
  if (instances != m_published_instances) {
    LogEjections(m_published_instances, instances);
    m_published_instances = instances;
    m_outputs.m_on_instances(std::move(instances));
  }
}

void Control::PublishView() {
  m_published_change = m_membership.ChangeCount();
  m_is_view_due = false;
  auto view = std::make_shared<NodeView>();
  view->m_config = m_config.InForce();
  view->m_routes = m_config.Routes();
  view->m_instances =
      BuildInstanceViews(m_membership.Members(), m_membership.LocalEntry(),
                         [this](InstanceId instance, Incarnation incarnation) {
                           return m_ejections.IsEjected(instance, incarnation);
                         });
  m_outputs.m_on_view(std::move(view));
}

std::vector<LocalInstance> Control::MakeLocalInstances() const {
  std::vector<LocalInstance> locals;
  for (const auto& [id, entry] : m_instances.Entries()) {
    const Announcement& announcement = entry.m_announcement;
    const ServiceId service_id = MakeServiceId(announcement.m_service);
    LocalInstance local{
        .m_id = id,
        .m_service = service_id,
        .m_incarnation = announcement.m_incarnation,
        .m_slots = ResolveSlots(announcement, m_config.InForce().get()),
        .m_is_draining = entry.m_is_drained || announcement.m_is_draining,
        .m_is_ejected =
            m_config.FindEjections(service_id)
                .IsEjected({.m_instance = id,
                            .m_incarnation = announcement.m_incarnation}),
        .m_is_excluded = m_ejections.IsEjected(id, announcement.m_incarnation),
        .m_health_path = announcement.m_health_path};
    const Service* service = m_config.InForce() == nullptr
                                 ? nullptr
                                 : m_config.InForce()->FindService(service_id);
    if (service != nullptr) {
      local.m_queue_length =
          static_cast<uint16_t>(service->m_limits.m_queue_length);
      local.m_false_ejection_hours =
          service->m_ejection.m_false_ejection_bound.Get();
    }
    locals.push_back(local);
  }
  return locals;
}

void Control::OnReports(const std::vector<InstanceReport>& reports) {
  for (const InstanceReport& report : reports) {
    const auto it = m_instances.Entries().find(report.m_id);
    if (it == m_instances.Entries().end() ||
        it->second.m_announcement.m_incarnation != report.m_incarnation) {
      continue;
    }
    const bool is_suspect = report.m_judge.m_verdict != Verdict::kHealthy;
    if (is_suspect != it->second.m_is_suspect) {
      LogEvent(LogLevel::kInfo,
               is_suspect ? "instance_suspect" : "instance_healthy")
          .Add("instance", ToString(report.m_id))
          .Add("suspicion_percent",
               static_cast<int64_t>(100 * report.m_judge.m_suspicion));
      m_instances.SetSuspect(report.m_id, is_suspect);
    }
  }
  SetGroupReports(reports);
  PublishSiblings();
  m_ejections.OnReports(reports, m_siblings, Now());
  Publish();
}

void Control::SetGroupReports(const std::vector<InstanceReport>& reports) {
  std::map<ServiceId, std::vector<InstanceUpdate>> updates;
  for (const InstanceReport& report : reports) {
    const InstanceLoad load{
        .m_instance = report.m_id,
        .m_slots = report.m_slots,
        .m_in_use = report.m_in_use,
        .m_queued = report.m_queued,
        .m_is_suspect = report.m_judge.m_verdict != Verdict::kHealthy};
    updates[report.m_service].push_back(
        {.m_run = RunTagOf(report.m_incarnation),
         .m_load = load,
         .m_summary = report.m_summary});
    m_siblings[{report.m_service, report.m_id}] = {
        .m_run = RunTagOf(report.m_incarnation),
        .m_summary = {.m_summary = report.m_summary, .m_received = Now()},
        .m_load = load};
  }
  for (const auto& [service, items] : updates) {
    if (!m_membership.SetGroupReport(service, EncodeGroupReport(items))) {
      LogEvent(LogLevel::kWarn, "group_report_refused")
          .Add("reason", m_membership.LastReason());
    }
  }
}

void Control::ApplyGroupReports() {
  const TimePoint now = Now();
  for (const GroupReport& report : m_membership.TakeGroupReports()) {
    const auto updates = DecodeGroupReport(report.m_bytes);
    if (!updates) {
      continue;
    }
    for (const InstanceUpdate& item : *updates) {
      m_siblings[{report.m_service, item.m_load.m_instance}] = {
          .m_run = item.m_run,
          .m_summary = {.m_summary = item.m_summary, .m_received = now},
          .m_load = item.m_load};
    }
  }
  std::erase_if(m_siblings, [now](const auto& item) {
    return now - item.second.m_summary.m_received > kSiblingTtl;
  });
}

void Control::PublishSiblings() {
  const TimePoint now = Now();
  std::set<ServiceId> services;
  for (const auto& [id, entry] : m_instances.Entries()) {
    const ServiceId service = MakeServiceId(entry.m_announcement.m_service);
    services.insert(service);
    std::vector<PeerSummary> summaries;
    for (const auto& [key, sibling] : m_siblings) {
      if (key.first == service && key.second != id) {
        summaries.push_back(sibling.m_summary);
      }
    }
    m_outputs.m_on_baseline(id, MakePeerBaseline(summaries, now));
  }
  for (const ServiceId service : services) {
    m_outputs.m_on_sibling_loads(service, RemoteLoads(service, now));
  }
}

std::vector<InstanceLoad> Control::RemoteLoads(ServiceId service,
                                               TimePoint now) const {
  std::vector<InstanceLoad> loads;
  for (const auto& [key, sibling] : m_siblings) {
    if (key.first == service &&
        now - sibling.m_summary.m_received <= kMaxSiblingLoadAge &&
        m_instances.Entries().count(key.second) == 0) {
      loads.push_back(sibling.m_load);
    }
  }
  return loads;
}

void Control::OnAnnounceRequest(const HttpRequest& request,
                                HttpResponder responder) {
  const std::string_view path = ExtractPath(request.m_target);
  if (request.m_method != "POST") {
    responder.Send(MakeErrorResponse(405, "Method not allowed", "Use POST."));
  } else if (path == "/v1/announce") {
    responder.Send(HandleAnnounce(request.m_body));
  } else if (path == "/v1/leave") {
    responder.Send(HandleLeave(request.m_body));
  } else {
    responder.Send(MakeErrorResponse(404, "Unknown path",
                                     "Use /v1/announce or /v1/leave."));
  }
}

HttpResponse Control::HandleAnnounce(const std::string& body) {
  Findings findings;
  const auto announcement = ParseAnnouncement(body, findings);
  if (!announcement) {
    return MakeErrorResponse(400, "Bad announcement", findings.ToText());
  }
  if (!IsAllowed(announcement->m_id)) {
    return MakeErrorResponse(
        403, "Instance not allowed",
        "The settings don't allow this instance on this host.");
  }
  const bool is_known = m_instances.Entries().count(announcement->m_id) > 0;
  if (!m_instances.Announce(*announcement, Now())) {
    return MakeErrorResponse(409, "Old incarnation",
                             "It has left, or a later incarnation has "
                             "announced itself.");
  }
  if (!is_known) {
    LogEvent(LogLevel::kInfo, "instance_announced")
        .Add("instance", ToString(announcement->m_id))
        .Add("service", announcement->m_service);
  }
  Publish();
  return {.m_status = 204};
}

HttpResponse Control::HandleLeave(const std::string& body) {
  Findings findings;
  const auto announcement = ParseAnnouncement(body, findings);
  if (!announcement) {
    return MakeErrorResponse(400, "Bad announcement", findings.ToText());
  }
  switch (m_instances.Leave(*announcement)) {
    case InstanceTable::LeaveResult::kLeft:
      break;
    case InstanceTable::LeaveResult::kUnknown:
      return MakeErrorResponse(404, "Unknown instance",
                               "It has not announced itself.");
    case InstanceTable::LeaveResult::kOldIncarnation:
      return MakeErrorResponse(409, "Old incarnation",
                               "A later incarnation has announced itself.");
  }
  LogEvent(LogLevel::kInfo, "instance_left")
      .Add("instance", ToString(announcement->m_id));
  Publish();
  return {.m_status = 204};
}

bool Control::IsAllowed(InstanceId id) const {
  const auto& allowed = m_settings.m_allowed_instances;
  if (!allowed.empty()) {
    return std::find(allowed.begin(), allowed.end(), id.Get()) != allowed.end();
  }
  return id.Get().m_ip == m_settings.m_peer.m_ip || IsLoopback(id.Get().m_ip);
}

}  // namespace sequoiastage
