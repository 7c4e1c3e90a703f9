#ifndef SEQUOIASTAGE_ROUTING_SPLIT_PICKER_H_
#define SEQUOIASTAGE_ROUTING_SPLIT_PICKER_H_

#include <cstddef>
#include <random>
#include <vector>

namespace sequoiastage {

/// Distributes requests over weighted parts, smoothly: after any number of
/// picks each part has its share within one request. Many nodes with few
/// requests each stay near the shares together because each starts at a random
/// place.
class SplitPicker {
 public:
  SplitPicker(std::vector<double> weights, std::mt19937_64& random);

  /// Index of the next request's part.
  size_t Pick();

 private:
  std::vector<double> m_weights;
  // What each part is behind its share, in requests times the sum of weights.
  std::vector<double> m_owed;
  double m_sum = 0;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_ROUTING_SPLIT_PICKER_H_
