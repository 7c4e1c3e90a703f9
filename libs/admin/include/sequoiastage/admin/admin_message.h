#ifndef SEQUOIASTAGE_ADMIN_ADMIN_MESSAGE_H_
#define SEQUOIASTAGE_ADMIN_ADMIN_MESSAGE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "sequoiastage/base/findings.h"
#include "sequoiastage/base/http_message.h"

/// Answers of the administration API.
namespace sequoiastage {

/// Takes the one answer to a request; may be called after Handle() returned.
using AdminReply = std::function<void(HttpResponse)>;

inline constexpr char kJsonContentType[] = "application/json";
inline constexpr char kProblemContentType[] = "application/problem+json";

/// What went wrong, for RenderProblem().
struct AdminProblem {
  /// HTTP status code.
  uint16_t m_status = 500;
  /// Stable name that programs can test, "log-unavailable".
  std::string m_code = {};
  /// One sentence for a person.
  std::string m_detail = {};
  /// Faults of the input, if any.
  std::vector<Finding> m_findings = {};
};

/// The problem as application/problem+json (RFC 7807), with the further
/// members "code" and "findings".
HttpResponse RenderProblem(const AdminProblem& problem);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_ADMIN_ADMIN_MESSAGE_H_
