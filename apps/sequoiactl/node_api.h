#ifndef SEQUOIASTAGE_SEQUOIACTL_NODE_API_H_
#define SEQUOIASTAGE_SEQUOIACTL_NODE_API_H_

#include <string>

#include "admin_api.h"
#include "sequoiastage/base/http_message.h"
#include "sequoiastage/base/ids.h"
#include "sequoiastage/logclient/log_client.h"

namespace sequoiastage {

/// Calls the administration API of one node over HTTP.
class NodeApi {
 public:
  /// `token` may be empty; it is only ever sent to `admin`.
  NodeApi(Endpoint admin, std::string token);

  ApiAnswer Get(const std::string& target);
  ApiAnswer Post(const std::string& target, const Json& body);

 private:
  ApiAnswer Call(HttpRequest request);

  Endpoint m_admin;
  std::string m_token;
  BlockingTransport m_transport;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_SEQUOIACTL_NODE_API_H_
