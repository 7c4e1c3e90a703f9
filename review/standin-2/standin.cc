#include "standin.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace review {

namespace {

using Clock = std::chrono::steady_clock;
const Clock::time_point kStart = Clock::now();
std::mutex record_mutex;
std::ofstream record_file;

constexpr int kOutbound = 8304;
constexpr int kPeer = 8300;
constexpr int kReady = 8302;
constexpr int kControl = 8306;
constexpr int kApp = 8301;
constexpr double kHeartbeatS = 1.5;
constexpr double kFloorShare = 0.7;

std::string Lower(std::string text) {
  for (char& c : text) {
    c = static_cast<char>(tolower(c));
  }
  return text;
}

std::string Response(int status, const std::string& fields,
                     const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string Base64(const std::string& bytes) {
  constexpr char kLetters[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t block = 0;
    for (size_t j = 0; j < 3; ++j) {
      block = block << 8 | (i + j < bytes.size()
                                ? static_cast<uint8_t>(bytes[i + j])
                                : 0);
    }
    for (size_t j = 0; j < 4; ++j) {
      text += i + j > bytes.size() ? '='
                                   : kLetters[block >> (18 - 6 * j) & 63];
    }
  }
  return text;
}

std::string BigEndian(uint64_t number, int bytes) {
  std::string text;
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
    text += static_cast<char>(number >> shift);
  }
  return text;
}

std::string QueryValue(const std::string& target, const std::string& name) {
  size_t at = target.find('?');
  while (at != std::string::npos) {
    const size_t end = target.find('&', ++at);
    const std::string item = target.substr(at, end - at);
    if (item.rfind(name + "=", 0) == 0) {
      return item.substr(name.size() + 1);
    }
    at = end;
  }
  return "";
}

int64_t WallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

double Now() {
  return std::chrono::duration<double>(Clock::now() - kStart).count();
}

void SleepUntil(double time) { SleepFor(time - Now()); }

void SleepFor(double seconds) {
  if (seconds > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
  }
}

void OpenRecord(const std::string& path) { record_file.open(path); }

void Record(const std::string& line) {
  char time[32];
  snprintf(time, sizeof(time), "%8.3f ", Now());
  const std::lock_guard lock(record_mutex);
  record_file << time << line << std::endl;
}

void CannotRun(const std::string& why) {
  Record("the case can't run: " + why);
  fprintf(stderr, "the case can't run: %s\n", why.c_str());
  // Not _exit(): destructors of the nodes end their processes.
  throw std::runtime_error(why);
}

std::string HostIp(int number) {
  const int pid = getpid();
  return "127." + std::to_string(100 + pid / 250 % 100) + "." +
         std::to_string(1 + pid % 250) + "." + std::to_string(number);
}

bool ReadMessage(int fd, std::string& buffer, Message& message) {
  size_t end;
  char chunk[16384];
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    const ssize_t count = read(fd, chunk, sizeof(chunk));
    if (count <= 0) {
      return false;
    }
    buffer.append(chunk, static_cast<size_t>(count));
  }
  message = {};
  std::istringstream lines(buffer.substr(0, end + 2));
  std::string line;
  while (std::getline(lines, line)) {
    if (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    const size_t colon = line.find(':');
    if (message.m_first_line.empty()) {
      message.m_first_line = line;
    } else if (colon != std::string::npos) {
      const size_t value = line.find_first_not_of(' ', colon + 1);
      message.m_fields[Lower(line.substr(0, colon))] =
          value == std::string::npos ? "" : line.substr(value);
    }
  }
  buffer.erase(0, end + 4);
  const auto length = message.m_fields.find("content-length");
  const size_t size = length == message.m_fields.end()
                          ? 0
                          : strtoul(length->second.c_str(), nullptr, 10);
  while (buffer.size() < size) {
    const ssize_t count = read(fd, chunk, sizeof(chunk));
    if (count <= 0) {
      return false;
    }
    buffer.append(chunk, static_cast<size_t>(count));
  }
  message.m_body = buffer.substr(0, size);
  buffer.erase(0, size);
  return true;
}

bool WriteAll(int fd, const std::string& bytes) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count =
        send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<size_t>(count);
  }
  return true;
}

