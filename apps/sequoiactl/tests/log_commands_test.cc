#include "../log_commands.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>

namespace sequoiastage {
namespace {

class LogCommandsTest : public testing::Test {
 protected:
  ~LogCommandsTest() override { std::filesystem::remove(m_file); }

  void Write(const std::string& text) { std::ofstream(m_file) << text; }

  CommandOutput Output(OutputFormat format = OutputFormat::kTable) {
    return {.m_format = format, .m_out = &m_out, .m_err = &m_err};
  }

  std::string m_file = (std::filesystem::temp_directory_path() /
                        ("log_commands_" + std::to_string(getpid())))
                           .string();
  std::ostringstream m_out;
  std::ostringstream m_err;
};

TEST_F(LogCommandsTest, ExplainsRequestFromAFile) {
  Write(
      "some other output\n"
      "time=t level=INFO event=request_unrouted request=1 host=a config=-1\n");
  EXPECT_EQ(ExplainFromLogs("1", {m_file}, Output()), ExitCode::kDone);
  EXPECT_EQ(m_out.str().rfind("cause: no-configuration\n", 0), 0u);
  EXPECT_EQ(ExplainFromLogs("2", {m_file}, Output(OutputFormat::kJson)),
            ExitCode::kNotFound);
  EXPECT_NE(m_out.str().find("\"cause\": \"not-found\""), std::string::npos);
}

TEST_F(LogCommandsTest, ReportsLinesThatViolateTheEventTable) {
  Write(
      "some other output\n"
      "time=t level=DEBUG event=caller_left request=1\n"
      "time=t level=DEBUG event=caller_left\n"
      "time=t level=DEBUG event=caller_left x\n");
  EXPECT_EQ(CheckLogs({m_file}, Output()), ExitCode::kInvalid);
  EXPECT_NE(m_out.str().find("caller_left lacks request"), std::string::npos);
  EXPECT_NE(m_out.str().find("can't be read"), std::string::npos);
  EXPECT_NE(m_out.str().find("3 lines, 2 with a fault"), std::string::npos);
}

TEST_F(LogCommandsTest, UnreadableFileIsInvalid) {
  EXPECT_EQ(CheckLogs({m_file}, Output()), ExitCode::kInvalid);
  EXPECT_NE(m_err.str().find(m_file), std::string::npos);
}

}  // namespace
}  // namespace sequoiastage
