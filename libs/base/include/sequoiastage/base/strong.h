#ifndef SEQUOIASTAGE_BASE_STRONG_H_
#define SEQUOIASTAGE_BASE_STRONG_H_

#include <compare>
#include <functional>
#include <utility>

namespace sequoiastage {

/// Strong typedef: a `Value` that is compatible only with values of the same
/// `Tag`. Serialized by cereal in the same form as `Value`.
template <class Tag, class Value>
class Strong {
 public:
  using ValueType = Value;

  constexpr Strong() = default;
  constexpr explicit Strong(Value value) : m_value(std::move(value)) {}

  constexpr const Value& Get() const { return m_value; }

  friend constexpr auto operator<=>(const Strong&, const Strong&) = default;
  friend constexpr bool operator==(const Strong&, const Strong&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(m_value);
  }

 private:
  Value m_value{};
};

}  // namespace sequoiastage

template <class Tag, class Value>
struct std::hash<sequoiastage::Strong<Tag, Value>> {
  std::size_t operator()(const sequoiastage::Strong<Tag, Value>& id) const {
    return std::hash<Value>()(id.Get());
  }
};

#endif  // SEQUOIASTAGE_BASE_STRONG_H_
