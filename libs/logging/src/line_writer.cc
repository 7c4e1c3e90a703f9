#include "sequoiastage/logging/line_writer.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>
#include <utility>

namespace sequoiastage {

void LineWriter::Write(std::string line, bool is_routine) {
  const size_t room = is_routine ? m_max_bytes / 2 : m_max_bytes;
  if (m_kept_bytes + line.size() > room) {
    Flush();
  }
  if (m_kept_bytes + line.size() > room) {
    ++m_dropped;
    return;
  }
  m_kept_bytes += line.size();
  m_kept.push_back(std::move(line));
  Flush();
}

void LineWriter::Flush() {
  while (!m_kept.empty() && WriteSome()) {
  }
}

bool LineWriter::WriteSome() {
  pollfd ready{.fd = m_fd, .events = POLLOUT, .revents = 0};
  if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
    return false;
  }
  // A pipe that is ready takes this many bytes without blocking.
  std::string& line = m_kept.front();
  const size_t size = std::min<size_t>(line.size() - m_written, PIPE_BUF);
  const ssize_t written = write(m_fd, line.data() + m_written, size);
  if (written <= 0) {
    return false;
  }
  m_written += static_cast<size_t>(written);
  if (m_written == line.size()) {
    m_kept_bytes -= line.size();
    m_kept.pop_front();
    m_written = 0;
  }
  return true;
}

}  // namespace sequoiastage
