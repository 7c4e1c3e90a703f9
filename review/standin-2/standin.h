// Stand-ins for the scripts of review/6 and above: the platform's store, an
// instance, a caller and the processes under test. One thread serves one
// connection; everything runs on loopback addresses and the real clock.
#ifndef REVIEW_STANDIN_2_STANDIN_H_
#define REVIEW_STANDIN_2_STANDIN_H_

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

/// Seconds since the start of the program, by the steady clock.
double Now();
void SleepUntil(double time);
void SleepFor(double seconds);

/// Lines of record.txt; safe for any thread.
void OpenRecord(const std::string& path);
void Record(const std::string& line);

/// Ends the program with 2: the case could not run.
[[noreturn]] void CannotRun(const std::string& why);

/// Address of host `number` in the loopback net of this process.
std::string HostIp(int number);

struct Message {
  std::string m_first_line;
  std::map<std::string, std::string> m_fields;  // Names in lower case.
  std::string m_body;
};

/// Reads one message with a Content-Length, or none. False at the end.
bool ReadMessage(int fd, std::string& buffer, Message& message);
bool WriteAll(int fd, const std::string& bytes);
/// -1 when the connection fails.
int ConnectTo(const std::string& ip, int port, double timeout_s);

/// Accepts connections and serves each on a thread of its own.
class Server {
 public:
  using Handler = std::function<void(int fd)>;
  ~Server() { Stop(); }
  bool Start(const std::string& ip, int port, Handler handler);
  /// Closes the listener and resets all connections, as a crash does.
  void Stop();

 private:
  int m_fd = -1;
  std::atomic<bool> m_stops = false;
  std::thread m_acceptor;
  std::mutex m_mutex;
  std::set<int> m_open;
  std::vector<std::thread> m_threads;
};

/// The platform's store: log-append, log-read with a wait, log-newest.
class Store {
 public:
  void Start();
  static int Port() { return 9100; }
  static std::string Ip() { return HostIp(200); }
  /// Appends a keyed record, as the operator or another writer does.
  void Append(const std::string& topic,
              const std::string& key,
              const std::string& value);
  /// Offset and value of the newest record of the key; -1: there is none.
  int64_t NewestOffset(const std::string& topic, const std::string& key);
  std::string NewestValue(const std::string& topic, const std::string& key);

 private:
  struct Entry {
    std::string m_key;
    std::string m_value;
  };
  void Serve(int fd);
  std::string Answer(const Message& request);

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, std::vector<Entry>> m_topics;
  Server m_server;
};

/// An application instance beside the node of host `m_host`.
class Instance {
 public:
  Instance(int host, std::string id, std::string service);
  ~Instance() { Crash(); }
  void Start();
  /// Ends without notice.
  void Crash();
  /// Sends a heartbeat now. Returns the status, 0 without an answer in 1 s.
  int SendHeartbeat() { return SendLate(BuildHeartbeat()); }
  /// The body of a heartbeat that is sent now, and its late arrival.
  std::string BuildHeartbeat();
  int SendLate(const std::string& body);
  int Deregister();
  void StopHeartbeats();
  /// Sends one now and then one each 1.5 s.
  void StartHeartbeats();
  const std::string& Id() const { return m_id; }
  /// Requests run since `from`.
  int RunsSince(double from);
  /// Times at which requests reached it.
  std::vector<double> Runs();

  /// Whether it has begun to work on the request with this id.
  bool HasRun(const std::string& request_id);

  double m_work_s = 0.06;
  size_t m_answer_bytes = 0;
  /// Delay of a 421; a new instance is slow for some seconds.
  std::atomic<double> m_reject_delay_s = 0;
  /// Requests for another instance that have arrived.
  std::atomic<int> m_rejects = 0;

 private:
  void Serve(int fd);

  int m_host;
  std::string m_id;
  std::string m_service;
  int64_t m_born_ms;
  std::atomic<int64_t> m_sequence = 0;
  int SendControl(const std::string& call, const std::string& body);

  std::atomic<bool> m_stops = false;
  std::atomic<bool> m_stops_beats = false;
  std::thread m_beats;
  std::mutex m_mutex;
  std::vector<double> m_runs;
  std::set<std::string> m_run_ids;
  Server m_server;
};

/// A sequoiameshd process.
class Node {
 public:
  Node(int host, std::string service, std::string folder);
  ~Node();
  void Start();
  void Signal(int signal);
  /// Waits for the end of the process. False after `timeout_s`.
  bool AwaitEnd(double timeout_s);
  bool IsReady();
  /// Resident memory in bytes.
  size_t Memory() const;
  /// Whether the node got this version of the configuration from the store
  /// itself, not from another node; by its log. Used to set up a case.
  bool ReadsStore(int version) const;
  int Host() const { return m_host; }
  std::string PeerKey() const;

 private:
  int m_host;
  std::string m_service;
  std::string m_folder;
  bool m_is_first = true;
  pid_t m_pid = -1;
};

struct Call {
  int m_host = 0;
  double m_sent = 0;
  double m_ended = 0;
  // 0: no answer.
  int m_status = 0;
};

/// Callers of the outbound address of hosts, at a fixed rate; each request on a
/// connection of its own, without retries.
class Callers {
 public:
  ~Callers() { Stop(); }
  /// Sends `per_s` requests a second to `hosts` in turn; 0 pauses.
  void SetRate(double per_s, std::vector<int> hosts);
  void Stop();
  std::vector<Call> Calls();

 private:
  void Run();
  void Send(int host, uint64_t number);

  std::mutex m_mutex;
  double m_rate = 0;
  std::vector<int> m_hosts;
  std::vector<Call> m_calls;
  std::atomic<int> m_open = 0;
  std::atomic<bool> m_stops = false;
  std::thread m_thread;
};

/// Callers that keep their connections: POST requests, each answered before the
/// next one on its connection.
class KeptCallers {
 public:
  /// `connections` at each of `hosts`.
  KeptCallers(std::vector<int> hosts, int connections);
  ~KeptCallers() { Stop(); }
  /// Requests a second to all hosts together.
  void SetRate(double per_s);
  void Stop();
  int Sent() const { return m_sent; }
  int Answered(int status);
  /// Ids of the requests whose kept connection ended without an answer.
  std::vector<std::string> Unanswered();

 private:
  void Run(int host);

  std::mutex m_mutex;
  std::condition_variable m_due;
  int m_tickets = 0;
  std::atomic<double> m_rate = 0;
  std::atomic<bool> m_stops = false;
  std::atomic<int> m_sent = 0;
  std::map<int, int> m_answers;
  std::vector<std::string> m_unanswered;
  std::thread m_clock;
  std::vector<std::thread> m_threads;
};

/// A configuration of one route of host a.example to `service`.
std::string ConfigDocument(int version,
                           const std::string& service,
                           const std::string& kind = "idempotent");

/// FLOOR over the windows of 2 s within [from, to]: number of windows, one each
/// 0.1 s, in which some but less than `floor_share` of the instances get
/// requests while more than a tenth of the requests, but under half, is not
/// served.
int CountFloorBreaks(const std::vector<Call>& calls,
                     const std::vector<Instance*>& instances,
                     double from,
                     double to);

/// Temporary folder, removed at the end of the program.
std::string MakeFolder();

}  // namespace review

#endif  // REVIEW_STANDIN_2_STANDIN_H_
