#ifndef SEQUOIASTAGE_TESTS_HTTP_CALL_H_
#define SEQUOIASTAGE_TESTS_HTTP_CALL_H_

#include <chrono>
#include <map>
#include <string>

#include "sequoiastage/base/ids.h"

namespace sequoiastage {

struct CallerRequest {
  Endpoint m_to;
  std::string m_method = "GET";
  std::string m_target = "/";
  std::map<std::string, std::string> m_fields = {};
  std::string m_body = {};
  std::chrono::milliseconds m_timeout{5000};
};

struct CallerResponse {
  /// Error of the transfer; empty when the response is complete.
  std::string m_error;
  /// The connection could not be opened, so nothing was sent.
  bool m_is_unsent = false;
  long m_status = 0;
  /// Header fields by lower-case name.
  std::map<std::string, std::string> m_fields;
  std::string m_body;

  bool IsComplete() const { return m_error.empty(); }
  std::string Field(const std::string& name) const;
  /// "answered", "not-run", "unknown", or empty.
  std::string Outcome() const { return Field("sequoiastage-outcome"); }
};

/// Performs a blocking HTTP call. Each thread reuses its own connections.
CallerResponse Call(const CallerRequest& request);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_TESTS_HTTP_CALL_H_
