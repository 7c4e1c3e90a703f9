#ifndef SEQUOIASTAGE_MESH_RECENT_SET_H_
#define SEQUOIASTAGE_MESH_RECENT_SET_H_

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

namespace sequoiastage {

/// The distinct values added last, at most `kMaxValues` of them.
template <class T, size_t kMaxValues>
class RecentSet {
 public:
  void Add(T value) {
    std::erase(m_values, value);
    if (m_values.size() == kMaxValues) {
      m_values.erase(m_values.begin());
    }
    m_values.push_back(std::move(value));
  }

  bool Contains(const T& value) const {
    return std::find(m_values.begin(), m_values.end(), value) != m_values.end();
  }

 private:
  // Oldest first.
  std::vector<T> m_values;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MESH_RECENT_SET_H_
