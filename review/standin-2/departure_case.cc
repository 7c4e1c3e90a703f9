// Another writer leaves an entry that can't be read where a node has written that
// its instance left; then the node starts again.
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
constexpr double kDrainS = 2.5;
constexpr double kWorkS = 0.25;

int Run(bool has_trouble) {
  const std::string folder = MakeFolder();
  Store store;
  store.Start();
  store.Append("keyed.op", "config", ConfigDocument(1, "plans", "non_idempotent"));
  std::vector<std::unique_ptr<Node>> nodes;
  for (int host = 1; host <= 5; ++host) {
    nodes.push_back(
        std::make_unique<Node>(host, host <= 2 ? "plans" : "front", folder));
  }
  Instance leaving(1, "i-leaving", "plans");
  Instance staying(2, "i-staying", "plans");
  leaving.m_work_s = kWorkS;
  staying.m_work_s = kWorkS;
  leaving.Start();
  staying.Start();
  for (const auto& node : nodes) {
    node->Start();
  }
  SleepFor(1);
  leaving.StartHeartbeats();
  staying.StartHeartbeats();
  SleepFor(2);
  for (const auto& node : nodes) {
    if (!node->IsReady()) {
      CannotRun("a node is not ready");
    }
  }
  // Within the capacity of one instance of 3 slots and 250 ms.
  Callers callers;
  callers.SetRate(9, {3, 4});
  SleepFor(2);

  // Planned work: two nodes are stopped and started, one after the other; the
  // instance beside the first one leaves.
  Node& beside = *nodes[0];
  Node& next = *nodes[4];
  beside.Signal(SIGTERM);
  SleepFor(1);
  next.Signal(SIGTERM);
  SleepFor(1);
  leaving.StopHeartbeats();
  const std::string late = leaving.BuildHeartbeat();
  const double late_sent = Now();
  Record("i-leaving sends a heartbeat that is held up");
  SleepFor(0.3);
  if (leaving.Deregister() != 200) {
    CannotRun("the departure is not acknowledged");
  }
  const double left = Now();
  if (!beside.AwaitEnd(6)) {
    CannotRun("the node does not end");
  }
  Record("entry of the node: " +
         store.NewestValue("keyed.members", beside.PeerKey()));
  if (store.NewestValue("keyed.members", beside.PeerKey())
          .find("\"departed\":\"i-leaving\"") == std::string::npos) {
    CannotRun("the departure is not in the store");
  }
  if (has_trouble) {
    Record("another writer leaves an entry under " + beside.PeerKey());
    store.Append("keyed.members", beside.PeerKey(), "\xff\xfe unreadable");
  }
  SleepFor(1);
  beside.Start();
  const double started = Now();
  while (!beside.IsReady() && Now() < started + 3) {
    SleepFor(0.05);
  }
  if (!next.AwaitEnd(6)) {
    CannotRun("the second node does not end");
  }
  next.Start();
  SleepFor(0.3);
  char line[200];
  snprintf(line, sizeof(line), "the heartbeat arrives, %.1f s late",
           Now() - late_sent);
  Record(line);
  leaving.SendLate(late);
  // Now the clients of the machine whose node has just started. The other nodes
  // have been told by the stopped process that the instance left.
  callers.SetRate(9, {5});

  // In touch again, and later than drainS after the acknowledgement.
  const double from = std::max(started + kStableS + 0.5, left + kDrainS);
  SleepUntil(from + 7);
  const double exit = Now();
  leaving.Crash();
  Record("i-leaving has ended");
  SleepFor(2);
  callers.Stop();
  const int late_runs = leaving.RunsSince(from);
  int lost = 0;
  for (const Call& call : callers.Calls()) {
    lost += call.m_sent < exit && call.m_ended >= exit && call.m_status != 200
                ? 1
                : 0;
  }
  snprintf(line, sizeof(line),
           "i-leaving left at %.1f, its node is in touch from %.1f on, it ended "
           "at %.1f: %d requests reached it meanwhile; %d under way at its end "
           "were not served",
           left, from, exit, late_runs, lost);
  Record(line);
  puts(line);
  return late_runs > 0 ? 1 : 0;
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
