// Small stand-ins of the platform for the review's scripts: the metadata store,
// application instances with their heartbeats, clients, and the processes under
// test. Blocking sockets and one thread per connection; loopback only.

#ifndef REVIEW_STANDIN_H_
#define REVIEW_STANDIN_H_

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

// Seconds since the start of the program.
double Now();
void SleepUntil(double at);
void SleepFor(double seconds);

// Appends lines to record.txt, each with the time.
class Record {
 public:
  explicit Record(const std::string& path) : m_file(path) {}
  void Add(const std::string& line);

 private:
  std::mutex m_mutex;
  std::ofstream m_file;
};

struct Address {
  std::string ip;
  int port = 0;
  std::string Text() const { return ip + ":" + std::to_string(port); }
};

using Fields = std::vector<std::pair<std::string, std::string>>;

struct Message {
  // Request: "METHOD target"; response: status.
  std::string method;
  std::string target;
  int status = 0;
  Fields fields;
  std::string body;
  std::string Get(const std::string& name) const;
};

// A TCP connection; closes its descriptor.
class Connection {
 public:
  explicit Connection(int fd) : m_fd(fd) {}
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  ~Connection() { Close(); }

  static std::unique_ptr<Connection> Open(const Address& to,
                                          double timeout,
                                          const std::string& from_ip = "");

  bool Write(const std::string& bytes);
  // Reads one message; false at the end of the connection, on damage or after
  // the timeout in seconds.
  bool ReadRequest(Message& message, double timeout);
  bool ReadResponse(Message& message, double timeout);
  // Whether the peer has closed the connection.
  bool IsPeerGone();
  void Close();
  // Closes with a reset.
  void Reset();

 private:
  bool Read(Message& message, bool is_request, double timeout);
  bool Fill(double until);

  int m_fd;
  std::string m_input;
};

std::string RequestText(const std::string& method,
                        const std::string& target,
                        const Fields& fields,
                        const std::string& body);
std::string ResponseText(int status,
                         const Fields& fields,
                         const std::string& body);

// Accepts connections at an address and serves each in a thread of its own.
class Server {
 public:
  using Handler = std::function<void(Connection&)>;

  Server(const Address& at, Handler handler);
  ~Server();
  void Stop();

 private:
  int m_listener = -1;
  Handler m_handler;
  std::atomic<bool> m_is_stopped{false};
  std::thread m_acceptor;
};

// A network path that delivers each request `delay` seconds late, as after a
// lost packet.
class DelayedPath {
 public:
  DelayedPath(const Address& listen, const Address& to, double delay);

 private:
  std::unique_ptr<Server> m_server;
};

// The platform's metadata store: keyed topics with log-newest, log-read and
// log-append.
class Store {
 public:
  // Listens at further addresses with Listen(), so that the callers can be told
  // apart.
  Store() = default;
  explicit Store(const Address& at) { Listen(at); }
  void Listen(const Address& at);
  // The address at which records of the topic were read most often since the
  // last call.
  std::string MostFrequentReader(const std::string& topic);
  void WriteKeyed(const std::string& topic,
                  const std::string& key,
                  const std::string& value);
  // While set, all calls are answered with 503 and not executed.
  std::atomic<bool> m_is_down{false};

 private:
  struct Topic {
    std::vector<std::string> records;
    std::map<std::string, std::pair<std::string, uint64_t>> newest;
  };
  void Serve(const std::string& address, Connection& connection);
  void Append(const std::string& topic, const std::string& record);

  std::map<std::pair<std::string, std::string>, int> m_reads;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, Topic> m_topics;
  std::vector<std::unique_ptr<Server>> m_servers;
};

// A request that reached an instance.
struct Arrival {
  double at = 0;
  std::string id;
  std::string instance;
  bool has_run = false;
};

struct InstanceOptions {
  std::string id;
  std::string service;
  std::string zone;
  Address address;
  Address control;
  int slots = 15;
  double work_s = 0.05;
  double heartbeat_s = 1.5;
};

// An application instance with its heartbeats.
class Instance {
 public:
  Instance(const InstanceOptions& options, Record& record);
  ~Instance() { Stop(); }

  // Sends heartbeats until Deregister() or Stop().
  void StartHeartbeats();
  // Sends no further heartbeat, and the one call; returns whether it was
  // acknowledged.
  bool Deregister();
  // Sends one heartbeat of the present state to `to`, or to the control address
  // of the machine. Returns whether it was acknowledged within a second.
  bool SendHeartbeat(std::optional<Address> to = {});
  // Ends the process of the instance.
  void Stop();

  std::atomic<bool> m_sends_heartbeats{true};
  std::atomic<bool> m_is_draining{false};
  std::vector<Arrival> Arrivals();
  const std::string& Id() const { return m_options.id; }

 private:
  void Serve(Connection& connection);
  std::string BuildHeartbeat();

  InstanceOptions m_options;
  Record& m_record;
  uint64_t m_born;
  std::atomic<uint64_t> m_sequence{0};
  std::atomic<bool> m_is_stopped{false};
  std::mutex m_mutex;
  std::condition_variable m_slot_freed;
  int m_running = 0;
  std::vector<Arrival> m_arrivals;
  std::unique_ptr<Server> m_server;
  std::thread m_heartbeats;
};

// A process of the project's, started with the command of the deploy file.
class Process {
 public:
  Process(const std::string& program,
          const std::string& settings,
          const std::string& log);
  ~Process();
  void Signal(int number);
  bool HasEnded();
  void WaitForEnd(double timeout);

 private:
  pid_t m_pid = -1;
};

// Result of one client attempt.
struct Answer {
  std::string id;
  double sent_at = 0;
  double ended_at = 0;
  // 0: the connection ended without a complete answer.
  int status = 0;
  bool has_signature = false;
  std::string body{};
};

// Sends one request over a new connection.
Answer SendRequest(const Address& node,
                   const std::string& method,
                   const std::string& host,
                   const std::string& target,
                   const std::string& id,
                   int deadline_ms,
                   const std::string& body);

struct MachineOptions {
  std::string ip;
  std::string zone;
  std::string region;
  std::string service;
  Address store;
  bool is_first_start = true;
};

// Writes a settings file as the platform does.
void WriteSettings(const std::string& path, const MachineOptions& machine);

// Ports of every machine.
inline constexpr int kInboundPort = 8300;
inline constexpr int kAppPort = 8301;
inline constexpr int kReadyPort = 8302;
inline constexpr int kOutboundPort = 8304;
inline constexpr int kControlPort = 8306;

// Status of GET /v1/ready; 0 without an answer.
int AskReady(const std::string& ip);

// An unused loopback network 127.A.B.x for this program; machine n has x = n.
std::string PickNetwork();

}  // namespace review

#endif  // REVIEW_STANDIN_H_
