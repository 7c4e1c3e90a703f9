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

/// The action of a request and its parameters.
struct AdminRoute {
  AdminAction m_action = AdminAction::kStatus;
  /// The decoded variable part of the path: a name, an id or a key.
  std::string m_argument = {};
  /// Query "limit": maximum number of entries in a list; a history is cut to
  /// its newest entries.
  uint32_t m_limit = kDefaultLimit;
  /// Query "service": selects the instances of this service; empty selects all.
  std::string m_service = {};
  /// Query "version": the configuration version whose rollout is reported.
  std::optional<LogOffset> m_version = {};

  static constexpr uint32_t kDefaultLimit = 1000;
  static constexpr uint32_t kMaxLimit = 100'000;
};

/// Parses the route of `method` and `target`. Empty for an unknown path (404),
/// a wrong method (405), or a malformed path or query (400); `problem` is then
/// the response.
std::optional<AdminRoute> ParseAdminRoute(std::string_view method,
                                          std::string_view target,
                                          HttpResponse* problem);

/// Parses the body of a publish request. Empty for a wrong content type (415)
/// or an invalid body (400); `problem` is then the response, which lists every
/// error of the body.
std::optional<PublishRequest> ParsePublishRequest(const HttpRequest& request,
                                                  HttpResponse* problem);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_ADMIN_ADMIN_ROUTE_H_
