/// Stand-in for a backend server instance, with configurable gray failures.
///
/// Any request other than /health and /standin/ is work. It takes --latency_ms
/// and is counted by its X-Request-Id field when it starts. The response
/// repeats the request body, or is "data for TARGET" when that is empty. A
/// complete response has the field X-Complete.
///
/// GET  /health                          always 200, in every mode
/// POST /standin/mode?mode=M&share=S     sets the failure mode
/// POST /standin/drain, /standin/undrain  sets "draining" in announcements
/// POST /standin/exit                    exits immediately, without a response
/// GET  /standin/executions              {"total": N, "max_in_use": N,
///                                        "last_start_ms": T, "by_id": {...}}

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <restinio/all.hpp>

#include <algorithm>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <utility>

#include "behavior.h"
#include "sequoiastage/base/ids.h"
#include "sequoiastage/base/time.h"
#include "sequoiastage/http/http_client.h"

ABSL_FLAG(std::string, listen, "127.0.0.1:9001", "Address to listen on.");
ABSL_FLAG(std::string,
          announce,
          "",
          "Announce address of the node on this host.");
ABSL_FLAG(std::string, service, "echo", "Service this instance belongs to.");
ABSL_FLAG(int,
          slots,
          3,
          "Number of requests executed concurrently, as announced.");
ABSL_FLAG(int, latency_ms, 5, "Duration of a request, in milliseconds.");
ABSL_FLAG(int,
          cold_start_ms,
          0,
          "Time after the start when all is slow, in milliseconds.");
ABSL_FLAG(int, seed, 1, "Seed of the random choice of failing requests.");

namespace sequoiastage::standins {
namespace {

constexpr std::chrono::milliseconds kAnnounceInterval{1000};

using Handler = std::function<restinio::request_handling_status_t(
    restinio::request_handle_t)>;

struct ServerTraits : public restinio::default_single_thread_traits_t {
  using request_handler_t = Handler;
};

std::string GetField(const restinio::request_handle_t& request,
                     const char* name) {
  return request->header().get_field_or(name, "");
}

class BackendServer {
 public:
  BackendServer(asio::io_context& io, Endpoint listen)
      : m_io(io),
        m_listen(listen),
        m_client(io),
        m_announce_timer(io),
        m_server(restinio::external_io_context(io), MakeSettings()),
        m_random(static_cast<uint64_t>(absl::GetFlag(FLAGS_seed))),
        m_started(Now()) {}

  void Start() {
    m_server.open_sync();
    Announce();
  }

 private:
  restinio::server_settings_t<ServerTraits> MakeSettings() {
    restinio::server_settings_t<ServerTraits> settings;
    settings.address(IpToString(m_listen.m_ip))
        .port(m_listen.m_port)
        .handle_request_timeout(std::chrono::hours(1))
        .request_handler([this](const restinio::request_handle_t& request) {
          Handle(request);
          return restinio::request_accepted();
        });
    return settings;
  }

  void Handle(const restinio::request_handle_t& request) {
    const std::string path(request->header().path());
    if (path == "/health") {
      SendResponse(request, restinio::status_ok(), "healthy\n");
    } else if (path.rfind("/standin/", 0) == 0) {
      HandleControl(request, path);
    } else {
      HandleWork(request);
    }
  }

  void HandleControl(const restinio::request_handle_t& request,
                     const std::string& path) {
    if (path == "/standin/mode") {
      SetMode(request);
      return;
    }
    if (path == "/standin/drain" || path == "/standin/undrain") {
      m_is_draining = path == "/standin/drain";
      SendAnnouncement();
      SendResponse(request, restinio::status_ok(), "");
      return;
    }
    if (path == "/standin/exit") {
      std::_Exit(0);
    }
    const nlohmann::json executions = {{"total", m_total},
                                       {"max_in_use", m_max_in_use},
                                       {"last_start_ms", m_last_start_ms},
                                       {"by_id", m_by_id}};
    SendResponse(request, restinio::status_ok(), executions.dump());
  }

  void SetMode(const restinio::request_handle_t& request) {
    const auto query = restinio::parse_query(request->header().query());
    const auto mode = query.has("mode")
                          ? ParseMode(std::string_view(query["mode"].data(),
                                                       query["mode"].size()))
                          : std::nullopt;
    if (!mode) {
      SendResponse(request, restinio::status_bad_request(), "unknown mode\n");
      return;
    }
    m_behavior.m_mode = *mode;
    m_behavior.m_share =
        query.has("share") ? std::stod(std::string(query["share"])) : 1.0;
    SendResponse(request, restinio::status_ok(), "");
  }

