#include "sequoiastage/logging/line_writer.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>
#include <utility>

namespace sequoiastage {

void LineWriter::Write(std::string line, bool is_routine) {
  const size_t capacity = is_routine ? m_max_bytes / 2 : m_max_bytes;
  if (m_buffered_bytes + line.size() > capacity) {
    Flush();
  }
  if (m_buffered_bytes + line.size() > capacity) {
    ++m_dropped_lines;
    return;
  }
  m_buffered_bytes += line.size();
  m_lines.push_back(std::move(line));
  Flush();
}

void LineWriter::Flush() {
  while (!m_lines.empty() && WriteChunk()) {
  }
}

bool LineWriter::WriteChunk() {
  pollfd poll_entry{.fd = m_fd, .events = POLLOUT, .revents = 0};
  if (poll(&poll_entry, 1, 0) != 1 || (poll_entry.revents & POLLOUT) == 0) {
    return false;
  }
  // A pipe that is ready for writing accepts PIPE_BUF bytes without blocking.
  std::string& line = m_lines.front();
  const size_t size = std::min<size_t>(line.size() - m_written_bytes, PIPE_BUF);
  const ssize_t written = write(m_fd, line.data() + m_written_bytes, size);
  if (written <= 0) {
    return false;
  }
  m_written_bytes += static_cast<size_t>(written);
  if (m_written_bytes == line.size()) {
    m_buffered_bytes -= line.size();
    m_lines.pop_front();
    m_written_bytes = 0;
  }
  return true;
}

}  // namespace sequoiastage
