#include "sequoiastage/base/findings.h"

#include <utility>

namespace sequoiastage {

void Findings::Add(std::string source,
                   std::string pointer,
                   std::string message) {
  m_items.push_back(Finding{.m_source = std::move(source),
                            .m_pointer = std::move(pointer),
                            .m_message = std::move(message)});
}

std::string Findings::ToText() const {
  std::string text;
  for (const Finding& item : m_items) {
    text += item.m_source + ": ";
    if (!item.m_pointer.empty()) {
      text += item.m_pointer + ": ";
    }
    text += item.m_message + "\n";
  }
  return text;
}

}  // namespace sequoiastage
