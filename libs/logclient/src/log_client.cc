#include "sequoiastage/logclient/log_client.h"

#include <nlohmann/json.hpp>

#include "sequoiastage/base/findings.h"
#include "sequoiastage/checkedjson/json_reader.h"

namespace sequoiastage {

namespace {

constexpr uint16_t kOk = 200;
constexpr char kResponseSource[] = "log service answer";

std::string DescribeFailure(const HttpCallResult& call) {
  if (call.m_error != HttpCallError::kNone) {
    return "log service: " + call.m_reason;
  }
  return "log service: HTTP status " + std::to_string(call.m_response.m_status);
}

bool IsOk(const HttpCallResult& call) {
  return call.m_error == HttpCallError::kNone &&
         call.m_response.m_status == kOk;
}

bool IsRefused(const HttpCallResult& call) {
  const uint16_t status = call.m_response.m_status;
  return call.m_error == HttpCallError::kConnectFailed ||
         (call.m_error == HttpCallError::kNone && status >= 400 &&
          status < 500);
}

bool ReadOffset(JsonObject& object, std::string_view key, LogOffset& offset) {
  uint64_t number = 0;
  if (!object.ReadInteger<uint64_t>(key, number, {.m_min = 0},
                                    Presence::kRequired)) {
    return false;
  }
  offset = LogOffset(number);
  return true;
}

void ReadRecords(JsonObject& response, LogPage& page) {
  for (const JsonValue& element :
       response.ReadArray("records", Presence::kRequired)) {
    auto object = element.AsObject();
    LogRecord record;
    if (object && ReadOffset(*object, "offset", record.m_offset) &&
        object->ReadText("record", record.m_text, Presence::kRequired)) {
      page.m_records.push_back(std::move(record));
    }
  }
}

// Records are applied in page order, so a gap or a wrong order is an error.
void CheckOrder(const LogPage& page, LogOffset from, JsonObject& response) {
  uint64_t next = std::max(from.Get(), page.m_first_retained.Get());
  for (const LogRecord& record : page.m_records) {
    const uint64_t offset = record.m_offset.Get();
    if (offset != next || offset >= page.m_end.Get()) {
      response.ReportAt("records", "has offset " + std::to_string(offset) +
                                       " in place of " + std::to_string(next));
      return;
    }
    ++next;
  }
}

}  // namespace

std::optional<HttpRequest> MakeAppendRequest(std::string_view record) {
  const nlohmann::json body = {{"record", record}};
  try {
    return HttpRequest{
        .m_method = "POST", .m_target = "/records", .m_body = body.dump()};
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

AppendResult ToAppendResult(const HttpCallResult& call) {
  if (!IsOk(call)) {
    return {.m_outcome = IsRefused(call) ? AppendOutcome::kFailed
                                         : AppendOutcome::kAmbiguous,
            .m_reason = DescribeFailure(call)};
  }
  Findings findings;
  const auto document =
      JsonDocument::Parse(kResponseSource, call.m_response.m_body, findings);
  AppendResult result{.m_outcome = AppendOutcome::kAppended};
  if (document) {
    JsonObject response = JsonObject::Root(*document, findings);
    ReadOffset(response, "offset", result.m_offset);
  }
  if (!findings.IsEmpty()) {
    return {.m_outcome = AppendOutcome::kAmbiguous,
            .m_reason = findings.ToText()};
  }
  return result;
}

HttpRequest MakeReadRequest(LogOffset from, uint32_t max) {
  return {.m_method = "GET",
          .m_target = "/records?from=" + std::to_string(from.Get()) +
                      "&max=" + std::to_string(max)};
}

std::optional<LogPage> ToLogPage(const HttpCallResult& call,
                                 LogOffset from,
                                 std::string* reason) {
  if (!IsOk(call)) {
    *reason = DescribeFailure(call);
    return std::nullopt;
  }
  Findings findings;
  const auto document =
      JsonDocument::Parse(kResponseSource, call.m_response.m_body, findings);
  LogPage page;
  if (document) {
    JsonObject response = JsonObject::Root(*document, findings);
    ReadOffset(response, "first", page.m_first_retained);
    ReadOffset(response, "end", page.m_end);
    ReadRecords(response, page);
    CheckOrder(page, from, response);
  }
  if (!findings.IsEmpty()) {
    *reason = findings.ToText();
    return std::nullopt;
  }
  return page;
}

}  // namespace sequoiastage
