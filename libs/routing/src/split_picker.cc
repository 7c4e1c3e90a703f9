#include "sequoiastage/routing/split_picker.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace sequoiastage {

namespace {

// Weights are usually percentages, for which the sequence repeats after at most
// 100 requests.
constexpr int kLongestPeriod = 400;

}  // namespace

SplitPicker::SplitPicker(std::vector<double> weights, std::mt19937_64& random)
    : m_weights(std::move(weights)),
      m_deficits(m_weights.size()),
      m_sum(std::accumulate(m_weights.begin(), m_weights.end(), 0.0)) {
  // Start at a random position in the periodic sequence.
  std::uniform_int_distribution<int> skip(0, kLongestPeriod);
  for (int i = skip(random); i > 0; --i) {
    Pick();
  }
}

size_t SplitPicker::Pick() {
  for (size_t i = 0; i < m_weights.size(); ++i) {
    m_deficits[i] += m_weights[i];
  }
  const auto largest = std::max_element(m_deficits.begin(), m_deficits.end());
  *largest -= m_sum;
  return static_cast<size_t>(largest - m_deficits.begin());
}

}  // namespace sequoiastage
