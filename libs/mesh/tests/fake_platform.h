#ifndef SEQUOIASTAGE_MESH_TESTS_FAKE_PLATFORM_H_
#define SEQUOIASTAGE_MESH_TESTS_FAKE_PLATFORM_H_

#include <unistd.h>

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "sequoiastage/http/exchange_connection.h"
#include "sequoiastage/http/stream_server.h"
#include "sequoiastage/mesh/platform.h"
#include "sequoiastage/mesh/shared_quarantine.h"

namespace sequoiastage {

// Loopback address number `host` in the subnet of the process with this id.
inline uint32_t TestIpOf(uint32_t pid, uint8_t host) {
  return 0x7f000000U | (64 + pid / 250 % 100) << 16 | (1 + pid % 250) << 8 |
         host;
}

// Loopback address number `host` in a subnet that is unique to this process.
inline uint32_t TestIp(uint8_t host) {
  return TestIpOf(static_cast<uint32_t>(getpid()), host);
}

// Runs `io` until `done` returns true or `limit` has passed. Returns the final
// result of `done`.
inline bool RunUntil(
    asio::io_context& io,
    const std::function<bool()>& done,
    std::chrono::milliseconds limit = std::chrono::seconds(8)) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!done() && std::chrono::steady_clock::now() < end) {
    io.restart();
    io.run_for(std::chrono::milliseconds(5));
  }
  return done();
}

// Codec with short field names and space-separated text formats.
struct FakeCodec {
  static std::string FieldValue(const std::vector<HttpField>& fields,
                                std::string_view name) {
    const std::string* value = FindField(fields, name);
    return value == nullptr ? "" : *value;
  }

  static CallerMetadata DecodeCaller(const HttpRequest& request) {
    CallerMetadata metadata{.m_request_id = FieldValue(request.m_fields, "id"),
                            .m_time_left = {}};
    if (const std::string left = FieldValue(request.m_fields, "left");
        !left.empty()) {
      metadata.m_time_left = std::chrono::milliseconds(std::stoi(left));
    }
    metadata.m_key = FieldValue(request.m_fields, "key");
    return metadata;
  }

  static void RemoveCallerSecrets(HttpRequest& request) {
    std::erase_if(request.m_fields, [](const HttpField& field) {
      return field.m_name == "key" || field.m_name == "account";
    });
  }

  static void PrepareForInstance(HttpRequest& request,
                                 const InstanceCallMetadata& call) {
    request.m_fields.push_back({"instance", std::string(call.m_instance)});
    request.m_fields.push_back({"from", std::string(call.m_caller_service)});
    if (!call.m_account.empty()) {
      request.m_fields.push_back({"account", std::string(call.m_account)});
    }
  }

  static ResponseMetadata DecodeResponse(const HttpResponse& response) {
    ResponseMetadata metadata{
        .m_request_id = FieldValue(response.m_fields, "id"),
        .m_is_attested = !FieldValue(response.m_fields, "seal").empty(),
        .m_is_not_executed = !FieldValue(response.m_fields, "not-run").empty(),
        .m_is_wrong_instance = response.m_status == 421,
        .m_is_leaving = !FieldValue(response.m_fields, "leaving").empty()};
    if (const auto limit = FieldValue(response.m_fields, "limit");
        !limit.empty()) {
      metadata.m_rate_limit = RequestRate(std::stod(limit));
    }
    return metadata;
  }

  static std::vector<std::string> SplitWords(const std::string& text) {
    std::vector<std::string> words;
    std::string word;
    for (const char c : text + " ") {
      if (c != ' ') {
        word += c;
      } else if (!word.empty()) {
        words.push_back(std::exchange(word, {}));
      }
    }
    return words;
  }

