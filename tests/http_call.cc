#include "http_call.h"

#include <curl/curl.h>

#include <algorithm>
#include <memory>

namespace sequoiastage {

namespace {

struct CurlDeleter {
  void operator()(CURL* curl) const { curl_easy_cleanup(curl); }
};

size_t AppendBody(char* data, size_t size, size_t count, void* response) {
  static_cast<CallerResponse*>(response)->m_body.append(data, size * count);
  return size * count;
}

size_t StoreField(char* data, size_t size, size_t count, void* response) {
  const std::string line(data, size * count);
  const size_t colon = line.find(':');
  if (colon != std::string::npos) {
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), ::tolower);
    const size_t begin = line.find_first_not_of(' ', colon + 1);
    const size_t end = line.find_last_not_of("\r\n");
    static_cast<CallerResponse*>(response)->m_fields[name] =
        begin > end ? "" : line.substr(begin, end - begin + 1);
  }
  return size * count;
}

void SetRequest(CURL* curl, const CallerRequest& request) {
  const std::string url = "http://" + ToString(request.m_to) + request.m_target;
  curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
  curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, request.m_method.c_str());
  curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(request.m_timeout.count()));
  curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, 1000L);
  if (!request.m_body.empty()) {
    curl_easy_setopt(curl, CURLOPT_POSTFIELDS, request.m_body.c_str());
    curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(request.m_body.size()));
  }
}

}  // namespace

std::string CallerResponse::Field(const std::string& name) const {
  const auto found = m_fields.find(name);
  return found == m_fields.end() ? "" : found->second;
}

CallerResponse Call(const CallerRequest& request) {
  thread_local std::unique_ptr<CURL, CurlDeleter> curl(curl_easy_init());
  CallerResponse response;
  curl_easy_reset(curl.get());
  SetRequest(curl.get(), request);
  curl_slist* fields = curl_slist_append(nullptr, "Expect:");
  for (const auto& [name, value] : request.m_fields) {
    std::string line = name;
    line.append(": ").append(value);
    fields = curl_slist_append(fields, line.c_str());
  }
  curl_easy_setopt(curl.get(), CURLOPT_HTTPHEADER, fields);
  curl_easy_setopt(curl.get(), CURLOPT_WRITEFUNCTION, AppendBody);
  curl_easy_setopt(curl.get(), CURLOPT_WRITEDATA, &response);
  curl_easy_setopt(curl.get(), CURLOPT_HEADERFUNCTION, StoreField);
  curl_easy_setopt(curl.get(), CURLOPT_HEADERDATA, &response);
  const CURLcode code = curl_easy_perform(curl.get());
  curl_slist_free_all(fields);
  curl_easy_getinfo(curl.get(), CURLINFO_RESPONSE_CODE, &response.m_status);
  if (code != CURLE_OK) {
    response.m_error = curl_easy_strerror(code);
    // libcurl resends a request when a reused connection was closed, so the
    // last error alone does not show that nothing was sent.
    long sent_bytes = 0;
    curl_easy_getinfo(curl.get(), CURLINFO_REQUEST_SIZE, &sent_bytes);
    response.m_is_unsent = code == CURLE_COULDNT_CONNECT && sent_bytes == 0;
  }
  return response;
}

}  // namespace sequoiastage
