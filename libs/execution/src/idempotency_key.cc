#include "sequoiastage/execution/idempotency_key.h"

#include <sodium.h>

#include <charconv>
#include <cstdlib>

namespace sequoiastage {

namespace {

constexpr std::string_view kPrefix = "sq1";
constexpr size_t kIpDigits = 8;
constexpr size_t kPortDigits = 4;
constexpr size_t kNumberDigits = 16;

static_assert(kKeyMacBytes == crypto_auth_BYTES);
static_assert(sizeof(KeyIssuer::Secret) == crypto_auth_KEYBYTES);

std::string ToHex(uint64_t number, size_t digits) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text(digits, '0');
  for (size_t i = digits; i > 0; --i) {
    text[i - 1] = kDigits[number & 0xf];
    number >>= 4;
  }
  return text;
}

// Consumes one number of exactly `digits` lower-case hexadecimal digits.
std::optional<uint64_t> ConsumeHex(std::string_view& text, size_t digits) {
  if (text.size() < digits) {
    return std::nullopt;
  }
  const std::string_view number_text = text.substr(0, digits);
  if (number_text.find_first_not_of("0123456789abcdef") !=
      std::string_view::npos) {
    return std::nullopt;
  }
  uint64_t number = 0;
  std::from_chars(number_text.data(), number_text.data() + digits, number, 16);
  text.remove_prefix(digits);
  return number;
}

bool ConsumeDash(std::string_view& text) {
  if (text.empty() || text.front() != '-') {
    return false;
  }
  text.remove_prefix(1);
  return true;
}

std::optional<uint64_t> ConsumeDashAndHex(std::string_view& text,
                                          size_t digits) {
  return ConsumeDash(text) ? ConsumeHex(text, digits) : std::nullopt;
}

// The text that is authenticated.
std::string FormatWithoutMac(const IdempotencyKey& key) {
  const Endpoint& owner = key.m_owner.Get();
  std::string text(kPrefix);
  text += '-';
  text += ToHex(owner.m_ip, kIpDigits);
  text += ToHex(owner.m_port, kPortDigits);
  text += '-';
  text += ToHex(key.m_incarnation.Get(), kNumberDigits);
  text += '-';
  text += ToHex(key.m_counter, kNumberDigits);
  text += '-';
  text += ToHex(static_cast<uint64_t>(key.m_expiry.time_since_epoch().count()),
                kNumberDigits);
  return text;
}

std::optional<IdempotencyKey> FailParse(std::string* reason, const char* text) {
  if (reason != nullptr) {
    *reason = text;
  }
  return std::nullopt;
}

void HashField(crypto_generichash_state& state, std::string_view field) {
  const std::string length = ToHex(field.size(), kNumberDigits);
  crypto_generichash_update(
      &state, reinterpret_cast<const unsigned char*>(length.data()),
      length.size());
  crypto_generichash_update(
      &state, reinterpret_cast<const unsigned char*>(field.data()),
      field.size());
}

}  // namespace

std::string ToString(const IdempotencyKey& key) {
  std::string text = FormatWithoutMac(key);
  text += '-';
  for (const uint8_t byte : key.m_mac) {
    text += ToHex(byte, 2);
  }
  return text;
}

std::optional<IdempotencyKey> ParseKey(std::string_view text,
                                       std::string* reason) {
  if (text.substr(0, kPrefix.size()) != kPrefix) {
    return FailParse(reason, "key does not start with sq1-");
  }
  text.remove_prefix(kPrefix.size());
  const auto ip = ConsumeDashAndHex(text, kIpDigits);
  const auto port = ip ? ConsumeHex(text, kPortDigits) : std::nullopt;
  if (!port || *port == 0) {
    return FailParse(reason, "key names no owner");
  }
  const auto incarnation = ConsumeDashAndHex(text, kNumberDigits);
  const auto counter = ConsumeDashAndHex(text, kNumberDigits);
  const auto expiry = ConsumeDashAndHex(text, kNumberDigits);
  if (!incarnation || !counter || !expiry) {
    return FailParse(reason, "key has no incarnation, counter or expiry");
  }
  IdempotencyKey key{
      .m_owner = NodeId(Endpoint{.m_ip = static_cast<uint32_t>(*ip),
                                 .m_port = static_cast<uint16_t>(*port)}),
      .m_incarnation = Incarnation(*incarnation),
      .m_counter = *counter,
      .m_expiry =
          WallTime(std::chrono::milliseconds(static_cast<int64_t>(*expiry)))};
  if (!ConsumeDash(text) || text.size() != 2 * kKeyMacBytes) {
    return FailParse(reason, "key has no authentication code or is too long");
  }
  for (uint8_t& byte : key.m_mac) {
    const auto value = ConsumeHex(text, 2);
    if (!value) {
      return FailParse(reason, "key has a malformed authentication code");
    }
    byte = static_cast<uint8_t>(*value);
  }
  return key;
}

KeyIssuer::Secret KeyIssuer::MakeSecret() {
  if (sodium_init() < 0) {
    std::abort();
  }
  Secret secret;
  randombytes_buf(secret.data(), secret.size());
  return secret;
}

KeyIssuer::KeyIssuer(const KeyIssuerOptions& options, const Secret& secret)
    : m_options(options), m_secret(secret) {}

IdempotencyKey KeyIssuer::Issue(WallTime now) {
  IdempotencyKey key{
      .m_owner = m_options.m_owner,
      .m_incarnation = m_options.m_incarnation,
      .m_counter = ++m_last_counter,
      .m_expiry = now + std::chrono::duration_cast<std::chrono::milliseconds>(
                            m_options.m_lifetime)};
  key.m_mac = Authenticate(key);
  return key;
}

bool KeyIssuer::HasIssued(const IdempotencyKey& key) const {
  const auto expected = Authenticate(key);
  return key.m_owner == m_options.m_owner &&
         key.m_incarnation == m_options.m_incarnation &&
         sodium_memcmp(expected.data(), key.m_mac.data(), kKeyMacBytes) == 0;
}

std::array<uint8_t, kKeyMacBytes> KeyIssuer::Authenticate(
    const IdempotencyKey& key) const {
  const std::string text = FormatWithoutMac(key);
  std::array<uint8_t, kKeyMacBytes> mac;
  crypto_auth(mac.data(), reinterpret_cast<const unsigned char*>(text.data()),
              text.size(), m_secret.data());
  return mac;
}

RequestFingerprint ComputeFingerprint(const RequestIdentity& request) {
  crypto_generichash_state state;
  RequestFingerprint::ValueType hash;
  crypto_generichash_init(&state, nullptr, 0, hash.size());
  HashField(state, request.m_account);
  HashField(state, request.m_method);
  HashField(state, request.m_host);
  HashField(state, request.m_target);
  HashField(state, request.m_body);
  crypto_generichash_final(&state, hash.data(), hash.size());
  return RequestFingerprint(hash);
}

}  // namespace sequoiastage