int ConnectTo(const std::string& ip, int port, double timeout_s) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  fcntl(fd, F_SETFL, O_NONBLOCK);
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
      0) {
    pollfd waiting{.fd = fd, .events = POLLOUT, .revents = 0};
    int error = 0;
    socklen_t size = sizeof(error);
    if (errno != EINPROGRESS ||
        poll(&waiting, 1, static_cast<int>(timeout_s * 1000)) != 1 ||
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
        error != 0) {
      close(fd);
      return -1;
    }
  }
  fcntl(fd, F_SETFL, 0);
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  return fd;
}

namespace {

void SetReadTimeout(int fd, double seconds) {
  timeval time{.tv_sec = static_cast<time_t>(seconds),
               .tv_usec = static_cast<suseconds_t>(
                   (seconds - static_cast<double>(static_cast<time_t>(seconds))) *
                   1e6)};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof(time));
}

// Status of the answer; 0 when there is none in time.
int Exchange(const std::string& ip, int port, const std::string& request,
             double timeout_s) {
  const int fd = ConnectTo(ip, port, std::min(timeout_s, 1.0));
  if (fd < 0) {
    return 0;
  }
  SetReadTimeout(fd, timeout_s);
  std::string buffer;
  Message answer;
  int status = 0;
  if (WriteAll(fd, request) && ReadMessage(fd, buffer, answer) &&
      answer.m_first_line.size() > 12) {
    status = atoi(answer.m_first_line.c_str() + 9);
  }
  close(fd);
  return status;
}

}  // namespace

bool Server::Start(const std::string& ip, int port, Handler handler) {
  m_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  if (bind(m_fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(m_fd, 512) != 0) {
    close(m_fd);
    m_fd = -1;
    return false;
  }
  m_stops = false;
  m_acceptor = std::thread([this, handler = std::move(handler)] {
    while (!m_stops) {
      pollfd waiting{.fd = m_fd, .events = POLLIN, .revents = 0};
      if (poll(&waiting, 1, 50) != 1) {
        continue;
      }
      const int fd = accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        continue;
      }
      const int one = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
      const std::lock_guard lock(m_mutex);
      m_open.insert(fd);
      m_threads.emplace_back([this, handler, fd] {
        handler(fd);
        const std::lock_guard lock(m_mutex);
        if (m_open.erase(fd) > 0) {
          close(fd);
        }
      });
    }
  });
  return true;
}

