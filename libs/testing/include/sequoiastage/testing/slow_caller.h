#ifndef SEQUOIASTAGE_TESTING_SLOW_CALLER_H_
#define SEQUOIASTAGE_TESTING_SLOW_CALLER_H_

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <string>
#include <utility>

#include "sequoiastage/base/ids.h"

namespace sequoiastage {

/// A caller that may be slow, for tests: it writes without blocking, reads only
/// once told to, and has little room for unread data.
class SlowCaller {
 public:
  SlowCaller(asio::io_context& io, const Endpoint& server) : m_socket(io) {
    constexpr int kReceiveBuffer = 4096;
    m_socket.open(asio::ip::tcp::v4());
    m_socket.set_option(asio::socket_base::receive_buffer_size(kReceiveBuffer));
    m_socket.connect(asio::ip::tcp::endpoint(asio::ip::address_v4(server.m_ip),
                                             server.m_port));
  }

  /// Call again only after the earlier bytes were written.
  void Write(std::string bytes) {
    m_output = std::move(bytes);
    asio::async_write(m_socket, asio::buffer(m_output),
                      [](const asio::error_code&, size_t) {});
  }

  void StartReading() {
    m_socket.async_read_some(asio::buffer(m_chunk),
                             [this](const asio::error_code& error, size_t n) {
                               if (error == asio::error::operation_aborted) {
                                 return;  // This object may be destroyed.
                               }
                               if (error) {
                                 m_is_closed = true;
                                 return;
                               }
                               m_received.append(m_chunk.data(), n);
                               StartReading();
                             });
  }

  bool HasStatus(int status) const {
    return m_received.starts_with("HTTP/1.1 " + std::to_string(status));
  }

  /// Whether a response with status 200 and a body of this size has been read.
  bool HasResponse(size_t body_bytes) const {
    const size_t body = m_received.find("\r\n\r\n");
    return HasStatus(200) && body != std::string::npos &&
           m_received.size() - body - 4 == body_bytes;
  }

  std::string m_received;
  bool m_is_closed = false;

 private:
  asio::ip::tcp::socket m_socket;
  std::string m_output;
  std::array<char, 16384> m_chunk{};
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_TESTING_SLOW_CALLER_H_
