#ifndef SEQUOIASTAGE_SEQUOIACTL_SHOW_COMMANDS_H_
#define SEQUOIASTAGE_SEQUOIACTL_SHOW_COMMANDS_H_

#include <string>
#include <vector>

#include "admin_api.h"
#include "exit_code.h"
#include "json_output.h"

namespace sequoiastage {

/// Table layout of a response.
struct View {
  /// Member that holds the list; empty when the response is one object.
  std::string m_list{};
  std::vector<Column> m_columns{};
};

View ServiceListView();
View ServiceView();
View InstanceListView();
View NodeListView();
View HistoryView();
View AuditView();
View RolloutView();

/// Prints the response, or the error when it is not a 200 with an object.
ExitCode PrintResponse(const ApiResponse& response,
                       const View& view,
                       const CommandOutput& output);

/// Requests `target` and prints the response.
template <AdminApi Api>
ExitCode Show(Api& api,
              const std::string& target,
              const View& view,
              const CommandOutput& output) {
  return PrintResponse(api.Get(target), view, output);
}

/// Requests that the node starts or ends draining `instance`.
template <AdminApi Api>
ExitCode SetDraining(Api& api,
                     const std::string& instance,
                     bool draining,
                     const CommandOutput& output) {
  const std::string target = "/v1/instances/" + PercentEncode(instance) +
                             (draining ? "/drain" : "/undrain");
  return PrintResponse(api.Post(target, Json::object()), View{}, output);
}

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_SEQUOIACTL_SHOW_COMMANDS_H_
