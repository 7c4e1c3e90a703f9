#ifndef SEQUOIASTAGE_ADMIN_ADMIN_TOKEN_H_
#define SEQUOIASTAGE_ADMIN_ADMIN_TOKEN_H_

#include <cstdint>
#include <string_view>

namespace sequoiastage {

/// Whether a request may use the administration API. With a `token`,
/// `authorization` has to be "Bearer <token>"; the time taken tells nothing
/// about the token. Without one, `listen_ip`, the API's own address in host
/// byte order, has to be in 127.0.0.0/8, which no other host reaches.
bool IsAdminAllowed(std::string_view token,
                    std::string_view authorization,
                    uint32_t listen_ip);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_ADMIN_ADMIN_TOKEN_H_
