#ifndef SEQUOIASTAGE_TESTS_CHILD_PROCESS_H_
#define SEQUOIASTAGE_TESTS_CHILD_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace sequoiastage {

/// A program started by a test. The kernel kills it when the test process ends
/// for any reason.
class ChildProcess {
 public:
  /// Runs a program of build/bin; its output is appended to the file `log`.
  ChildProcess(const std::string& program,
               const std::vector<std::string>& arguments,
               const std::string& log);
  ChildProcess(ChildProcess&& other) noexcept;
  ChildProcess& operator=(ChildProcess&& other) noexcept;
  ~ChildProcess();

  pid_t Pid() const { return m_pid; }

  void Signal(int signal) const;

  /// Waits until the process ends. Returns its exit code, or the negative
  /// number of the signal that ended it.
  int Wait();

  /// Sends SIGKILL and waits.
  void Kill();

  /// Result as of Wait(); empty while the process runs.
  std::optional<int> Ended();

 private:
  pid_t m_pid = 0;
  std::optional<int> m_exit_code;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_TESTS_CHILD_PROCESS_H_
