#include "load_generator.h"

#include <charconv>
#include <memory>
#include <utility>

namespace sequoiastage::bench {

namespace {

constexpr const char* kOutcomeField = "Sequoiastage-Outcome";
constexpr const char* kKeyField = "Idempotency-Key";
constexpr const char* kRequestIdField = "X-Request-Id";
constexpr uint16_t kStatusOk = 200;
constexpr uint16_t kStatusKeyRequired = 428;
// Added to the deadline of a request to get the timeout of the client.
constexpr std::chrono::seconds kTimeoutMargin{2};

}  // namespace

LoadGenerator::LoadGenerator(asio::io_context& io, LoadOptions options)
    : m_options(std::move(options)),
      m_client(io),
      m_timer(io),
      m_io(io),
      m_random(m_options.m_seed) {}

void LoadGenerator::Start() {
  m_next = Now();
  m_end = m_next + m_options.m_duration;
  ScheduleNext();
}

void LoadGenerator::ScheduleNext() {
  std::exponential_distribution<double> gap(m_options.m_rate);
  m_next += Duration(static_cast<int64_t>(1e6 * gap(m_random)));
  if (m_next > m_end) {
    return;
  }
  m_timer.expires_at(m_next);
  m_timer.async_wait([this](const asio::error_code& error) {
    if (!error) {
      StartCall();
      ScheduleNext();
    }
  });
}

void LoadGenerator::StartCall() {
  ++m_report.m_requests;
  Call call;
  call.m_id =
      std::to_string(m_options.m_seed) + "-" + std::to_string(++m_last_id);
  const bool is_write = std::uniform_real_distribution<double>()(m_random) <
                        m_options.m_write_share;
  call.m_is_idempotent = !is_write;
  call.m_started = Now();
  call.m_target = m_last_id % m_options.m_targets.size();
  call.m_request = {
      .m_method = is_write ? "POST" : "GET",
      .m_target = is_write ? m_options.m_write_path
                           : m_options.m_read_path + "/" + call.m_id,
      .m_fields = {{"Host", m_options.m_host},
                   {kRequestIdField, call.m_id},
                   {"Sequoiastage-Deadline-Ms",
                    std::to_string(m_options.m_deadline.count())}},
      .m_body = is_write ? "filing " + call.m_id : ""};
  Send(std::move(call));
}

void LoadGenerator::Send(Call call) {
  const HttpCallOptions options{
      .m_server = m_options.m_targets[call.m_target],
      .m_timeout = m_options.m_deadline + kTimeoutMargin,
      .m_is_idempotent = call.m_is_idempotent};
  HttpRequest request = call.m_request;
  m_client.Start(options, std::move(request),
                 [this, call = std::move(call)](const HttpCallResult& result) {
                   HandleResult(call, result);
                 });
}

void LoadGenerator::HandleResult(Call call, const HttpCallResult& result) {
  if (result.m_error != HttpCallError::kNone) {
    ++m_report.m_transport_failures;
    return;
  }
  const HttpResponse& response = result.m_response;
  if (ResendIfNeeded(call, response)) {
    return;
  }
  Record(call, response);
}

// Resends the request with the issued idempotency key, or retries it at the
// next node if it was not executed.
bool LoadGenerator::ResendIfNeeded(Call& call, const HttpResponse& response) {
  const std::string* key = FindField(response.m_fields, kKeyField);
  if (response.m_status == kStatusKeyRequired && key != nullptr &&
      FindField(call.m_request.m_fields, kKeyField) == nullptr) {
    call.m_request.m_fields.push_back({kKeyField, *key});
    Send(std::move(call));
    return true;
  }
  const std::string* outcome = FindField(response.m_fields, kOutcomeField);
  if (outcome == nullptr || *outcome != "not-run" ||
      call.m_retries >= m_options.m_max_retries) {
    return false;
  }
  ++call.m_retries;
  call.m_target = (call.m_target + 1) % m_options.m_targets.size();
  const auto timer = std::make_shared<asio::steady_timer>(m_io);
  timer->expires_after(std::chrono::milliseconds(20));
  timer->async_wait([this, timer, call = std::move(call)](
                        const asio::error_code&) { Send(call); });
  return true;
}

void LoadGenerator::Record(const Call& call, const HttpResponse& response) {
  const std::string* outcome = FindField(response.m_fields, kOutcomeField);
  ++m_report.m_outcomes[outcome == nullptr ? "none" : *outcome];
  ++m_report.m_statuses[response.m_status];
  if (response.m_status != kStatusOk) {
    return;
  }
  m_report.m_latencies.push_back(Now() - call.m_started);
  const std::string expected = call.m_request.m_body.empty()
                                   ? "data for " + call.m_request.m_target
                                   : call.m_request.m_body;
  const std::string* id = FindField(response.m_fields, kRequestIdField);
  if (response.m_body != expected || id == nullptr || *id != call.m_id) {
    ++m_report.m_mismatched;
  }
}

}  // namespace sequoiastage::bench
