#ifndef SEQUOIASTAGE_ADMIN_ADMIN_MESSAGE_H_
#define SEQUOIASTAGE_ADMIN_ADMIN_MESSAGE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "sequoiastage/base/findings.h"

/// Requests and answers of the administration API, free of any HTTP library.
namespace sequoiastage {

struct AdminRequest {
  /// "GET" or "POST".
  std::string m_method = {};
  /// Path and query as on the request line.
  std::string m_target = {};
  /// Value of the Authorization header, empty when there is none.
  std::string m_authorization = {};
  /// Value of the Content-Type header, empty when there is none.
  std::string m_content_type = {};
  std::string m_body = {};
  /// Address of the sender in host byte order.
  uint32_t m_remote_ip = 0;
};

struct AdminHeader {
  std::string m_name = {};
  std::string m_value = {};

  friend bool operator==(const AdminHeader&, const AdminHeader&) = default;
};

struct AdminResponse {
  /// HTTP status code.
  int m_status = 200;
  std::string m_content_type = {};
  std::string m_body = {};
  /// Further headers.
  std::vector<AdminHeader> m_headers = {};
};

/// Takes the one answer to a request; may be called after Handle() returned.
using AdminReply = std::function<void(AdminResponse)>;

inline constexpr char kJsonContentType[] = "application/json";
inline constexpr char kProblemContentType[] = "application/problem+json";

/// What went wrong, for RenderProblem().
struct AdminProblem {
  /// HTTP status code.
  int m_status = 500;
  /// Stable name that programs can test, "log-unavailable".
  std::string m_code = {};
  /// One sentence for a person.
  std::string m_detail = {};
  /// Faults of the input, if any.
  std::vector<Finding> m_findings = {};
};

/// The problem as application/problem+json (RFC 7807), with the further
/// members "code" and "findings".
AdminResponse RenderProblem(const AdminProblem& problem);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_ADMIN_ADMIN_MESSAGE_H_
