#include <asio/io_context.hpp>

#include "sequoiastage/logclient/log_client.h"

namespace sequoiastage {

class BlockingTransport::Impl {
 public:
  Impl() : m_client(m_io) {}

  HttpCallResult Call(const HttpCallOptions& options, HttpRequest request) {
    std::optional<HttpCallResult> result;
    m_client.Start(options, std::move(request),
                   [&result](HttpCallResult got) { result = std::move(got); });
    m_io.restart();
    while (!result && m_io.run_one() > 0) {
    }
    return std::move(result).value_or(
        HttpCallResult{.m_error = HttpCallError::kFailed,
                       .m_reason = "the call ended without a result"});
  }

 private:
  asio::io_context m_io;
  HttpClient m_client;
};

BlockingTransport::BlockingTransport() : m_impl(std::make_unique<Impl>()) {}
BlockingTransport::BlockingTransport(BlockingTransport&&) noexcept = default;
BlockingTransport& BlockingTransport::operator=(BlockingTransport&&) noexcept =
    default;
BlockingTransport::~BlockingTransport() = default;

HttpCallResult BlockingTransport::Call(const HttpCallOptions& options,
                                       HttpRequest request) {
  return m_impl->Call(options, std::move(request));
}

}  // namespace sequoiastage
