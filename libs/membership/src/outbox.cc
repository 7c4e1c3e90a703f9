#include "outbox_p.h"

#include <algorithm>
#include <utility>

namespace sequoiastage {

void Outbox::Send(NodeId to, const DatagramPart& part) {
  const auto open = std::find_if(m_open.begin(), m_open.end(),
                                 [to](const Open& o) { return o.m_to == to; });
  if (open == m_open.end()) {
    m_open.push_back({.m_to = to, .m_writer = DatagramWriter(m_header)});
    m_open.back().m_writer.Add(part);
    return;
  }
  if (open->m_writer.Add(part)) {
    return;
  }
  m_done.push_back({.m_to = to, .m_bytes = open->m_writer.Take()});
  open->m_writer = DatagramWriter(m_header);
  open->m_writer.Add(part);
}

void Outbox::SendEncoded(NodeId to, std::vector<uint8_t> bytes) {
  m_done.push_back({.m_to = to, .m_bytes = std::move(bytes)});
}

std::vector<OutgoingDatagram> Outbox::Take() {
  for (Open& open : m_open) {
    if (!open.m_writer.IsEmpty()) {
      m_done.push_back({.m_to = open.m_to, .m_bytes = open.m_writer.Take()});
    }
  }
  m_open.clear();
  return std::move(m_done);
}

}  // namespace sequoiastage