void Server::Stop() {
  if (m_fd < 0) {
    return;
  }
  m_stops = true;
  m_acceptor.join();
  close(m_fd);
  m_fd = -1;
  std::vector<std::thread> threads;
  {
    const std::lock_guard lock(m_mutex);
    for (const int fd : m_open) {
      const linger reset{.l_onoff = 1, .l_linger = 0};
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
      shutdown(fd, SHUT_RDWR);
    }
    threads.swap(m_threads);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
}

void Store::Start() {
  if (!m_server.Start(Ip(), Port(), [this](int fd) { Serve(fd); })) {
    CannotRun("the store's address is taken");
  }
}

void Store::Append(const std::string& topic,
                   const std::string& key,
                   const std::string& value) {
  const std::lock_guard lock(m_mutex);
  m_topics[topic].push_back({key, value});
  m_changed.notify_all();
}

int64_t Store::NewestOffset(const std::string& topic, const std::string& key) {
  const std::lock_guard lock(m_mutex);
  const auto& entries = m_topics[topic];
  for (size_t i = entries.size(); i-- > 0;) {
    if (entries[i].m_key == key) {
      return static_cast<int64_t>(i);
    }
  }
  return -1;
}

std::string Store::NewestValue(const std::string& topic,
                               const std::string& key) {
  const int64_t offset = NewestOffset(topic, key);
  const std::lock_guard lock(m_mutex);
  return offset < 0 ? "" : m_topics[topic][static_cast<size_t>(offset)].m_value;
}

void Store::Serve(int fd) {
  std::string buffer;
  Message request;
  while (ReadMessage(fd, buffer, request) && WriteAll(fd, Answer(request))) {
  }
}

std::string Store::Answer(const Message& request) {
  const std::string& line = request.m_first_line;
  const size_t space = line.find(' ');
  const std::string target =
      line.substr(space + 1, line.find(' ', space + 1) - space - 1);
  const std::string path = target.substr(0, target.find('?'));
  const std::string topic = QueryValue(target, "topic");
  std::unique_lock lock(m_mutex);
  auto& entries = m_topics[topic];
  if (path == "/v1/log-append") {
    const std::string& body = request.m_body;
    if (body.size() < 6) {
      return Response(400, "", "");
    }
    const auto key_size = static_cast<uint8_t>(body[4]);
    entries.push_back({body.substr(5, key_size), body.substr(5 + key_size)});
    m_changed.notify_all();
    return Response(200, "Content-Type: application/json\r\n",
                    "{\"offset\":" + std::to_string(entries.size() - 1) +
                        ",\"endOffset\":" + std::to_string(entries.size()) +
                        "}");
  }
  if (path == "/v1/log-newest") {
    std::map<std::string, size_t> newest;
    for (size_t i = 0; i < entries.size(); ++i) {
      newest[entries[i].m_key] = i;
    }
    std::string items;
    for (const auto& [key, offset] : newest) {
      items += (items.empty() ? "" : ",");
      items += "{\"key\":\"" + key + "\",\"value\":\"" +
               Base64(entries[offset].m_value) +
               "\",\"offset\":" + std::to_string(offset) + "}";
    }
    return Response(200, "Content-Type: application/json\r\n",
                    "{\"items\":[" + items + "],\"hasMore\":false," +
                        "\"endOffset\":" + std::to_string(entries.size()) +
                        "}");
  }
  if (path == "/v1/log-read") {
    const size_t from = strtoul(QueryValue(target, "from").c_str(), nullptr, 10);
    const int wait_ms = atoi(QueryValue(target, "waitMs").c_str());
    m_changed.wait_for(lock, std::chrono::milliseconds(wait_ms),
                       [&] { return entries.size() > from; });
    std::string body = BigEndian(entries.size(), 8) + BigEndian(0, 8);
    for (size_t i = from; i < entries.size(); ++i) {
      const Entry& entry = entries[i];
      body += BigEndian(1 + entry.m_key.size() + entry.m_value.size(), 4) +
              static_cast<char>(entry.m_key.size()) + entry.m_key +
              entry.m_value;
    }
    return Response(200, "Content-Type: application/octet-stream\r\n", body);
  }
  return Response(404, "", "");
}

Instance::Instance(int host, std::string id, std::string service)
    : m_host(host),
      m_id(std::move(id)),
      m_service(std::move(service)),
      m_born_ms(WallMs()) {}

void Instance::Start() {
  if (!m_server.Start(HostIp(m_host), kApp, [this](int fd) { Serve(fd); })) {
    CannotRun("the address of an instance is taken");
  }
  Record("instance " + m_id + " listens on host " + std::to_string(m_host));
}

void Instance::Crash() {
  m_stops = true;
  StopHeartbeats();
  m_server.Stop();
}

void Instance::Serve(int fd) {
  std::string buffer;
  Message request;
  while (!m_stops && ReadMessage(fd, buffer, request)) {
    const std::string id = request.m_fields["x-request-id"];
    if (request.m_fields["x-target-instance"] != m_id) {
      ++m_rejects;
      Record("instance " + m_id + " got " + id + " for instance " +
             request.m_fields["x-target-instance"]);
      SleepFor(m_reject_delay_s);
      Record("instance " + m_id + " answers " + id + " with 421");
      if (!WriteAll(fd, Response(421,
                                 "X-Request-Id: " + id +
                                     "\r\nX-Not-Executed: 1\r\n",
                                 ""))) {
        return;
      }
      continue;
    }
    {
      const std::lock_guard lock(m_mutex);
      m_runs.push_back(Now());
      m_run_ids.insert(id);
    }
    Record("instance " + m_id + " runs " + id);
    SleepFor(m_work_s);
    if (!WriteAll(fd, Response(200,
                               "X-Request-Id: " + id +
                                   "\r\nX-Response-Signature: " + m_id +
                                   "\r\nX-Instance-Id: " + m_id + "\r\n",
                               m_answer_bytes == 0
                                   ? "of " + id
                                   : std::string(m_answer_bytes, 'a')))) {
      return;
    }
  }
}

std::string Instance::BuildHeartbeat() {
  return "{\"address\":\"" + HostIp(m_host) + ":" + std::to_string(kApp) +
         "\",\"born\":" + std::to_string(m_born_ms) +
         ",\"info\":{\"service\":\"" + m_service +
         "\",\"version\":\"v1\",\"zone\":\"z\",\"slots\":3},\"status\":{" +
         "\"state\":\"ready\",\"sequence\":" + std::to_string(++m_sequence) +
         ",\"coldLeftS\":0}}";
}

int Instance::SendLate(const std::string& body) {
  return SendControl("Heartbeat", body);
}

int Instance::Deregister() {
  return SendControl("Deregister",
                     "{\"born\":" + std::to_string(m_born_ms) + "}");
}

int Instance::SendControl(const std::string& call, const std::string& body) {
  const int status = Exchange(
      HostIp(m_host), kControl,
      "POST /v1/Instances." + call + "/" + m_id + " HTTP/1.1\r\nHost: " +
          HostIp(m_host) + "\r\nContent-Type: application/json\r\n" +
          "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
      1);
  Record(call + " of " + m_id + " " + body + ": " + std::to_string(status));
  return status;
}

void Instance::StopHeartbeats() {
  m_stops_beats = true;
  if (m_beats.joinable()) {
    m_beats.join();
  }
}

void Instance::StartHeartbeats() {
  m_beats = std::thread([this] {
    while (!m_stops_beats) {
      const double next = Now() + kHeartbeatS;
      SendHeartbeat();
      while (!m_stops_beats && Now() < next) {
        SleepFor(0.02);
      }
    }
  });
}

std::vector<double> Instance::Runs() {
  const std::lock_guard lock(m_mutex);
  return m_runs;
}

bool Instance::HasRun(const std::string& request_id) {
  const std::lock_guard lock(m_mutex);
  return m_run_ids.contains(request_id);
}

int Instance::RunsSince(double from) {
  int count = 0;
  for (const double time : Runs()) {
    count += time >= from ? 1 : 0;
  }
  return count;
}

Node::Node(int host, std::string service, std::string folder)
    : m_host(host),
      m_service(std::move(service)),
      m_folder(std::move(folder)) {}

Node::~Node() {
  if (m_pid > 0) {
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
  }
}

std::string Node::PeerKey() const {
  return HostIp(m_host) + ":" + std::to_string(kPeer);
}

void Node::Start() {
  const std::string ip = HostIp(m_host);
  const std::string path = m_folder + "/" + std::to_string(m_host) + ".json";
  std::ofstream(path)
      << R"({"self":{"nodeName":"n)" << m_host
      << R"(","role":"sidecar","machineClass":"sidecar","serves":["sidecar"],)"
      << R"("ip":")" << ip << R"(","zone":"z","region":"r","bootstrap":)"
      << (m_is_first ? "true" : "false")
      << R"(,"limits":{"memoryMb":260,"maxFds":4100},"appAddr":")" << ip << ":"
      << kApp << R"(","service":")" << m_service
      << R"("},"network":{"listenAddrs":{"inbound":")" << PeerKey()
      << R"(","outbound":")" << ip << ":" << kOutbound << R"(","ready":")" << ip
      << ":" << kReady << R"(","control":")" << ip << ":" << kControl
      << R"("},"portRange":[7620,7635],"seeds":[],"zones":{"z":"r"}},)"
      << R"("platform":{"heartbeatS":1.5,"platform":{"address":")"
      << Store::Ip() << ":" << Store::Port()
      << R"(","form":"log","writesPerS":400,"readsPerS":2000}},)"
      << R"("terms":{"bounds":{"stableS":4,"drainS":2.5,"graceS":6,)"
      << R"("configApplyS":2.5,"retryBudgetRatio":0.2,"budgetWindowS":10,)"
      << R"("retryBudgetSlack":60,"recoveryS":15,"floorShare":0.7}}})";
  m_is_first = false;
  const char* program = getenv("MESHD");
  if (program == nullptr) {
    program = "target/bin/sequoiameshd";
  }
  const std::string log = m_folder + "/" + std::to_string(m_host) + ".log";
  const std::string flag = "--settings=" + path;
  const pid_t parent = getpid();
  m_pid = fork();
  if (m_pid == 0) {
    // The process ends with this program, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(fd, 1);
    dup2(fd, 2);
    if (getppid() == parent) {
      execl(program, program, flag.c_str(), static_cast<char*>(nullptr));
    }
    _exit(127);
  }
  if (m_pid < 0 || access(program, X_OK) != 0) {
    CannotRun("sequoiameshd can't be started");
  }
  Record("node " + std::to_string(m_host) + " started");
}

