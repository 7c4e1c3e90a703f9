#ifndef SEQUOIASTAGE_SEQUOIACTL_NODE_API_H_
#define SEQUOIASTAGE_SEQUOIACTL_NODE_API_H_

#include <string>

#include "admin_api.h"
#include "sequoiastage/base/http_message.h"
#include "sequoiastage/base/ids.h"
#include "sequoiastage/logclient/log_client.h"

namespace sequoiastage {

/// HTTP client of the administration API of one node.
class NodeApi {
 public:
  /// `token` is the bearer token, empty for none; it is sent only to `admin`.
  NodeApi(Endpoint admin, std::string token);

  ApiResponse Get(const std::string& target);
  ApiResponse Post(const std::string& target, const Json& body);

 private:
  ApiResponse Call(HttpRequest request);

  Endpoint m_admin;
  std::string m_token;
  BlockingTransport m_transport;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_SEQUOIACTL_NODE_API_H_
