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
  TickShutdown();
}

template <PlatformCodec Codec, PlatformStore Store>
void MeshNode<Codec, Store>::TickShutdown() {
  const Duration since = BootNow() - m_stop_requested_at;
  const auto answer_time = std::chrono::duration_cast<Duration>(
      m_settings.m_grace * mesh_node_detail::kAnswerFraction);
  if (since >= mesh_node_detail::kAcceptPeriod && !m_refuses_work) {
    m_refuses_work = true;
    // Open connections still deliver requests that their callers sent before
    // they learned of the stop.
    m_ingress.StartDraining(m_stop_requested_at + answer_time);
    m_callers.Stop();
    m_egress.StartDraining();
    m_limiter.SetLeaving();
    m_links.Broadcast(DrainingMessage{});
    PublishMember();
  }
  if (since >= answer_time) {
    m_ingress.FailAll("the node stops");
  }
  // A connection closes once its caller has received all responses. Pipelined
  // ones may still wait to be sent when their requests have ended.
  const bool is_idle = m_ingress.RequestCount() == 0 &&
                       m_egress.WorkCount() == 0 &&
                       m_callers.ConnectionCount() == 0;
  const auto longest = std::chrono::duration_cast<Duration>(
      m_settings.m_grace * mesh_node_detail::kGraceFraction);
  if (since >= longest ||
      (is_idle && since >= mesh_node_detail::kMinShutdownTime)) {
    LogEvent(LogLevel::kInfo, "node_stopped")
        .Add("requests", static_cast<int64_t>(m_ingress.RequestCount()))
        .Add("after_ms", WholeMs(since));
    m_io.stop();
    return;
  }
  m_shutdown_timer.expires_after(std::chrono::milliseconds(50));
  m_shutdown_timer.async_wait([this](const asio::error_code& error) {
    if (!error) {
      TickShutdown();
    }
  });
}

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MESH_MESH_NODE_SHUTDOWN_INL_H_
