#include "sequoiastage/admin/admin_route.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <vector>

#include "sequoiastage/checkedjson/json_document.h"
#include "sequoiastage/checkedjson/json_reader.h"

namespace sequoiastage {

namespace {

// A method and path of the API; "*" matches the variable segment.
struct RoutePattern {
  std::string_view m_method;
  std::vector<std::string_view> m_segments;
  AdminAction m_action;
};

const std::vector<RoutePattern>& RoutePatterns() {
  static const std::vector<RoutePattern> kPatterns = {
      {"GET", {"v1", "status"}, AdminAction::kStatus},
      {"GET", {"v1", "config"}, AdminAction::kConfig},
      {"GET", {"v1", "config", "history"}, AdminAction::kConfigHistory},
      {"GET", {"v1", "config", "status"}, AdminAction::kConfigStatus},
      {"POST", {"v1", "config", "publish"}, AdminAction::kConfigPublish},
      {"GET", {"v1", "services"}, AdminAction::kServices},
      {"GET", {"v1", "services", "*"}, AdminAction::kService},
      {"GET", {"v1", "instances"}, AdminAction::kInstances},
      {"POST", {"v1", "instances", "*", "drain"}, AdminAction::kInstanceDrain},
      {"POST",
       {"v1", "instances", "*", "undrain"},
       AdminAction::kInstanceUndrain},
      {"GET", {"v1", "nodes"}, AdminAction::kNodes},
      {"GET", {"v1", "nodes", "*"}, AdminAction::kNode},
      {"GET", {"v1", "outcomes", "*"}, AdminAction::kOutcome},
      {"GET", {"v1", "audit"}, AdminAction::kAudit},
      {"GET", {"metrics"}, AdminAction::kMetrics}};
  return kPatterns;
}

std::vector<std::string_view> Split(std::string_view text, char separator) {
  std::vector<std::string_view> parts;
  while (true) {
    const size_t end = text.find(separator);
    parts.push_back(text.substr(0, end));
    if (end == std::string_view::npos) {
      return parts;
    }
    text.remove_prefix(end + 1);
  }
}

template <class Number>
std::optional<Number> ParseNumber(std::string_view text, int base) {
  Number number = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, number, base);
  if (text.empty() || result.ec != std::errc() || result.ptr != end) {
    return std::nullopt;
  }
  return number;
}

// Decodes percent-encoding; empty for a malformed escape.
std::optional<std::string> PercentDecode(std::string_view text) {
  std::string decoded;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      decoded += text[i];
      continue;
    }
    if (text.size() - i < 3) {
      return std::nullopt;
    }
    const auto byte = ParseNumber<uint8_t>(text.substr(i + 1, 2), 16);
    if (!byte) {
      return std::nullopt;
    }
    decoded += static_cast<char>(*byte);
    i += 2;
  }
  return decoded;
}

bool Matches(const RoutePattern& pattern,
             const std::vector<std::string_view>& segments) {
  return std::equal(
      pattern.m_segments.begin(), pattern.m_segments.end(), segments.begin(),
      segments.end(), [](std::string_view wanted, std::string_view segment) {
        return wanted == "*" ? !segment.empty() : wanted == segment;
      });
}

HttpResponse RenderBadRequest(std::string detail) {
  return RenderProblem({.m_status = 400,
                        .m_code = "bad-request",
                        .m_detail = std::move(detail)});
}

// Parses one "name=value" of the query into `route`. Returns an error text,
// empty on success.
std::string ParseParameter(std::string_view parameter, AdminRoute* route) {
  const size_t equals = parameter.find('=');
  const std::string name(parameter.substr(0, equals));
  const auto value = equals == std::string_view::npos
                         ? std::nullopt
                         : PercentDecode(parameter.substr(equals + 1));
  if (!value) {
    return "the query parameter \"" + name + "\" has no readable value";
  }
  if (name == "limit") {
    const auto limit = ParseNumber<uint32_t>(*value, 10);
    if (!limit || *limit == 0 || *limit > AdminRoute::kMaxLimit) {
      return "\"limit\" must be 1.." + std::to_string(AdminRoute::kMaxLimit);
    }
    route->m_limit = *limit;
    return "";
  }
  if (name == "version") {
    const auto version = ParseNumber<uint64_t>(*value, 10);
    if (!version) {
      return "\"version\" must be a whole number";
    }
    route->m_version = LogOffset(*version);
    return "";
  }
  if (name == "service") {
    route->m_service = *value;
    return "";
  }
  return "there is no query parameter \"" + name + "\"";
}