  // POST /announce/NAME "SERVICE ADDRESS START_TIME SEQUENCE [leaving]", or
  // POST /deregister/NAME "[START_TIME]".
  static ControlRequest DecodeControl(const HttpRequest& request) {
    constexpr std::string_view kAnnounce = "/announce/";
    constexpr std::string_view kDeregister = "/deregister/";
    const std::string& target = request.m_target;
    ControlRequest control;
    if (target.starts_with(kDeregister)) {
      control.m_kind = ControlRequest::Kind::kDeregister;
      control.m_announcement.m_name = target.substr(kDeregister.size());
      if (!request.m_body.empty()) {
        control.m_announcement.m_start_time_ms = std::stoul(request.m_body);
      }
      return control;
    }
    const auto words = SplitWords(request.m_body);
    if (!target.starts_with(kAnnounce) || words.size() < 4) {
      control.m_reason = "no announcement";
      return control;
    }
    control.m_kind = ControlRequest::Kind::kAnnounce;
    control.m_announcement = {
        .m_name = target.substr(kAnnounce.size()),
        .m_address = ParseEndpoint(words[1]).value_or(Endpoint{}),
        .m_service = words[0],
        .m_slots = 3,
        .m_is_leaving = words.size() > 4,
        .m_sequence = std::stoul(words[3]),
        .m_start_time_ms = std::stoul(words[2])};
    return control;
  }

  static bool IsReadinessProbe(const HttpRequest& request) {
    return request.m_target == "/ready";
  }

  // "VERSION HOST PREFIX SERVICE [once]": a configuration of one route, which
  // is idempotent unless "once" is given.
  static std::optional<TrafficConfig> DecodeConfig(const StoreRecord& record,
                                                   std::string* reason) {
    const auto words = SplitWords(record.m_value);
    if (words.size() < 4) {
      *reason = "too few words";
      return std::nullopt;
    }
    TrafficRoute route;
    route.m_name = "r";
    route.m_host = words[1];
    route.m_path_prefix = words[2];
    route.m_is_idempotent = words.size() == 4;
    route.m_max_attempts = 2;
    route.m_timeout = std::chrono::milliseconds(1500);
    route.m_target_latency = std::chrono::milliseconds(1000);
    route.m_shares = {{.m_service = MakeServiceId(words[3])}};
    return TrafficConfig{.m_version = ConfigVersion(std::stoul(words[0])),
                         .m_routes = {route},
                         .m_services = {words[3]}};
  }
};

static_assert(PlatformCodec<FakeCodec>);

// Records shared by all FakeStores of a test.
struct FakeLog {
  std::vector<std::pair<std::string, std::string>> m_topics[2];
  StoreEra m_era;
  // Calls that write throw an exception.
  bool m_throws_on_write = false;

  // Restarts from a copy that holds only the first records of each topic.
  void Rewind(size_t config_count, size_t member_count) {
    m_topics[0].resize(std::min(config_count, m_topics[0].size()));
    m_topics[1].resize(std::min(member_count, m_topics[1].size()));
    m_era = StoreEra(m_era.Get() + 1);
  }

  void Write(StoreTopic topic, std::string key, std::string value) {
    m_topics[static_cast<size_t>(topic)].emplace_back(std::move(key),
                                                      std::move(value));
  }
};

// Store access of one node; it can be cut off.
class FakeStore {
 public:
  FakeStore(asio::io_context& io, FakeLog& log) : m_io(io), m_log(log) {}

  void ReadNewest(StoreTopic topic, const StoreHandler& handler) {
    ++m_calls;
    asio::post(m_io, [this, topic, handler] {
      handler(m_is_cut ? StoreResult{.m_page = {}, .m_reason = "cut"}
                       : StoreResult{.m_page = PageFrom(topic, 0)});
    });
  }

  std::optional<StoreEra> Era() const { return m_log.m_era; }

  void Follow(StoreTopic topic,
              StorePosition from,
              Duration wait,
              const StoreHandler& handler) {
    ++m_calls;
    Poll(topic, from, std::chrono::steady_clock::now() + wait, handler,
         ++m_generations[static_cast<size_t>(topic)], {});
  }

  void StopReading(StoreTopic topic) {
    ++m_generations[static_cast<size_t>(topic)];
  }

  std::optional<TimePoint> LastReceivedAt(StoreTopic) const {
    return m_last_received_at;
  }

  void WriteMember(const std::string& key,
                   const std::string& value,
                   const std::function<void(bool, std::string)>& done) {
    ++m_calls;
    if (m_log.m_throws_on_write) {
      throw std::runtime_error("unexpected");
    }
    if (!m_is_cut) {
      m_log.Write(StoreTopic::kMembers, key, value);
    }
    asio::post(m_io, [this, done] { done(!m_is_cut, m_is_cut ? "cut" : ""); });
  }

