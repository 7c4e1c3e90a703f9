#include "child_process.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <utility>

namespace sequoiastage {

namespace {

int ToExitCode(int status) {
  return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

}  // namespace

ChildProcess::ChildProcess(const std::string& program,
                           const std::vector<std::string>& arguments,
                           const std::string& log) {
  const std::string path = std::string(SEQUOIASTAGE_PROGRAMS) + "/" + program;
  std::vector<char*> argv = {const_cast<char*>(path.c_str())};
  for (const std::string& argument : arguments) {
    argv.push_back(const_cast<char*>(argument.c_str()));
  }
  argv.push_back(nullptr);
  m_pid = fork();
  if (m_pid != 0) {
    return;
  }
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(file, STDOUT_FILENO);
  dup2(file, STDERR_FILENO);
  // Otherwise sockets of the test stay open in the child after the test has
  // closed them.
  close_range(STDERR_FILENO + 1, ~0U, 0);
  execv(path.c_str(), argv.data());
  _exit(127);
}

ChildProcess::ChildProcess(ChildProcess&& other) noexcept
    : m_pid(std::exchange(other.m_pid, 0)), m_exit_code(other.m_exit_code) {}

ChildProcess& ChildProcess::operator=(ChildProcess&& other) noexcept {
  std::swap(m_pid, other.m_pid);
  std::swap(m_exit_code, other.m_exit_code);
  return *this;
}

ChildProcess::~ChildProcess() {
  if (m_pid > 0) {
    Kill();
  }
}

void ChildProcess::Signal(int signal) const {
  if (m_pid > 0 && !m_exit_code) {
    kill(m_pid, signal);
  }
}

int ChildProcess::Wait() {
  if (!m_exit_code) {
    int status = 0;
    waitpid(m_pid, &status, 0);
    m_exit_code = ToExitCode(status);
  }
  return *m_exit_code;
}

void ChildProcess::Kill() {
  Signal(SIGKILL);
  Wait();
}

std::optional<int> ChildProcess::Ended() {
  int status = 0;
  if (!m_exit_code && waitpid(m_pid, &status, WNOHANG) == m_pid) {
    m_exit_code = ToExitCode(status);
  }
  return m_exit_code;
}

}  // namespace sequoiastage
