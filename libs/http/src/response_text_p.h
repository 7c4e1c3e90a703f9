#ifndef SEQUOIASTAGE_HTTP_RESPONSE_TEXT_P_H_
#define SEQUOIASTAGE_HTTP_RESPONSE_TEXT_P_H_

#include <string>

#include "sequoiastage/base/http_message.h"

namespace sequoiastage {

/// Appends the response in wire format.
void AppendResponse(std::string& bytes,
                    const HttpResponse& response,
                    bool is_head,
                    bool is_last);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_HTTP_RESPONSE_TEXT_P_H_
