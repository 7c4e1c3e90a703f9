#ifndef SEQUOIASTAGE_ROUTING_SPLIT_PICKER_H_
#define SEQUOIASTAGE_ROUTING_SPLIT_PICKER_H_

#include <cstddef>
#include <random>
#include <vector>

namespace sequoiastage {

/// Smooth weighted round-robin over the variants of a traffic split: after any
/// number of picks, each variant is within one request of its share. Each
/// picker starts at a random position, so that many nodes with few requests
/// each also match the shares in total.
class SplitPicker {
 public:
  SplitPicker(std::vector<double> weights, std::mt19937_64& random);

  /// Returns the index of the variant for the next request.
  size_t Pick();

 private:
  std::vector<double> m_weights;
  // How far each variant is behind its share, in requests times the sum of the
  // weights.
  std::vector<double> m_deficits;
  double m_sum = 0;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_ROUTING_SPLIT_PICKER_H_
