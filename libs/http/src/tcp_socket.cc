#include "sequoiastage/http/tcp_socket.h"

#include <fmt/format.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <asio/steady_timer.hpp>
#include <utility>

namespace sequoiastage {

namespace {

constexpr int kListenBacklog = 1024;
// Delay after a failed accept(), for example when out of descriptors.
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(100);

}  // namespace

struct TcpListener::State {
  explicit State(asio::io_context& io) : m_acceptor(io), m_retry_timer(io) {}

  asio::ip::tcp::acceptor m_acceptor;
  asio::steady_timer m_retry_timer;
  Handler m_handler;
  // Set by ~TcpListener(); its owner may be destroyed as well.
  bool m_is_destroyed = false;
};

TcpListener::TcpListener(asio::io_context& io)
    : m_state(std::make_shared<State>(io)) {}

TcpListener::~TcpListener() {
  m_state->m_is_destroyed = true;
  Stop();
}

bool TcpListener::Start(const Endpoint& listen, Handler on_accepted) {
  asio::ip::tcp::acceptor& acceptor = m_state->m_acceptor;
  const asio::ip::tcp::endpoint endpoint(asio::ip::address_v4(listen.m_ip),
                                         listen.m_port);
  asio::error_code error;
  acceptor.open(endpoint.protocol(), error);
  if (!error) {
    acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    acceptor.bind(endpoint, error);
  }
  if (!error) {
    acceptor.listen(kListenBacklog, error);
  }
  if (error) {
    m_last_reason = fmt::format("can't listen on {}: {}", ToString(listen),
                                error.message());
    return false;
  }
  m_state->m_handler = std::move(on_accepted);
  Accept(m_state);
  return true;
}

void TcpListener::Accept(const std::shared_ptr<State>& state) {
  state->m_acceptor.async_accept([state](const asio::error_code& error,
                                         asio::ip::tcp::socket socket) {
    if (state->m_is_destroyed) {
      return;
    }
    if (!error) {
      try {
        state->m_handler(std::move(socket));
      } catch (const std::exception&) {
        RethrowLater(state->m_acceptor.get_executor());
      }
    }
    if (!state->m_acceptor.is_open()) {
      return;
    }
    if (!error) {
      Accept(state);
      return;
    }
    state->m_retry_timer.expires_after(kAcceptRetryDelay);
    state->m_retry_timer.async_wait([state](const asio::error_code& cancelled) {
      if (!cancelled && state->m_acceptor.is_open()) {
        Accept(state);
      }
    });
  });
}

void TcpListener::AcceptPending() {
  asio::ip::tcp::acceptor& acceptor = m_state->m_acceptor;
  asio::error_code error;
  acceptor.non_blocking(true, error);
  while (!error) {
    asio::ip::tcp::socket socket(acceptor.get_executor());
    acceptor.accept(socket, error);
    if (!error) {
      m_state->m_handler(std::move(socket));
    }
  }
}

void TcpListener::Stop() {
  asio::error_code ignored;
  m_state->m_acceptor.close(ignored);
  m_state->m_retry_timer.cancel();
}

void TuneSocket(asio::ip::tcp::socket& socket, Duration user_timeout) {
  asio::error_code ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  const auto milliseconds = static_cast<unsigned>(
      std::chrono::duration_cast<std::chrono::milliseconds>(user_timeout)
          .count());
  setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
             &milliseconds, sizeof(milliseconds));
}

void LimitUnsentBytes(asio::ip::tcp::socket& socket, int bytes) {
  setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_NOTSENT_LOWAT, &bytes,
             sizeof(bytes));
}

}  // namespace sequoiastage
