#ifndef SEQUOIASTAGE_STANDINS_LOG_SERVICE_LOG_SERVER_H_
#define SEQUOIASTAGE_STANDINS_LOG_SERVICE_LOG_SERVER_H_

#include <asio/io_context.hpp>
#include <cstdint>
#include <list>

#include "log_store.h"
#include "sequoiastage/base/http_message.h"
#include "sequoiastage/base/time.h"
#include "sequoiastage/http/http_server.h"

namespace sequoiastage {

/// Faults of the log service, set by PUT /faults with any of these members:
///
///   {"outage": true, "lose_answers": 2, "delay": "300ms", "retention": 50}
struct LogFaults {
  /// Every record request fails with 503 and has no effect.
  bool m_is_unavailable = false;
  /// Number of coming appends that take effect but get no response.
  uint32_t m_lose_responses = 0;
  /// Delay of the responses to record requests.
  Duration m_delay{};
};

/// Stand-in for the platform's append-only log service: the HTTP interface of
/// logclient/log_client.h, PUT /faults, and GET /stats.
class LogServer {
 public:
  explicit LogServer(asio::io_context& io, uint64_t retention);

  void OnRequest(const HttpRequest& request, HttpResponder responder);

 private:
  void HandleAppend(const HttpRequest& request, HttpResponder responder);
  void HandleRead(const HttpRequest& request, HttpResponder responder);
  HttpResponse SetFaults(const HttpRequest& request);
  HttpResponse Stats() const;
  void SendAfterDelay(HttpResponder responder, HttpResponse response);

  asio::io_context& m_io;
  LogStore m_store;
  LogFaults m_faults;
  // Kept without a response until exit, to simulate lost responses.
  std::list<HttpResponder> m_unanswered;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_STANDINS_LOG_SERVICE_LOG_SERVER_H_
