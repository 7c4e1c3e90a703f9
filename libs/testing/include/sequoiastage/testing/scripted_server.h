#ifndef SEQUOIASTAGE_TESTING_SCRIPTED_SERVER_H_
#define SEQUOIASTAGE_TESTING_SCRIPTED_SERVER_H_

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>

#include "sequoiastage/base/ids.h"

namespace sequoiastage {

/// How a server ends a connection.
enum class ConnectionEnd : uint8_t {
  /// Half-closes it and reads until the client has closed it as well.
  kClose,
  /// Resets it.
  kReset,
  /// Closes it with unread bytes, for which the kernel resets it.
  kAbandon,
  /// Half-closes it and then resets it.
  kCloseThenReset,
  /// Keeps it open until the client closes it.
  kStayOpen,
};

struct ServerScript {
  std::string m_response;
  /// Sent after m_response without end until the client closes the connection;
  /// empty: nothing.
  std::string m_repeated{};
  /// Bytes of the request that are read before the response.
  size_t m_read_bytes = 1;
  /// Time between the response and the end of the connection.
  std::chrono::milliseconds m_delay{};
  ConnectionEnd m_end = ConnectionEnd::kClose;
};

/// A server that treats each connection in the same way, whatever the client
/// sends.
class ScriptedServer {
 public:
  explicit ScriptedServer(
      asio::io_context& io,
      ServerScript script = {},
      const Endpoint& listen = {.m_ip =
                                    asio::ip::address_v4::loopback().to_uint()})
      : m_acceptor(io,
                   {asio::ip::address_v4(listen.m_ip), listen.m_port},
                   true),
        m_state(std::make_shared<State>()) {
    m_state->SetRepeated(script.m_repeated);
    m_state->m_script = std::move(script);
    Accept();
  }

  Endpoint Address() const {
    const auto local = m_acceptor.local_endpoint();
    return {.m_ip = local.address().to_v4().to_uint(), .m_port = local.port()};
  }

  /// Applies to connections whose response has not been sent.
  void SetResponse(std::string response) {
    m_state->m_script.m_response = std::move(response);
  }
  void SetEnd(ConnectionEnd end) { m_state->m_script.m_end = end; }

  void SetRepeated(const std::string& repeated) {
    m_state->SetRepeated(repeated);
  }

  /// Connections whose response was sent.
  size_t Responses() const { return m_state->m_responses; }
  /// Bytes written to all connections.
  size_t SentBytes() const { return m_state->m_sent_bytes; }
  /// Connections that the client has closed.
  size_t ClosedByClient() const { return m_state->m_closed_by_client; }

 private:
  struct State {
    void SetRepeated(const std::string& repeated) {
      constexpr size_t kBlockBytes = size_t{64} << 10;
      std::string block;
      while (!repeated.empty() && block.size() < kBlockBytes) {
        block += repeated;
      }
      m_block = std::make_shared<const std::string>(std::move(block));
    }

    ServerScript m_script;
    // m_repeated of the script, many times.
    std::shared_ptr<const std::string> m_block;
    size_t m_responses = 0;
    size_t m_sent_bytes = 0;
    size_t m_closed_by_client = 0;
  };

  class Connection : public std::enable_shared_from_this<Connection> {
   public:
    Connection(asio::ip::tcp::socket socket, std::shared_ptr<State> state)
        : m_socket(std::move(socket)),
          m_timer(m_socket.get_executor()),
          m_state(std::move(state)) {}

    void Read() {
      if (m_read_bytes >= m_state->m_script.m_read_bytes) {
        ++m_state->m_responses;
        m_output = m_state->m_script.m_response;
        m_block = m_state->m_block;
        Write(m_output);
        return;
      }
      m_socket.async_read_some(
          asio::buffer(m_chunk),
          [self = shared_from_this()](const asio::error_code& error,
                                      size_t count) {
            self->m_read_bytes += count;
            if (!error) {
              self->Read();
            }
          });
    }

   private:
    void Write(const std::string& bytes) {
      asio::async_write(m_socket, asio::buffer(bytes),
                        [self = shared_from_this()](
                            const asio::error_code& error, size_t count) {
                          State& state = *self->m_state;
                          state.m_sent_bytes += count;
                          if (error) {
                            ++state.m_closed_by_client;
                          } else if (!self->m_block->empty()) {
                            self->Write(*self->m_block);
                          } else {
                            self->EndLater();
                          }
                        });
    }

    void EndLater() {
      m_timer.expires_after(m_state->m_script.m_delay);
      m_timer.async_wait([self = shared_from_this()](const asio::error_code&) {
        self->End();
      });
    }

    void End() {
      asio::error_code ignored;
      const ConnectionEnd end = m_state->m_script.m_end;
      if (end == ConnectionEnd::kClose ||
          end == ConnectionEnd::kCloseThenReset) {
        m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
      }
      if (end == ConnectionEnd::kClose || end == ConnectionEnd::kStayOpen) {
        Drain();
        return;
      }
      if (end != ConnectionEnd::kAbandon) {
        m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
      }
      m_socket.close(ignored);
    }

    void Drain() {
      m_socket.async_read_some(
          asio::buffer(m_chunk),
          [self = shared_from_this()](const asio::error_code& error, size_t) {
            if (error) {
              ++self->m_state->m_closed_by_client;
            } else {
              self->Drain();
            }
          });
    }

    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    std::shared_ptr<State> m_state;
    size_t m_read_bytes = 0;
    std::string m_output;
    std::shared_ptr<const std::string> m_block;
    std::array<char, size_t{16} << 10> m_chunk{};
  };

  void Accept() {
    m_acceptor.async_accept(
        [this](const asio::error_code& error, asio::ip::tcp::socket socket) {
          if (error) {
            return;  // This object may be destroyed.
          }
          std::make_shared<Connection>(std::move(socket), m_state)->Read();
          Accept();
        });
  }

  asio::ip::tcp::acceptor m_acceptor;
  std::shared_ptr<State> m_state;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_TESTING_SCRIPTED_SERVER_H_
