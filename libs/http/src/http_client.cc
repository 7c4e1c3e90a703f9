#include "sequoiastage/http/http_client.h"

#include <curl/curl.h>

#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "sequoiastage/http/message_parser.h"

namespace sequoiastage {

namespace {

constexpr long kMaxIdleConnections = 64;
constexpr uint16_t kFirstFinalStatus = 200;
// Interim responses that are skipped before the response.
constexpr uint32_t kMaxInterimResponses = 16;

void InitCurlOnce() {
  static const CURLcode kCode = curl_global_init(CURL_GLOBAL_DEFAULT);
  static_cast<void>(kCode);
}

// The size covers all connections of a call: libcurl may have sent the request
// on a kept-alive connection and resent it on a new one.
bool NothingWasSent(CURL* easy, CURLcode code) {
  long request_bytes = 0;
  curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &request_bytes);
  if (request_bytes != 0) {
    return false;
  }
  if (code == CURLE_COULDNT_CONNECT) {
    return true;
  }
  curl_off_t connect_time = 0;
  curl_easy_getinfo(easy, CURLINFO_CONNECT_TIME_T, &connect_time);
  return code == CURLE_OPERATION_TIMEDOUT && connect_time == 0;
}

}  // namespace

class HttpClient::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& io, std::shared_ptr<BodyBudget> budget)
      : m_io(io),
        m_timer(io),
        m_budget(budget ? std::move(budget) : std::make_shared<BodyBudget>()) {
    InitCurlOnce();
    m_multi = curl_multi_init();
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &Impl::OnSocket);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &Impl::OnTimer);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, kMaxIdleConnections);
  }

  ~Impl() { Close(); }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  void Close() {
    for (auto& [id, call] : m_calls) {
      Detach(*call);
    }
    m_calls.clear();
    if (m_multi != nullptr) {
      curl_multi_cleanup(m_multi);
      m_multi = nullptr;
    }
    m_timer.cancel();
    m_sockets.clear();
  }

  CallId Start(const HttpCallOptions& options,
               HttpRequest request,
               Callback callback) {
    const CallId id = ++m_last_call_id;
    auto call = std::make_unique<Call>(
        MessageLimits{.m_max_body_bytes = options.m_max_body_bytes}, m_budget);
    call->m_owner = this;
    call->m_id = id;
    call->m_request = std::move(request);
    call->m_callback = std::move(callback);
    Prepare(*call, options);
    CURL* easy = call->m_easy;
    m_calls.emplace(id, std::move(call));
    curl_multi_add_handle(m_multi, easy);
    return id;
  }

  void Cancel(CallId id) {
    const auto it = m_calls.find(id);
    if (it == m_calls.end()) {
      return;
    }
    Detach(*it->second);
    m_calls.erase(it);
  }

 private:
  struct Call {
    Call(const MessageLimits& limits, std::shared_ptr<BodyBudget> budget)
        : m_parser(limits), m_body_share(std::move(budget)) {}

    Impl* m_owner = nullptr;
    CallId m_id = 0;
    CURL* m_easy = nullptr;
    curl_slist* m_fields = nullptr;
    // Reads the response as ExchangeConnection does; libcurl accepts malformed
    // ones.
    ResponseParser m_parser;
    BodyShare m_body_share;
    uint32_t m_interim_responses = 0;
    bool m_has_begun = false;
    bool m_is_head_complete = false;
    // The response is malformed or too large.
    bool m_is_refused = false;
    HttpRequest m_request;
    Callback m_callback;
  };

  // A socket opened for libcurl and watched through Asio.
  struct Socket {
    asio::ip::tcp::socket m_socket;
    int m_poll_events = 0;
    bool m_is_reading = false;
    bool m_is_writing = false;
  };
  using SocketPtr = std::shared_ptr<Socket>;

  void Prepare(Call& call, const HttpCallOptions& options) {
    CURL* easy = curl_easy_init();
    call.m_easy = easy;
    const std::string url =
        "http://" + ToString(options.m_server) + call.m_request.m_target;
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &call);
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    if (options.m_max_duration > Duration{}) {
      curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                       Millis(options.m_max_duration));
      // libcurl measures the speed once in a second.
      constexpr std::chrono::seconds kMinStall{2};
      curl_easy_setopt(easy, CURLOPT_LOW_SPEED_LIMIT, 1L);
      curl_easy_setopt(
          easy, CURLOPT_LOW_SPEED_TIME,
          static_cast<long>(
              std::max(kMinStall, std::chrono::ceil<std::chrono::seconds>(
                                      options.m_timeout))
                  .count()));
    } else {
      curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, Millis(options.m_timeout));
    }
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     Millis(options.m_connect_timeout));
    if (!options.m_is_idempotent) {
      curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
      curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }
    PrepareBody(call);
    PrepareFields(call);
    // The parser joins the chunks.
    curl_easy_setopt(easy, CURLOPT_HTTP_TRANSFER_DECODING, 0L);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &Impl::OnBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &call);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &Impl::OnHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &call);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, &Impl::OnOpenSocket);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, this);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &Impl::OnCloseSocket);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, this);
  }

  static void PrepareBody(Call& call) {
    const HttpRequest& request = call.m_request;
    if (request.m_method == "HEAD") {
      curl_easy_setopt(call.m_easy, CURLOPT_NOBODY, 1L);
      return;
    }
    const bool has_body = !request.m_body.empty() ||
                          request.m_method == "POST" ||
                          request.m_method == "PUT";
    if (has_body) {
      curl_easy_setopt(call.m_easy, CURLOPT_POSTFIELDSIZE_LARGE,
                       static_cast<curl_off_t>(request.m_body.size()));
      curl_easy_setopt(call.m_easy, CURLOPT_POSTFIELDS, request.m_body.data());
    }
    curl_easy_setopt(call.m_easy, CURLOPT_CUSTOMREQUEST,
                     request.m_method.c_str());
  }

  static void PrepareFields(Call& call) {
    for (const HttpField& field : call.m_request.m_fields) {
      const std::string line = field.m_value.empty()
                                   ? field.m_name + ";"
                                   : field.m_name + ": " + field.m_value;
      call.m_fields = curl_slist_append(call.m_fields, line.c_str());
    }
    call.m_fields = curl_slist_append(call.m_fields, "Expect:");
    if (FindField(call.m_request.m_fields, "Content-Type") == nullptr) {
      call.m_fields = curl_slist_append(call.m_fields, "Content-Type:");
    }
    curl_easy_setopt(call.m_easy, CURLOPT_HTTPHEADER, call.m_fields);
  }

  static long Millis(Duration duration) {
    const auto millis =
        std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    return millis > 0 ? static_cast<long>(millis) : 1;
  }

  static size_t OnBody(char* data, size_t size, size_t count, void* user) {
    auto* call = static_cast<Call*>(user);
    const std::string_view bytes(data, size * count);
    if (!call->m_is_head_complete || !Feed(*call, bytes)) {
      call->m_is_refused = true;
      return 0;
    }
    return bytes.size();
  }

  // Called for each line of a head.
  static size_t OnHeader(char* data, size_t size, size_t count, void* user) {
    auto* call = static_cast<Call*>(user);
    const std::string_view line(data, size * count);
    call->m_has_begun = true;
    if (call->m_request.m_method == "HEAD") {
      call->m_parser.ExpectNoBody();
    }
    if (!Feed(*call, line) || !FinishHead(*call)) {
      call->m_is_refused = true;
      return 0;
    }
    return line.size();
  }

  static bool Feed(Call& call, std::string_view bytes) {
    call.m_parser.Feed(bytes);
    return call.m_parser.State() != ParseState::kFailed &&
           call.m_body_share.Set(call.m_parser.BodyBytes());
  }

  // Skips an interim response. Returns false after too many of them.
  static bool FinishHead(Call& call) {
    if (call.m_parser.State() == ParseState::kInHeaders) {
      return true;
    }
    call.m_is_head_complete = call.m_parser.Status() >= kFirstFinalStatus;
    if (call.m_is_head_complete) {
      return true;
    }
    call.m_parser.TakeResponse();
    return ++call.m_interim_responses <= kMaxInterimResponses;
  }

  static curl_socket_t OnOpenSocket(void* user,
                                    curlsocktype purpose,
                                    curl_sockaddr* address) {
    auto* self = static_cast<Impl*>(user);
    if (purpose != CURLSOCKTYPE_IPCXN || address->family != AF_INET) {
      return CURL_SOCKET_BAD;
    }
    asio::ip::tcp::socket socket(self->m_io);
    asio::error_code error;
    socket.open(asio::ip::tcp::v4(), error);
    if (error) {
      return CURL_SOCKET_BAD;
    }
    const curl_socket_t handle = socket.native_handle();
    self->m_sockets[handle] =
        std::make_shared<Socket>(Socket{.m_socket = std::move(socket)});
    return handle;
  }

  static int OnCloseSocket(void* user, curl_socket_t handle) {
    auto* self = static_cast<Impl*>(user);
    const auto it = self->m_sockets.find(handle);
    if (it != self->m_sockets.end()) {
      // Pending waits hold a reference to the socket; closing completes them.
      asio::error_code ignored;
      it->second->m_socket.close(ignored);
      self->m_sockets.erase(it);
    }
    return 0;
  }

  static int OnSocket(CURL* /*easy*/,
                      curl_socket_t handle,
                      int what,
                      void* user,
                      void* /*socket_data*/) {
    auto* self = static_cast<Impl*>(user);
    const auto it = self->m_sockets.find(handle);
    if (it == self->m_sockets.end()) {
      return 0;
    }
    it->second->m_poll_events = what == CURL_POLL_REMOVE ? 0 : what;
    self->Watch(it->second, handle);
    return 0;
  }

  static int OnTimer(CURLM* /*multi*/, long timeout_ms, void* user) {
    static_cast<Impl*>(user)->SetTimer(timeout_ms);
    return 0;
  }

  void SetTimer(long timeout_ms) {
    m_timer.cancel();
    if (timeout_ms < 0) {
      return;
    }
    m_timer.expires_after(std::chrono::milliseconds(timeout_ms));
    m_timer.async_wait(
        [weak = weak_from_this()](const asio::error_code& error) {
          const auto self = weak.lock();
          if (!error && self != nullptr) {
            self->ProcessSocketEvent(CURL_SOCKET_TIMEOUT, 0);
          }
        });
  }

  void Watch(const SocketPtr& socket, curl_socket_t handle) {
    if ((socket->m_poll_events & CURL_POLL_IN) != 0 && !socket->m_is_reading) {
      socket->m_is_reading = true;
      socket->m_socket.async_wait(
          asio::ip::tcp::socket::wait_read,
          [weak = weak_from_this(), socket, handle](const auto& error) {
            socket->m_is_reading = false;
            OnReady(weak, socket, handle, CURL_CSELECT_IN, error);
          });
    }
    if ((socket->m_poll_events & CURL_POLL_OUT) != 0 && !socket->m_is_writing) {
      socket->m_is_writing = true;
      socket->m_socket.async_wait(
          asio::ip::tcp::socket::wait_write,
          [weak = weak_from_this(), socket, handle](const auto& error) {
            socket->m_is_writing = false;
            OnReady(weak, socket, handle, CURL_CSELECT_OUT, error);
          });
    }
  }

  static void OnReady(const std::weak_ptr<Impl>& weak,
                      const SocketPtr& socket,
                      curl_socket_t handle,
                      int event,
                      const asio::error_code& error) {
    const auto self = weak.lock();
    if (self == nullptr || error == asio::error::operation_aborted ||
        !self->IsCurrent(socket, handle)) {
      return;
    }
    const int poll_bit =
        event == CURL_CSELECT_IN ? CURL_POLL_IN : CURL_POLL_OUT;
    if ((socket->m_poll_events & poll_bit) != 0) {
      self->ProcessSocketEvent(handle, error ? CURL_CSELECT_ERR : event);
    }
    if (self->IsCurrent(socket, handle)) {
      self->Watch(socket, handle);
    }
  }

  bool IsCurrent(const SocketPtr& socket, curl_socket_t handle) const {
    const auto it = m_sockets.find(handle);
    return it != m_sockets.end() && it->second == socket;
  }

  void ProcessSocketEvent(curl_socket_t handle, int events) {
    int running = 0;
    curl_multi_socket_action(m_multi, handle, events, &running);
    CompleteFinishedCalls();
  }

  void CompleteFinishedCalls() {
    int left = 0;
    while (m_multi != nullptr) {
      const CURLMsg* message = curl_multi_info_read(m_multi, &left);
      if (message == nullptr) {
        return;
      }
      if (message->msg == CURLMSG_DONE) {
        Complete(message->easy_handle, message->data.result);
      }
    }
  }

  void Complete(CURL* easy, CURLcode code) {
    Call* raw = nullptr;
    curl_easy_getinfo(easy, CURLINFO_PRIVATE, &raw);
    const auto it = m_calls.find(raw->m_id);
    const std::unique_ptr<Call> call = std::move(it->second);
    m_calls.erase(it);
    HttpCallResult result = BuildResult(*call, code);
    Detach(*call);
    call->m_callback(std::move(result));
  }

  static HttpCallResult BuildResult(Call& call, CURLcode code) {
    HttpCallResult result;
    result.m_error = ClassifyError(call, code);
    if (result.m_error == HttpCallError::kNone) {
      result.m_response = call.m_parser.TakeResponse();
    } else if (call.m_is_refused) {
      result.m_reason = "the answer is malformed or too large";
    } else if (code == CURLE_OK) {
      result.m_reason = "the end of the answer can't be told";
    } else {
      result.m_reason = curl_easy_strerror(code);
    }
    return result;
  }

  static HttpCallError ClassifyError(const Call& call, CURLcode code) {
    if (code == CURLE_OK) {
      // libcurl reports success when the connection closes within the head, or
      // at the end of a body that has no length.
      return call.m_is_head_complete &&
                     call.m_parser.State() == ParseState::kComplete
                 ? HttpCallError::kNone
                 : HttpCallError::kIncomplete;
    }
    if (NothingWasSent(call.m_easy, code)) {
      return HttpCallError::kConnectFailed;
    }
    if (code == CURLE_OPERATION_TIMEDOUT) {
      return HttpCallError::kTimeout;
    }
    return call.m_has_begun ? HttpCallError::kIncomplete
                            : HttpCallError::kFailed;
  }

  void Detach(Call& call) {
    if (call.m_easy != nullptr) {
      curl_multi_remove_handle(m_multi, call.m_easy);
      curl_easy_cleanup(call.m_easy);
      call.m_easy = nullptr;
    }
    curl_slist_free_all(call.m_fields);
    call.m_fields = nullptr;
  }

  asio::io_context& m_io;
  asio::steady_timer m_timer;
  std::shared_ptr<BodyBudget> m_budget;
  CURLM* m_multi = nullptr;
  CallId m_last_call_id = 0;
  std::unordered_map<CallId, std::unique_ptr<Call>> m_calls;
  std::unordered_map<curl_socket_t, SocketPtr> m_sockets;
};

HttpClient::HttpClient(asio::io_context& io, std::shared_ptr<BodyBudget> budget)
    : m_impl(std::make_shared<Impl>(io, std::move(budget))) {}

HttpClient::~HttpClient() {
  m_impl->Close();
}

HttpClient::CallId HttpClient::Start(const HttpCallOptions& options,
                                     HttpRequest request,
                                     Callback callback) {
  return m_impl->Start(options, std::move(request), std::move(callback));
}

void HttpClient::Cancel(CallId call) {
  m_impl->Cancel(call);
}

}  // namespace sequoiastage
