// Many users come at once, and the answers are large.
#include <signal.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <memory>
#include <stdexcept>

#include "standin.h"

using namespace review;

namespace {

// memoryMb of the settings.
constexpr size_t kMemoryBytes = size_t{260} << 20;
constexpr double kUsualRate = 48;
constexpr double kBurst = 1.7;
constexpr double kBurstS = 3;

int Run(bool has_trouble) {
  const std::string folder = MakeFolder();
  Store store;
  store.Start();
  store.Append("keyed.op", "config",
               ConfigDocument(1, "plans", "non_idempotent"));
  std::vector<std::unique_ptr<Node>> nodes;
  std::vector<std::unique_ptr<Instance>> instances;
  for (int host = 1; host <= 2; ++host) {
    nodes.push_back(std::make_unique<Node>(host, "plans", folder));
    instances.push_back(std::make_unique<Instance>(
        host, "i-" + std::to_string(host), "plans"));
    instances.back()->m_work_s = 0.04;
    instances.back()->m_answer_bytes = 1'300'000;
    instances.back()->Start();
    nodes.back()->Start();
  }
  SleepFor(1);
  for (const auto& instance : instances) {
    instance->StartHeartbeats();
  }
  SleepFor(2);
  for (const auto& node : nodes) {
    if (!node->IsReady()) {
      CannotRun("a node is not ready");
    }
  }
  // The platform kills a process that exceeds its memory, and starts it again.
  int kills = 0;
  size_t most = 0;
  const auto watch = [&](double seconds) {
    for (const double end = Now() + seconds; Now() < end; SleepFor(0.02)) {
      for (const auto& node : nodes) {
        const size_t memory = node->Memory();
        most = std::max(most, memory);
        if (memory <= kMemoryBytes) {
          continue;
        }
        Record("node " + std::to_string(node->Host()) + " uses " +
               std::to_string(memory) + " bytes and is killed");
        ++kills;
        node->Signal(SIGKILL);
        node->AwaitEnd(2);
        SleepFor(0.2);
        node->Start();
      }
    }
  };
  KeptCallers callers({1, 2}, 16);
  callers.SetRate(kUsualRate);
  watch(12);
  for (int burst = 0; burst < 5; ++burst) {
    callers.SetRate(has_trouble ? kBurst * kUsualRate : kUsualRate);
    watch(kBurstS);
    callers.SetRate(kUsualRate);
    watch(9);
  }
  callers.Stop();
  int lost = 0;
  for (const std::string& id : callers.Unanswered()) {
    lost += std::any_of(instances.begin(), instances.end(),
                        [&](const auto& each) { return each->HasRun(id); })
                ? 1
                : 0;
  }
  char line[200];
  snprintf(line, sizeof(line),
           "%d requests, %d answered 200; %d kills for memory, at most %zu MB; "
           "%d connections closed without an answer to a request that ran",
           callers.Sent(), callers.Answered(200), kills, most / 1'000'000,
           lost);
  Record(line);
  puts(line);
  return lost > 3 ? 1 : 0;
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
