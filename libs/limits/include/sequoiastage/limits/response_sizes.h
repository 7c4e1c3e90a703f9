#ifndef SEQUOIASTAGE_LIMITS_RESPONSE_SIZES_H_
#define SEQUOIASTAGE_LIMITS_RESPONSE_SIZES_H_

#include <algorithm>
#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>

namespace sequoiastage {

/// Sizes of the responses of each route. The expected size, for which room is
/// reserved before a request runs, follows larger responses at once and smaller
/// ones slowly. The usual size is a moving average.
class ResponseSizes {
 public:
  /// Expected until the first response of a route.
  static constexpr size_t kInitialBytes = size_t{256} << 10;
  /// Inverse weight of a response in the usual size, and of a smaller one in
  /// the expected size.
  static constexpr size_t kDecay = 16;
  static constexpr size_t kMaxRoutes = 4096;

  /// In bytes.
  size_t Expected(const std::string& route) const {
    const auto found = m_sizes.find(route);
    return found == m_sizes.end() ? kInitialBytes : found->second.m_expected;
  }

  /// In bytes; empty until the first response of the route.
  std::optional<size_t> Usual(const std::string& route) const {
    const auto found = m_sizes.find(route);
    return found == m_sizes.end() ? std::nullopt
                                  : std::optional(found->second.m_usual);
  }

  void Observe(const std::string& route, size_t bytes) {
    if (m_sizes.size() >= kMaxRoutes && !m_sizes.contains(route)) {
      m_sizes.clear();
    }
    Sizes& sizes =
        m_sizes.try_emplace(route, Sizes{.m_usual = bytes}).first->second;
    sizes.m_expected =
        std::max(bytes, sizes.m_expected - sizes.m_expected / kDecay);
    sizes.m_usual = sizes.m_usual - sizes.m_usual / kDecay + bytes / kDecay;
  }

 private:
  struct Sizes {
    size_t m_expected = kInitialBytes;
    size_t m_usual = 0;
  };

  std::unordered_map<std::string, Sizes> m_sizes;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_LIMITS_RESPONSE_SIZES_H_
