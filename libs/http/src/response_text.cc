#include "response_text_p.h"

#include <fmt/format.h>

namespace sequoiastage {

namespace {

constexpr uint16_t kNoContent = 204;
constexpr uint16_t kNotModified = 304;

}  // namespace

void AppendResponse(std::string& bytes,
                    const HttpResponse& response,
                    bool is_head,
                    bool is_last) {
  bytes += fmt::format("HTTP/1.1 {} {}\r\n", response.m_status,
                       HttpStatusText(response.m_status));
  const bool keeps_length_field = is_head && response.m_body.empty();
  for (const HttpField& field : response.m_fields) {
    if (!keeps_length_field &&
        EqualsIgnoringCase(field.m_name, "Content-Length")) {
      continue;  // Written below from the actual body.
    }
    bytes.append(field.m_name)
        .append(": ")
        .append(field.m_value)
        .append("\r\n");
  }
  if (response.m_status != kNoContent && response.m_status != kNotModified &&
      !keeps_length_field) {
    bytes += fmt::format("Content-Length: {}\r\n", response.m_body.size());
  }
  if (is_last) {
    bytes += "Connection: close\r\n";
  }
  bytes += "\r\n";
  if (!is_head) {
    bytes += response.m_body;
  }
}

}  // namespace sequoiastage
