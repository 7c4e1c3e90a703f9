#ifndef SEQUOIASTAGE_BASE_REQUEST_FINGERPRINT_H_
#define SEQUOIASTAGE_BASE_REQUEST_FINGERPRINT_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "sequoiastage/base/http_message.h"
#include "sequoiastage/base/strong.h"

namespace sequoiastage {

/// Hash of what a backend server acts on: method, host, target, body and the
/// service that sends the request. Repetitions of a request by its callers have
/// other ids and the same fingerprint.
using RequestFingerprint = Strong<struct RequestFingerprintTag, uint64_t>;

RequestFingerprint FingerprintOf(const HttpRequest& request,
                                 std::string_view caller_service);

/// 16 hexadecimal digits.
std::string ToString(RequestFingerprint fingerprint);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_BASE_REQUEST_FINGERPRINT_H_
