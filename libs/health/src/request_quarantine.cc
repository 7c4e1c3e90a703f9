#include "sequoiastage/health/request_quarantine.h"

#include <algorithm>
#include <utility>

namespace sequoiastage {

namespace {

// Above the limit, one report in this many is removed.
constexpr size_t kRemovedShare = 8;

bool Contains(const std::vector<RequestFingerprint>& requests,
              RequestFingerprint request) {
  return std::find(requests.begin(), requests.end(), request) != requests.end();
}

}  // namespace

bool RequestQuarantine::Add(const CrashReport& report, WallTime now) {
  // A clock that is ahead must not extend the report's life.
  const WallTime at = std::min(report.m_at, now);
  if (report.m_running.empty() || now - at >= m_options.m_ttl) {
    return false;
  }
  const auto [found, is_new] = m_reports.try_emplace(
      Incarnation(report.m_node, report.m_instance_start_ms),
      CrashReport{.m_node = report.m_node,
                  .m_instance_start_ms = report.m_instance_start_ms,
                  .m_at = at,
                  .m_running = {}});
  std::vector<RequestFingerprint>& running = found->second.m_running;
  const size_t known = running.size();
  for (const RequestFingerprint request : report.m_running) {
    if (running.size() < m_options.m_max_running &&
        !Contains(running, request)) {
      running.push_back(request);
    }
  }
  if (running.size() == known) {
    return false;
  }
  m_is_stale = true;
  if (m_reports.size() > m_options.m_max_reports) {
    RemoveOldest(now);
  }
  return true;
}

bool RequestQuarantine::Add(const ExecutionReport& execution, WallTime now) {
  const RequestFingerprint request = execution.m_request;
  if (std::none_of(m_reports.begin(), m_reports.end(), [&](const auto& entry) {
        return Counts(entry.second, request);
      })) {
    return false;
  }
  UpdateIfStale(now);
  const auto crashes =
      std::count_if(m_reports.begin(), m_reports.end(), [&](const auto& entry) {
        return Counts(entry.second, request) && !IsExplained(entry.second);
      });
  const bool matters =
      m_until.contains(request) || crashes + 1 >= m_options.m_max_crashes;
  WallTime& at = m_executed[request];
  at = std::max(at, std::min(execution.m_at, now));
  m_is_stale = true;
  return matters;
}

std::optional<Duration> RequestQuarantine::TimeLeft(RequestFingerprint request,
                                                    WallTime now) {
  UpdateIfStale(now);
  const auto found = m_until.find(request);
  if (found == m_until.end() || found->second <= now) {
    return std::nullopt;
  }
  return found->second - now;
}

std::vector<std::pair<RequestFingerprint, uint32_t>> RequestQuarantine::TakeNew(
    WallTime now) {
  UpdateIfStale(now);
  return std::exchange(m_new, {});
}

void RequestQuarantine::UpdateIfStale(WallTime now) {
  if (std::exchange(m_is_stale, false)) {
    RemoveExpired(now);
    Evaluate();
  }
}

void RequestQuarantine::RemoveExpired(WallTime now) {
  std::erase_if(m_until,
                [&](const auto& entry) { return entry.second <= now; });
  // The reports behind a quarantine live as long as it does.
  std::erase_if(m_reports, [&](const auto& entry) {
    return now - entry.second.m_at >= m_options.m_ttl &&
           !IsExplained(entry.second);
  });
  std::erase_if(m_executed, [&](const auto& entry) {
    return now - entry.second >= m_options.m_ttl;
  });
}

void RequestQuarantine::RemoveOldest(WallTime now) {
  UpdateIfStale(now);
  std::vector<const CrashReport*> reports = ReportsByTime();
  std::stable_partition(
      reports.begin(), reports.end(),
      [this](const CrashReport* report) { return !IsExplained(*report); });
  // Several at once, as each call evaluates all reports.
  const size_t kept =
      m_options.m_max_reports - m_options.m_max_reports / kRemovedShare;
  for (size_t i = 0; i + kept < reports.size(); ++i) {
    m_reports.erase(
        Incarnation(reports[i]->m_node, reports[i]->m_instance_start_ms));
  }
}

bool RequestQuarantine::Counts(const CrashReport& report,
                               RequestFingerprint request) const {
  if (!Contains(report.m_running, request)) {
    return false;
  }
  const auto executed = m_executed.find(request);
  return executed == m_executed.end() ||
         report.m_at > executed->second + m_options.m_max_clock_skew;
}

bool RequestQuarantine::IsExplained(const CrashReport& report) const {
  return std::any_of(report.m_running.begin(), report.m_running.end(),
                     [&](RequestFingerprint request) {
                       return m_until.contains(request) &&
                              Counts(report, request);
                     });
}

RequestQuarantine::CrashCounts RequestQuarantine::CountUnexplained(
    const std::vector<const CrashReport*>& reports) const {
  CrashCounts crashes;
  for (const CrashReport* report : reports) {
    if (IsExplained(*report)) {
      continue;
    }
    for (const RequestFingerprint request : report->m_running) {
      crashes[request] += Counts(*report, request) ? 1 : 0;
    }
  }
  return crashes;
}

std::vector<const CrashReport*> RequestQuarantine::ReportsByTime() const {
  std::vector<const CrashReport*> reports;
  reports.reserve(m_reports.size());
  for (const auto& [incarnation, report] : m_reports) {
    reports.push_back(&report);
  }
  // Stable: reports of the same time keep the order of their incarnations.
  std::stable_sort(reports.begin(), reports.end(),
                   [](const CrashReport* a, const CrashReport* b) {
                     return a->m_at < b->m_at;
                   });
  return reports;
}

void RequestQuarantine::Evaluate() {
  const auto before = std::exchange(m_until, {});
  std::vector<const CrashReport*> seen;
  CrashCounts crashes;
  for (const CrashReport* report : ReportsByTime()) {
    if (IsExplained(*report)) {
      continue;
    }
    seen.push_back(report);
    uint32_t most = 0;
    for (const RequestFingerprint request : report->m_running) {
      if (Counts(*report, request)) {
        most = std::max(most, ++crashes[request]);
      }
    }
    if (most < m_options.m_max_crashes) {
      continue;
    }
    for (const RequestFingerprint request : report->m_running) {
      if (Counts(*report, request) && crashes[request] == most) {
        m_until[request] = EndOfQuarantine(request);
        if (!before.contains(request)) {
          m_new.emplace_back(request, most);
        }
      }
    }
    crashes = CountUnexplained(seen);
  }
}

WallTime RequestQuarantine::EndOfQuarantine(RequestFingerprint request) const {
  WallTime last_crash{};
  for (const auto& [incarnation, report] : m_reports) {
    if (Counts(report, request)) {
      last_crash = std::max(last_crash, report.m_at);
    }
  }
  return std::chrono::time_point_cast<WallTime::duration>(last_crash +
                                                          m_options.m_ttl);
}

}  // namespace sequoiastage
