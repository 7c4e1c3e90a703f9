#ifndef SEQUOIASTAGE_NODE_CALLER_REQUEST_P_H_
#define SEQUOIASTAGE_NODE_CALLER_REQUEST_P_H_

#include <optional>
#include <string>

#include "node_view_p.h"
#include "problem_p.h"
#include "request_runner_p.h"
#include "sequoiastage/base/http_message.h"
#include "sequoiastage/base/time.h"

namespace sequoiastage {

// A caller's request after all checks, ready to be run.
struct CheckedRequest {
  RunRequest m_run;
  std::string m_account;
  // Text of the caller's idempotency key, if it showed one.
  std::optional<std::string> m_key;
};

// Checks a caller's request against the routes in force. Empty when it can't
// be run; `problem` then says why.
std::optional<CheckedRequest> CheckRequest(
    const NodeView& view,
    HttpRequest request,
    std::chrono::milliseconds default_deadline,
    WallTime now,
    Problem& problem);

// The time that the caller gives the request; empty when it names none, or
// none that is allowed.
std::optional<std::chrono::milliseconds> AskedDeadline(
    const HttpRequest& request);

// Removes the fields that only hold for one connection (RFC 9110, 7.6.1).
void RemoveConnectionFields(std::vector<HttpField>& fields);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_NODE_CALLER_REQUEST_P_H_
