#ifndef SEQUOIASTAGE_TESTS_CHILD_PROCESS_H_
#define SEQUOIASTAGE_TESTS_CHILD_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace sequoiastage {

/// One program started by a test. It is killed with the test, however the test
/// ends.
class ChildProcess {
 public:
  /// Runs a program of build/bin; its output goes to the file `log`.
  ChildProcess(const std::string& program,
               const std::vector<std::string>& arguments,
               const std::string& log);
  ChildProcess(ChildProcess&& other) noexcept;
  ChildProcess& operator=(ChildProcess&& other) noexcept;
  ~ChildProcess();

  void Signal(int signal) const;

  /// Waits for the end. The exit code, or minus the signal that ended it.
  int Wait();

  /// SIGKILL and Wait().
  void Kill();

  /// Empty while it runs; then as Wait().
  std::optional<int> Ended();

 private:
  pid_t m_pid = 0;
  std::optional<int> m_ended;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_TESTS_CHILD_PROCESS_H_
