#ifndef SEQUOIASTAGE_CONFIG_ACCOUNT_TABLE_H_
#define SEQUOIASTAGE_CONFIG_ACCOUNT_TABLE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "sequoiastage/config/traffic_config.h"

namespace sequoiastage {

/// Finds a client account by one of its keys. Immutable.
///
/// Keys are stored as hashes keyed with a secret of this process (SipHash-2-4,
/// 128 bits), so that callers who choose their keys can't make the lookup slow.
class AccountTable {
 public:
  AccountTable() = default;
  /// Points into `accounts`, which must outlive the table. A key of several
  /// accounts belongs to none of them. `omitted_keys` are those of accounts
  /// that can't be used.
  explicit AccountTable(const std::vector<ClientAccount>& accounts,
                        const std::vector<std::string>& omitted_keys = {});

  /// Null when no account, several accounts or an omitted account has this key.
  const ClientAccount* Find(std::string_view key) const;

  /// Whether several accounts or an omitted account has this key.
  bool IsUnusable(std::string_view key) const;

  size_t size() const { return m_accounts.size(); }

 private:
  using Digest = std::array<uint64_t, 2>;

  struct TakeFirstWord {
    size_t operator()(const Digest& digest) const { return digest[0]; }
  };

  static Digest DigestOf(std::string_view key);

  // Null for a key of several accounts or of an omitted one.
  std::unordered_map<Digest, const ClientAccount*, TakeFirstWord> m_accounts;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_CONFIG_ACCOUNT_TABLE_H_
