#include "request_metrics_p.h"

#include <string>

namespace sequoiastage {

namespace {

// Length of a summary window. Quantiles cover the last complete window.
constexpr std::chrono::seconds kWindow{60};

}  // namespace

RequestMetrics::RequestMetrics() {
  for (const RequestOutcome outcome :
       {RequestOutcome::kAnswered, RequestOutcome::kNotRun,
        RequestOutcome::kUnknown}) {
    m_latency.at(static_cast<size_t>(outcome)) = m_registry.AddSummary(
        {.m_name = "sequoiastage_request_duration_seconds",
         .m_help = "Time from a caller's whole request to its answer.",
         .m_labels = {{"outcome", std::string(ToString(outcome))}}});
  }
}

void RequestMetrics::Observe(RequestOutcome outcome,
                             Duration latency,
                             TimePoint now) {
  if (now >= m_window_end) {
    if (m_window_end != TimePoint()) {
      m_registry.EndWindow();
    }
    m_window_end = now + kWindow;
  }
  m_registry.Observe(m_latency.at(static_cast<size_t>(outcome)), latency);
}

}  // namespace sequoiastage
