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

#include <strings.h>
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <memory>

namespace review {

namespace {

const Clock::time_point kStart = Clock::now();

sockaddr_in ToSockaddr(const Address& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<uint16_t>(address.port));
  inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
  return result;
}

std::string BigEndian(uint64_t number, int width) {
  std::string bytes;
  for (int shift = 8 * (width - 1); shift >= 0; shift -= 8) {
    bytes += static_cast<char>(number >> shift);
  }
  return bytes;
}

std::string Base64(const std::string& bytes) {
  constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t group = 0;
    const size_t count = std::min<size_t>(3, bytes.size() - i);
    for (size_t j = 0; j < 3; ++j) {
      group = group << 8 |
              (j < count ? static_cast<uint8_t>(bytes[i + j]) : uint8_t{0});
    }
    for (size_t j = 0; j < 4; ++j) {
      text += j <= count ? kDigits[group >> (18 - 6 * j) & 63] : '=';
    }
  }
  return text;
}

std::string Query(const std::string& target, const std::string& name) {
  size_t at = target.find('?');
  while (at != std::string::npos) {
    const size_t begin = at + 1;
    at = target.find('&', begin);
    const std::string part = target.substr(
        begin, at == std::string::npos ? std::string::npos : at - begin);
    if (part.compare(0, name.size() + 1, name + "=") == 0) {
      return part.substr(name.size() + 1);
    }
  }
  return "";
}

}  // namespace

double Now() {
  return std::chrono::duration<double>(Clock::now() - kStart).count();
}

void SleepFor(double seconds) {
  if (seconds > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
  }
}

void SleepUntil(double at) {
  SleepFor(at - Now());
}

void Record::Add(const std::string& line) {
  const std::lock_guard lock(m_mutex);
  char time[32];
  std::snprintf(time, sizeof(time), "%9.3f ", Now());
  m_file << time << line << "\n" << std::flush;
}

std::string Message::Get(const std::string& name) const {
  for (const auto& [key, value] : fields) {
    if (strcasecmp(key.c_str(), name.c_str()) == 0) {
      return value;
    }
  }
  return "";
}

std::unique_ptr<Connection> Connection::Open(const Address& to,
                                             double timeout,
                                             const std::string& from_ip) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto connection = std::make_unique<Connection>(fd);
  if (!from_ip.empty()) {
    const sockaddr_in from = ToSockaddr({from_ip, 0});
    bind(fd, reinterpret_cast<const sockaddr*>(&from), sizeof(from));
  }
  fcntl(fd, F_SETFL, O_NONBLOCK);
  const sockaddr_in address = ToSockaddr(to);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    pollfd entry{.fd = fd, .events = POLLOUT, .revents = 0};
    int error = 0;
    socklen_t size = sizeof(error);
    if (errno != EINPROGRESS ||
        poll(&entry, 1, static_cast<int>(timeout * 1000)) != 1 ||
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
        error != 0) {
      return nullptr;
    }
  }
  fcntl(fd, F_SETFL, 0);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return connection;
}

bool Connection::Write(const std::string& bytes) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count =
        send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<size_t>(count);
  }
  return true;
}

bool Connection::Fill(double until) {
  pollfd entry{.fd = m_fd, .events = POLLIN, .revents = 0};
  const int wait = static_cast<int>(std::max(0.0, until - Now()) * 1000) + 1;
  if (poll(&entry, 1, wait) != 1) {
    return false;
  }
  char chunk[16384];
  const ssize_t count = recv(m_fd, chunk, sizeof(chunk), 0);
  if (count <= 0) {
    return false;
  }
  m_input.append(chunk, static_cast<size_t>(count));
  return true;
}

