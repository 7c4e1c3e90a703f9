#include "sequoiastage/base/request_fingerprint.h"

#include <xxhash.h>

#include <array>
#include <cstdio>

namespace sequoiastage {

RequestFingerprint FingerprintOf(const HttpRequest& request,
                                 std::string_view caller_service) {
  // Each hash seeds the next, so that bytes can't move from one part to
  // another.
  uint64_t hash = 0;
  for (const std::string_view part :
       {caller_service, std::string_view(request.m_method),
        std::string_view(request.m_host), std::string_view(request.m_target),
        std::string_view(request.m_body)}) {
    hash = XXH3_64bits_withSeed(part.data(), part.size(), hash);
  }
  return RequestFingerprint(hash);
}

std::string ToString(RequestFingerprint fingerprint) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016llx",
                static_cast<unsigned long long>(fingerprint.Get()));
  return text.data();
}

}  // namespace sequoiastage
