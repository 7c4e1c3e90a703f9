#ifndef SEQUOIASTAGE_MEMBERSHIP_OUTBOX_P_H_
#define SEQUOIASTAGE_MEMBERSHIP_OUTBOX_P_H_

#include <vector>

#include "datagram_p.h"

namespace sequoiastage {

/// Collects the messages sent by one call and packs those for the same node
/// into shared datagrams.
class Outbox {
 public:
  explicit Outbox(const DatagramHeader& header) : m_header(header) {}

  void Send(NodeId to, const MembershipMessage& message);
  void SendEncoded(NodeId to, std::vector<uint8_t> bytes);
  std::vector<OutgoingDatagram> Flush();

 private:
  struct OpenDatagram {
    NodeId m_to;
    DatagramWriter m_writer;
  };

  DatagramHeader m_header;
  std::vector<OpenDatagram> m_open_datagrams;
  std::vector<OutgoingDatagram> m_finished;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MEMBERSHIP_OUTBOX_P_H_
