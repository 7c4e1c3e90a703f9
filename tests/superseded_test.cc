#include <gtest/gtest.h>

#include <array>
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>

#include "fleet.h"
#include "sequoiastage/base/time.h"
#include "sequoiastage/membership/membership.h"

namespace sequoiastage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Member without a daemon: runs the membership logic on a socket of its own.
class StandaloneMember {
 public:
  StandaloneMember(NodeId node, NodeId seed)
      : m_socket(m_io,
                 {asio::ip::address_v4(node.Get().m_ip), node.Get().m_port}),
        m_membership({.m_node = node,
                      .m_incarnation = Incarnation(1),
                      .m_region = "hobart",
                      .m_failure_domain = "hobart-0",
                      .m_site = "hobart",
                      .m_seeds = {seed}},
                     Now()) {
    m_socket.non_blocking(true);
  }

  Membership& Members() { return m_membership; }

  // Handles received datagrams and sends those that are due.
  void Poll() {
    std::array<uint8_t, 2048> buffer{};
    asio::ip::udp::endpoint from;
    asio::error_code error;
    size_t count = m_socket.receive_from(asio::buffer(buffer), from, 0, error);
    while (!error) {
      const NodeId sender(Endpoint{.m_ip = from.address().to_v4().to_uint(),
                                   .m_port = from.port()});
      Send(m_membership.OnDatagram(sender, std::span(buffer).first(count),
                                   Now()));
      count = m_socket.receive_from(asio::buffer(buffer), from, 0, error);
    }
    Send(m_membership.OnTick(Now()));
  }

 private:
  void Send(const std::vector<OutgoingDatagram>& datagrams) {
    for (const OutgoingDatagram& datagram : datagrams) {
      const Endpoint& to = datagram.m_to.Get();
      asio::error_code ignored;
      m_socket.send_to(asio::buffer(datagram.m_bytes),
                       {asio::ip::address_v4(to.m_ip), to.m_port}, 0, ignored);
    }
  }

  asio::io_context m_io;
  asio::ip::udp::socket m_socket;
  Membership m_membership;
};

// Sends `member` the gossip of an incarnation `incarnation` of `node`.
void AnnounceIncarnation(Membership& member,
                         NodeId node,
                         Incarnation incarnation) {
  Membership run({.m_node = node,
                  .m_incarnation = incarnation,
                  .m_region = "hobart",
                  .m_failure_domain = "hobart-0",
                  .m_site = "hobart",
                  .m_seeds = {member.LocalEntry().m_node}},
                 Now());
  const NodeId other = member.LocalEntry().m_node;
  for (int round = 0; round < 20; ++round) {
    const TimePoint now = Now() + round * seconds(1);
    auto to_member = run.OnTick(now);
    while (!to_member.empty()) {
      std::vector<OutgoingDatagram> responses;
      for (const OutgoingDatagram& datagram : to_member) {
        for (const OutgoingDatagram& reply :
             member.OnDatagram(node, datagram.m_bytes, Now())) {
          const auto more = run.OnDatagram(other, reply.m_bytes, now);
          responses.insert(responses.end(), more.begin(), more.end());
        }
      }
      to_member = std::move(responses);
    }
  }
  EXPECT_TRUE(member.Find(node).has_value());
}

// The previous incarnation on the same address had a clock one hour ahead, so
// the new one is superseded and restarts with a higher incarnation.
TEST(SupersededTest, NodeWithAClockBehindRestartsWithAHigherIncarnation) {
  Fleet fleet({.m_nodes = 2, .m_instances_per_node = 1});
  ASSERT_EQ(fleet.Start(), "");
  const NodeId node(fleet.Peer(0));
  Endpoint member_endpoint = fleet.Peer(1);
  member_endpoint.m_port += 1000;
  StandaloneMember member(NodeId(member_endpoint), node);
  const auto ahead = static_cast<uint64_t>(
      (WallNow() + std::chrono::hours(1)).time_since_epoch().count());
  AnnounceIncarnation(member.Members(), node, Incarnation(ahead));
  EXPECT_TRUE(WaitUntil(milliseconds(30'000), [&] {
    member.Poll();
    return fleet.Incarnations(0).size() > 1;
  }));
  const auto incarnations = fleet.Incarnations(0);
  ASSERT_EQ(incarnations.size(), 2U);
  EXPECT_GT(incarnations.back(), ahead);
  EXPECT_TRUE(
      WaitUntil(milliseconds(15'000), [&fleet] { return fleet.IsServing(0); }));
}

}  // namespace
}  // namespace sequoiastage
