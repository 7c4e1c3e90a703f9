#include "sequoiastage/admin/admin_token.h"

#include <sodium.h>

#include <array>

namespace sequoiastage {

namespace {

constexpr std::string_view kScheme = "Bearer ";
// First byte of 127.0.0.0/8.
constexpr uint32_t kLoopbackNetwork = 127;

using Digest = std::array<unsigned char, crypto_generichash_BYTES>;

Digest ComputeDigest(std::string_view text) {
  Digest digest{};
  crypto_generichash(digest.data(), digest.size(),
                     reinterpret_cast<const unsigned char*>(text.data()),
                     text.size(), nullptr, 0);
  return digest;
}

// Compares digests, which have a fixed length, so that the time does not reveal
// the length of the token.
bool IsSameSecret(std::string_view left, std::string_view right) {
  if (sodium_init() < 0) {
    return false;
  }
  const Digest left_digest = ComputeDigest(left);
  const Digest right_digest = ComputeDigest(right);
  return sodium_memcmp(left_digest.data(), right_digest.data(),
                       left_digest.size()) == 0;
}

}  // namespace

bool IsAdminAllowed(std::string_view token,
                    std::string_view authorization,
                    uint32_t listen_ip) {
  if (token.empty()) {
    return (listen_ip >> 24) == kLoopbackNetwork;
  }
  if (authorization.substr(0, kScheme.size()) != kScheme) {
    return false;
  }
  return IsSameSecret(token, authorization.substr(kScheme.size()));
}

}  // namespace sequoiastage
