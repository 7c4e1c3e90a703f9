#ifndef SEQUOIASTAGE_TESTING_RAW_CALLER_H_
#define SEQUOIASTAGE_TESTING_RAW_CALLER_H_

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <string>

#include "sequoiastage/base/ids.h"

namespace sequoiastage {

/// Sends raw bytes over one connection and records the bytes received.
class RawCaller {
 public:
  RawCaller(asio::io_context& io, const Endpoint& server) : m_socket(io) {
    m_socket.connect(asio::ip::tcp::endpoint(asio::ip::address_v4(server.m_ip),
                                             server.m_port));
    Read();
  }

  void Write(const std::string& bytes) {
    asio::write(m_socket, asio::buffer(bytes));
  }

  void Close() { m_socket.close(); }

  std::string m_received;
  bool m_is_closed = false;

 private:
  void Read() {
    m_socket.async_read_some(asio::buffer(m_chunk),
                             [this](const asio::error_code& error, size_t n) {
                               if (error) {
                                 m_is_closed = true;
                                 return;
                               }
                               m_received.append(m_chunk.data(), n);
                               Read();
                             });
  }

  asio::ip::tcp::socket m_socket;
  std::array<char, 4096> m_chunk;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_TESTING_RAW_CALLER_H_
