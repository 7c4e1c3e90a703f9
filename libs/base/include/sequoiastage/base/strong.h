#ifndef SEQUOIASTAGE_BASE_STRONG_H_
#define SEQUOIASTAGE_BASE_STRONG_H_

#include <compare>
#include <functional>
#include <utility>

namespace sequoiastage {

/// A value of type `Rep` that only mixes with values of the same `Tag`.
/// Serializes with cereal as its `Rep`.
template <class Tag, class Rep>
class Strong {
 public:
  using RepType = Rep;

  constexpr Strong() = default;
  constexpr explicit Strong(Rep value) : m_value(std::move(value)) {}

  constexpr const Rep& Get() const { return m_value; }

  friend constexpr auto operator<=>(const Strong&, const Strong&) = default;
  friend constexpr bool operator==(const Strong&, const Strong&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(m_value);
  }

 private:
  Rep m_value{};
};

}  // namespace sequoiastage

template <class Tag, class Rep>
struct std::hash<sequoiastage::Strong<Tag, Rep>> {
  std::size_t operator()(const sequoiastage::Strong<Tag, Rep>& id) const {
    return std::hash<Rep>()(id.Get());
  }
};

#endif  // SEQUOIASTAGE_BASE_STRONG_H_
