// Rule CONFIG: after one heartbeat that can't be read, the nodes of a region
// keep an old configuration for good.
//
// Usage: bad_heartbeat PROGRAM RECORD FOLDER; TROUBLE=0: without the heartbeat.

#include <signal.h>

#include <cstdio>
#include <cstdlib>
#include <cstring>

#include "standin.h"

namespace {

using namespace review;

constexpr int kMachines = 4;
constexpr double kConfigApplyS = 3;
constexpr double kStableS = 3;
constexpr double kOutageS = 4.5;

std::string Document(int version, bool has_new_route) {
  const auto route = [](const std::string& name, const std::string& prefix) {
    return R"({"name":")" + name + R"(","host":"a.example","pathPrefix":")" +
           prefix +
           R"(","kind":"idempotent","maxAttempts":2,"timeoutS":2,)"
           R"("targetLatencyS":1,"priority":1,"service":"intake"})";
  };
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" +
         route("old", "/old/") +
         (has_new_route ? "," + route("new", "/new/") : "") +
         R"(],"services":[{"name":"intake"}],"limits":{)"
         R"("maxHeaderBytes":16384,"maxBodyBytes":1048576,)"
         R"("headerTimeoutS":3,"idleTimeoutS":15}})";
}

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
  const auto store_at = [&](int machine) {
    return Address{network + std::to_string(200 + machine), 8309};
  };
  Store store;
  store.WriteKeyed("keyed.op", "config", Document(3, false));
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
                   .store = store_at(machine),
                   .is_first_start = is_first_start});
    nodes[machine] = std::make_unique<Process>(
        program, settings,
        folder + "/node-" + std::to_string(machine) + ".log");
  };
  for (int machine = 1; machine <= kMachines; ++machine) {
    store.Listen(store_at(machine));
    start_node(machine, true);
    instances[machine] = std::make_unique<Instance>(
        InstanceOptions{.id = "i-" + std::to_string(machine),
                        .service = "intake",
                        .zone = machine % 2 == 1 ? "gauteng-a" : "gauteng-b",
                        .address = {ip(machine), kAppPort},
                        .control = {ip(machine), kControlPort}},
        record);
    instances[machine]->StartHeartbeats();
  }
  std::atomic<int> count{0};
  const auto ask = [&](int machine, const std::string& target) {
    const std::string id = "r" + std::to_string(++count);
    const Answer answer = SendRequest({ip(machine), kOutboundPort}, "GET",
                                      "a.example", target, id, 2000, "");
    record.Add("machine " + std::to_string(machine) + ": " + target + " " + id +
               " gets " + std::to_string(answer.status));
    return answer.status;
  };
  SleepUntil(5);
  store.MostFrequentReader("keyed.members");
  // Some traffic, so that the machines are connected.
  for (int i = 0; i < 40; ++i) {
    for (int machine = 1; machine <= kMachines; ++machine) {
      ask(machine, "/old/1");
    }
    SleepFor(0.15);
  }
  const std::string reader = store.MostFrequentReader("keyed.members");
  int chosen = 0;
  for (int machine = 1; machine <= kMachines; ++machine) {
    chosen = reader == store_at(machine).Text() ? machine : chosen;
  }
  if (chosen == 0 || AskReady(ip(chosen)) != 200) {
    record.Add("no machine reads the members");
    return 2;
  }
  record.Add("machine " + std::to_string(chosen) + " reads the members");
  store.m_is_down = true;
  record.Add("the store is down");
  const double down_at = Now();
  SleepFor(0.4);
  nodes[chosen]->Signal(SIGKILL);
  nodes[chosen]->WaitForEnd(2);
  record.Add("the node of machine " + std::to_string(chosen) + " is killed");
  SleepFor(0.5);
  start_node(chosen, false);
  SleepUntil(down_at + kOutageS - 0.7);
  if (has_trouble) {
    const auto connection = Connection::Open({ip(chosen), kControlPort}, 1);
    if (connection) {
      const std::string born = std::to_string(
          std::chrono::duration_cast<std::chrono::milliseconds>(
              std::chrono::system_clock::now().time_since_epoch())
              .count());
      connection->Write(RequestText(
          "POST", "/v1/Instances.Heartbeat/i-\xff\xfe",
          {{"Host", ip(chosen)}, {"Content-Type", "application/json"}},
          R"({"address":")" + Address{ip(chosen), kAppPort}.Text() +
              R"(","born":)" + born +
              R"(,"info":{"service":"intake","version":"v1","zone":"gauteng-a","slots":15},)"
              R"("status":{"state":"ready","sequence":1,"coldLeftS":0}})"));
      Message response;
      connection->ReadResponse(response, 0.5);
      record.Add("a heartbeat with an id that can't be read gets " +
                 std::to_string(response.status));
    }
  }
  SleepUntil(down_at + kOutageS);
  store.m_is_down = false;
  record.Add("the store is up again");
  SleepFor(20);
  for (int machine = 1; machine <= kMachines; ++machine) {
    ask(machine, "/old/1");
  }
  store.WriteKeyed("keyed.op", "config", Document(8, true));
  const double acknowledged_at = Now();
  record.Add("version 8 with a new route is acknowledged");
  SleepUntil(acknowledged_at + kConfigApplyS + kStableS);
  int refused = 0;
  int asked = 0;
  for (int round = 0; round < 5; ++round) {
    for (int machine = 1; machine <= kMachines; ++machine) {
      if (machine != chosen) {
        ++asked;
        refused += ask(machine, "/new/1") == 404 ? 1 : 0;
      }
    }
    ask(chosen, "/new/1");
    SleepFor(3);
  }
  for (int machine = 1; machine <= kMachines; ++machine) {
    record.Add("machine " + std::to_string(machine) +
               " ready: " + std::to_string(AskReady(ip(machine))));
  }
  for (const auto& instance : instances) {
    if (instance) {
      instance->Stop();
    }
  }
  char line[200];
  std::snprintf(line, sizeof(line),
                "%d of %d requests on the new route get 404 from machines that "
                "nothing disturbed",
                refused, asked);
  record.Add(line);
  std::puts(line);
  nodes.clear();
  std::fflush(stdout);
  std::_Exit(refused > 0 ? 1 : 0);
}
