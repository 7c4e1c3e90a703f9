#ifndef SEQUOIASTAGE_EXECUTION_IDEMPOTENCY_KEY_H_
#define SEQUOIASTAGE_EXECUTION_IDEMPOTENCY_KEY_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "sequoiastage/base/ids.h"
#include "sequoiastage/base/time.h"

namespace sequoiastage {

inline constexpr size_t kKeyMacBytes = 32;

/// Idempotency key as it was read from its text; see ParseKey().
///
/// Text form, all numbers in lower-case hexadecimal of fixed width:
///
///   sq1-<ip><port>-<incarnation>-<counter>-<expiry ms>-<mac>
struct IdempotencyKey {
  /// The only node that may dispatch the request.
  NodeId m_owner;
  Incarnation m_incarnation;
  uint64_t m_counter = 0;
  WallTime m_expiry;
  /// HMAC-SHA-512-256 over the text before it.
  std::array<uint8_t, kKeyMacBytes> m_mac{};

  friend bool operator==(const IdempotencyKey&,
                         const IdempotencyKey&) = default;
};

/// The text form of `key`.
std::string ToString(const IdempotencyKey& key);

/// Reads a key that any node may have issued; whether it is authentic only its
/// owner can tell. Every key has exactly one text. Empty when `text` is no key;
/// `reason` (may be null) then says why.
std::optional<IdempotencyKey> ParseKey(std::string_view text,
                                       std::string* reason);

struct KeyIssuerOptions {
  NodeId m_owner;
  Incarnation m_incarnation;
  /// How long a key may be used.
  Duration m_lifetime = std::chrono::hours(1);
};

/// Issues keys of one run of a node. An issued key costs no memory: it is
/// recognised by its authentication code under a secret that lives as long as
/// the process.
class KeyIssuer {
 public:
  using Secret = std::array<uint8_t, 32>;

  /// A fresh random secret. Ends the process where there is no randomness.
  static Secret MakeSecret();

  KeyIssuer(const KeyIssuerOptions& options, const Secret& secret);

  /// A key that was never issued before.
  IdempotencyKey Issue(WallTime now);

  /// True when this issuer issued `key`.
  bool IsOwn(const IdempotencyKey& key) const;

  NodeId Owner() const { return m_options.m_owner; }
  Incarnation OwnIncarnation() const { return m_options.m_incarnation; }

 private:
  std::array<uint8_t, kKeyMacBytes> Authenticate(
      const IdempotencyKey& key) const;

  KeyIssuerOptions m_options;
  Secret m_secret;
  uint64_t m_last_counter = 0;
};

/// What a key is bound to at its first use.
using RequestFingerprint =
    Strong<struct RequestFingerprintTag, std::array<uint8_t, 32>>;

/// The parts of a request that make it the same request.
struct RequestIdentity {
  std::string_view m_account = {};
  std::string_view m_method = {};
  std::string_view m_host = {};
  /// Path and query.
  std::string_view m_target = {};
  std::string_view m_body = {};
};

/// BLAKE2b over the parts with their lengths, so that no two different
/// requests share it.
RequestFingerprint FingerprintOf(const RequestIdentity& request);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_EXECUTION_IDEMPOTENCY_KEY_H_