void Node::Signal(int signal) {
  Record("node " + std::to_string(m_host) + " gets " + strsignal(signal));
  kill(m_pid, signal);
}

bool Node::AwaitEnd(double timeout_s) {
  const double end = Now() + timeout_s;
  while (Now() < end) {
    if (waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
      m_pid = -1;
      Record("node " + std::to_string(m_host) + " has ended");
      return true;
    }
    SleepFor(0.01);
  }
  return false;
}

bool Node::ReadsStore(int version) const {
  std::ifstream log(m_folder + "/" + std::to_string(m_host) + ".log");
  std::string line;
  bool reads = false;
  while (std::getline(log, line)) {
    if (line.find("event=config_in_force version=" + std::to_string(version) +
                  " ") != std::string::npos) {
      reads = line.find("source=store") != std::string::npos;
    }
  }
  return reads;
}

size_t Node::Memory() const {
  std::ifstream file("/proc/" + std::to_string(m_pid) + "/statm");
  size_t total = 0;
  size_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<size_t>(sysconf(_SC_PAGESIZE));
}

bool Node::IsReady() {
  return Exchange(HostIp(m_host), kReady,
                  "GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n", 1) == 200;
}

void Callers::SetRate(double per_s, std::vector<int> hosts) {
  const std::lock_guard lock(m_mutex);
  m_rate = per_s;
  m_hosts = std::move(hosts);
  if (!m_thread.joinable()) {
    m_thread = std::thread([this] { Run(); });
  }
}

