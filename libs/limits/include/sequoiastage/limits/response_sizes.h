#ifndef SEQUOIASTAGE_LIMITS_RESPONSE_SIZES_H_
#define SEQUOIASTAGE_LIMITS_RESPONSE_SIZES_H_

#include <algorithm>
#include <cstddef>
#include <string>
#include <unordered_map>

namespace sequoiastage {

/// Expected size of the responses of routes with large bodies, so that room for
/// a response is reserved before its request runs. Follows larger responses at
/// once and smaller ones slowly.
class ResponseSizes {
 public:
  /// Expected until the first response of a route.
  static constexpr size_t kInitialBytes = size_t{256} << 10;
  /// Weight of a smaller response, as a fraction of 1.
  static constexpr size_t kDecay = 16;
  static constexpr size_t kMaxRoutes = 4096;

  size_t Expected(const std::string& route) const {
    const auto found = m_bytes.find(route);
    return found == m_bytes.end() ? kInitialBytes : found->second;
  }

  void Observe(const std::string& route, size_t bytes) {
    if (m_bytes.size() >= kMaxRoutes && !m_bytes.contains(route)) {
      m_bytes.clear();
    }
    size_t& expected = m_bytes.try_emplace(route, kInitialBytes).first->second;
    expected = std::max(bytes, expected - expected / kDecay);
  }

 private:
  std::unordered_map<std::string, size_t> m_bytes;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_LIMITS_RESPONSE_SIZES_H_
