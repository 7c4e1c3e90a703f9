#include "sequoiastage/config/config.h"

#include <algorithm>

namespace sequoiastage {

namespace {

bool Contains(const std::vector<std::string>& list, std::string_view text) {
  return std::find(list.begin(), list.end(), text) != list.end();
}

template <class T, class Id>
const T* FindById(const SharedList<T>& sorted, Id id) {
  const auto found =
      std::lower_bound(sorted.begin(), sorted.end(), id,
                       [](const T& item, Id key) { return item.m_id < key; });
  return found != sorted.end() && found->m_id == id ? &*found : nullptr;
}

}  // namespace

bool Route::Allows(std::string_view method) const {
  return m_methods.empty() || Contains(m_methods, method);
}

bool Route::IsIdempotent(std::string_view method) const {
  return Contains(m_idempotent, method);
}

const Service* Config::FindService(ServiceId id) const {
  return FindById(m_services, id);
}

const Account* Config::FindAccount(AccountId id) const {
  return FindById(m_accounts, id);
}

}  // namespace sequoiastage
