#ifndef SEQUOIASTAGE_LOGGING_LINE_WRITER_H_
#define SEQUOIASTAGE_LOGGING_LINE_WRITER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace sequoiastage {

/// Writes lines to a file descriptor without ever waiting for its reader. What
/// the descriptor does not take at once is kept up to a bound; beyond it lines
/// are dropped and counted. Half of the room is left to lines that are not
/// routine. Not thread-safe.
class LineWriter {
 public:
  /// `max_bytes`: lines kept while the reader is slow.
  LineWriter(int fd, size_t max_bytes) : m_fd(fd), m_max_bytes(max_bytes) {}

  /// `line` with its end. Writes what the descriptor takes.
  void Write(std::string line, bool is_routine);

  /// Writes more of what is kept.
  void Flush();

  uint64_t Dropped() const { return m_dropped; }
  size_t KeptBytes() const { return m_kept_bytes; }

 private:
  bool WriteSome();

  int m_fd;
  size_t m_max_bytes;
  std::deque<std::string> m_kept;
  // Bytes of the first kept line that are written.
  size_t m_written = 0;
  size_t m_kept_bytes = 0;
  uint64_t m_dropped = 0;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_LOGGING_LINE_WRITER_H_
