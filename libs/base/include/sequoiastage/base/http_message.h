#ifndef SEQUOIASTAGE_BASE_HTTP_MESSAGE_H_
#define SEQUOIASTAGE_BASE_HTTP_MESSAGE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// HTTP requests and answers as plain data.
namespace sequoiastage {

struct HttpField {
  std::string m_name;
  std::string m_value;

  friend bool operator==(const HttpField&, const HttpField&) = default;
};

struct HttpRequest {
  std::string m_method;
  /// Host without port, lower case.
  std::string m_host;
  /// Path and query as the caller sent them.
  std::string m_target;
  std::vector<HttpField> m_fields;
  std::string m_body;

  friend bool operator==(const HttpRequest&, const HttpRequest&) = default;
};

struct HttpResponse {
  uint16_t m_status = 0;
  std::vector<HttpField> m_fields;
  std::string m_body;

  friend bool operator==(const HttpResponse&, const HttpResponse&) = default;
};

/// Value of the first field called `name` (ASCII case ignored), or nullptr.
const std::string* FindField(const std::vector<HttpField>& fields,
                             std::string_view name);

/// Whether two names of fields, or tokens in them, are the same (ASCII case
/// ignored).
bool EqualsIgnoringCase(std::string_view a, std::string_view b);

/// Host name of a Host field: lower case, without port.
std::string HostNameOf(std::string_view host_field);

/// Path part of `target`, without the query.
std::string_view PathOf(std::string_view target);

/// Reason phrase of an HTTP status ("Not Found", RFC 9110); "Status" for one
/// that this project does not use.
std::string_view HttpStatusText(uint16_t status);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_BASE_HTTP_MESSAGE_H_
