#include "gossip_socket_p.h"

#include <asio/buffer.hpp>
#include <exception>
#include <utility>

namespace sequoiastage {

GossipSocket::GossipSocket(asio::io_context& io,
                           const Endpoint& bind,
                           Handler handler)
    : m_socket(io), m_bind(bind), m_handler(std::move(handler)) {}

bool GossipSocket::Start() {
  const asio::ip::udp::endpoint local(asio::ip::address_v4(m_bind.m_ip),
                                      m_bind.m_port);
  try {
    m_socket.open(local.protocol());
    m_socket.bind(local);
    m_socket.non_blocking(true);
  } catch (const std::exception& error) {
    m_last_reason = error.what();
    return false;
  }
  Receive();
  return true;
}

void GossipSocket::Stop() {
  asio::error_code ignored;
  m_socket.close(ignored);
}

// Send errors are ignored: the membership protocol tolerates lost datagrams.
void GossipSocket::Send(const std::vector<OutgoingDatagram>& datagrams) {
  for (const OutgoingDatagram& datagram : datagrams) {
    const Endpoint& to = datagram.m_to.Get();
    asio::error_code ignored;
    m_socket.send_to(asio::buffer(datagram.m_bytes),
                     {asio::ip::address_v4(to.m_ip), to.m_port}, 0, ignored);
  }
}

void GossipSocket::Receive() {
  m_socket.async_receive_from(
      asio::buffer(m_buffer), m_from,
      [this](const asio::error_code& error, size_t count) {
        if (error == asio::error::operation_aborted || !m_socket.is_open()) {
          return;
        }
        if (!error) {
          const NodeId from(Endpoint{.m_ip = m_from.address().to_v4().to_uint(),
                                     .m_port = m_from.port()});
          m_handler(from, std::span(m_buffer).first(count));
        }
        Receive();
      });
}

}  // namespace sequoiastage
