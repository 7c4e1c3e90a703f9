#include "outbox_p.h"

#include <algorithm>
#include <utility>

namespace sequoiastage {

void Outbox::Send(NodeId to, const MembershipMessage& message) {
  const auto open =
      std::find_if(m_open_datagrams.begin(), m_open_datagrams.end(),
                   [to](const OpenDatagram& o) { return o.m_to == to; });
  if (open == m_open_datagrams.end()) {
    m_open_datagrams.push_back(
        {.m_to = to, .m_writer = DatagramWriter(m_header)});
    m_open_datagrams.back().m_writer.Add(message);
    return;
  }
  if (open->m_writer.Add(message)) {
    return;
  }
  m_finished.push_back({.m_to = to, .m_bytes = open->m_writer.Finish()});
  open->m_writer = DatagramWriter(m_header);
  open->m_writer.Add(message);
}

void Outbox::SendEncoded(NodeId to, std::vector<uint8_t> bytes) {
  m_finished.push_back({.m_to = to, .m_bytes = std::move(bytes)});
}

std::vector<OutgoingDatagram> Outbox::Flush() {
  for (OpenDatagram& open : m_open_datagrams) {
    if (!open.m_writer.IsEmpty()) {
      m_finished.push_back(
          {.m_to = open.m_to, .m_bytes = open.m_writer.Finish()});
    }
  }
  m_open_datagrams.clear();
  return std::move(m_finished);
}

}  // namespace sequoiastage
