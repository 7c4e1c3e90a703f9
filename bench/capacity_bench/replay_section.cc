#include <fmt/core.h>

#include <optional>
#include <string>
#include <vector>

#include "config_text.h"
#include "report.h"
#include "sections.h"
#include "sequoiastage/config/log_replay.h"

namespace sequoiastage {
namespace {

constexpr uint32_t kInstancesPerService = 28;

JsonDocument ParseDocument(const std::string& text) {
  Findings findings;
  return JsonDocument::Parse("base", text, findings).value_or(JsonDocument());
}

/// A log that replays each record when it is appended.
class ReplayedLog {
 public:
  /// Replays `content`. Returns false if it is not accepted.
  bool Append(const RecordContent& content) {
    return AppendText(ToRecordText(content));
  }

  bool AppendText(const std::string& text) {
    const LogOffset offset = m_replay.NextOffset();
    return m_replay.Apply(offset, text) == ApplyOutcome::kEvaluated &&
           m_replay.State().m_audit.back().m_verdict == AuditVerdict::kAccepted;
  }

  ConfigChange BaseChange(const std::string& text) {
    return {.m_header = MakeHeader(),
            .m_scope = "base",
            .m_from = m_replay.State().FindVersion("base"),
            .m_content = ParseDocument(text)};
  }

  ConfigChange SiteChange(const std::string& text) {
    return {.m_header = MakeHeader(),
            .m_scope = "north",
            .m_from = m_replay.State().FindVersion("north"),
            .m_content = ParseDocument(text)};
  }

  std::string BasePatch(const std::string& text) {
    return PatchText(BaseChange(text));
  }

  std::string SitePatch(const std::string& text) {
    return PatchText(SiteChange(text));
  }

  EjectionGrant MakeGrant(uint32_t service) {
    const std::string name = fmt::format("service-{}", service);
    EjectionGrant grant{
        .m_header = MakeHeader(),
        .m_service = name,
        .m_from = m_replay.FindEjections(MakeServiceId(name)).m_version,
        .m_target = MakeInstanceRun(service, 0)};
    for (uint32_t i = 1; i < kInstancesPerService; ++i) {
      grant.m_remaining.push_back(MakeInstanceRun(service, i));
    }
    return grant;
  }

  RecordHeader MakeHeader() {
    return {.m_change_id = fmt::format("change-{}", ++m_changes),
            .m_author = "operator",
            .m_time = {}};
  }
  const LogReplay& Replay() const { return m_replay; }

 private:
  static std::string PatchText(ConfigChange change) {
    change.m_form = ChangeForm::kPatch;
    return ToRecordText(change);
  }

  static InstanceRun MakeInstanceRun(uint32_t service, uint32_t instance) {
    const uint32_t ip = 0x0a000000 + service * kInstancesPerService + instance;
    return {.m_instance = InstanceId({.m_ip = ip, .m_port = 80}),
            .m_incarnation = Incarnation(1)};
  }

