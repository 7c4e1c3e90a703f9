#ifndef SEQUOIASTAGE_NODE_PROBLEM_P_H_
#define SEQUOIASTAGE_NODE_PROBLEM_P_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "protocol_fields_p.h"
#include "sequoiastage/base/http_message.h"
#include "sequoiastage/wire/messages.h"

namespace sequoiastage {

// An answer that the proxy gives itself.
struct Problem {
  uint16_t m_status = 500;
  RequestOutcome m_outcome = RequestOutcome::kNotRun;
  // Short text of the kind of problem.
  std::string m_title;
  // What happened, for a person.
  std::string m_detail;
  // When it makes sense to come back, in seconds.
  std::optional<uint32_t> m_retry_after;
  // Why the last attempt ended without an answer, when there was one to make.
  std::optional<AttemptReason> m_reason;
};

// What `reason` means, as a clause for a person.
std::string_view Explain(AttemptReason reason);

// `problem` as application/problem+json (RFC 9457), with its outcome and the
// short text of its reason as further members.
HttpResponse ToAnswer(const Problem& problem);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_NODE_PROBLEM_P_H_
