#include "sequoiastage/mesh/shared_quarantine.h"

#include <algorithm>

#include "sequoiastage/logging/log_event.h"

namespace sequoiastage {

namespace {

bool IsSameCrash(const CrashReport& a, const CrashReport& b) {
  return a.m_node == b.m_node && a.m_instance_start_ms == b.m_instance_start_ms;
}

// Keeps the newest `max` reports.
template <class Report>
void Truncate(std::vector<Report>& reports, size_t max) {
  if (reports.size() > max) {
    reports.erase(reports.begin(),
                  reports.end() - static_cast<std::ptrdiff_t>(max));
  }
}

}  // namespace

void SharedQuarantine::OnCrash(const CrashReport& report, WallTime now) {
  if (!m_quarantine.Add(report, now)) {
    return;
  }
  LogNew(now);
  if (report.m_node == m_self) {
    Publish(report);
    m_on_change();
  } else {
    m_unpublished.emplace_back(report, now);
  }
}

void SharedQuarantine::OnExecuted(RequestFingerprint request, WallTime now) {
  const ExecutionReport execution{.m_request = request, .m_at = now};
  if (m_quarantine.Add(execution, now)) {
    Publish(execution);
    m_on_change();
  }
}

void SharedQuarantine::OnMember(const MemberRecord& member, WallTime now) {
  for (const CrashReport& report : member.m_crashes) {
    m_quarantine.Add(report, now);
    std::erase_if(m_unpublished, [&](const auto& entry) {
      return IsSameCrash(entry.first, report);
    });
    if (member.m_node == m_self) {
      Publish(report);
    }
  }
  for (const ExecutionReport& execution : member.m_executions) {
    m_quarantine.Add(execution, now);
    if (member.m_node == m_self) {
      Publish(execution);
    }
  }
}

void SharedQuarantine::Tick(WallTime now) {
  m_quarantine.RemoveExpired(now);
  LogNew(now);
  bool has_changed = false;
  std::erase_if(m_unpublished, [&](const auto& entry) {
    const auto& [report, learned_at] = entry;
    if (now - learned_at < m_options.m_publish_timeout) {
      return false;
    }
    Publish(report);
    has_changed = true;
    return true;
  });
  if (has_changed) {
    m_on_change();
  }
}

void SharedQuarantine::AddTo(MemberRecord& self, WallTime now) const {
  const auto is_live = [&](const auto& report) {
    return now - report.m_at < m_options.m_quarantine.m_ttl;
  };
  std::copy_if(m_published_crashes.begin(), m_published_crashes.end(),
               std::back_inserter(self.m_crashes), is_live);
  std::copy_if(m_published_executions.begin(), m_published_executions.end(),
               std::back_inserter(self.m_executions), is_live);
}

void SharedQuarantine::Publish(const CrashReport& report) {
  const auto known = std::find_if(
      m_published_crashes.begin(), m_published_crashes.end(),
      [&](const CrashReport& other) { return IsSameCrash(other, report); });
  if (known == m_published_crashes.end()) {
    m_published_crashes.push_back(report);
    Truncate(m_published_crashes, m_options.m_max_published);
    return;
  }
  for (const RequestFingerprint request : report.m_running) {
    std::vector<RequestFingerprint>& running = known->m_running;
    if (std::find(running.begin(), running.end(), request) == running.end() &&
        running.size() < m_options.m_quarantine.m_max_running) {
      running.push_back(request);
    }
  }
}

void SharedQuarantine::Publish(const ExecutionReport& report) {
  const auto known =
      std::find_if(m_published_executions.begin(), m_published_executions.end(),
                   [&](const ExecutionReport& other) {
                     return other.m_request == report.m_request;
                   });
  if (known == m_published_executions.end()) {
    m_published_executions.push_back(report);
    Truncate(m_published_executions, m_options.m_max_published);
    return;
  }
  known->m_at = std::max(known->m_at, report.m_at);
}

void SharedQuarantine::LogNew(WallTime now) {
  for (const auto& [request, crashes] : m_quarantine.TakeNew(now)) {
    LogEvent(LogLevel::kWarn, "request_quarantined")
        .Add("fingerprint", ToString(request))
        .Add("crashes", crashes);
  }
}

}  // namespace sequoiastage
