// Another writer leaves an entry that can't be read; then a node restarts.
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

int Run(bool has_trouble) {
  const std::string folder = MakeFolder();
  Store store;
  store.Start();
  store.Append("keyed.op", "config", ConfigDocument(1, "plans"));
  std::vector<std::unique_ptr<Node>> nodes;
  for (int host = 1; host <= 4; ++host) {
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
  if (has_trouble) {
    Record("another writer leaves an entry under " + nodes[0]->PeerKey());
    store.Append("keyed.members", nodes[0]->PeerKey(), "\xff\xfe unreadable");
  }
  SleepFor(6);
  // Planned work: the nodes of the hosts without instances of the service are
  // stopped and started in turn.
  for (const int host : {4, 3}) {
    Node& node = *nodes[host - 1];
    node.Signal(SIGTERM);
    if (!node.AwaitEnd(6)) {
      CannotRun("a node does not end");
    }
    SleepFor(0.2);
    node.Start();
    SleepFor(5);
  }
  // Within the capacity of two instances of 3 slots and 60 ms, above that of
  // one.
  Callers callers;
  callers.SetRate(66, {3, 4});
  // Sound again after twice stableS without disruption.
  const double from = Now() + 2 * kStableS;
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
           "%d; FLOOR is broken in %d windows",
           from, sent, served, first.RunsSince(from), second.RunsSince(from),
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
