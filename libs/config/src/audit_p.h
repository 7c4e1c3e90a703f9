#ifndef SEQUOIASTAGE_CONFIG_AUDIT_P_H_
#define SEQUOIASTAGE_CONFIG_AUDIT_P_H_

#include <string>
#include <string_view>
#include <vector>

#include "sequoiastage/base/findings.h"
#include "sequoiastage/checkedjson/json_document.h"

namespace sequoiastage {

/// Lists the differences between `before` and `after`, each as "operation
/// pointer". A long list is cut and ends with the number of omitted ones.
std::vector<std::string> DescribeDifferences(const JsonDocument& before,
                                             const JsonDocument& after);

/// Returns `findings` as one line, cut to the size limit of the audit.
std::string SummarizeFindings(const Findings& findings);

/// Cuts `text` to at most `max_bytes`, never inside a UTF-8 character.
std::string TruncateText(std::string_view text, size_t max_bytes);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_CONFIG_AUDIT_P_H_