  LogReplay m_replay;
  uint64_t m_changes = 0;
};

void MeasureAccountState() {
  Series heap("bytes of heap of the replayed state", "accounts");
  for (const uint32_t accounts : {4'000U, 8'000U, 16'000U}) {
    const std::string text = MakeBaseText(10, 10, accounts);
    const double before = HeapBytes();
    ReplayedLog log;
    if (!log.Append(log.BaseChange(text))) {
      PrintHeading("  the base did not hold");
    }
    heap.Add(accounts, HeapBytes() - before);
  }
}

// Measures the mean processor time of several similar changes, in ms.
void TimeChanges(ReplayedLog& log,
                 Series& series,
                 uint32_t accounts,
                 const char* patch,
                 bool is_base) {
  constexpr int kChanges = 10;
  const double start = CpuSeconds();
  for (int i = 0; i < kChanges; ++i) {
    const std::string text = fmt::format(fmt::runtime(patch), 1 + i);
    if (!log.AppendText(is_base ? log.BasePatch(text) : log.SitePatch(text))) {
      PrintHeading("  a change did not hold: " +
                   log.Replay().State().m_audit.back().m_reason);
    }
  }
  series.Add(accounts, 1e3 * (CpuSeconds() - start) / kChanges);
}

// Returns a patch that removes service `i` and its routes. With `has_fault` it
// keeps one route, so that the patch is invalid.
std::string RemovalPatch(uint32_t i, bool has_fault) {
  std::string text = fmt::format(
      R"({{"services": {{"service-{}": null}}, "routes": {{"none": null)", i);
  for (uint32_t route = i; route < 24'000; route += 2'100) {
    if (!has_fault || route != i) {
      text += fmt::format(R"(, "route-{}": null)", route);
    }
  }
  return text + "}}";
}

void MeasureFullSize() {
  Series heap("bytes of heap of the replayed state", "accounts");
  Series bytes("bytes of a whole base", "accounts");
  Series whole("ms to replay a whole base", "accounts");
  Series service("ms to replay a patch of a service of the base", "accounts");
  Series site("ms to replay a patch of a service at a site", "accounts");
  Series route("ms to replay a patch of a route of the base", "accounts");
  Series account("ms to replay a patch of an account of the base", "accounts");
  Series removal("ms to replay a patch that removes a service", "accounts");
  Series fault("ms to replay a patch with a fault", "accounts");
  for (const uint32_t accounts : {47'500U, 95'000U, 190'000U}) {
    const double before = HeapBytes();
    ReplayedLog log;
    {
      const std::string text =
          ToRecordText(log.BaseChange(MakeBaseText(2'100, 24'000, accounts)));
      bytes.Add(accounts, static_cast<double>(text.size()));
      const double start = CpuSeconds();
      if (!log.AppendText(text)) {
        PrintHeading("  the base did not hold");
      }
      whole.Add(accounts, 1e3 * (CpuSeconds() - start));
    }
    heap.Add(accounts, HeapBytes() - before);
    log.Append(log.SiteChange(R"({"services": {"service-7": {"floor": 9}}})"));
    TimeChanges(log, service, accounts,
                R"({{"services": {{"service-8": {{"floor": {}}}}}}})", true);
    TimeChanges(log, site, accounts,
                R"({{"services": {{"service-7": {{"floor": {}}}}}}})", false);
    TimeChanges(log, route, accounts,
                R"({{"routes": {{"route-7": {{"path": "/moved/{}"}}}}}})",
                true);
    TimeChanges(log, account, accounts,
                R"({{"accounts": {{"account-7": {{"share": {}}}}}}})", true);
    double start = CpuSeconds();
    if (!log.AppendText(log.BasePatch(RemovalPatch(300, false)))) {
      PrintHeading("  a removal did not hold");
    }
    removal.Add(accounts, 1e3 * (CpuSeconds() - start));
    start = CpuSeconds();
    if (log.AppendText(log.BasePatch(RemovalPatch(301, true)))) {
      PrintHeading("  a faulty removal held");
    }
    fault.Add(accounts, 1e3 * (CpuSeconds() - start));
  }
}

}  // namespace

void MeasureReplay(uint64_t /*seed*/) {
  PrintHeading("replay: 11.4 routes a service, no accounts");
  Series record("bytes of a record that changes the base", "services");
  Series base("ms to replay a change of the base", "services");
  Series patch("bytes of a record that patches one service of the base",
               "services");
  Series patched("ms to replay a patch of one service of the base", "services");
  Series site("ms to replay a change of one service at a site", "services");
  Series site_patch("ms to replay a patch of one service at a site",
                    "services");
  Series grant_bytes("bytes of an ejection grant", "services");
  Series grant("us to replay an ejection grant", "services");
  Series snapshot("bytes of a snapshot record", "services");
  Series heap("bytes of heap of the replayed state", "services");
  for (const uint32_t services : {525U, 1050U, 2100U}) {
    const uint32_t routes = services * 24'000 / 2'100;
    const double before = HeapBytes();
    ReplayedLog log;
    bool all_accepted =
        log.Append(log.BaseChange(MakeBaseText(services, routes, 0)));
    heap.Add(services, HeapBytes() - before);
    const std::string changed = MakeBaseText(services, routes, 0, 21);
    const std::string text = ToRecordText(log.BaseChange(changed));
    record.Add(services, static_cast<double>(text.size()));
    double start = CpuSeconds();
    all_accepted = log.AppendText(text) && all_accepted;
    base.Add(services, 1e3 * (CpuSeconds() - start));
    const std::string small =
        log.BasePatch(R"({"services": {"service-7": {"floor": 20}}})");
    patch.Add(services, static_cast<double>(small.size()));
    start = CpuSeconds();
    all_accepted = log.AppendText(small) && all_accepted;
    patched.Add(services, 1e3 * (CpuSeconds() - start));
    start = CpuSeconds();
    all_accepted = log.Append(log.SiteChange(
                       R"({"services": {"service-7": {"floor": 22}}})")) &&
                   all_accepted;
    site.Add(services, 1e3 * (CpuSeconds() - start));
    const std::string at_site =
        log.SitePatch(R"({"services": {"service-8": {"floor": 22}}})");
    start = CpuSeconds();
    all_accepted = log.AppendText(at_site) && all_accepted;
    site_patch.Add(services, 1e3 * (CpuSeconds() - start));
    std::vector<std::string> grants;
    for (uint32_t i = 0; i < 256; ++i) {
      grants.push_back(ToRecordText(log.MakeGrant(i)));
    }
    grant_bytes.Add(services, static_cast<double>(grants[0].size()));
    start = CpuSeconds();
    for (const std::string& one : grants) {
      all_accepted = log.AppendText(one) && all_accepted;
    }
    grant.Add(services, 1e6 * (CpuSeconds() - start) /
                            static_cast<double>(grants.size()));
    snapshot.Add(services,
                 static_cast<double>(
                     log.Replay().MakeSnapshot(log.MakeHeader()).size()));
    if (!all_accepted) {
      PrintHeading("  a record did not hold: " +
                   log.Replay().State().m_audit.back().m_reason);
    }
  }
  PrintHeading("replay: accounts");
  MeasureAccountState();
  PrintHeading("replay: 2,100 services, 24,000 routes, accounts");
  MeasureFullSize();
}

}  // namespace sequoiastage