std::string ParseQuery(std::string_view query, AdminRoute* route) {
  if (query.empty()) {
    return "";
  }
  for (const std::string_view parameter : Split(query, '&')) {
    std::string fault = ParseParameter(parameter, route);
    if (!fault.empty()) {
      return fault;
    }
  }
  return "";
}

// Finds the pattern of a path and method. Sets `problem` and returns null when
// there is none.
const RoutePattern* FindPattern(std::string_view method,
                                const std::vector<std::string_view>& segments,
                                HttpResponse* problem) {
  const RoutePattern* path_match = nullptr;
  for (const RoutePattern& pattern : RoutePatterns()) {
    if (!Matches(pattern, segments)) {
      continue;
    }
    if (pattern.m_method == method) {
      return &pattern;
    }
    path_match = &pattern;
  }
  if (path_match == nullptr) {
    *problem = RenderProblem({.m_status = 404,
                              .m_code = "no-such-path",
                              .m_detail = "the API has no such path"});
    return nullptr;
  }
  const std::string allowed(path_match->m_method);
  *problem = RenderProblem({.m_status = 405,
                            .m_code = "wrong-method",
                            .m_detail = "this path takes " + allowed});
  problem->m_fields.push_back({"Allow", allowed});
  return nullptr;
}

bool HasJsonBody(const HttpRequest& request) {
  const std::string* type = FindField(request.m_fields, "Content-Type");
  if (type == nullptr) {
    return false;
  }
  return std::string_view(*type).substr(0, type->find(';')) == kJsonContentType;
}

}  // namespace

std::optional<AdminRoute> ParseAdminRoute(std::string_view method,
                                          std::string_view target,
                                          HttpResponse* problem) {
  const size_t question = target.find('?');
  const std::string_view path = target.substr(0, question);
  const auto segments =
      Split(path.empty() || path[0] != '/' ? path : path.substr(1), '/');
  const RoutePattern* pattern = FindPattern(method, segments, problem);
  if (pattern == nullptr) {
    return std::nullopt;
  }
  AdminRoute route = {.m_action = pattern->m_action};
  const auto& wanted = pattern->m_segments;
  const auto variable = std::find(wanted.begin(), wanted.end(), "*");
  if (variable != wanted.end()) {
    const auto argument =
        PercentDecode(segments[static_cast<size_t>(variable - wanted.begin())]);
    if (!argument) {
      *problem = RenderBadRequest("the path has a broken percent escape");
      return std::nullopt;
    }
    route.m_argument = *argument;
  }
  const std::string fault = ParseQuery(question == std::string_view::npos
                                           ? std::string_view()
                                           : target.substr(question + 1),
                                       &route);
  if (!fault.empty()) {
    *problem = RenderBadRequest(fault);
    return std::nullopt;
  }
  return route;
}

std::optional<PublishRequest> ParsePublishRequest(const HttpRequest& request,
                                                  HttpResponse* problem) {
  if (!HasJsonBody(request)) {
    *problem = RenderProblem(
        {.m_status = 415,
         .m_code = "wrong-content-type",
         .m_detail = "the body has to be sent as application/json"});
    return std::nullopt;
  }
  Findings findings;
  PublishRequest publish;
  const auto document = JsonDocument::Parse("body", request.m_body, findings);
  if (document) {
    JsonObject root = JsonObject::Root(*document, findings);
    uint64_t from_version = 0;
    root.ReadString("scope", publish.m_scope, Presence::kRequired);
    if (root.ReadInteger<uint64_t>("from_version", from_version)) {
      publish.m_from_version = LogOffset(from_version);
    }
    root.ReadString("author", publish.m_author, Presence::kRequired);
    root.ReadString("change_id", publish.m_change_id, Presence::kRequired);
    if (root.ReadObject("document", Presence::kRequired)) {
      publish.m_document = document->Value().at("document").dump();
    }
    root.ReportUnknownKeys();
  }
  if (!findings.IsEmpty()) {
    *problem = RenderProblem({.m_status = 400,
                              .m_code = "bad-request",
                              .m_detail = "the body can't be read",
                              .m_findings = findings.Items()});
    return std::nullopt;
  }
  return publish;
}

}  // namespace sequoiastage
