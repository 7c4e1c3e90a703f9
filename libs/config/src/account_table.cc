#include "sequoiastage/config/account_table.h"

#include <sodium.h>

#include <cstring>

namespace sequoiastage {

namespace {

using HashSecret =
    std::array<unsigned char, crypto_shorthash_siphashx24_KEYBYTES>;

// Drawn once for each process.
const HashSecret& ProcessSecret() {
  static const HashSecret kSecret = [] {
    HashSecret secret;
    randombytes_buf(secret.data(), secret.size());
    return secret;
  }();
  return kSecret;
}

}  // namespace

AccountTable::AccountTable(const std::vector<ClientAccount>& accounts,
                           const std::vector<std::string>& omitted_keys) {
  m_accounts.reserve(accounts.size() + omitted_keys.size());
  for (const std::string& key : omitted_keys) {
    m_accounts.try_emplace(DigestOf(key), nullptr);
  }
  for (const ClientAccount& account : accounts) {
    for (const std::string& key : account.m_keys) {
      const auto [entry, is_new] =
          m_accounts.try_emplace(DigestOf(key), &account);
      if (!is_new && entry->second != &account) {
        entry->second = nullptr;
      }
    }
  }
}

const ClientAccount* AccountTable::Find(std::string_view key) const {
  const auto found = m_accounts.find(DigestOf(key));
  return found == m_accounts.end() ? nullptr : found->second;
}

bool AccountTable::IsUnusable(std::string_view key) const {
  const auto found = m_accounts.find(DigestOf(key));
  return found != m_accounts.end() && found->second == nullptr;
}

AccountTable::Digest AccountTable::DigestOf(std::string_view key) {
  static_assert(sizeof(Digest) == crypto_shorthash_siphashx24_BYTES);
  std::array<unsigned char, sizeof(Digest)> bytes;
  crypto_shorthash_siphashx24(
      bytes.data(), reinterpret_cast<const unsigned char*>(key.data()),
      key.size(), ProcessSecret().data());
  Digest digest;
  std::memcpy(digest.data(), bytes.data(), bytes.size());
  return digest;
}

}  // namespace sequoiastage