  bool m_is_cut = false;
  int m_calls = 0;
  // Largest number of records that Follow() returns.
  size_t m_max_page_records = SIZE_MAX;
  // When a part of a response arrived that is not complete yet.
  std::optional<TimePoint> m_last_received_at;

 private:
  StorePage PageFrom(StoreTopic topic, uint64_t from) const {
    const auto& records = m_log.m_topics[static_cast<size_t>(topic)];
    const auto position = [this](uint64_t offset) {
      return MakeStorePosition(m_log.m_era, LogOffset(offset));
    };
    StorePage page{.m_records = {}, .m_next = position(records.size())};
    for (uint64_t i = from; i < records.size(); ++i) {
      page.m_records.push_back({.m_topic = topic,
                                .m_position = position(i),
                                .m_key = records[i].first,
                                .m_value = records[i].second});
    }
    return page;
  }

  void Poll(StoreTopic topic,
            StorePosition from,
            std::chrono::steady_clock::time_point end,
            const StoreHandler& handler,
            uint64_t generation,
            Duration delay) {
    auto timer = std::make_shared<asio::steady_timer>(m_io, delay);
    timer->async_wait([=, this](const asio::error_code&) {
      (void)timer;
      if (generation != m_generations[static_cast<size_t>(topic)]) {
        return;
      }
      if (m_is_cut) {
        handler({.m_page = {}, .m_reason = "cut"});
        return;
      }
      const uint64_t offset = OffsetOf(from).Get();
      if (offset > m_log.m_topics[static_cast<size_t>(topic)].size()) {
        handler({.m_page = {}, .m_reason = "gone", .m_is_compacted = true});
        return;
      }
      StorePage page = PageFrom(topic, offset);
      if (page.m_records.size() > m_max_page_records) {
        page.m_records.resize(m_max_page_records);
        page.m_next = NextPosition(page.m_records.back().m_position);
        page.m_has_more = true;
      }
      if (!page.m_records.empty() || std::chrono::steady_clock::now() > end) {
        handler({.m_page = std::move(page)});
        return;
      }
      Poll(topic, from, end, handler, generation,
           std::chrono::milliseconds(10));
    });
  }

  asio::io_context& m_io;
  FakeLog& m_log;
  uint64_t m_generations[2] = {0, 0};
};

static_assert(PlatformStore<FakeStore>);

// A backend server. By default it responds immediately with status 200 and the
// request's body.
class FakeInstance {
 public:
  FakeInstance(asio::io_context& io, const Endpoint& listen)
      : m_endpoint(listen),
        m_server(std::make_unique<StreamServer>(
            io,
            [this](const HttpRequest& request,
                   const StreamResponder& responder) {
              return OnRequest(request, responder);
            })) {
    m_server->Start(listen);
  }

  // Closes the listener, then all connections.
  void Crash() { m_server.reset(); }

  static HttpResponse BuildResponse(const HttpRequest& request) {
    return {.m_status = 200,
            .m_fields = {{"id", FakeCodec::FieldValue(request.m_fields, "id")},
                         {"seal", "1"}},
            .m_body = "answer to " + request.m_body};
  }

  std::function<CancelHook(const HttpRequest&, const StreamResponder&)>
      m_behavior = [](const HttpRequest& request,
                      const StreamResponder& responder) -> CancelHook {
    responder(BuildResponse(request));
    return {};
  };
  std::vector<HttpRequest> m_requests;
  Endpoint m_endpoint;

 private:
  CancelHook OnRequest(const HttpRequest& request,
                       const StreamResponder& responder) {
    m_requests.push_back(request);
    return m_behavior(request, responder);
  }

  std::unique_ptr<StreamServer> m_server;
};

// Reports that `count` instances crashed while they executed the request.
inline void ReportCrashes(SharedQuarantine& quarantine,
                          RequestFingerprint request,
                          uint32_t count) {
  const WallTime now = WallNow();
  for (uint32_t number = 1; number <= count; ++number) {
    quarantine.OnCrash({.m_node = NodeId(Endpoint{.m_ip = number, .m_port = 9}),
                        .m_instance_start_ms = number,
                        .m_at = now,
                        .m_running = {request}},
                       now);
  }
}

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MESH_TESTS_FAKE_PLATFORM_H_
