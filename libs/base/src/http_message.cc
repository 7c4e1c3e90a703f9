#include "sequoiastage/base/http_message.h"

#include <strings.h>

#include <algorithm>

namespace sequoiastage {

const std::string* FindField(const std::vector<HttpField>& fields,
                             std::string_view name) {
  for (const HttpField& field : fields) {
    if (EqualsIgnoringCase(field.m_name, name)) {
      return &field.m_value;
    }
  }
  return nullptr;
}

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

std::string ExtractHostName(std::string_view host_field) {
  std::string host(host_field.substr(0, host_field.find(':')));
  std::transform(host.begin(), host.end(), host.begin(), [](char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  });
  return host;
}

std::string_view ExtractPath(std::string_view target) {
  return target.substr(0, target.find('?'));
}

std::string_view HttpStatusText(uint16_t status) {
  switch (status) {
    case 200:
      return "OK";
    case 201:
      return "Created";
    case 202:
      return "Accepted";
    case 204:
      return "No Content";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 403:
      return "Forbidden";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 408:
      return "Request Timeout";
    case 409:
      return "Conflict";
    case 413:
      return "Content Too Large";
    case 415:
      return "Unsupported Media Type";
    case 421:
      return "Misdirected Request";
    case 422:
      return "Unprocessable Content";
    case 428:
      return "Precondition Required";
    case 431:
      return "Request Header Fields Too Large";
    case 500:
      return "Internal Server Error";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

}  // namespace sequoiastage
