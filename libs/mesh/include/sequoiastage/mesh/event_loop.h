#ifndef SEQUOIASTAGE_MESH_EVENT_LOOP_H_
#define SEQUOIASTAGE_MESH_EVENT_LOOP_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "sequoiastage/base/time.h"

namespace sequoiastage {

/// Runs `io` until it is stopped or has no work left. An exception that a
/// handler throws ends only that handler and is logged. Returns the number of
/// such exceptions.
uint64_t RunEventLoop(asio::io_context& io);

/// Runs `step`. An exception that it throws is logged with `name` and ends only
/// this step. Returns whether the step completed.
bool RunGuarded(std::string_view name, const std::function<void()>& step);

/// Steps that run one after the other at a fixed interval. A step that throws
/// an exception prevents neither the others nor its own next run.
class PeriodicSteps {
 public:
  PeriodicSteps(asio::io_context& io, Duration interval);

  /// `name` is logged when the step fails.
  void Add(std::string name, std::function<void()> step);

  /// Runs the steps after `delay` and from then on at the interval. Does
  /// nothing while they run already.
  void Start(Duration delay = {});

  /// Ends the runs after the current step. May be called by a step.
  void Stop();

 private:
  struct Step {
    std::string m_name;
    std::function<void()> m_run;
  };

  void RunAfter(Duration delay);
  void Run();

  Duration m_interval;
  std::vector<Step> m_steps;
  bool m_is_running = false;
  asio::steady_timer m_timer;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MESH_EVENT_LOOP_H_
