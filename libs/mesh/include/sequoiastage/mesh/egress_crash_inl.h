#ifndef SEQUOIASTAGE_MESH_EGRESS_CRASH_INL_H_
#define SEQUOIASTAGE_MESH_EGRESS_CRASH_INL_H_

// Detection of crashes of the instance, and the requests that ran there.

#include <asio/post.hpp>
#include <utility>

#include "sequoiastage/mesh/egress.h"
#include "sequoiastage/mesh/egress_inl.h"

namespace sequoiastage {

template <PlatformCodec Codec>
RequestFingerprint Egress<Codec>::FingerprintOf(const Work& work) {
  return work.m_fingerprint
             ? *work.m_fingerprint
             : sequoiastage::FingerprintOf(work.m_offer.m_request,
                                           work.m_offer.m_caller_service);
}

template <PlatformCodec Codec>
bool Egress<Codec>::IsQuarantined(const Work& work) const {
  return !m_quarantine.IsEmpty() &&
         m_quarantine.TimeLeft(FingerprintOf(work), WallNow()).has_value();
}

template <PlatformCodec Codec>
void Egress<Codec>::CompleteBroken(BrokenWork broken) {
  const TimePoint now = BootNow();
  if (!IsAtActiveInstance(*broken.m_work)) {
    Complete(broken.m_work, std::move(broken.m_outcome), broken.m_result);
    return;
  }
  if (m_has_crashed) {
    ReportCrash("refused", {{.m_request = FingerprintOf(*broken.m_work),
                             .m_large_bytes = broken.m_work->m_large_bytes}});
    broken.m_outcome.m_reason = CrashReason(*broken.m_work);
    Complete(broken.m_work, std::move(broken.m_outcome), broken.m_result);
    return;
  }
  if (now - m_last_broken_at > m_options.m_crash_spread) {
    m_last_broken.clear();
  }
  m_last_broken_at = now;
  m_last_broken.push_back({.m_request = FingerprintOf(*broken.m_work),
                           .m_large_bytes = broken.m_work->m_large_bytes});
  m_awaiting_probe.push_back(std::move(broken));
  if (m_probe) {
    return;
  }
  m_probe = std::make_shared<ExchangeConnection>(m_io, m_instance->m_address,
                                                 m_options.m_exchange);
  m_probe->Connect(m_options.m_probe_timeout,
                   [this](ConnectOutcome outcome) { OnProbeEnd(outcome); });
}

template <PlatformCodec Codec>
void Egress<Codec>::OnProbeEnd(ConnectOutcome outcome) {
  const auto probe = std::exchange(m_probe, nullptr);
  std::vector<BrokenWork> broken = std::exchange(m_awaiting_probe, {});
  if (outcome == ConnectOutcome::kConnected) {
    ++m_stats.m_connections;
    m_idle_connections.push_back(
        {.m_connection = probe, .m_since = BootNow(), .m_is_unused = true});
  }
  if (outcome == ConnectOutcome::kRefused) {
    m_has_crashed = true;
    std::vector<BrokenRequest> running;
    running.reserve(broken.size());
    for (const BrokenWork& each : broken) {
      running.push_back({.m_request = FingerprintOf(*each.m_work),
                         .m_large_bytes = each.m_work->m_large_bytes});
    }
    LearnBytes(running);
    for (BrokenWork& each : broken) {
      each.m_outcome.m_reason = CrashReason(*each.m_work);
    }
    ReportCrash("refused", running);
  }
  for (BrokenWork& each : broken) {
    if (m_work.contains(each.m_work->m_key)) {
      Complete(each.m_work, std::move(each.m_outcome), each.m_result);
    }
  }
}

template <PlatformCodec Codec>
void Egress<Codec>::OnIncarnationEnd(bool is_replaced) {
  if (m_probe) {
    m_probe->Abort();
    m_probe.reset();
  }
  if (is_replaced && m_instance) {
    std::vector<BrokenRequest> running;
    if (!m_has_crashed) {
      running = std::move(m_last_broken);
    }
    for (const auto& [key, work] : m_work) {
      if (work->m_phase == Phase::kRunning && work->m_connection) {
        running.push_back({.m_request = FingerprintOf(*work),
                           .m_large_bytes = work->m_large_bytes});
      }
    }
    if (!m_has_crashed) {
      LearnBytes(running);
    }
    ReportCrash("replaced", running);
  }
  m_last_broken.clear();
  m_has_crashed = false;
  // Not from within SetInstance(): a free slot starts other work.
  for (BrokenWork& each : m_awaiting_probe) {
    asio::post(m_io, [this, broken = std::move(each)]() mutable {
      if (m_work.contains(broken.m_work->m_key)) {
        Complete(broken.m_work, std::move(broken.m_outcome), broken.m_result);
      }
    });
  }
  m_awaiting_probe.clear();
}

template <PlatformCodec Codec>
void Egress<Codec>::LearnBytes(const std::vector<BrokenRequest>& running) {
  m_bytes_explain_crash = false;
  if (!m_manages_load) {
    return;
  }
  size_t bytes = 0;
  size_t count = 0;
  for (const BrokenRequest& each : running) {
    bytes += each.m_large_bytes;
    count += each.m_large_bytes > 0 ? 1 : 0;
  }
  m_bytes_explain_crash = m_byte_bound.OnCrash(bytes, count);
}

template <PlatformCodec Codec>
AttemptReason Egress<Codec>::CrashReason(const Work& work) const {
  // The ingress reports the requests that it is told have crashed an instance.
  return m_bytes_explain_crash && work.m_large_bytes > 0
             ? AttemptReason::kIncompleteResponse
             : AttemptReason::kInstanceCrashed;
}

template <PlatformCodec Codec>
void Egress<Codec>::ReportCrash(std::string_view proof,
                                const std::vector<BrokenRequest>& all) {
  if (all.empty()) {
    return;
  }
  std::vector<RequestFingerprint> running;
  std::string requests;
  int64_t large_bytes = 0;
  for (const BrokenRequest& each : all) {
    large_bytes += static_cast<int64_t>(each.m_large_bytes);
    if (m_bytes_explain_crash && each.m_large_bytes > 0) {
      continue;
    }
    running.push_back(each.m_request);
    requests.append(requests.empty() ? "" : " ")
        .append(ToString(each.m_request));
  }
  LogEvent(LogLevel::kInfo, "instance_crashed")
      .Add("instance", m_instance->m_name)
      .Add("proof", proof)
      .Add("running", requests)
      .Add("large_bytes", large_bytes)
      .Add("explained", m_bytes_explain_crash ? "bytes" : "no");
  if (running.empty()) {
    return;
  }
  const WallTime now = WallNow();
  m_quarantine.OnCrash({.m_node = m_self,
                        .m_instance_start_ms = m_instance->m_start_time_ms,
                        .m_at = now,
                        .m_running = std::move(running)},
                       now);
}

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MESH_EGRESS_CRASH_INL_H_
