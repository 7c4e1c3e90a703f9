// A node stands still while another one is stopped and started.
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
constexpr double kFreezeS = 5;
// One of them stands still: a share of 0.1.
constexpr int kNodes = 10;

int Run(bool has_trouble) {
  const std::string folder = MakeFolder();
  Store store;
  store.Start();
  store.Append("keyed.op", "config", ConfigDocument(1, "plans"));
  std::vector<std::unique_ptr<Node>> nodes;
  for (int host = 1; host <= kNodes; ++host) {
    nodes.push_back(
        std::make_unique<Node>(host, host <= 2 ? "plans" : "front", folder));
  }
  Instance first(1, "i-first", "plans");
  Instance second(2, "i-second", "plans");
  first.Start();
  second.Start();
  for (const auto& node : nodes) {
    node->Start();
  }
  SleepFor(1);
  first.StartHeartbeats();
  second.StartHeartbeats();
  SleepFor(2);
  for (const auto& node : nodes) {
    if (!node->IsReady()) {
      CannotRun("a node is not ready");
    }
  }
  // One node of a region reads the store and passes on what it reads. Neither
  // that one is stopped nor the one whose callers are looked at.
  store.Append("keyed.op", "config", ConfigDocument(2, "plans"));
  SleepFor(2);
  Node* stopped = nodes[nodes[0]->ReadsStore(2) ? 1 : 0].get();
  Node* front = nodes[nodes[2]->ReadsStore(2) ? 3 : 2].get();
  if (stopped->ReadsStore(2) || front->ReadsStore(2)) {
    CannotRun("several nodes read the store");
  }
  // Within the capacity of two instances of 3 slots and 60 ms, above that of
  // one.
  Callers callers;
  callers.SetRate(66, {front->Host()});
  SleepFor(2);
  // A quiet moment.
  callers.SetRate(0, {});
  SleepFor(1.5);

  const double start = Now();
  stopped->Signal(SIGTERM);
  SleepUntil(start + 2);
  if (has_trouble) {
    front->Signal(SIGSTOP);
  }
  if (!stopped->AwaitEnd(6)) {
    CannotRun("a node does not end");
  }
  SleepFor(0.2);
  stopped->Start();
  SleepUntil(start + 2 + kFreezeS);
  if (has_trouble) {
    front->Signal(SIGCONT);
  }
  SleepFor(1);
  callers.SetRate(66, {front->Host()});
  // Sound again after twice stableS without disruption.
  const double from = start + 2 + kFreezeS + 2 * kStableS + 0.5;
  SleepUntil(from + 12);
  callers.Stop();
  const int breaks =
      CountFloorBreaks(callers.Calls(), {&first, &second}, from, from + 12);
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
           "from %.1f on: %d requests, %d served; i-first ran %d, i-second ran "
           "%d (node %d was stopped); FLOOR is broken in %d windows",
           from, sent, served, first.RunsSince(from), second.RunsSince(from),
           stopped->Host(), breaks);
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
