#ifndef SEQUOIASTAGE_EVENTS_CAUSE_SUMMARY_P_H_
#define SEQUOIASTAGE_EVENTS_CAUSE_SUMMARY_P_H_

#include <string_view>

#include "sequoiastage/events/explanation.h"

namespace sequoiastage {

// One or two sentences for an operator.
std::string_view SummarizeCause(FailureCause cause);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_EVENTS_CAUSE_SUMMARY_P_H_