bool Connection::Read(Message& message, bool is_request, double timeout) {
  const double until = Now() + timeout;
  size_t head = 0;
  while ((head = m_input.find("\r\n\r\n")) == std::string::npos) {
    if (!Fill(until)) {
      return false;
    }
  }
  message = {};
  size_t at = 0;
  size_t length = 0;
  for (bool is_first = true; at < head + 2; is_first = false) {
    const size_t end = m_input.find("\r\n", at);
    const std::string line = m_input.substr(at, end - at);
    at = end + 2;
    if (is_first && is_request) {
      const size_t space = line.find(' ');
      message.method = line.substr(0, space);
      message.target =
          line.substr(space + 1, line.find(' ', space + 1) - space - 1);
    } else if (is_first) {
      message.status = std::atoi(line.c_str() + line.find(' ') + 1);
    } else if (!line.empty()) {
      const size_t colon = line.find(':');
      size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ') {
        ++value;
      }
      message.fields.emplace_back(line.substr(0, colon), line.substr(value));
    }
  }
  length = static_cast<size_t>(
      std::strtoull(message.Get("Content-Length").c_str(), nullptr, 10));
  while (m_input.size() < head + 4 + length) {
    if (!Fill(until)) {
      return false;  // What was read is kept for the next call.
    }
  }
  message.body = m_input.substr(head + 4, length);
  m_input.erase(0, head + 4 + length);
  return true;
}

bool Connection::ReadRequest(Message& message, double timeout) {
  return Read(message, true, timeout);
}

bool Connection::ReadResponse(Message& message, double timeout) {
  return Read(message, false, timeout);
}

bool Connection::IsPeerGone() {
  pollfd entry{.fd = m_fd, .events = POLLIN, .revents = 0};
  if (poll(&entry, 1, 0) != 1) {
    return false;
  }
  char byte = 0;
  return recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0;
}

void Connection::Close() {
  if (m_fd >= 0) {
    close(m_fd);
    m_fd = -1;
  }
}

void Connection::Reset() {
  const linger now{.l_onoff = 1, .l_linger = 0};
  setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  Close();
}

std::string RequestText(const std::string& method,
                        const std::string& target,
                        const Fields& fields,
                        const std::string& body) {
  std::string text = method + " " + target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : fields) {
    text += name + ": " + value + "\r\n";
  }
  if (!body.empty() || method == "POST") {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + body;
}

