#include "caller_request_p.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>
#include <utility>

namespace sequoiastage {

namespace {

constexpr const char* kAccountField = "Sequoiastage-Account";
constexpr std::chrono::milliseconds kMaxDeadline{600'000};
constexpr size_t kMaxAccountBytes = 128;
constexpr int kMaxDecodings = 4;

constexpr std::array<std::string_view, 10> kConnectionFields = {
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "te",
    "proxy-authorization",
    "trailer",
    "upgrade",
    "proxy-connection",
    "expect",
    "transfer-encoding"};

bool HasName(const HttpField& field, std::string_view name) {
  return EqualsIgnoringCase(field.m_name, name);
}

std::optional<std::chrono::milliseconds> ParseMillis(const std::string& text) {
  int64_t millis = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), millis);
  if (error != std::errc() || end != text.data() + text.size() || millis <= 0 ||
      millis > kMaxDeadline.count()) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(millis);
}

// Value of a hexadecimal digit; -1 for any other character.
int HexValue(char c) {
  if (c >= '0' && c <= '9') {
    return c - '0';
  }
  const char lower = static_cast<char>(c | 0x20);
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

// Decodes each percent-encoded byte of `text` once.
std::string DecodePercent(std::string_view text) {
  std::string decoded;
  decoded.reserve(text.size());
  for (size_t i = 0; i < text.size(); ++i) {
    const bool is_encoded = text[i] == '%' && i + 2 < text.size() &&
                            HexValue(text[i + 1]) >= 0 &&
                            HexValue(text[i + 2]) >= 0;
    if (!is_encoded) {
      decoded += text[i];
      continue;
    }
    decoded +=
        static_cast<char>(HexValue(text[i + 1]) * 16 + HexValue(text[i + 2]));
    i += 2;
  }
  return decoded;
}

// True when a segment without its ";" parameters is "." or "..". Some backend
// servers treat a backslash as a slash.
bool HasPlainDotSegment(std::string_view path) {
  while (!path.empty()) {
    const size_t end = std::min(path.find_first_of("/\\"), path.size());
    std::string_view segment = path.substr(0, end);
    segment = segment.substr(0, segment.find(';'));
    if (segment == "." || segment == "..") {
      return true;
    }
    path.remove_prefix(std::min(end + 1, path.size()));
  }
  return false;
}

// A backend server that resolves dot segments, plain or encoded, would serve
// another path than the one that was routed. A path that is still encoded after
// kMaxDecodings rounds is treated as having them.
bool HasDotSegment(std::string_view target) {
  std::string path(target.substr(0, target.find_first_of("?#")));
  for (int i = 0; i < kMaxDecodings; ++i) {
    if (HasPlainDotSegment(path)) {
      return true;
    }
    std::string decoded = DecodePercent(path);
    if (decoded == path) {
      return false;
    }
    path = std::move(decoded);
  }
  return true;
}

std::optional<CheckedRequest> Refuse(Problem& problem,
                                     uint16_t status,
                                     std::string title,
                                     std::string detail) {
  problem = {.m_status = status,
             .m_outcome = RequestOutcome::kNotRun,
             .m_title = std::move(title),
             .m_detail = std::move(detail)};
  return std::nullopt;
}

}  // namespace

std::optional<std::chrono::milliseconds> GetRequestedDeadline(
    const HttpRequest& request) {
  const std::string* text = FindField(request.m_fields, kDeadlineField);
  return text == nullptr ? std::nullopt : ParseMillis(*text);
}

void RemoveConnectionFields(std::vector<HttpField>& fields) {
  std::vector<std::string> named;
  if (const std::string* list = FindField(fields, "Connection")) {
    size_t at = 0;
    while (at < list->size()) {
      const size_t end = std::min(list->find(',', at), list->size());
      const size_t begin = list->find_first_not_of(" \t", at);
      if (begin < end) {
        named.push_back(list->substr(begin, end - begin));
      }
      at = end + 1;
    }
  }
  std::erase_if(fields, [&named](const HttpField& field) {
    const auto matches = [&field](std::string_view name) {
      return HasName(field, name);
    };
    return std::any_of(kConnectionFields.begin(), kConnectionFields.end(),
                       matches) ||
           std::any_of(named.begin(), named.end(), matches);
  });
}

std::optional<CheckedRequest> CheckRequest(
    const NodeView& view,
    HttpRequest request,
    std::chrono::milliseconds default_deadline,
    WallTime now,
    Problem& problem) {
  if (view.m_routes == nullptr) {
    Refuse(problem, 503, "No configuration",
           "This node has no configuration yet.");
    problem.m_retry_after = 1;
    return std::nullopt;
  }
  if (HasDotSegment(request.m_target)) {
    return Refuse(problem, 400, "Bad path",
                  "The path has a segment \".\" or \"..\", plain or encoded.");
  }
  const Route* route = view.m_routes->Find(request.m_host, request.m_target);
  if (route == nullptr) {
    return Refuse(problem, 404, "Unknown route",
                  "No route matches this host and path.");
  }
  if (!route->Allows(request.m_method)) {
    return Refuse(problem, 405, "Method not allowed",
                  "The route does not serve this method.");
  }
  const Service* service = view.m_config->FindService(route->m_service);
  auto deadline = service != nullptr
                      ? std::chrono::duration_cast<std::chrono::milliseconds>(
                            service->m_limits.m_timeout)
                      : default_deadline;
  if (FindField(request.m_fields, kDeadlineField) != nullptr) {
    const auto requested = GetRequestedDeadline(request);
    if (!requested) {
      return Refuse(problem, 400, "Bad deadline",
                    "Sequoiastage-Deadline-Ms takes 1 to 600000 "
                    "milliseconds.");
    }
    deadline = *requested;
  }
  CheckedRequest checked;
  if (const std::string* account = FindField(request.m_fields, kAccountField)) {
    if (account->size() > kMaxAccountBytes) {
      return Refuse(problem, 400, "Bad account",
                    "Sequoiastage-Account is longer than 128 bytes.");
    }
    checked.m_account = *account;
  }
  if (const std::string* key = FindField(request.m_fields, kKeyField)) {
    checked.m_key = *key;
  }
  checked.m_run.m_service = route->m_service;
  checked.m_run.m_account = MakeAccountId(checked.m_account);
  if (const Account* account =
          view.m_config->FindAccount(checked.m_run.m_account)) {
    checked.m_run.m_account_share = account->m_share;
  }
  checked.m_run.m_is_idempotent = route->IsIdempotent(request.m_method);
  checked.m_run.m_deadline = now + deadline;
  if (service != nullptr) {
    checked.m_run.m_max_attempts = service->m_retries.m_max_attempts;
    checked.m_run.m_retry_share = service->m_retries.m_budget_share;
    if (service->m_retries.m_hedge) {
      checked.m_run.m_hedge_quantile = service->m_retries.m_hedge_quantile;
    }
    checked.m_run.m_completeness_field =
        service->m_completeness_header.value_or("");
  }
  RemoveConnectionFields(request.m_fields);
  std::erase_if(request.m_fields, [](const HttpField& field) {
    return HasName(field, "Content-Length") || HasName(field, kDeadlineField);
  });
  checked.m_run.m_request = std::move(request);
  return checked;
}

}  // namespace sequoiastage