void Callers::Run() {
  double next = Now();
  uint64_t number = 0;
  while (!m_stops) {
    double rate = 0;
    int host = 0;
    {
      const std::lock_guard lock(m_mutex);
      rate = m_rate;
      host = m_hosts.empty() ? 0 : m_hosts[number % m_hosts.size()];
    }
    if (rate <= 0 || host == 0) {
      SleepFor(0.01);
      next = Now();
      continue;
    }
    SleepUntil(next);
    next = std::max(next + 1 / rate, Now() - 0.5);
    ++m_open;
    std::thread([this, host, number] {
      Send(host, number);
      --m_open;
    }).detach();
    ++number;
  }
}

void Callers::Send(int host, uint64_t number) {
  const std::string id = "q" + std::to_string(number);
  Call call{.m_host = host, .m_sent = Now()};
  call.m_status = Exchange(
      HostIp(host), kOutbound,
      "GET /a/" + std::to_string(number) +
          " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " + id +
          "\r\nX-Deadline-Ms: 1500\r\n\r\n",
      2);
  call.m_ended = Now();
  char line[96];
  snprintf(line, sizeof(line), "host %d: %s sent at %.3f, answered %d", host,
           id.c_str(), call.m_sent, call.m_status);
  Record(line);
  const std::lock_guard lock(m_mutex);
  m_calls.push_back(call);
}

void Callers::Stop() {
  m_stops = true;
  if (m_thread.joinable()) {
    m_thread.join();
  }
  while (m_open > 0) {
    SleepFor(0.01);
  }
}

std::vector<Call> Callers::Calls() {
  const std::lock_guard lock(m_mutex);
  return m_calls;
}

KeptCallers::KeptCallers(std::vector<int> hosts, int connections) {
  for (const int host : hosts) {
    for (int i = 0; i < connections; ++i) {
      m_threads.emplace_back([this, host] { Run(host); });
    }
  }
  m_clock = std::thread([this] {
    double due = 0;
    double last = Now();
    while (!m_stops) {
      SleepFor(0.005);
      const double now = Now();
      due += (now - last) * m_rate;
      last = now;
      const std::lock_guard lock(m_mutex);
      while (due >= 1) {
        due -= 1;
        ++m_tickets;
        m_due.notify_one();
      }
    }
  });
}

void KeptCallers::SetRate(double per_s) {
  char line[64];
  snprintf(line, sizeof(line), "%.0f requests a second", per_s);
  Record(line);
  m_rate = per_s;
}

