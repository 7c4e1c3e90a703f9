#include "sequoiastage/logging/line_writer.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <string>

namespace sequoiastage {
namespace {

class LineWriterTest : public testing::Test {
 protected:
  LineWriterTest() { EXPECT_EQ(pipe(m_pipe), 0); }
  ~LineWriterTest() override {
    close(m_pipe[0]);
    close(m_pipe[1]);
  }

  std::string ReadPipe(size_t size) {
    std::string text(size, '\0');
    const ssize_t count = read(m_pipe[0], text.data(), size);
    text.resize(count > 0 ? static_cast<size_t>(count) : 0);
    return text;
  }

  int m_pipe[2] = {-1, -1};
};

TEST_F(LineWriterTest, WritesLinesInOrder) {
  LineWriter writer(m_pipe[1], 1000);
  writer.Write("a\n", true);
  writer.Write("b\n", false);
  EXPECT_EQ(ReadPipe(100), "a\nb\n");
  EXPECT_EQ(writer.BufferedBytes(), 0U);
}

// With a reader that has stopped reading, writing returns at once, memory stays
// bounded, and routine lines are dropped before others.
TEST_F(LineWriterTest, NeverBlocksAndDropsRoutineLinesFirst) {
  constexpr size_t kMax = size_t{64} * 1024;
  LineWriter writer(m_pipe[1], kMax);
  const std::string line(1023, 'x');
  for (int i = 0; i < 1000; ++i) {
    writer.Write(line + "\n", true);
  }
  EXPECT_GT(writer.DroppedLines(), 0U);
  EXPECT_LE(writer.BufferedBytes(), kMax / 2);
  const uint64_t dropped = writer.DroppedLines();
  writer.Write("important\n", false);
  EXPECT_EQ(writer.DroppedLines(), dropped);
  EXPECT_LE(writer.BufferedBytes(), kMax);
  std::string all;
  for (std::string chunk = ReadPipe(65536); !chunk.empty();) {
    all += chunk;
    writer.Flush();
    chunk =
        writer.BufferedBytes() > 0 || all.find("important") == std::string::npos
            ? ReadPipe(65536)
            : "";
  }
  EXPECT_NE(all.find("important\n"), std::string::npos);
  EXPECT_NE(all.find("xx\nx"), std::string::npos);
}

}  // namespace
}  // namespace sequoiastage
