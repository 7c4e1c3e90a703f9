#ifndef SEQUOIASTAGE_ADMIN_ADMIN_MESSAGE_H_
#define SEQUOIASTAGE_ADMIN_ADMIN_MESSAGE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "sequoiastage/base/findings.h"
#include "sequoiastage/base/http_message.h"

/// Responses of the administration API.
namespace sequoiastage {

/// Receives the one response to a request, possibly after Handle() has
/// returned.
using AdminResponder = std::function<void(HttpResponse)>;

inline constexpr char kJsonContentType[] = "application/json";
inline constexpr char kProblemContentType[] = "application/problem+json";

/// An error, see RenderProblem().
struct AdminProblem {
  /// HTTP status code.
  uint16_t m_status = 500;
  /// Stable error code for programs, such as "log-unavailable".
  std::string m_code = {};
  /// Human-readable explanation.
  std::string m_detail = {};
  /// Errors in the input, if any.
  std::vector<Finding> m_findings = {};
};

/// Renders the problem as application/problem+json (RFC 7807), with the
/// extension members "code" and "findings".
HttpResponse RenderProblem(const AdminProblem& problem);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_ADMIN_ADMIN_MESSAGE_H_
