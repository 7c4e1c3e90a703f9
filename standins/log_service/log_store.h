#ifndef SEQUOIASTAGE_STANDINS_LOG_SERVICE_LOG_STORE_H_
#define SEQUOIASTAGE_STANDINS_LOG_SERVICE_LOG_STORE_H_

#include <cstdint>
#include <deque>
#include <string>

namespace sequoiastage {

/// Records in memory, the newest `m_retention` of them.
struct LogStore {
  uint64_t m_retention = 100'000;
  uint64_t m_first = 0;
  std::deque<std::string> m_records;

  uint64_t End() const { return m_first + m_records.size(); }

  /// Returns the record's offset.
  uint64_t Append(std::string record) {
    const uint64_t offset = End();
    m_records.push_back(std::move(record));
    Trim();
    return offset;
  }

  void Trim() {
    while (m_records.size() > m_retention) {
      m_records.pop_front();
      ++m_first;
    }
  }
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_STANDINS_LOG_SERVICE_LOG_STORE_H_
