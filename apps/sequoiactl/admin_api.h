#ifndef SEQUOIASTAGE_SEQUOIACTL_ADMIN_API_H_
#define SEQUOIASTAGE_SEQUOIACTL_ADMIN_API_H_

#include <concepts>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "sequoiastage/base/ids.h"
#include "sequoiastage/base/time.h"

namespace sequoiastage {

/// Keeps the order of members.
using Json = nlohmann::ordered_json;

/// What a node's administration API answered.
struct ApiAnswer {
  /// HTTP status code, 0 when no whole answer came.
  int m_status = 0;
  /// The body; discarded when it is no JSON.
  Json m_json{};
  /// Why no answer came.
  std::string m_reason{};
};

/// Calls the administration API of one node.
template <class T>
concept AdminApi = requires(T& api,
                            const std::string& target,
                            const Json& body) {
  { api.Get(target) } -> std::same_as<ApiAnswer>;
  { api.Post(target, body) } -> std::same_as<ApiAnswer>;
};

/// Time of a command that waits.
template <class T>
concept CommandClock = requires(T& clock, Duration duration) {
  { clock.Now() } -> std::same_as<TimePoint>;
  clock.Sleep(duration);
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_SEQUOIACTL_ADMIN_API_H_