std::string ResponseText(int status,
                         const Fields& fields,
                         const std::string& body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  for (const auto& [name, value] : fields) {
    text += name + ": " + value + "\r\n";
  }
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

Server::Server(const Address& at, Handler handler)
    : m_handler(std::move(handler)) {
  m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = ToSockaddr(at);
  if (bind(m_listener, reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(m_listener, 512) != 0) {
    std::fprintf(stderr, "can't listen on %s\n", at.Text().c_str());
    std::_Exit(2);
  }
  m_acceptor = std::thread([this] {
    while (!m_is_stopped) {
      pollfd entry{.fd = m_listener, .events = POLLIN, .revents = 0};
      if (poll(&entry, 1, 20) != 1) {
        continue;
      }
      const int fd = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        continue;
      }
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread([this, fd] {
        Connection connection(fd);
        m_handler(connection);
      }).detach();
    }
  });
}

void Server::Stop() {
  if (m_is_stopped.exchange(true)) {
    return;
  }
  m_acceptor.join();
  close(m_listener);
}

Server::~Server() {
  Stop();
}

DelayedPath::DelayedPath(const Address& listen,
                         const Address& to,
                         double delay) {
  m_server = std::make_unique<Server>(listen, [to, delay](Connection& sender) {
    Message request;
    if (!sender.ReadRequest(request, 5)) {
      return;
    }
    SleepFor(delay);
    Fields fields = request.fields;
    std::erase_if(fields, [](const auto& field) {
      return strcasecmp(field.first.c_str(), "Content-Length") == 0;
    });
    const auto receiver = Connection::Open(to, 1);
    Message response;
    if (receiver &&
        receiver->Write(RequestText(request.method, request.target, fields,
                                    request.body)) &&
        receiver->ReadResponse(response, 5)) {
      sender.Write(ResponseText(response.status, {}, response.body));
    }
  });
}

void Store::Listen(const Address& at) {
  m_servers.push_back(std::make_unique<Server>(
      at, [this, text = at.Text()](Connection& connection) {
        Serve(text, connection);
      }));
}

std::string Store::MostFrequentReader(const std::string& topic) {
  const std::lock_guard lock(m_mutex);
  std::string most;
  int reads = 0;
  for (const auto& [reader, count] : std::exchange(m_reads, {})) {
    if (reader.first == topic && count > reads) {
      most = reader.second;
      reads = count;
    }
  }
  return most;
}

void Store::Append(const std::string& name, const std::string& record) {
  Topic& topic = m_topics[name];
  const uint64_t offset = topic.records.size();
  topic.records.push_back(record);
  const size_t size = static_cast<uint8_t>(record.front());
  const std::string key = record.substr(1, size);
  if (record.size() == 1 + size) {
    topic.newest.erase(key);
  } else {
    topic.newest[key] = {record.substr(1 + size), offset};
  }
}

void Store::WriteKeyed(const std::string& topic,
                       const std::string& key,
                       const std::string& value) {
  const std::lock_guard lock(m_mutex);
  Append(topic, static_cast<char>(key.size()) + key + value);
  m_changed.notify_all();
}

void Store::Serve(const std::string& address, Connection& connection) {
  Message request;
  while (connection.ReadRequest(request, 120)) {
    if (m_is_down) {
      connection.Write(ResponseText(503, {}, ""));
      continue;
    }
    const std::string path = request.target.substr(0, request.target.find('?'));
    const std::string name = Query(request.target, "topic");
    std::unique_lock lock(m_mutex);
    Topic& topic = m_topics[name];
    std::string response;
    if (path == "/v1/log-append") {
      const uint64_t offset = topic.records.size();
      for (size_t at = 0; at + 4 <= request.body.size();) {
        size_t length = 0;
        for (int i = 0; i < 4; ++i) {
          length = length << 8 | static_cast<uint8_t>(request.body[at + i]);
        }
        Append(name, request.body.substr(at + 4, length));
        at += 4 + length;
      }
      m_changed.notify_all();
      response = ResponseText(
          200, {{"Content-Type", "application/json"}},
          "{\"offset\":" + std::to_string(offset) +
              ",\"endOffset\":" + std::to_string(topic.records.size()) + "}");
    } else if (path == "/v1/log-newest") {
      std::string items;
      for (const auto& [key, newest] : topic.newest) {
        items += std::string(items.empty() ? "" : ",") + "{\"key\":\"" + key +
                 "\",\"value\":\"" + Base64(newest.first) +
                 "\",\"offset\":" + std::to_string(newest.second) + "}";
      }
      response = ResponseText(200, {{"Content-Type", "application/json"}},
                              "{\"items\":[" + items +
                                  "],\"hasMore\":false,\"endOffset\":" +
                                  std::to_string(topic.records.size()) + "}");
    } else if (path == "/v1/log-read") {
      ++m_reads[{name, address}];
      const size_t from =
          std::strtoull(Query(request.target, "from").c_str(), nullptr, 10);
      const int wait = std::atoi(Query(request.target, "waitMs").c_str());
      m_changed.wait_for(lock, std::chrono::milliseconds(wait), [&] {
        return topic.records.size() > from || m_is_down;
      });
      std::string body =
          BigEndian(topic.records.size(), 8) + BigEndian(uint64_t{0}, 8);
      for (size_t i = from; i < topic.records.size(); ++i) {
        body += BigEndian(topic.records[i].size(), 4) + topic.records[i];
      }
      response = ResponseText(200, {}, body);
    } else {
      response = ResponseText(404, {}, "");
    }
    lock.unlock();
    SleepFor(0.004);
    if (!connection.Write(response)) {
      return;
    }
  }
}

Instance::Instance(const InstanceOptions& options, Record& record)
    : m_options(options),
      m_record(record),
      m_born(static_cast<uint64_t>(
          std::chrono::duration_cast<std::chrono::milliseconds>(
              std::chrono::system_clock::now().time_since_epoch())
              .count())) {
  m_server = std::make_unique<Server>(
      m_options.address, [this](Connection& connection) { Serve(connection); });
}

void Instance::Stop() {
  if (m_is_stopped.exchange(true)) {
    return;
  }
  m_sends_heartbeats = false;
  if (m_heartbeats.joinable()) {
    m_heartbeats.join();
  }
  m_server->Stop();
  SleepFor(0.1);  // The connections notice the end.
}

std::string Instance::BuildHeartbeat() {
  return "{\"address\":\"" + m_options.address.Text() +
         "\",\"born\":" + std::to_string(m_born) + ",\"info\":{\"service\":\"" +
         m_options.service + "\",\"version\":\"v1\",\"zone\":\"" +
         m_options.zone + "\",\"slots\":" + std::to_string(m_options.slots) +
         "},\"status\":{\"state\":\"" + (m_is_draining ? "draining" : "ready") +
         "\",\"sequence\":" + std::to_string(++m_sequence) +
         ",\"coldLeftS\":0}}";
}

bool Instance::SendHeartbeat(std::optional<Address> to) {
  const auto connection = Connection::Open(to.value_or(m_options.control), 1);
  Message response;
  return connection &&
         connection->Write(
             RequestText("POST", "/v1/Instances.Heartbeat/" + m_options.id,
                         {{"Host", m_options.control.Text()},
                          {"Content-Type", "application/json"}},
                         BuildHeartbeat())) &&
         connection->ReadResponse(response, 1) && response.status / 100 == 2;
}

void Instance::StartHeartbeats() {
  m_heartbeats = std::thread([this] {
    while (m_sends_heartbeats) {
      SendHeartbeat();
      const double next = Now() + m_options.heartbeat_s;
      while (m_sends_heartbeats && Now() < next) {
        SleepFor(0.02);
      }
    }
  });
}

bool Instance::Deregister() {
  m_sends_heartbeats = false;
  const auto connection = Connection::Open(m_options.control, 1);
  Message response;
  return connection &&
         connection->Write(
             RequestText("POST", "/v1/Instances.Deregister/" + m_options.id,
                         {{"Host", m_options.control.Text()},
                          {"Content-Type", "application/json"}},
                         "{\"born\":" + std::to_string(m_born) + "}")) &&
         connection->ReadResponse(response, 1) && response.status / 100 == 2;
}

std::vector<Arrival> Instance::Arrivals() {
  const std::lock_guard lock(m_mutex);
  return m_arrivals;
}

void Instance::Serve(Connection& connection) {
  Message request;
  while (!m_is_stopped) {
    // Idle connections are closed after ten seconds.
    bool has_request = false;
    for (const double end = Now() + 10; Now() < end && !m_is_stopped;) {
      if (connection.IsPeerGone()) {
        return;
      }
      if ((has_request = connection.ReadRequest(request, 0.05))) {
        break;
      }
    }
    if (!has_request) {
      return;
    }
    const std::string id = request.Get("X-Request-Id");
    const std::string target = request.Get("X-Target-Instance");
    Arrival arrival{Now(), id, m_options.id, false};
    if (!target.empty() && target != m_options.id) {
      m_record.Add("instance " + m_options.id + " answers 421 to " + id);
      connection.Write(ResponseText(
          421, {{"X-Request-Id", id}, {"X-Not-Executed", "1"}}, ""));
      continue;
    }
    arrival.has_run = true;
    {
      std::unique_lock lock(m_mutex);
      m_arrivals.push_back(arrival);
      m_slot_freed.wait(
          lock, [this] { return m_running < m_options.slots || m_is_stopped; });
      ++m_running;
    }
    m_record.Add("instance " + m_options.id + " runs " + id);
    SleepFor(m_options.work_s);
    {
      const std::lock_guard lock(m_mutex);
      --m_running;
      m_slot_freed.notify_one();
    }
    if (m_is_stopped) {
      return;
    }
    if (!connection.Write(
            ResponseText(200,
                         {{"X-Request-Id", id},
                          {"X-Response-Signature", m_options.id + "." + id},
                          {"Keep-Alive", "timeout=10"}},
                         "answer to " + id + " " + request.body))) {
      return;
    }
  }
}

Process::Process(const std::string& program,
                 const std::string& settings,
                 const std::string& log) {
  const std::string variable = "SEQUOIASTAGE_BOOT=" + settings;
  const std::string path =
      std::string("PATH=") + (std::getenv("PATH") ? std::getenv("PATH") : "");
  char* arguments[] = {const_cast<char*>(program.c_str()), nullptr};
  char* environment[] = {const_cast<char*>(variable.c_str()),
                         const_cast<char*>(path.c_str()), nullptr};
  const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  m_pid = fork();
  if (m_pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(output, 1);
    dup2(output, 2);
    execve(program.c_str(), arguments, environment);
    std::_Exit(2);
  }
  close(output);
}

Process::~Process() {
  if (!HasEnded()) {
    kill(m_pid, SIGCONT);
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
  }
}

void Process::Signal(int number) {
  if (!HasEnded()) {
    kill(m_pid, number);
  }
}

bool Process::HasEnded() {
  if (m_pid > 0 && waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
    m_pid = -1;
  }
  return m_pid <= 0;
}

void Process::WaitForEnd(double timeout) {
  for (const double end = Now() + timeout; !HasEnded() && Now() < end;) {
    SleepFor(0.01);
  }
}

Answer SendRequest(const Address& node,
                   const std::string& method,
                   const std::string& host,
                   const std::string& target,
                   const std::string& id,
                   int deadline_ms,
                   const std::string& body) {
  Answer answer;
  answer.id = id;
  answer.sent_at = Now();
  const auto connection = Connection::Open(node, 1);
  Message response;
  if (connection &&
      connection->Write(
          RequestText(method, target,
                      {{"Host", host},
                       {"X-Request-Id", id},
                       {"X-Deadline-Ms", std::to_string(deadline_ms)}},
                      body)) &&
      connection->ReadResponse(response, deadline_ms / 1000.0 + 1)) {
    answer.status = response.status;
    answer.has_signature = !response.Get("X-Response-Signature").empty();
    answer.body = response.body;
  }
  answer.ended_at = Now();
  return answer;
}

void WriteSettings(const std::string& path, const MachineOptions& machine) {
  const auto at = [&](int port) {
    return "\"" + machine.ip + ":" + std::to_string(port) + "\"";
  };
  std::ofstream(path)
      << R"({"self":{"nodeName":"n-)" << machine.ip
      << R"(","role":"sidecar","machineClass":"sidecar","serves":["sidecar"],"ip":")"
      << machine.ip << R"(","zone":")" << machine.zone << R"(","region":")"
      << machine.region << R"(","countsAsLoss":false,"bootstrap":)"
      << (machine.is_first_start ? "true" : "false")
      << R"(,"dataDir":null,"limits":{"cpuShare":0.5,"cores":1,"memoryMb":512,)"
      << R"("maxFds":8192,"linkMbps":200.0,"diskMb":0},"appAddr":)"
      << at(kAppPort) << R"(,"service":")" << machine.service
      << R"("},"network":{"listenAddrs":{"inbound":)" << at(kInboundPort)
      << R"(,"outbound":)" << at(kOutboundPort) << R"(,"ready":)"
      << at(kReadyPort) << R"(,"control":)" << at(kControlPort)
      << R"(},"portRange":[7620,7635],"seeds":[],"zones":{")" << machine.zone
      << R"(":")" << machine.region
      << R"("}},"platform":{"discovery":"static","entry":"static","heartbeatS":1.5,)"
      << R"("platform":{"address":")" << machine.store.Text()
      << R"(","form":"log","writesPerS":1200,"readsPerS":6000,"parts":12,)"
      << R"("appendS":0.002,"partMbS":20.0,"readMbS":80.0,"recordBytes":262144,)"
      << R"("callBytes":2097152,"keep_s":300,"partMb":200,"ttlMinS":1}},)"
      << R"("terms":{"contracts":["base","drain","config","cost","retry",)"
      << R"("recover","health","platform"],"faultTolerance":{"machines":1,)"
      << R"("zones":0,"regions":0},"bounds":{"seedLagS":3,"reuseAfterS":2,)"
      << R"("stableS":3,"ackS":5,"catchUpS":6,"drainS":3,"graceS":6,)"
      << R"("lossSlackS":0.2,"configApplyS":3,"rollbackSlackS":0.25,)"
      << R"("maxSkewS":5,"retryBudgetRatio":0.2,"budgetWindowS":10,)"
      << R"("retryBudgetSlack":172,"recoveryS":15,"probesPerS":3,)"
      << R"("floorShare":0.7}}})";
}

int AskReady(const std::string& ip) {
  const auto connection = Connection::Open({ip, kReadyPort}, 0.5);
  Message response;
  return connection &&
                 connection->Write(
                     RequestText("GET", "/v1/ready", {{"Host", ip}}, "")) &&
                 connection->ReadResponse(response, 0.5)
             ? response.status
             : 0;
}

std::string PickNetwork() {
  for (int i = 0; i < 200; ++i) {
    const int number = (getpid() + i * 37) % 60000;
    const std::string network = "127." +
                                std::to_string(20 + number / 250 % 200) + "." +
                                std::to_string(1 + number % 250) + ".";
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = ToSockaddr({network + "1", kInboundPort});
    const bool is_free = bind(fd, reinterpret_cast<const sockaddr*>(&address),
                              sizeof(address)) == 0;
    close(fd);
    if (is_free) {
      return network;
    }
  }
  std::_Exit(2);
}

}  // namespace review
