#ifndef SEQUOIASTAGE_MEMBERSHIP_OUTBOX_P_H_
#define SEQUOIASTAGE_MEMBERSHIP_OUTBOX_P_H_

#include <vector>

#include "datagram_p.h"

namespace sequoiastage {

/// Collects the parts one call sends; parts for one node share datagrams.
class Outbox {
 public:
  explicit Outbox(const DatagramHeader& header) : m_header(header) {}

  void Send(NodeId to, const DatagramPart& part);
  void SendEncoded(NodeId to, std::vector<uint8_t> bytes);
  std::vector<OutgoingDatagram> Take();

 private:
  struct Open {
    NodeId m_to;
    DatagramWriter m_writer;
  };

  DatagramHeader m_header;
  std::vector<Open> m_open;
  std::vector<OutgoingDatagram> m_done;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MEMBERSHIP_OUTBOX_P_H_
