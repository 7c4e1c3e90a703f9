#include "sequoiastage/admin/admin_message.h"

#include "admin_json_p.h"

namespace sequoiastage {

namespace {

constexpr int kIndent = 2;

}  // namespace

Json ProblemToJson(const AdminProblem& problem) {
  Json json = {{"type", "about:blank"},
               {"title", HttpStatusText(problem.m_status)},
               {"status", problem.m_status},
               {"code", problem.m_code},
               {"detail", problem.m_detail}};
  if (!problem.m_findings.empty()) {
    json["findings"] = Json::array();
    for (const Finding& finding : problem.m_findings) {
      json["findings"].push_back({{"source", finding.m_source},
                                  {"pointer", finding.m_pointer},
                                  {"message", finding.m_message}});
    }
  }
  return json;
}

std::string Dump(const Json& json) {
  return json.dump(kIndent, ' ', false, Json::error_handler_t::replace) + "\n";
}

HttpResponse MakeResponse(uint16_t status,
                          const char* content_type,
                          std::string body) {
  return {.m_status = status,
          .m_fields = {{"Content-Type", content_type}},
          .m_body = std::move(body)};
}

HttpResponse MakeProblemResponse(uint16_t status, const Json& json) {
  return MakeResponse(status, kProblemContentType, Dump(json));
}

HttpResponse RenderProblem(const AdminProblem& problem) {
  return MakeProblemResponse(problem.m_status, ProblemToJson(problem));
}

}  // namespace sequoiastage
