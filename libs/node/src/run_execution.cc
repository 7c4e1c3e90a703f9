#include "run_execution_p.h"

#include <algorithm>
#include <utility>

namespace sequoiastage {

namespace {

// Limit of refused attempts, counted separately from those that may have run.
constexpr uint32_t kMaxRefusals = 6;

}  // namespace

RunExecution::RunExecution(asio::io_context& io, RunRequest request, Done done)
    : m_request(std::move(request)),
      m_done(std::move(done)),
      m_tracker({.m_is_idempotent = m_request.m_is_idempotent,
                 .m_max_attempts = m_request.m_max_attempts + kMaxRefusals}),
      m_timer(io) {}

bool RunExecution::CanRetry() const {
  const auto may_have_run = std::count_if(
      m_sent.begin(), m_sent.end(),
      [](const SentAttempt& sent) { return sent.m_may_have_run; });
  return may_have_run < m_request.m_max_attempts;
}

bool RunExecution::CanHedge() const {
  const auto counted =
      std::count_if(m_sent.begin(), m_sent.end(), [](const SentAttempt& sent) {
        return sent.m_is_open || sent.m_may_have_run;
      });
  return counted < m_request.m_max_attempts;
}

bool RunExecution::HasHedge() const {
  return std::any_of(m_sent.begin(), m_sent.end(),
                     [](const SentAttempt& sent) { return sent.m_is_hedge; });
}

SentAttempt* RunExecution::Find(const AttemptId& attempt) {
  const auto it = std::find_if(
      m_sent.begin(), m_sent.end(),
      [&attempt](const SentAttempt& sent) { return sent.m_id == attempt; });
  return it == m_sent.end() ? nullptr : &*it;
}

std::vector<InstanceId> RunExecution::TriedInstances() const {
  std::vector<InstanceId> tried;
  tried.reserve(m_sent.size());
  for (const SentAttempt& sent : m_sent) {
    tried.push_back(sent.m_instance);
  }
  return tried;
}

}  // namespace sequoiastage
