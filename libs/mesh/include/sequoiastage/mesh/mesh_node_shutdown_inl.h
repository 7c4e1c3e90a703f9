#ifndef SEQUOIASTAGE_MESH_MESH_NODE_SHUTDOWN_INL_H_
#define SEQUOIASTAGE_MESH_MESH_NODE_SHUTDOWN_INL_H_

// Graceful shutdown of a node.

#include "sequoiastage/mesh/mesh_node.h"
#include "sequoiastage/mesh/mesh_node_inl.h"

namespace sequoiastage {

template <PlatformCodec Codec, PlatformStore Store>
void MeshNode<Codec, Store>::StartShutdown() {
  if (m_is_stopping) {
    return;
  }
  m_is_stopping = true;
  const TimePoint now = BootNow();
  m_stop_requested_at = now;
  LogEvent(LogLevel::kInfo, "node_stopping")
      .Add("requests", static_cast<int64_t>(m_ingress.RequestCount()))
      .Add("work", static_cast<int64_t>(m_egress.WorkCount()));
  m_callers.StartDrain();
  m_shutdown_steps.Start();
}

template <PlatformCodec Codec, PlatformStore Store>
Duration MeshNode<Codec, Store>::GraceShare(double fraction) const {
  return std::chrono::duration_cast<Duration>(m_settings.m_grace * fraction);
}

template <PlatformCodec Codec, PlatformStore Store>
Duration MeshNode<Codec, Store>::AnswerTime() const {
  return GraceShare(mesh_node_detail::kAnswerFraction);
}

template <PlatformCodec Codec, PlatformStore Store>
Duration MeshNode<Codec, Store>::AcceptTime() const {
  return std::min(mesh_node_detail::kAcceptPeriod,
                  GraceShare(mesh_node_detail::kAcceptFraction));
}

template <PlatformCodec Codec, PlatformStore Store>
void MeshNode<Codec, Store>::StopAccepting() {
  if (m_refuses_work || BootNow() - m_stop_requested_at < AcceptTime()) {
    return;
  }
  m_refuses_work = true;
  // Open connections still deliver requests that their callers sent before they
  // learned of the stop.
  m_ingress.StartDraining(m_stop_requested_at + AnswerTime());
  m_callers.Stop();
  m_egress.StartDraining();
  m_limiter.SetLeaving();
  m_links.Broadcast(DrainingMessage{});
  PublishMember();
}

template <PlatformCodec Codec, PlatformStore Store>
void MeshNode<Codec, Store>::EndWhenIdle() {
  const Duration since = BootNow() - m_stop_requested_at;
  // A connection closes once its caller has received all responses. Pipelined
  // ones may still wait to be sent when their requests have ended.
  const bool is_idle = m_ingress.RequestCount() == 0 &&
                       m_egress.WorkCount() == 0 &&
                       m_callers.ConnectionCount() == 0;
  if (since >= GraceShare(mesh_node_detail::kGraceFraction) ||
      (is_idle && since >= mesh_node_detail::kMinShutdownTime)) {
    LogEvent(LogLevel::kInfo, "node_stopped")
        .Add("requests", static_cast<int64_t>(m_ingress.RequestCount()))
        .Add("after_ms", WholeMs(since));
    m_shutdown_steps.Stop();
    m_io.stop();
  }
}

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MESH_MESH_NODE_SHUTDOWN_INL_H_
