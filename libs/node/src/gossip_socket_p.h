#ifndef SEQUOIASTAGE_NODE_GOSSIP_SOCKET_P_H_
#define SEQUOIASTAGE_NODE_GOSSIP_SOCKET_P_H_

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <functional>
#include <span>
#include <string>
#include <vector>

#include "sequoiastage/membership/membership.h"

namespace sequoiastage {

// UDP socket for the datagrams of the membership protocol.
class GossipSocket {
 public:
  using Handler = std::function<void(NodeId, std::span<const uint8_t>)>;

  GossipSocket(asio::io_context& io, const Endpoint& bind, Handler handler);

  // Binds the address. Returns false and sets LastReason() on failure.
  bool Start();
  void Stop();
  void Send(const std::vector<OutgoingDatagram>& datagrams);
  const std::string& LastReason() const { return m_last_reason; }

 private:
  void Receive();

  asio::ip::udp::socket m_socket;
  Endpoint m_bind;
  Handler m_handler;
  std::array<uint8_t, 2048> m_buffer{};
  asio::ip::udp::endpoint m_from;
  std::string m_last_reason;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_NODE_GOSSIP_SOCKET_P_H_
