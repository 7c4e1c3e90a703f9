// An instance restarts under a new id while the node beside it stands still.
#include <signal.h>

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <memory>
#include <stdexcept>

#include "standin.h"

using namespace review;

namespace {

constexpr double kStableS = 4;
// One of them stands still: a share of 0.1.
constexpr int kNodes = 10;

int Run(bool has_trouble) {
  const std::string folder = MakeFolder();
  Store store;
  store.Start();
  store.Append("keyed.op", "config", ConfigDocument(1, "plans"));
  std::vector<std::unique_ptr<Node>> nodes;
  std::vector<int> hosts;
  for (int host = 1; host <= kNodes; ++host) {
    hosts.push_back(host);
    nodes.push_back(
        std::make_unique<Node>(host, host <= 2 ? "plans" : "front", folder));
  }
  Node& beside = *nodes[0];
  Instance old(1, "i-old", "plans");
  Instance other(2, "i-other", "plans");
  old.Start();
  other.Start();
  for (const auto& node : nodes) {
    node->Start();
  }
  SleepFor(1);
  old.StartHeartbeats();
  other.StartHeartbeats();
  SleepFor(2);
  for (const auto& node : nodes) {
    if (!node->IsReady()) {
      CannotRun("a node is not ready");
    }
  }
  // Within the capacity of two instances of 3 slots and 60 ms, above that of
  // one.
  Callers callers;
  callers.SetRate(66, hosts);
  SleepFor(3);

  old.Crash();
  Record("instance i-old has ended");
  SleepFor(0.3);
  Instance renewed(1, "i-new", "plans");
  renewed.m_reject_delay_s = 0.3;
  renewed.Start();
  const double limit = Now() + 2;
  while (renewed.m_rejects == 0 && Now() < limit) {
    SleepFor(0.005);
  }
  if (renewed.m_rejects == 0) {
    CannotRun("no request reached the new instance");
  }
  if (has_trouble) {
    beside.Signal(SIGSTOP);
  }
  SleepFor(0.1);
  renewed.StartHeartbeats();
  SleepFor(2.9);
  if (has_trouble) {
    beside.Signal(SIGCONT);
  }
  // Sound again after twice stableS without disruption.
  const double from = Now() + 2 * kStableS + 0.5;
  SleepUntil(from + 12);
  callers.Stop();
  const int breaks =
      CountFloorBreaks(callers.Calls(), {&renewed, &other}, from, from + 12);
  int sent = 0;
  int served = 0;
  for (const Call& call : callers.Calls()) {
    if (call.m_sent >= from) {
      ++sent;
      served += call.m_status == 200 ? 1 : 0;
    }
  }
  char line[200];
  snprintf(line, sizeof(line),
           "from %.1f on: %d requests, %d served; i-new ran %d, i-other ran "
           "%d; FLOOR is broken in %d windows",
           from, sent, served, renewed.RunsSince(from), other.RunsSince(from),
           breaks);
  Record(line);
  puts(line);
  return breaks > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  OpenRecord(argc > 1 ? argv[1] : "record.txt");
  const char* trouble = getenv("TROUBLE");
  try {
    return Run(trouble == nullptr || strcmp(trouble, "0") != 0);
  } catch (const std::exception&) {
    return 2;
  }
}
