#ifndef SEQUOIASTAGE_TESTING_PROCESS_DESCRIPTORS_H_
#define SEQUOIASTAGE_TESTING_PROCESS_DESCRIPTORS_H_

#include <sys/resource.h>
#include <sys/types.h>

#include <filesystem>
#include <string>
#include <system_error>

namespace sequoiastage {

/// Number of descriptors that a process has open.
inline size_t OpenDescriptors(pid_t pid) {
  std::error_code error;
  size_t count = 0;
  for (std::filesystem::directory_iterator entry(
           "/proc/" + std::to_string(pid) + "/fd", error);
       !error && entry != std::filesystem::directory_iterator();
       entry.increment(error)) {
    ++count;
  }
  return count;
}

/// Lowers the limit on open descriptors of processes started in its lifetime.
class DescriptorLimit {
 public:
  explicit DescriptorLimit(rlim_t descriptors) {
    getrlimit(RLIMIT_NOFILE, &m_before);
    const rlimit lowered{.rlim_cur = descriptors,
                         .rlim_max = m_before.rlim_max};
    setrlimit(RLIMIT_NOFILE, &lowered);
  }
  DescriptorLimit(const DescriptorLimit&) = delete;
  DescriptorLimit& operator=(const DescriptorLimit&) = delete;
  ~DescriptorLimit() { setrlimit(RLIMIT_NOFILE, &m_before); }

 private:
  rlimit m_before{};
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_TESTING_PROCESS_DESCRIPTORS_H_
