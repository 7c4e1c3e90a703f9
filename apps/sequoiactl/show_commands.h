#ifndef SEQUOIASTAGE_SEQUOIACTL_SHOW_COMMANDS_H_
#define SEQUOIASTAGE_SEQUOIACTL_SHOW_COMMANDS_H_

#include <string>
#include <vector>

#include "admin_api.h"
#include "exit_code.h"
#include "json_output.h"

namespace sequoiastage {

/// How an answer is shown as a table.
struct View {
  /// Member that has the list; empty when the answer is one object.
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

/// Prints the answer, or explains why there is none.
ExitCode PrintAnswer(const ApiAnswer& answer,
                     const View& view,
                     const CommandOutput& output);

/// Gets `target` and prints it.
template <AdminApi Api>
ExitCode Show(Api& api,
              const std::string& target,
              const View& view,
              const CommandOutput& output) {
  return PrintAnswer(api.Get(target), view, output);
}

/// Asks the node to drain `instance`, or to take it back.
template <AdminApi Api>
ExitCode SetDraining(Api& api,
                     const std::string& instance,
                     bool draining,
                     const CommandOutput& output) {
  const std::string target = "/v1/instances/" + PercentEncode(instance) +
                             (draining ? "/drain" : "/undrain");
  return PrintAnswer(api.Post(target, Json::object()), View{}, output);
}

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_SEQUOIACTL_SHOW_COMMANDS_H_
