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

/// Idempotency key, parsed from its text; see ParseKey().
///
/// Text form, all numbers in lower-case hexadecimal of fixed width:
///
///   sq1-<ip><port>-<incarnation>-<counter>-<expiry ms>-<mac>
struct IdempotencyKey {
  /// The only node that dispatches the request.
  NodeId m_owner;
  Incarnation m_incarnation;
  uint64_t m_counter = 0;
  WallTime m_expiry;
  /// HMAC-SHA-512-256 over the preceding text.
  std::array<uint8_t, kKeyMacBytes> m_mac{};

  friend bool operator==(const IdempotencyKey&,
                         const IdempotencyKey&) = default;
};

/// The text form of `key`.
std::string ToString(const IdempotencyKey& key);

/// Parses a key issued by any node; only its owner can verify it, see
/// KeyIssuer::HasIssued(). Each key has exactly one text form. Empty when
/// `text` is not a key; `reason` (may be null) then receives the cause.
std::optional<IdempotencyKey> ParseKey(std::string_view text,
                                       std::string* reason);

struct KeyIssuerOptions {
  NodeId m_owner;
  Incarnation m_incarnation;
  /// Time from the issue of a key to its expiry.
  Duration m_lifetime = std::chrono::hours(1);
};

/// Issues the keys of one node incarnation. An issued key takes no memory: it
/// is verified by its authentication code under a secret that exists only as
/// long as the process.
class KeyIssuer {
 public:
  using Secret = std::array<uint8_t, 32>;

  /// A new random secret. Aborts the process when libsodium can't be
  /// initialised.
  static Secret MakeSecret();

  KeyIssuer(const KeyIssuerOptions& options, const Secret& secret);

  /// Issues a new, unique key.
  IdempotencyKey Issue(WallTime now);

  /// True when this issuer issued `key`, whether or not it has expired.
  bool HasIssued(const IdempotencyKey& key) const;

  NodeId Owner() const { return m_options.m_owner; }
  Incarnation OwnIncarnation() const { return m_options.m_incarnation; }

 private:
  std::array<uint8_t, kKeyMacBytes> Authenticate(
      const IdempotencyKey& key) const;

  KeyIssuerOptions m_options;
  Secret m_secret;
  uint64_t m_last_counter = 0;
};

/// Digest of a request; a key is bound to it at its first use.
using RequestFingerprint =
    Strong<struct RequestFingerprintTag, std::array<uint8_t, 32>>;

/// The parts of a request that its fingerprint covers.
struct RequestIdentity {
  std::string_view m_account = {};
  std::string_view m_method = {};
  std::string_view m_host = {};
  /// Path and query.
  std::string_view m_target = {};
  std::string_view m_body = {};
};

/// BLAKE2b over the parts, each preceded by its length, so that no two
/// different requests have the same fingerprint.
RequestFingerprint ComputeFingerprint(const RequestIdentity& request);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_EXECUTION_IDEMPOTENCY_KEY_H_
