#include "sequoiastage/routing/split_picker.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace sequoiastage {

namespace {

// Weights are mostly percentages: the sequence repeats after 100 requests at
// the latest.
constexpr int kLongestPeriod = 400;

}  // namespace

SplitPicker::SplitPicker(std::vector<double> weights, std::mt19937_64& random)
    : m_weights(std::move(weights)),
      m_owed(m_weights.size()),
      m_sum(std::accumulate(m_weights.begin(), m_weights.end(), 0.0)) {
  // A random place in the sequence, which repeats itself.
  std::uniform_int_distribution<int> skip(0, kLongestPeriod);
  for (int i = skip(random); i > 0; --i) {
    Pick();
  }
}

size_t SplitPicker::Pick() {
  for (size_t i = 0; i < m_weights.size(); ++i) {
    m_owed[i] += m_weights[i];
  }
  const auto most = std::max_element(m_owed.begin(), m_owed.end());
  *most -= m_sum;
  return static_cast<size_t>(most - m_owed.begin());
}

}  // namespace sequoiastage
