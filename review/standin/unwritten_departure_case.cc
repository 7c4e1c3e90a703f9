// Rule DRAIN: an instance whose deregistration was acknowledged gets requests
// again. The node could not write the departure to the store and was killed; a
// heartbeat that was sent before the deregistration then reaches its next
// process.
//
// Usage: unwritten_departure PROGRAM RECORD FOLDER; TROUBLE=0: the heartbeat is
// not late.

#include <signal.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>

#include "standin.h"

namespace {

using namespace review;

constexpr int kMachines = 4;
constexpr double kDrainS = 3;
constexpr double kStableS = 3;
// "A heartbeat may arrive seconds late."
constexpr double kLateS = 2.5;
constexpr double kOutageS = 4.5;
// The instance serves for drainS and "a little longer (at times many seconds)".
constexpr double kServesS = 16;
constexpr int kPathPort = 8400;

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) {
    return 2;
  }
  const char* trouble = std::getenv("TROUBLE");
  const bool has_trouble = trouble == nullptr || std::strcmp(trouble, "0") != 0;
  const std::string program = argv[1];
  const std::string folder = argv[3];
  signal(SIGPIPE, SIG_IGN);
  Record record(argv[2]);
  const std::string network = PickNetwork();
  const auto ip = [&](int machine) {
    return network + std::to_string(machine);
  };
  const Address store_at{network + "200", 8309};
  Store store(store_at);
  store.WriteKeyed(
      "keyed.op", "config",
      R"({"version":3,"routes":[{"name":"submit-paper","host":"a.example",)"
      R"("pathPrefix":"/book/","kind":"non_idempotent","maxAttempts":1,)"
      R"("timeoutS":12,"targetLatencyS":5,"priority":1,"service":"intake"}],)"
      R"("services":[{"name":"intake"}],"limits":{"maxHeaderBytes":16384,)"
      R"("maxBodyBytes":1048576,"headerTimeoutS":3,"idleTimeoutS":15}})");
  std::vector<std::unique_ptr<Process>> nodes(kMachines + 1);
  std::vector<std::unique_ptr<Instance>> instances(kMachines + 1);
  const auto start_node = [&](int machine, bool is_first_start) {
    const std::string settings =
        folder + "/settings-" + std::to_string(machine) + ".json";
    WriteSettings(settings,
                  {.ip = ip(machine),
                   .zone = machine % 2 == 1 ? "gauteng-a" : "gauteng-b",
                   .region = "gauteng",
                   .service = "intake",
                   .store = store_at,
                   .is_first_start = is_first_start});
    nodes[machine] = std::make_unique<Process>(
        program, settings,
        folder + "/node-" + std::to_string(machine) + ".log");
  };
  for (int machine = 1; machine <= kMachines; ++machine) {
    start_node(machine, true);
    instances[machine] = std::make_unique<Instance>(
        InstanceOptions{.id = "i-" + std::to_string(machine),
                        .service = "intake",
                        .zone = machine % 2 == 1 ? "gauteng-a" : "gauteng-b",
                        .address = {ip(machine), kAppPort},
                        .control = {ip(machine), kControlPort},
                        .work_s = 0.15},
        record);
    instances[machine]->StartHeartbeats();
  }
  SleepUntil(6);
  if (AskReady(ip(1)) != 200) {
    record.Add("the nodes are not ready");
    return 2;
  }
  // Clients on all machines.
  std::atomic<bool> is_over{false};
  std::atomic<int> count{0};
  std::mutex mutex;
  std::vector<Answer> answers;
  std::vector<std::thread> clients;
  for (int client = 0; client < 8; ++client) {
    clients.emplace_back([&, client] {
      while (!is_over) {
        const std::string id = "r" + std::to_string(++count);
        const Answer answer =
            SendRequest({ip(1 + client % kMachines), kOutboundPort}, "POST",
                        "a.example", "/book/1", id, 2500, "crew for " + id);
        record.Add("client gets " + std::to_string(answer.status) + " for " +
                   id);
        {
          const std::lock_guard lock(mutex);
          answers.push_back(answer);
        }
        SleepFor(0.03);
      }
    });
  }
  SleepFor(2);
  Instance& leaving = *instances[kMachines];
  leaving.m_sends_heartbeats = false;  // Only the one below.
  SleepFor(2);
  store.m_is_down = true;
  const double down_at = Now();
  record.Add("the store is down");
  SleepFor(0.2);
  // On a path without a disruption the heartbeat arrives at once.
  const DelayedPath path({ip(kMachines), kPathPort},
                         {ip(kMachines), kControlPort},
                         has_trouble ? kLateS : 0);
  std::thread heartbeat([&] {
    record.Add("i-4 sends a heartbeat");
    const bool is_acknowledged =
        leaving.SendHeartbeat(Address{ip(kMachines), kPathPort});
    record.Add(is_acknowledged
                   ? "the heartbeat of i-4 is acknowledged"
                   : "the heartbeat of i-4 got no answer within a second");
  });
  SleepFor(0.3);
  const bool is_acknowledged = leaving.Deregister();
  const double left_at = Now();
  record.Add(std::string("i-4 deregisters: ") +
             (is_acknowledged ? "200" : "no acknowledgement"));
  SleepFor(0.3);
  nodes[kMachines]->Signal(SIGKILL);
  nodes[kMachines]->WaitForEnd(2);
  record.Add("the node of i-4 is killed");
  SleepFor(0.5);
  start_node(kMachines, false);
  heartbeat.join();
  SleepUntil(down_at + kOutageS);
  store.m_is_down = false;
  const double up_at = Now();
  record.Add("the store is up again");
  SleepUntil(left_at + kServesS);
  leaving.Stop();
  record.Add("i-4 has ended");
  SleepFor(3);
  is_over = true;
  for (std::thread& client : clients) {
    client.join();
  }
  for (const auto& instance : instances) {
    if (instance) {
      instance->Stop();
    }
  }
  // Only arrivals later than drainS, and after the store has been stable.
  int late = 0;
  int total = 0;
  int lost = 0;
  for (const Arrival& arrival : leaving.Arrivals()) {
    late += arrival.at > up_at + kStableS ? 1 : 0;
    total += arrival.at > left_at + kDrainS ? 1 : 0;
    lost += std::count_if(
        answers.begin(), answers.end(), [&](const Answer& answer) {
          return answer.id == arrival.id && arrival.at > left_at + kDrainS &&
                 answer.status != 200;
        });
  }
  char line[300];
  std::snprintf(line, sizeof(line),
                "%d requests reached i-4 later than drainS after the "
                "acknowledgement, %d of them later than stableS after the "
                "store was back; %d "
                "of them were lost when it ended",
                total, late, lost);
  record.Add(line);
  std::puts(line);
  nodes.clear();
  if (!is_acknowledged) {
    return 2;
  }
  std::fflush(stdout);
  std::_Exit(late > 0 ? 1 : 0);
}
