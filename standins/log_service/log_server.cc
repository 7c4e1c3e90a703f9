#include "log_server.h"

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <charconv>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <utility>

#include "sequoiastage/base/findings.h"
#include "sequoiastage/checkedjson/json_reader.h"

namespace sequoiastage {

namespace {

using Json = nlohmann::json;

constexpr uint64_t kMaxPageRecords = 1'000;

HttpResponse JsonResponse(const Json& body) {
  return {.m_status = 200,
          .m_fields = {{"Content-Type", "application/json"}},
          .m_body = body.dump()};
}

HttpResponse TextResponse(uint16_t status, std::string text) {
  return {.m_status = status,
          .m_fields = {{"Content-Type", "text/plain"}},
          .m_body = std::move(text)};
}

// Number after "NAME=" in the query of `target`, or `fallback` without one.
uint64_t QueryNumber(std::string_view target,
                     std::string_view name,
                     uint64_t fallback) {
  const size_t query = target.find('?');
  if (query == std::string_view::npos) {
    return fallback;
  }
  const std::string key = std::string(name) + "=";
  const size_t found = target.find(key, query);
  if (found == std::string_view::npos) {
    return fallback;
  }
  const std::string_view text = target.substr(found + key.size());
  uint64_t number = fallback;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

}  // namespace

LogServer::LogServer(asio::io_context& io, uint64_t retention) : m_io(io) {
  m_store.m_retention = retention;
}

void LogServer::OnRequest(const HttpRequest& request, HttpResponder responder) {
  const std::string_view path = ExtractPath(request.m_target);
  if (path == "/faults" && request.m_method == "PUT") {
    responder.Send(SetFaults(request));
  } else if (path == "/stats" && request.m_method == "GET") {
    responder.Send(Stats());
  } else if (path != "/records") {
    responder.Send(TextResponse(404, "no such resource\n"));
  } else if (m_faults.m_is_unavailable) {
    SendAfterDelay(std::move(responder), TextResponse(503, "outage\n"));
  } else if (request.m_method == "POST") {
    HandleAppend(request, std::move(responder));
  } else if (request.m_method == "GET") {
    HandleRead(request, std::move(responder));
  } else {
    responder.Send(TextResponse(405, "not allowed\n"));
  }
}

void LogServer::HandleAppend(const HttpRequest& request,
                             HttpResponder responder) {
  Findings findings;
  const auto document =
      JsonDocument::Parse("request", request.m_body, findings);
  std::string record;
  if (document) {
    JsonObject body = JsonObject::Root(*document, findings);
    body.ReadString("record", record, Presence::kRequired);
  }
  if (!findings.IsEmpty()) {
    responder.Send(TextResponse(400, findings.ToText()));
    return;
  }
  const uint64_t offset = m_store.Append(std::move(record));
  if (m_faults.m_lose_responses > 0) {
    --m_faults.m_lose_responses;
    m_unanswered.push_back(std::move(responder));
    return;
  }
  SendAfterDelay(std::move(responder), JsonResponse({{"offset", offset}}));
}

void LogServer::HandleRead(const HttpRequest& request,
                           HttpResponder responder) {
  const uint64_t from = std::max(QueryNumber(request.m_target, "from", 0),
                                 m_store.m_first_offset);
  const uint64_t max = std::min(
      QueryNumber(request.m_target, "max", kMaxPageRecords), kMaxPageRecords);
  Json records = Json::array();
  for (uint64_t offset = from;
       offset < m_store.EndOffset() && records.size() < max; ++offset) {
    records.push_back(
        {{"offset", offset},
         {"record", m_store.m_records[offset - m_store.m_first_offset]}});
  }
  SendAfterDelay(std::move(responder),
                 JsonResponse({{"first", m_store.m_first_offset},
                               {"end", m_store.EndOffset()},
                               {"records", std::move(records)}}));
}

HttpResponse LogServer::SetFaults(const HttpRequest& request) {
  Findings findings;
  const auto document =
      JsonDocument::Parse("request", request.m_body, findings);
  if (document) {
    JsonObject body = JsonObject::Root(*document, findings);
    body.ReadBool("outage", m_faults.m_is_unavailable);
    body.ReadInteger<uint32_t>("lose_answers", m_faults.m_lose_responses);
    body.ReadDuration("delay", m_faults.m_delay);
    body.ReadInteger<uint64_t>("retention", m_store.m_retention);
    body.ReportUnknownKeys();
  }
  if (!findings.IsEmpty()) {
    return TextResponse(400, findings.ToText());
  }
  m_store.Trim();
  return Stats();
}

HttpResponse LogServer::Stats() const {
  return JsonResponse({{"first", m_store.m_first_offset},
                       {"end", m_store.EndOffset()},
                       {"lost_answers", m_unanswered.size()}});
}

void LogServer::SendAfterDelay(HttpResponder responder, HttpResponse response) {
  if (m_faults.m_delay == Duration::zero()) {
    responder.Send(std::move(response));
    return;
  }
  const auto timer = std::make_shared<asio::steady_timer>(m_io);
  const auto pending = std::make_shared<HttpResponder>(std::move(responder));
  timer->expires_after(m_faults.m_delay);
  timer->async_wait([timer, pending, response = std::move(response)](
                        const asio::error_code&) { pending->Send(response); });
}

}  // namespace sequoiastage
