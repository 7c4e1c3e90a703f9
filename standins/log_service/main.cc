#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <csignal>
#include <string>

#include "log_server.h"
#include "sequoiastage/base/ids.h"
#include "sequoiastage/logging/log_event.h"

ABSL_FLAG(std::string,
          listen,
          "127.0.0.1:9000",
          "address and port to listen on");
ABSL_FLAG(uint64_t, retention, 100'000, "number of newest records retained");

namespace {

constexpr int kExitUsage = 2;

}  // namespace

int main(int argc, char** argv) {
  using sequoiastage::LogEvent;
  using sequoiastage::LogLevel;
  absl::SetProgramUsageMessage(
      "Stand-in for the platform's append-only log service, in memory.");
  absl::ParseCommandLine(argc, argv);
  sequoiastage::InitLogging(LogLevel::kInfo);
  const auto listen = sequoiastage::ParseEndpoint(absl::GetFlag(FLAGS_listen));
  if (!listen) {
    LogEvent(LogLevel::kError, "bad_flag").Add("flag", "listen");
    return kExitUsage;
  }
  asio::io_context io;
  sequoiastage::LogServer log(io, absl::GetFlag(FLAGS_retention));
  sequoiastage::HttpServer server(
      io, {.m_listen = *listen},
      [&log](const sequoiastage::HttpRequest& request,
             sequoiastage::HttpResponder responder) {
        log.OnRequest(request, std::move(responder));
      });
  if (!server.Start()) {
    LogEvent(LogLevel::kError, "listen_failed")
        .Add("reason", server.LastReason());
    return 1;
  }
  asio::signal_set signals(io, SIGINT, SIGTERM);
  signals.async_wait([&io](const asio::error_code&, int) { io.stop(); });
  LogEvent(LogLevel::kInfo, "log_service_ready")
      .Add("listen", sequoiastage::ToString(*listen));
  io.run();
  return 0;
}
