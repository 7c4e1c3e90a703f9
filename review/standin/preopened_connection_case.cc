// Rule LOST: after a SIGTERM a node takes requests for a second longer than it
// can finish them, and breaks them off while their instance is at work.
//
// Usage: preopened_connection PROGRAM RECORD FOLDER; TROUBLE=0: no SIGTERM.

#include <signal.h>

#include <cstdio>
#include <cstdlib>
#include <cstring>

#include "standin.h"

namespace {

using namespace review;

constexpr int kMachines = 3;
constexpr int kRequests = 6;
constexpr double kWorkS = 2.6;

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
  for (int machine = 1; machine <= kMachines; ++machine) {
    const std::string zone = machine == 1 ? "gauteng-a" : "gauteng-b";
    const std::string settings =
        folder + "/settings-" + std::to_string(machine) + ".json";
    WriteSettings(settings, {.ip = ip(machine),
                             .zone = zone,
                             .region = "gauteng",
                             .service = machine == 1 ? "scoreboard" : "intake",
                             .store = store_at});
    nodes[machine] = std::make_unique<Process>(
        program, settings,
        folder + "/node-" + std::to_string(machine) + ".log");
    instances[machine] = std::make_unique<Instance>(
        InstanceOptions{.id = "i-" + std::to_string(machine),
                        .service = machine == 1 ? "scoreboard" : "intake",
                        .zone = zone,
                        .address = {ip(machine), kAppPort},
                        .control = {ip(machine), kControlPort},
                        .work_s = kWorkS},
        record);
    instances[machine]->StartHeartbeats();
  }
  SleepUntil(6);
  if (AskReady(ip(1)) != 200) {
    record.Add("the node is not ready");
    return 2;
  }
  const double t0 = Now();
  if (has_trouble) {
    record.Add("SIGTERM to the node of machine 1");
    nodes[1]->Signal(SIGTERM);
  }
  SleepUntil(t0 + 2.4);
  std::atomic<int> broken{0};
  std::atomic<int> run{0};
  std::vector<std::thread> clients;
  for (int i = 0; i < kRequests; ++i) {
    clients.emplace_back([&, i] {
      const std::string id = "late-" + std::to_string(i);
      const auto connection = Connection::Open({ip(1), kOutboundPort}, 1);
      if (!connection) {
        record.Add("no connection for " + id);
        return;
      }
      SleepUntil(t0 + 3.3);
      const double sent = Now();
      Message response;
      const bool is_written =
          connection->Write(RequestText("POST", "/book/1",
                                        {{"Host", "a.example"},
                                         {"X-Request-Id", id},
                                         {"X-Deadline-Ms", "12000"}},
                                        "crew"));
      const bool is_answered =
          is_written && connection->ReadResponse(response, 6);
      char line[160];
      std::snprintf(line, sizeof(line),
                    "%s sent %.3f s after the SIGTERM, %s %d at %.3f s",
                    id.c_str(), sent - t0, is_answered ? "answered" : "cut",
                    response.status, Now() - t0);
      record.Add(line);
      if (!(is_answered && response.status != 502 && response.status != 504)) {
        ++broken;
      }
    });
  }
  for (std::thread& client : clients) {
    client.join();
  }
  int at_work = 0;
  for (int m = 2; m <= kMachines; ++m) {
    at_work += static_cast<int>(instances[m]->Arrivals().size());
  }
  char line[160];
  std::snprintf(line, sizeof(line), "%d requests ran, %d were broken off",
                at_work, broken.load());
  record.Add(line);
  std::puts(line);
  nodes.clear();
  std::fflush(stdout);
  std::_Exit(broken > 0 && at_work > 0 ? 1 : 0);
}
