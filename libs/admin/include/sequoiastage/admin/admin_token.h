#ifndef SEQUOIASTAGE_ADMIN_ADMIN_TOKEN_H_
#define SEQUOIASTAGE_ADMIN_ADMIN_TOKEN_H_

#include <cstdint>
#include <string_view>

namespace sequoiastage {

/// Whether a request may use the administration API. With a `token`,
/// `authorization` must be "Bearer <token>"; the comparison time does not
/// depend on the token. Without a token, `listen_ip`, the listening address in
/// host byte order, must be in 127.0.0.0/8, which other hosts can't reach.
bool IsAdminAllowed(std::string_view token,
                    std::string_view authorization,
                    uint32_t listen_ip);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_ADMIN_ADMIN_TOKEN_H_
