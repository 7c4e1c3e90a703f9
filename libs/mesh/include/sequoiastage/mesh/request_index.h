#ifndef SEQUOIASTAGE_MESH_REQUEST_INDEX_H_
#define SEQUOIASTAGE_MESH_REQUEST_INDEX_H_

#include <concepts>
#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace sequoiastage {

/// Finds the running request that made a call by the id of the call, which is
/// the id of the request, a dot and an opaque suffix. Several attempts of one
/// request may run at once; they are told apart by `Key`.
template <std::totally_ordered Key, class Value>
class RequestIndex {
 public:
  using Attempts = std::map<Key, Value>;

  /// Adds an attempt, or replaces the one with the same id and key. An attempt
  /// without an id has no calls and is ignored.
  void Add(std::string_view id, const Key& key, Value value) {
    if (id.empty()) {
      return;
    }
    auto found = m_attempts_by_id.find(id);
    if (found == m_attempts_by_id.end()) {
      found = m_attempts_by_id.emplace(std::string(id), Attempts{}).first;
      ++m_ids_by_length[id.size()];
    }
    m_size += found->second.insert_or_assign(key, std::move(value)).second;
  }

  /// Removes an attempt. Does nothing when there is none.
  void Remove(std::string_view id, const Key& key) {
    const auto found = m_attempts_by_id.find(id);
    if (found == m_attempts_by_id.end()) {
      return;
    }
    m_size -= found->second.erase(key);
    if (!found->second.empty()) {
      return;
    }
    m_attempts_by_id.erase(found);
    const auto length = m_ids_by_length.find(id.size());
    if (--length->second == 0) {
      m_ids_by_length.erase(length);
    }
  }

  /// Attempts of the request that made the call, in the order of their keys;
  /// empty when there is none. Of several ids that are followed by a dot in
  /// `call_id`, the longest one counts. Valid until the index is changed.
  const Attempts& FindCaller(std::string_view call_id) const {
    for (size_t dot = call_id.rfind('.');
         dot != std::string_view::npos && dot > 0;
         dot = call_id.rfind('.', dot - 1)) {
      // Ids come from clients, and their length is not limited. Hashing only
      // prefixes that can match keeps an id of many dots from costing time
      // that grows with the square of its length.
      if (!m_ids_by_length.contains(dot)) {
        continue;
      }
      const auto found = m_attempts_by_id.find(call_id.substr(0, dot));
      if (found != m_attempts_by_id.end()) {
        return found->second;
      }
    }
    return m_none;
  }

  /// Number of attempts.
  size_t size() const { return m_size; }

 private:
  struct Hash {
    using is_transparent = void;
    size_t operator()(std::string_view id) const {
      return std::hash<std::string_view>()(id);
    }
  };

  std::unordered_map<std::string, Attempts, Hash, std::equal_to<>>
      m_attempts_by_id;
  std::unordered_map<size_t, size_t> m_ids_by_length;
  size_t m_size = 0;
  Attempts m_none;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MESH_REQUEST_INDEX_H_
