#ifndef SEQUOIASTAGE_NODE_CALL_VERDICT_P_H_
#define SEQUOIASTAGE_NODE_CALL_VERDICT_P_H_

#include <string>

#include "sequoiastage/health/outcome.h"
#include "sequoiastage/http/http_client.h"
#include "sequoiastage/wire/messages.h"

namespace sequoiastage {

// Result of a call to a backend server, for the caller and as a health sample
// of the instance.
struct CallVerdict {
  AttemptResult m_result = AttemptResult::kFailed;
  AttemptReason m_reason = AttemptReason::kNone;
  Outcome m_outcome = Outcome::kError;
};

// Classifies a completed call. A successful response without the field
// `completeness_field` is incomplete; an empty name disables this check.
CallVerdict ClassifyCall(const HttpCallResult& call,
                         const std::string& completeness_field);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_NODE_CALL_VERDICT_P_H_
