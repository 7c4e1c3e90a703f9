#include "config_text.h"

#include <fmt/core.h>

#include <set>
#include <utility>

#include "sequoiastage/base/ids.h"

namespace sequoiastage {

std::vector<std::string> MakeAccountNames(uint32_t count) {
  std::vector<std::string> names;
  std::set<AccountId> handles;
  for (uint32_t i = 0; names.size() < count; ++i) {
    std::string name = fmt::format("account-{}", i);
    if (handles.insert(MakeAccountId(name)).second) {
      names.push_back(std::move(name));
    }
  }
  return names;
}

std::string MakeBaseText(uint32_t services,
                         uint32_t routes,
                         uint32_t accounts,
                         uint32_t floor) {
  std::string text = R"({"sites": ["north"], "services": {)";
  for (uint32_t i = 0; i < services; ++i) {
    text += fmt::format(R"({}"service-{}": {{"instances": 28, "floor": {}}})",
                        i == 0 ? "" : ",", i, floor);
  }
  text += R"(}, "routes": {)";
  for (uint32_t i = 0; i < routes; ++i) {
    text += fmt::format(
        R"({}"route-{}": {{"host": "host-{}.example", "path": "/path/{}",)"
        R"( "service": "service-{}"}})",
        i == 0 ? "" : ",", i, i % 400, i, i % services);
  }
  text += R"(}, "accounts": {)";
  const char* separator = "";
  for (const std::string& name : MakeAccountNames(accounts)) {
    text += fmt::format(R"({}"{}": {{"share": 2}})", separator, name);
    separator = ",";
  }
  return text + "}}";
}

}  // namespace sequoiastage
