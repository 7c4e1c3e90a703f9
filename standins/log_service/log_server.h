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
  /// Every record request is answered 503 and does nothing.
  bool m_is_out = false;
  /// So many appends take effect but are never answered.
  uint32_t m_lose_answers = 0;
  /// Answers to record requests wait so long.
  Duration m_delay{};
};

/// Stand-in for the platform's append-only log service: the HTTP interface of
/// logclient/log_client.h, PUT /faults, and GET /stats.
class LogServer {
 public:
  explicit LogServer(asio::io_context& io, uint64_t retention);

  void OnRequest(const HttpRequest& request, HttpResponder responder);

 private:
  void OnAppend(const HttpRequest& request, HttpResponder responder);
  void OnRead(const HttpRequest& request, HttpResponder responder);
  HttpResponse OnFaults(const HttpRequest& request);
  HttpResponse Stats() const;
  void SendLater(HttpResponder responder, HttpResponse answer);

  asio::io_context& m_io;
  LogStore m_store;
  LogFaults m_faults;
  // Held for ever, so that they are never answered.
  std::list<HttpResponder> m_lost;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_STANDINS_LOG_SERVICE_LOG_SERVER_H_
