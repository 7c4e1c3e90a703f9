#ifndef SEQUOIASTAGE_ADMIN_ADMIN_ROUTE_H_
#define SEQUOIASTAGE_ADMIN_ADMIN_ROUTE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "sequoiastage/admin/admin_message.h"
#include "sequoiastage/admin/admin_state.h"

namespace sequoiastage {

enum class AdminAction {
  kStatus,
  kConfig,
  kConfigHistory,
  kConfigStatus,
  kConfigPublish,
  kServices,
  kService,
  kInstances,
  kInstanceDrain,
  kInstanceUndrain,
  kNodes,
  kNode,
  kOutcome,
  kAudit,
  kMetrics
};

/// What a request asks for.
struct AdminRoute {
  AdminAction m_action = AdminAction::kStatus;
  /// The decoded variable part of the path: a name, an id or a key.
  std::string m_argument = {};
  /// Query "limit": most entries of a list, the newest of a history.
  uint32_t m_limit = kDefaultLimit;
  /// Query "service": only its instances.
  std::string m_service = {};
  /// Query "version": the configuration version to look for.
  std::optional<LogOffset> m_version = {};

  static constexpr uint32_t kDefaultLimit = 1000;
  static constexpr uint32_t kMaxLimit = 100'000;
};

/// The route of `method` and `target`. Empty for an unknown path (404), a wrong
/// method (405) or a bad query (400); `problem` is then the answer.
std::optional<AdminRoute> ParseAdminRoute(std::string_view method,
                                          std::string_view target,
                                          HttpResponse* problem);

/// Reads the body of a publish. Empty when anything is wrong; `problem` is then
/// an answer that lists every fault.
std::optional<PublishRequest> ParsePublishRequest(const HttpRequest& request,
                                                  HttpResponse* problem);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_ADMIN_ADMIN_ROUTE_H_
