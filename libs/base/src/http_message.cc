#include "sequoiastage/base/http_message.h"

#include <strings.h>

namespace sequoiastage {

const std::string* FindField(const std::vector<HttpField>& fields,
                             std::string_view name) {
  for (const HttpField& field : fields) {
    if (field.m_name.size() == name.size() &&
        strncasecmp(field.m_name.data(), name.data(), name.size()) == 0) {
      return &field.m_value;
    }
  }
  return nullptr;
}

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

}  // namespace sequoiastage
