#ifndef SEQUOIASTAGE_LOGGING_LINE_WRITER_H_
#define SEQUOIASTAGE_LOGGING_LINE_WRITER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace sequoiastage {

/// Writes lines to a file descriptor without ever blocking on its reader. Lines
/// that the descriptor does not accept at once are buffered up to a limit;
/// lines beyond it are dropped and counted. Half of the buffer is reserved for
/// lines that are not routine. Not thread-safe.
class LineWriter {
 public:
  /// `max_bytes`: size limit of the buffered lines.
  LineWriter(int fd, size_t max_bytes) : m_fd(fd), m_max_bytes(max_bytes) {}

  /// Queues `line`, which includes its newline, and writes as much as the
  /// descriptor accepts. Drops the line when the buffer is full.
  void Write(std::string line, bool is_routine);

  /// Writes as many of the buffered lines as the descriptor accepts.
  void Flush();

  uint64_t DroppedLines() const { return m_dropped_lines; }
  size_t BufferedBytes() const { return m_buffered_bytes; }

 private:
  bool WriteChunk();

  int m_fd;
  size_t m_max_bytes;
  std::deque<std::string> m_lines;
  // Bytes of the first buffered line that are already written.
  size_t m_written_bytes = 0;
  size_t m_buffered_bytes = 0;
  uint64_t m_dropped_lines = 0;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_LOGGING_LINE_WRITER_H_
