#include "config_feed_p.h"

#include <utility>

#include "sequoiastage/config/config_parse.h"
#include "sequoiastage/logging/log_event.h"

namespace sequoiastage {

namespace {

constexpr std::chrono::milliseconds kPollInterval{500};
constexpr std::chrono::seconds kReadTimeout{2};
constexpr uint32_t kPageRecords = 256;

}  // namespace

ConfigFeed::ConfigFeed(asio::io_context& io,
                       Options options,
                       std::function<void()> on_change)
    : m_options(std::move(options)),
      m_on_change(std::move(on_change)),
      m_client(io),
      m_timer(io) {}

void ConfigFeed::Start() {
  Poll();
}

void ConfigFeed::Stop() {
  m_timer.cancel();
}

bool ConfigFeed::IsEjected(InstanceId /*instance*/,
                           Incarnation /*incarnation*/) const {
  return false;
}

void ConfigFeed::Poll() {
  m_client.Start({.m_server = m_options.m_log,
                  .m_timeout = kReadTimeout,
                  .m_is_repeatable = true},
                 MakeReadRequest(m_next, kPageRecords),
                 [this](const HttpCallResult& result) { OnPage(result); });
}

void ConfigFeed::ArmPoll() {
  m_timer.expires_after(kPollInterval);
  m_timer.async_wait([this](const asio::error_code& error) {
    if (!error) {
      Poll();
    }
  });
}

void ConfigFeed::OnPage(const HttpCallResult& result) {
  std::string reason;
  const auto page = ToLogPage(result, m_next, &reason);
  if (m_is_log_down != !page) {
    m_is_log_down = !page;
    LogEvent(page ? LogLevel::kInfo : LogLevel::kWarn,
             page ? "log_reachable" : "log_unreachable")
        .Add("reason", reason);
  }
  if (page) {
    for (const LogRecord& record : page->m_records) {
      Apply(record);
      m_next = LogOffset(record.m_offset.Get() + 1);
    }
  }
  ArmPoll();
}

void ConfigFeed::Apply(const LogRecord& record) {
  Findings findings;
  const auto fleet = ParseFleetConfig(
      {.m_source = "log", .m_text = record.m_text}, {}, findings);
  const Config* config = fleet ? fleet->FindSite(m_options.m_site) : nullptr;
  if (config == nullptr) {
    LogEvent(LogLevel::kWarn, "config_record_ignored")
        .Add("offset", static_cast<int64_t>(record.m_offset.Get()))
        .Add("findings", findings.ToText());
    return;
  }
  m_version = record.m_offset;
  m_config = std::make_shared<const Config>(*config);
  m_routes = std::make_shared<const RouteTable>(config->m_routes);
  m_on_change();
}

}  // namespace sequoiastage
