#include "sequoiastage/http/http_server.h"

#include <restinio/all.hpp>

#include <charconv>
#include <exception>
#include <optional>
#include <utility>

namespace sequoiastage {

namespace {

// RESTinio closes the connection without a response above its own limits. They
// exceed ours by this factor, so that a request above ours gets a response.
constexpr size_t kHardLimitFactor = 8;
// Handlers respond within their callers' deadlines; RESTinio's own timeout must
// never cut a request off.
constexpr std::chrono::hours kHandlerTimeout{24};
constexpr std::string_view kLengthField = "Content-Length";

using Handler = std::function<restinio::request_handling_status_t(
    restinio::request_handle_t)>;

struct ServerTraits : public restinio::default_single_thread_traits_t {
  using request_handler_t = Handler;
};

using Server = restinio::http_server_t<ServerTraits>;

HttpRequest ToRequest(const restinio::request_handle_t& handle) {
  const auto& header = handle->header();
  HttpRequest request;
  request.m_method = header.method().c_str();
  request.m_target = header.request_target();
  header.for_each_field([&request](const restinio::http_header_field_t& field) {
    request.m_fields.push_back({field.name(), field.value()});
  });
  request.m_body = handle->body();
  if (const std::string* host = FindField(request.m_fields, "Host")) {
    request.m_host = ExtractHostName(*host);
  }
  return request;
}

size_t HeaderBytes(const HttpRequest& request) {
  size_t bytes = request.m_target.size();
  for (const HttpField& field : request.m_fields) {
    bytes += field.m_name.size() + field.m_value.size();
  }
  return bytes;
}

std::optional<size_t> ParseContentLength(const HttpResponse& response) {
  const std::string* text = FindField(response.m_fields, kLengthField);
  size_t length = 0;
  if (text == nullptr ||
      std::from_chars(text->data(), text->data() + text->size(), length).ec !=
          std::errc()) {
    return std::nullopt;
  }
  return length;
}

restinio::http_status_line_t StatusLine(uint16_t status) {
  return {restinio::http_status_code_t{status},
          std::string(HttpStatusText(status))};
}

// Adds the fields common to all kinds of responses and sends the response.
template <class Builder>
void SendResponse(Builder&& builder, const HttpResponse& response, bool close) {
  for (const HttpField& field : response.m_fields) {
    if (!EqualsIgnoringCase(field.m_name, kLengthField)) {
      builder.append_header(field.m_name, field.m_value);
    }
  }
  if (close) {
    builder.connection_close();
  }
  builder.done();
}

HttpResponse BuildTextResponse(uint16_t status, std::string text) {
  return {.m_status = status,
          .m_fields = {{"Content-Type", "text/plain"}},
          .m_body = std::move(text)};
}

}  // namespace

class HttpResponder::Impl {
 public:
  explicit Impl(restinio::request_handle_t handle)
      : m_handle(std::move(handle)) {}

  void Send(HttpResponse response, bool close) {
    if (m_handle == nullptr) {
      return;
    }
    const auto handle = std::exchange(m_handle, nullptr);
    const bool closes = close || !handle->header().should_keep_alive();
    if (handle->header().method() == restinio::http_method_head()) {
      auto builder =
          handle->create_response<restinio::user_controlled_output_t>(
              StatusLine(response.m_status));
      builder.set_content_length(ParseContentLength(response).value_or(0));
      SendResponse(std::move(builder), response, closes);
      return;
    }
    auto builder = handle->create_response(StatusLine(response.m_status));
    builder.set_body(std::move(response.m_body));
    SendResponse(std::move(builder), response, closes);
  }

  bool IsOpen() const { return m_handle != nullptr; }

 private:
  restinio::request_handle_t m_handle;
};

HttpResponder::HttpResponder(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl)) {}
HttpResponder::HttpResponder(HttpResponder&&) noexcept = default;
HttpResponder& HttpResponder::operator=(HttpResponder&&) noexcept = default;

HttpResponder::~HttpResponder() {
  if (m_impl != nullptr && m_impl->IsOpen()) {
    m_impl->Send(BuildTextResponse(500, "the request was dropped\n"), true);
  }
}

void HttpResponder::Send(HttpResponse response, bool close) {
  if (m_impl != nullptr) {
    m_impl->Send(std::move(response), close);
  }
}

class HttpServer::Impl {
 public:
  Impl(asio::io_context& io,
       const HttpServerOptions& options,
       HttpHandler handler)
      : m_options(options),
        m_handler(std::move(handler)),
        m_server(restinio::external_io_context(io), MakeSettings()) {}

  void Start() { m_server.open_sync(); }
  void Stop() { m_server.close_sync(); }

 private:
  restinio::server_settings_t<ServerTraits> MakeSettings() {
    restinio::server_settings_t<ServerTraits> settings;
    settings.address(IpToString(m_options.m_listen.m_ip))
        .port(m_options.m_listen.m_port)
        .max_pipelined_requests(1)
        .read_next_http_message_timelimit(m_options.m_idle_timeout)
        .write_http_response_timelimit(std::chrono::seconds(60))
        .handle_request_timeout(kHandlerTimeout)
        .incoming_http_msg_limits(
            restinio::incoming_http_msg_limits_t()
                .max_url_size(kHardLimitFactor * m_options.m_max_header_bytes)
                .max_field_value_size(kHardLimitFactor *
                                      m_options.m_max_header_bytes)
                .max_body_size(kHardLimitFactor * m_options.m_max_body_bytes))
        .request_handler([this](const restinio::request_handle_t& handle) {
          return Handle(handle);
        });
    return settings;
  }

  restinio::request_handling_status_t Handle(
      const restinio::request_handle_t& handle) {
    HttpResponder responder(std::make_unique<HttpResponder::Impl>(handle));
    HttpRequest request = ToRequest(handle);
    if (request.m_body.size() > m_options.m_max_body_bytes) {
      responder.Send(BuildTextResponse(413, "the request body is too large\n"),
                     true);
    } else if (HeaderBytes(request) > m_options.m_max_header_bytes) {
      responder.Send(
          BuildTextResponse(431, "the request header is too large\n"), true);
    } else {
      m_handler(std::move(request), std::move(responder));
    }
    return restinio::request_accepted();
  }

  HttpServerOptions m_options;
  HttpHandler m_handler;
  Server m_server;
};

HttpServer::HttpServer(asio::io_context& io,
                       const HttpServerOptions& options,
                       HttpHandler handler)
    : m_impl(std::make_unique<Impl>(io, options, std::move(handler))) {}

HttpServer::~HttpServer() = default;

bool HttpServer::Start() {
  try {
    m_impl->Start();
    return true;
  } catch (const std::exception& error) {
    m_last_reason = error.what();
    return false;
  }
}

void HttpServer::Stop() {
  m_impl->Stop();
}

}  // namespace sequoiastage