  void HandleWork(const restinio::request_handle_t& request) {
    const bool fails =
        std::uniform_real_distribution<double>()(m_random) < m_behavior.m_share;
    const Mode mode = fails ? m_behavior.m_mode : Mode::kHealthy;
    if (mode == Mode::kShed) {
      request->create_response(restinio::status_service_unavailable())
          .append_header("Retry-After", "1")
          .done();
      return;
    }
    ++m_total;
    m_last_start_ms = WallNow().time_since_epoch().count();
    const std::string id = GetField(request, "X-Request-Id");
    if (!id.empty()) {
      ++m_by_id[id];
    }
    m_max_in_use = std::max(m_max_in_use, ++m_in_use);
    const auto timer = std::make_shared<asio::steady_timer>(m_io);
    timer->expires_after(mode == Mode::kHang ? std::chrono::hours(1)
                                             : CurrentLatency(mode));
    timer->async_wait([this, timer, request, mode](const asio::error_code&) {
      --m_in_use;
      Respond(request, mode);
    });
  }

  std::chrono::microseconds CurrentLatency(Mode mode) const {
    const bool is_cold =
        Now() - m_started <
        std::chrono::milliseconds(absl::GetFlag(FLAGS_cold_start_ms));
    const double factor =
        mode == Mode::kSlow || is_cold ? m_behavior.m_slow_factor : 1;
    return std::chrono::microseconds(static_cast<int64_t>(
        1000.0 * absl::GetFlag(FLAGS_latency_ms) * factor));
  }

  void Respond(const restinio::request_handle_t& request, Mode mode) {
    const std::string body =
        request->body().empty()
            ? "data for " + std::string(request->header().request_target())
            : request->body();
    switch (mode) {
      case Mode::kErrors:
        SendResponse(request, restinio::status_internal_server_error(),
                     "broken\n");
        return;
      case Mode::kTruncated:
        request->create_response<restinio::user_controlled_output_t>()
            .set_content_length(body.size() + 100)
            .set_body(body)
            .connection_close()
            .done();
        return;
      case Mode::kNoAnswer:
        request->create_response<restinio::user_controlled_output_t>()
            .set_content_length(1000)
            .connection_close()
            .done();
        return;
      case Mode::kEmpty:
        SendResponse(request, restinio::status_ok(), "");
        return;
      default:
        request->create_response()
            .append_header("X-Complete", "true")
            .append_header("X-Instance", ToString(m_listen))
            .append_header("X-Request-Id", GetField(request, "X-Request-Id"))
            .set_body(body)
            .done();
    }
  }

  static void SendResponse(const restinio::request_handle_t& request,
                           const restinio::http_status_line_t& status,
                           std::string body) {
    request->create_response(status).set_body(std::move(body)).done();
  }

  void Announce() {
    SendAnnouncement();
    m_announce_timer.expires_after(kAnnounceInterval);
    m_announce_timer.async_wait([this](const asio::error_code& error) {
      if (!error) {
        Announce();
      }
    });
  }

  void SendAnnouncement() {
    const auto node = ParseEndpoint(absl::GetFlag(FLAGS_announce));
    if (!node) {
      return;
    }
    const nlohmann::json body = {{"service", absl::GetFlag(FLAGS_service)},
                                 {"endpoint", ToString(m_listen)},
                                 {"incarnation", m_incarnation},
                                 {"slots", absl::GetFlag(FLAGS_slots)},
                                 {"draining", m_is_draining},
                                 {"health_path", "/health"}};
    m_client.Start(
        {.m_server = *node,
         .m_timeout = std::chrono::seconds(1),
         .m_is_idempotent = true},
        {.m_method = "POST", .m_target = "/v1/announce", .m_body = body.dump()},
        [](const HttpCallResult&) {});
  }

  asio::io_context& m_io;
  Endpoint m_listen;
  HttpClient m_client;
  asio::steady_timer m_announce_timer;
  restinio::http_server_t<ServerTraits> m_server;
  std::mt19937_64 m_random;
  TimePoint m_started;
  int64_t m_incarnation = WallNow().time_since_epoch().count();
  Behavior m_behavior;
  bool m_is_draining = false;
  int m_in_use = 0;
  int m_max_in_use = 0;
  uint64_t m_total = 0;
  int64_t m_last_start_ms = 0;
  std::map<std::string, int> m_by_id;
};

}  // namespace
}  // namespace sequoiastage::standins

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  absl::ParseCommandLine(argc, argv);
  const auto listen = sequoiastage::ParseEndpoint(absl::GetFlag(FLAGS_listen));
  if (!listen) {
    std::fputs("backend_server: --listen must be IP:PORT\n", stderr);
    return 2;
  }
  asio::io_context io;
  asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&io](const auto&, int) { io.stop(); });
  sequoiastage::standins::BackendServer server(io, *listen);
  server.Start();
  io.run();
  return 0;
}
