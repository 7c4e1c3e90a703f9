#ifndef SEQUOIASTAGE_SEQUOIACTL_METRICS_TEXT_H_
#define SEQUOIASTAGE_SEQUOIACTL_METRICS_TEXT_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sequoiastage/metrics/metric_family.h"

namespace sequoiastage {

/// One line of the Prometheus text format.
struct TextSample {
  std::string m_name;
  std::vector<MetricLabel> m_labels{};
  double m_value = 0;

  friend bool operator==(const TextSample&, const TextSample&) = default;
};

/// Parses the Prometheus text format, version 0.0.4, in the order of its lines;
/// comments and timestamps are skipped. Empty, with `reason` set, when a line
/// is malformed, the last line has no end, or a sample occurs twice: the text
/// is truncated or damaged then, and sums over it would be wrong.
std::optional<std::vector<TextSample>> ParseMetrics(std::string_view text,
                                                    std::string* reason);

/// Returns the value of the label `name`, null when there is none.
const std::string* FindLabel(const TextSample& sample, std::string_view name);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_SEQUOIACTL_METRICS_TEXT_H_
