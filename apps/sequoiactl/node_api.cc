#include "node_api.h"

#include <utility>

namespace sequoiastage {

namespace {

constexpr Duration kCallTimeout = std::chrono::seconds(15);

}  // namespace

NodeApi::NodeApi(Endpoint admin, std::string token)
    : m_admin(admin), m_token(std::move(token)) {}

ApiResponse NodeApi::Get(const std::string& target) {
  return Call({.m_method = "GET",
               .m_host = IpToString(m_admin.m_ip),
               .m_target = target,
               .m_fields = {},
               .m_body = {}});
}

ApiResponse NodeApi::Post(const std::string& target, const Json& body) {
  return Call({.m_method = "POST",
               .m_host = IpToString(m_admin.m_ip),
               .m_target = target,
               .m_fields = {{"Content-Type", "application/json"}},
               .m_body = body.dump()});
}

ApiResponse NodeApi::Call(HttpRequest request) {
  if (!m_token.empty()) {
    request.m_fields.push_back({"Authorization", "Bearer " + m_token});
  }
  const HttpCallOptions options = {
      .m_server = m_admin,
      .m_timeout = kCallTimeout,
      .m_is_idempotent = request.m_method == "GET"};
  const HttpCallResult call = m_transport.Call(options, std::move(request));
  if (call.m_error != HttpCallError::kNone) {
    return {.m_reason = call.m_reason};
  }
  return {.m_status = call.m_response.m_status,
          .m_json = Json::parse(call.m_response.m_body, nullptr, false)};
}

}  // namespace sequoiastage
