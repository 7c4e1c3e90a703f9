#ifndef SEQUOIASTAGE_CONFIG_AUDIT_P_H_
#define SEQUOIASTAGE_CONFIG_AUDIT_P_H_

#include <string>
#include <string_view>
#include <vector>

#include "sequoiastage/base/findings.h"
#include "sequoiastage/checkedjson/json_document.h"

namespace sequoiastage {

/// What leads from `before` to `after`, as "operation pointer"; the first ones
/// when there are many.
std::vector<std::string> DescribeDifferences(const JsonDocument& before,
                                             const JsonDocument& after);

/// `findings` on one line, cut to the audit's limit.
std::string SummarizeFindings(const Findings& findings);

/// `text` cut to at most `max_bytes`, never inside a UTF-8 character.
std::string CutText(std::string_view text, size_t max_bytes);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_CONFIG_AUDIT_P_H_
