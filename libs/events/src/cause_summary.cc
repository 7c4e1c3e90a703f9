#include "cause_summary_p.h"

namespace sequoiastage {

std::string_view SummarizeCause(FailureCause cause) {
  switch (cause) {
    case FailureCause::kNotFound:
      return "The logs contain no final event of this request.";
    case FailureCause::kServed:
      return "The request was served normally.";
    case FailureCause::kServedAfterWait:
      return "The request was served late: most of its time passed before an "
             "instance began to run it.";
    case FailureCause::kServedAfterRetry:
      return "The request was served by a further attempt, after an earlier "
             "one had failed or was slow.";
    case FailureCause::kNoConfiguration:
      return "The node had no configuration yet; the request was refused.";
    case FailureCause::kNoRoute:
      return "No route of the configuration in force fits the request.";
    case FailureCause::kMisconfigured:
      return "The configuration in force has the route or account of the "
             "request, but it can't be used; see config_finding.";
    case FailureCause::kUnknownKey:
      return "No account has the key of the request, or it has none.";
    case FailureCause::kNoInstanceKnown:
      return "The node knew no instance of the service; the request was "
             "refused.";
    case FailureCause::kPathsCut:
      return "The links to the nodes of the known instances were lost; the "
             "request was refused.";
    case FailureCause::kInstancesHeld:
      return "The attempted instances were held after failures; the request "
             "was refused.";
    case FailureCause::kInstancesFull:
      return "The attempted instances were full; the request was refused.";
    case FailureCause::kInstancesChanging:
      return "The attempted instances were draining or had just been replaced; "
             "the request was refused.";
    case FailureCause::kRetryBudget:
      return "The retry budget of the service was used up.";
    case FailureCause::kDownstreamFull:
      return "A service that the request would call was short of capacity; the "
             "request was refused.";
    case FailureCause::kOutOfTime:
      return "The caller's deadline passed before an instance could run the "
             "request.";
    case FailureCause::kBrokenResponse:
      return "An instance sent an incomplete or malformed response, and the "
             "request could not be retried.";
    case FailureCause::kInstanceSilent:
      return "An instance received the request and did not respond in time.";
    case FailureCause::kNodeRestarted:
      return "The egress of the instance was restarted during the request; "
             "the outcome is unknown.";
    case FailureCause::kLinkLost:
      return "The link to the egress of the instance was lost during the "
             "request; the outcome is unknown.";
    case FailureCause::kServerError:
      return "The instance responded with an error.";
    case FailureCause::kQuarantined:
      return "The request has crashed several instances that executed it; it "
             "was rejected.";
    case FailureCause::kOverLimit:
      return "The client account of the request was over its rate limit; the "
             "request was rejected.";
  }
  return "";
}

}  // namespace sequoiastage
