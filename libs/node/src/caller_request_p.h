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

// A validated request of a caller, ready for execution.
struct CheckedRequest {
  RunRequest m_run;
  std::string m_account;
  // Idempotency key as the caller sent it; empty without one.
  std::optional<std::string> m_key;
};

// Validates a caller's request against the active routes. Empty when the
// request is refused; `problem` then holds the reason.
std::optional<CheckedRequest> CheckRequest(
    const NodeView& view,
    HttpRequest request,
    std::chrono::milliseconds default_deadline,
    WallTime now,
    Problem& problem);

// Time that the caller allows for the request, from kDeadlineField; empty when
// the field is missing or out of range.
std::optional<std::chrono::milliseconds> GetRequestedDeadline(
    const HttpRequest& request);

// Removes the connection-specific fields (RFC 9110, 7.6.1).
void RemoveConnectionFields(std::vector<HttpField>& fields);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_NODE_CALLER_REQUEST_P_H_
