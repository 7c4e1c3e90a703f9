#ifndef SEQUOIASTAGE_SEQUOIACTL_ADMIN_API_H_
#define SEQUOIASTAGE_SEQUOIACTL_ADMIN_API_H_

#include <concepts>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "sequoiastage/base/ids.h"
#include "sequoiastage/base/time.h"

namespace sequoiastage {

/// JSON that preserves the order of members.
using Json = nlohmann::ordered_json;

inline constexpr int kHttpOk = 200;

/// Response of a node's administration API.
struct ApiResponse {
  /// HTTP status code, 0 when no complete response was received.
  int m_status = 0;
  /// Parsed body; a discarded value when the body is not valid JSON.
  Json m_json{};
  /// Reason why no response was received; empty otherwise.
  std::string m_reason{};
};

/// Client of the administration API of one node.
template <class T>
concept AdminApi = requires(T& api,
                            const std::string& target,
                            const Json& body) {
  { api.Get(target) } -> std::same_as<ApiResponse>;
  { api.Post(target, body) } -> std::same_as<ApiResponse>;
};

/// Clock of a command that polls; injected so that tests control the time.
template <class T>
concept CommandClock = requires(T& clock, Duration duration) {
  { clock.Now() } -> std::same_as<TimePoint>;
  clock.Sleep(duration);
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_SEQUOIACTL_ADMIN_API_H_
