#ifndef SEQUOIASTAGE_LOGCLIENT_LOG_CLIENT_H_
#define SEQUOIASTAGE_LOGCLIENT_LOG_CLIENT_H_

#include <concepts>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "sequoiastage/base/http_message.h"
#include "sequoiastage/base/ids.h"
#include "sequoiastage/base/time.h"
#include "sequoiastage/http/http_client.h"

/// Client of the platform's append-only log service, JSON over HTTP:
///
///   POST /records {"record": TEXT}
///     200 {"offset": N}                    appended at offset N
///     4xx                                  not appended
///     anything else, or no response        may have been appended
///   GET /records?from=N&max=M
///     200 {"first": F, "end": E, "records": [{"offset": N, "record": TEXT}]}
///
/// F is the first retained offset, E the offset of the next append. The records
/// are those from max(N, F) on, at most M, in order of offset.
namespace sequoiastage {

struct LogClientOptions {
  Endpoint m_service;
  /// Timeout of one call, connect included.
  Duration m_timeout = std::chrono::seconds(2);
  Duration m_connect_timeout = std::chrono::seconds(1);
};

struct LogRecord {
  LogOffset m_offset;
  std::string m_text;

  friend bool operator==(const LogRecord&, const LogRecord&) = default;
};

enum class AppendOutcome : uint8_t {
  kAppended,
  /// The record may be in the log or may be appended later. Read the log, or
  /// append it again where a duplicate is harmless.
  kAmbiguous,
  /// The record was not appended.
  kFailed,
};

struct AppendResult {
  AppendOutcome m_outcome = AppendOutcome::kAmbiguous;
  /// Set for kAppended.
  LogOffset m_offset{};
  /// Error text; empty for kAppended.
  std::string m_reason{};
};

struct LogPage {
  std::vector<LogRecord> m_records;
  /// Records before this offset have been removed.
  LogOffset m_first_retained;
  /// Offset of the next append.
  LogOffset m_end;
};

/// Performs one HTTP call and returns its result.
template <class T>
concept LogTransport = requires(T transport,
                                const HttpCallOptions& options,
                                HttpRequest request) {
  {
    transport.Call(options, std::move(request))
    } -> std::same_as<HttpCallResult>;
};

/// Performs blocking calls over its own HttpClient. Not thread-safe.
class BlockingTransport {
 public:
  BlockingTransport();
  BlockingTransport(BlockingTransport&&) noexcept;
  BlockingTransport& operator=(BlockingTransport&&) noexcept;
  ~BlockingTransport();

  HttpCallResult Call(const HttpCallOptions& options, HttpRequest request);

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

/// The protocol without its transport. Empty when `record` is not valid UTF-8.
std::optional<HttpRequest> MakeAppendRequest(std::string_view record);
AppendResult ToAppendResult(const HttpCallResult& call);
HttpRequest MakeReadRequest(LogOffset from, uint32_t max);
/// Empty, with `reason` set, when the call failed or its response is invalid.
std::optional<LogPage> ToLogPage(const HttpCallResult& call,
                                 LogOffset from,
                                 std::string* reason);

/// Client of the log service. Not thread-safe; calls block until a response or
/// the timeout.
template <LogTransport Transport>
class BasicLogClient {
 public:
  explicit BasicLogClient(LogClientOptions options, Transport transport = {})
      : m_options(options), m_transport(std::move(transport)) {}

  /// Appends one record of UTF-8 text. Never sends the record twice; kFailed if
  /// it is not valid UTF-8.
  AppendResult Append(std::string_view record) {
    auto request = MakeAppendRequest(record);
    if (!request) {
      return {.m_outcome = AppendOutcome::kFailed,
              .m_reason = "record is no UTF-8 text"};
    }
    return ToAppendResult(
        m_transport.Call(CallOptions(false), *std::move(request)));
  }

  /// Reads at most `max` records from offset `from` on. Empty, with
  /// LastReason() set, on failure.
  std::optional<LogPage> Read(LogOffset from, uint32_t max) {
    const HttpCallResult call =
        m_transport.Call(CallOptions(true), MakeReadRequest(from, max));
    return ToLogPage(call, from, &m_last_reason);
  }

  const std::string& LastReason() const { return m_last_reason; }

 private:
  HttpCallOptions CallOptions(bool is_idempotent) const {
    return {.m_server = m_options.m_service,
            .m_timeout = m_options.m_timeout,
            .m_connect_timeout = m_options.m_connect_timeout,
            .m_is_idempotent = is_idempotent};
  }

  LogClientOptions m_options;
  Transport m_transport;
  std::string m_last_reason;
};

using LogClient = BasicLogClient<BlockingTransport>;

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_LOGCLIENT_LOG_CLIENT_H_
