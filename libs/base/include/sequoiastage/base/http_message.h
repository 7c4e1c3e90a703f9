#ifndef SEQUOIASTAGE_BASE_HTTP_MESSAGE_H_
#define SEQUOIASTAGE_BASE_HTTP_MESSAGE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// HTTP requests and responses as plain data.
namespace sequoiastage {

struct HttpField {
  std::string m_name;
  std::string m_value;

  friend bool operator==(const HttpField&, const HttpField&) = default;
};

struct HttpRequest {
  std::string m_method;
  /// Host name in lower case, without port.
  std::string m_host;
  /// Path and query as sent by the caller.
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

/// Value of the first field named `name` (ASCII case-insensitive), or nullptr
/// if there is none.
const std::string* FindField(const std::vector<HttpField>& fields,
                             std::string_view name);

/// Compares two field names or tokens, ignoring ASCII case.
bool EqualsIgnoringCase(std::string_view a, std::string_view b);

/// Host name of a Host field value in lower case, without port.
std::string ExtractHostName(std::string_view host_field);

/// Path of the request target `target`, without the query.
std::string_view ExtractPath(std::string_view target);

/// Reason phrase of an HTTP status (RFC 9110), such as "Not Found"; "Status"
/// for a status that this project does not use.
std::string_view HttpStatusText(uint16_t status);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_BASE_HTTP_MESSAGE_H_
