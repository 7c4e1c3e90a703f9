#ifndef SEQUOIASTAGE_BASE_REQUEST_RATE_H_
#define SEQUOIASTAGE_BASE_REQUEST_RATE_H_

#include "sequoiastage/base/strong.h"

namespace sequoiastage {

/// Requests per second.
using RequestRate = Strong<struct RequestRateTag, double>;

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_BASE_REQUEST_RATE_H_
