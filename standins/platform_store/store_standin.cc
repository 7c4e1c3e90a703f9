#include "store_standin.h"

#include <sodium.h>

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace sequoiastage {

namespace {

using Json = nlohmann::json;

constexpr std::string_view kKeyedPrefix = "keyed.";
constexpr size_t kLengthBytes = 4;
constexpr size_t kMaxRecordBytes = 262144;
constexpr size_t kMaxNewestItems = 500;

HttpResponse JsonResponse(uint16_t status, const Json& body) {
  return {.m_status = status,
          .m_fields = {{"Content-Type", "application/json"}},
          .m_body = body.dump()};
}

// Decodes %XX; anything else stands for itself.
std::string DecodePercent(std::string_view text) {
  std::string decoded;
  for (size_t i = 0; i < text.size(); ++i) {
    uint8_t byte = 0;
    if (text[i] == '%' && i + 2 < text.size() &&
        std::from_chars(&text[i + 1], &text[i + 3], byte, 16).ptr ==
            &text[i + 3]) {
      decoded += static_cast<char>(byte);
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

std::string QueryParameter(const HttpRequest& request, std::string_view name) {
  const std::string& target = request.m_target;
  size_t at = target.find('?');
  while (at != std::string::npos) {
    const size_t begin = at + 1;
    at = target.find('&', begin);
    const std::string_view parameter =
        std::string_view(target).substr(begin, at - begin);
    if (parameter.size() > name.size() && parameter.starts_with(name) &&
        parameter[name.size()] == '=') {
      return DecodePercent(parameter.substr(name.size() + 1));
    }
  }
  return {};
}

std::optional<uint64_t> QueryNumber(const HttpRequest& request,
                                    std::string_view name) {
  const std::string text = QueryParameter(request, name);
  uint64_t number = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (text.empty() || error != std::errc()) {
    return std::nullopt;
  }
  return number;
}

void AppendBigEndian(std::string& bytes, uint64_t number, int width) {
  for (int shift = 8 * (width - 1); shift >= 0; shift -= 8) {
    bytes += static_cast<char>(number >> shift);
  }
}

// Splits the body of an append into its records, each after its length as four
// big-endian bytes. Empty when the body is malformed.
std::optional<std::vector<std::string>> SplitRecords(std::string_view body) {
  std::vector<std::string> records;
  while (!body.empty()) {
    if (body.size() < kLengthBytes) {
      return std::nullopt;
    }
    size_t length = 0;
    for (size_t i = 0; i < kLengthBytes; ++i) {
      length = length << 8 | static_cast<uint8_t>(body[i]);
    }
    body.remove_prefix(kLengthBytes);
    if (length > body.size() || length > kMaxRecordBytes) {
      return std::nullopt;
    }
    records.emplace_back(body.substr(0, length));
    body.remove_prefix(length);
  }
  return records;
}

std::string Base64(const std::string& bytes) {
  std::string text(
      sodium_base64_ENCODED_LEN(bytes.size(), sodium_base64_VARIANT_ORIGINAL),
      '\0');
  sodium_bin2base64(text.data(), text.size(),
                    reinterpret_cast<const unsigned char*>(bytes.data()),
                    bytes.size(), sodium_base64_VARIANT_ORIGINAL);
  text.pop_back();  // Remove the terminating null character.
  return text;
}

}  // namespace

StoreStandin::StoreStandin(asio::io_context& io)
    : m_io(io),
      m_server(
          io,
          [this](const HttpRequest& request, const StreamResponder& responder) {
            return OnRequest(request, responder);
          }) {}

bool StoreStandin::Start(const Endpoint& listen) {
  return m_server.Start(listen);
}

CancelHook StoreStandin::OnRequest(const HttpRequest& request,
                                   const StreamResponder& responder) {
  const std::string_view path = ExtractPath(request.m_target);
  if (path == "/faults") {
    responder(SetFaults(request));
    return {};
  }
  if (path == "/copy" || path == "/restore") {
    path == "/copy" ? TakeCopy() : RestoreCopy();
    responder({.m_status = 200});
    return {};
  }
  ++m_calls;
  if (m_faults.m_is_silent) {
    return {};
  }
  if (m_faults.m_is_unavailable) {
    SendAfterDelay(responder, {.m_status = 503});
    return {};
  }
  if (path == "/v1/log-read") {
    return HandleRead(request, responder);
  }
  if (path == "/v1/log-append") {
    HttpResponse response = HandleAppend(request);
    if (m_faults.m_lose_responses > 0) {
      --m_faults.m_lose_responses;
      return {};
    }
    SendAfterDelay(responder, std::move(response));
  } else if (path == "/v1/log-newest") {
    SendAfterDelay(responder, HandleNewest(request));
  } else if (path == "/v1/log-trim") {
    SendAfterDelay(responder, HandleTrim(request));
  } else {
    SendAfterDelay(responder, {.m_status = 404});
  }
  return {};
}

void StoreStandin::RestoreCopy() {
  m_topics = m_copy;
  ++m_era;
  for (const ReaderPtr& reader : std::exchange(m_readers, {})) {
    reader->m_timer->cancel();
    SendAfterDelay(reader->m_responder, {.m_status = 503});
  }
}

HttpResponse StoreStandin::HandleAppend(const HttpRequest& request) {
  const std::string name = QueryParameter(request, "topic");
  auto records = SplitRecords(request.m_body);
  if (name.empty() || !records) {
    return {.m_status = 400};
  }
  Topic& topic = m_topics[name];
  const auto expected_end = QueryNumber(request, "asOf");
  if (expected_end && *expected_end != topic.EndOffset()) {
    return JsonResponse(412, {{"endOffset", topic.EndOffset()}});
  }
  const uint64_t offset = topic.EndOffset();
  for (std::string& record : *records) {
    AppendRecord(name, std::move(record));
  }
  return JsonResponse(200,
                      {{"offset", offset}, {"endOffset", topic.EndOffset()}});
}

void StoreStandin::AppendRecord(const std::string& name, std::string record) {
  Topic& topic = m_topics[name];
  const uint64_t offset = topic.EndOffset();
  if (name.starts_with(kKeyedPrefix) && !record.empty()) {
    const size_t size = static_cast<uint8_t>(record.front());
    if (record.size() >= 1 + size) {
      const std::string key = record.substr(1, size);
      if (record.size() == 1 + size) {
        topic.m_newest.erase(key);
      } else {
        topic.m_newest[key] = {.m_value = record.substr(1 + size),
                               .m_offset = offset};
      }
    }
  }
  topic.m_records.push_back(std::move(record));
  Trim(topic);
  WakeReaders(name);
}

void StoreStandin::WriteKeyed(const std::string& topic,
                              const std::string& key,
                              const std::string& value) {
  std::string record(1, static_cast<char>(key.size()));
  AppendRecord(topic, record + key + value);
}

void StoreStandin::Trim(Topic& topic) {
  while (topic.m_records.size() > m_faults.m_history) {
    topic.m_records.pop_front();
    ++topic.m_first_offset;
  }
}

HttpResponse StoreStandin::ReadFrom(const std::string& name, uint64_t from) {
  const Topic& topic = m_topics[name];
  if (from < topic.m_first_offset || from > topic.EndOffset()) {
    return JsonResponse(410, {{"firstOffset", topic.m_first_offset}});
  }
  std::string body;
  AppendBigEndian(body, topic.EndOffset(), 8);
  AppendBigEndian(body, topic.m_first_offset, 8);
  for (uint64_t offset = from; offset < topic.EndOffset(); ++offset) {
    const std::string& record = topic.m_records[offset - topic.m_first_offset];
    AppendBigEndian(body, record.size(), kLengthBytes);
    body += record;
  }
  return {.m_status = 200, .m_body = std::move(body)};
}

CancelHook StoreStandin::HandleRead(const HttpRequest& request,
                                    const StreamResponder& responder) {
  const std::string name = QueryParameter(request, "topic");
  const uint64_t from = QueryNumber(request, "from").value_or(0);
  const auto wait = QueryNumber(request, "waitMs").value_or(0);
  if (wait == 0 || m_topics[name].EndOffset() != from) {
    SendAfterDelay(responder, ReadFrom(name, from));
    return {};
  }
  auto reader = std::make_shared<Reader>(
      Reader{.m_topic = name,
             .m_from = from,
             .m_responder = responder,
             .m_timer = std::make_shared<asio::steady_timer>(
                 m_io, std::chrono::milliseconds(wait))});
  m_readers.push_back(reader);
  reader->m_timer->async_wait([this, reader](const asio::error_code& error) {
    if (!error) {
      m_readers.remove(reader);
      SendAfterDelay(reader->m_responder,
                     ReadFrom(reader->m_topic, reader->m_from));
    }
  });
  return [this, reader] {
    reader->m_timer->cancel();
    m_readers.remove(reader);
  };
}

void StoreStandin::WakeReaders(const std::string& topic) {
  std::vector<ReaderPtr> woken;
  std::copy_if(
      m_readers.begin(), m_readers.end(), std::back_inserter(woken),
      [&topic](const ReaderPtr& reader) { return reader->m_topic == topic; });
  for (const ReaderPtr& reader : woken) {
    reader->m_timer->cancel();
    m_readers.remove(reader);
    SendAfterDelay(reader->m_responder, ReadFrom(topic, reader->m_from));
  }
}

HttpResponse StoreStandin::HandleNewest(const HttpRequest& request) {
  const Topic& topic = m_topics[QueryParameter(request, "topic")];
  const std::string after = QueryParameter(request, "after");
  Json items = Json::array();
  auto it = after.empty() ? topic.m_newest.begin()
                          : topic.m_newest.upper_bound(after);
  for (; it != topic.m_newest.end() && items.size() < kMaxNewestItems; ++it) {
    items.push_back({{"key", it->first},
                     {"value", Base64(it->second.m_value)},
                     {"offset", it->second.m_offset}});
  }
  return JsonResponse(200, {{"items", std::move(items)},
                            {"hasMore", it != topic.m_newest.end()},
                            {"endOffset", topic.EndOffset()}});
}

HttpResponse StoreStandin::HandleTrim(const HttpRequest& request) {
  Topic& topic = m_topics[QueryParameter(request, "topic")];
  const uint64_t before = QueryNumber(request, "before").value_or(0);
  while (topic.m_first_offset < before && !topic.m_records.empty()) {
    topic.m_records.pop_front();
    ++topic.m_first_offset;
  }
  return JsonResponse(200, {{"firstOffset", topic.m_first_offset}});
}

HttpResponse StoreStandin::SetFaults(const HttpRequest& request) {
  const auto json = Json::parse(request.m_body, nullptr, false);
  if (!json.is_object()) {
    return {.m_status = 400};
  }
  m_faults.m_is_unavailable = json.value("outage", m_faults.m_is_unavailable);
  m_faults.m_is_silent = json.value("silent", m_faults.m_is_silent);
  m_faults.m_lose_responses =
      json.value("lose_answers", m_faults.m_lose_responses);
  m_faults.m_history = json.value("history", m_faults.m_history);
  m_faults.m_delay =
      std::chrono::milliseconds(json.value("delay_ms", int64_t{0}));
  for (auto& [name, topic] : m_topics) {
    Trim(topic);
  }
  return {.m_status = 200};
}

void StoreStandin::SendAfterDelay(const StreamResponder& responder,
                                  HttpResponse response) {
  response.m_fields.push_back({"Store-Era", std::to_string(m_era)});
  if (m_faults.m_delay == Duration::zero()) {
    responder(std::move(response));
    return;
  }
  const auto timer =
      std::make_shared<asio::steady_timer>(m_io, m_faults.m_delay);
  timer->async_wait([timer, responder, response = std::move(response)](
                        const asio::error_code&) { responder(response); });
}

}  // namespace sequoiastage
