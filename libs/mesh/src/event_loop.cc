#include "sequoiastage/mesh/event_loop.h"

#include <exception>
#include <utility>

#include "sequoiastage/logging/log_event.h"

namespace sequoiastage {

uint64_t RunEventLoop(asio::io_context& io) {
  uint64_t exceptions = 0;
  while (true) {
    try {
      io.run();
      return exceptions;
    } catch (const std::exception& error) {
      ++exceptions;
      LogEvent(LogLevel::kError, "handler_failed")
          .Add("reason", error.what())
          .Add("count", static_cast<int64_t>(exceptions));
    }
  }
}

bool RunGuarded(std::string_view name, const std::function<void()>& step) {
  try {
    step();
    return true;
  } catch (const std::exception& error) {
    LogEvent(LogLevel::kError, "step_failed")
        .Add("step", name)
        .Add("reason", error.what());
    return false;
  }
}

PeriodicSteps::PeriodicSteps(asio::io_context& io, Duration interval)
    : m_interval(interval), m_timer(io) {}

void PeriodicSteps::Add(std::string name, std::function<void()> step) {
  m_steps.push_back({.m_name = std::move(name), .m_run = std::move(step)});
}

void PeriodicSteps::Start(Duration delay) {
  if (!std::exchange(m_is_running, true)) {
    RunAfter(delay);
  }
}

void PeriodicSteps::Stop() {
  m_is_running = false;
  m_timer.cancel();
}

void PeriodicSteps::RunAfter(Duration delay) {
  m_timer.expires_after(delay);
  m_timer.async_wait([this](const asio::error_code& error) {
    if (!error && m_is_running) {
      Run();
    }
  });
}

void PeriodicSteps::Run() {
  for (const Step& step : m_steps) {
    RunGuarded(step.m_name, step.m_run);
    if (!m_is_running) {
      return;
    }
  }
  RunAfter(m_interval);
}

}  // namespace sequoiastage
