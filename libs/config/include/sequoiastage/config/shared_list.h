#ifndef SEQUOIASTAGE_CONFIG_SHARED_LIST_H_
#define SEQUOIASTAGE_CONFIG_SHARED_LIST_H_

#include <cstddef>
#include <memory>
#include <utility>
#include <vector>

namespace sequoiastage {

/// An immutable list whose copies share their items, so that configurations
/// that differ in one list store the other lists only once.
template <class T>
class SharedList {
 public:
  SharedList() : SharedList(std::vector<T>()) {}
  explicit SharedList(std::vector<T> items) {
    items.shrink_to_fit();
    m_items = std::make_shared<const std::vector<T>>(std::move(items));
  }

  const std::vector<T>& Items() const { return *m_items; }
  size_t size() const { return m_items->size(); }
  bool empty() const { return m_items->empty(); }
  auto begin() const { return m_items->begin(); }
  auto end() const { return m_items->end(); }
  const T& operator[](size_t index) const { return (*m_items)[index]; }

  /// Whether both lists share the same storage, not only equal items.
  bool IsSharedWith(const SharedList& other) const {
    return m_items == other.m_items;
  }

  friend bool operator==(const SharedList& a, const SharedList& b) {
    return a.IsSharedWith(b) || *a.m_items == *b.m_items;
  }

 private:
  std::shared_ptr<const std::vector<T>> m_items;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_CONFIG_SHARED_LIST_H_