void KeptCallers::Run(int host) {
  int fd = -1;
  std::string buffer;
  while (true) {
    {
      std::unique_lock lock(m_mutex);
      m_due.wait(lock, [this] { return m_stops || m_tickets > 0; });
      if (m_stops) {
        break;
      }
      --m_tickets;
    }
    const std::string id = "k" + std::to_string(++m_sent);
    bool is_kept = fd >= 0;
    if (!is_kept) {
      fd = ConnectTo(HostIp(host), kOutbound, 1);
      buffer.clear();
      if (fd < 0) {
        Record("host " + std::to_string(host) + ": no connection for " + id);
        continue;
      }
      SetReadTimeout(fd, 3);
    }
    Message answer;
    const bool is_answered =
        WriteAll(fd, "POST /a/" + id +
                         " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " + id +
                         "\r\nX-Deadline-Ms: 1500\r\nContent-Length: 2\r\n\r\n" +
                         "{}") &&
        ReadMessage(fd, buffer, answer);
    const std::lock_guard lock(m_mutex);
    if (is_answered) {
      const int status = atoi(answer.m_first_line.c_str() + 9);
      ++m_answers[status];
      Record("host " + std::to_string(host) + ": " + id + " answered " +
             std::to_string(status));
    } else {
      Record("host " + std::to_string(host) + ": the connection of " + id +
             " ended without an answer");
      m_unanswered.push_back(id);
    }
    if (!is_answered || answer.m_fields["connection"] == "close") {
      close(fd);
      fd = -1;
    }
  }
  if (fd >= 0) {
    close(fd);
  }
}

void KeptCallers::Stop() {
  m_stops = true;
  m_due.notify_all();
  if (m_clock.joinable()) {
    m_clock.join();
  }
  for (std::thread& thread : m_threads) {
    thread.join();
  }
  m_threads.clear();
}

int KeptCallers::Answered(int status) {
  const std::lock_guard lock(m_mutex);
  return m_answers[status];
}

std::vector<std::string> KeptCallers::Unanswered() {
  const std::lock_guard lock(m_mutex);
  return m_unanswered;
}

std::string ConfigDocument(int version,
                           const std::string& service,
                           const std::string& kind) {
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[{"name":"r","host":"a.example","pathPrefix":"/a/",)" +
         R"("kind":")" + kind + R"(","timeoutS":2,"targetLatencyS":0.8,)" +
         R"("priority":1,"service":")" + service +
         R"(","maxAttempts":2}],"services":[{"name":")" + service +
         R"("},{"name":"front"}],"limits":{"maxHeaderBytes":16384,)" +
         R"("maxBodyBytes":1048576,"headerTimeoutS":3,"idleTimeoutS":15}})";
}

int CountFloorBreaks(const std::vector<Call>& calls,
                     const std::vector<Instance*>& instances,
                     double from,
                     double to) {
  constexpr double kWindowS = 2;
  int breaks = 0;
  for (double start = from; start + kWindowS <= to; start += 0.1) {
    const auto is_within = [&](double time) {
      return time >= start && time < start + kWindowS;
    };
    int sent = 0;
    int served = 0;
    for (const Call& call : calls) {
      if (is_within(call.m_sent)) {
        ++sent;
        served += call.m_status == 200 ? 1 : 0;
      }
    }
    size_t used = 0;
    for (Instance* instance : instances) {
      const std::vector<double> runs = instance->Runs();
      used += std::any_of(runs.begin(), runs.end(), is_within) ? 1 : 0;
    }
    const int unserved = sent - served;
    breaks += used > 0 &&
                      static_cast<double>(used) <
                          kFloorShare * static_cast<double>(instances.size()) &&
                      unserved * 10 > sent && unserved * 2 < sent
                  ? 1
                  : 0;
  }
  return breaks;
}

std::string MakeFolder() {
  static const struct Folder {
    Folder() {
      std::string name =
          (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
      m_path = mkdtemp(name.data()) == nullptr ? "" : name;
    }
    ~Folder() {
      std::error_code ignored;
      if (!m_path.empty() && getenv("KEEP") == nullptr) {
        std::filesystem::remove_all(m_path, ignored);
      }
    }
    std::string m_path;
  } folder;
  if (folder.m_path.empty()) {
    CannotRun("no temporary folder");
  }
  return folder.m_path;
}

}  // namespace review
