#ifndef SEQUOIASTAGE_STANDINS_LOG_SERVICE_LOG_STORE_H_
#define SEQUOIASTAGE_STANDINS_LOG_SERVICE_LOG_STORE_H_

#include <cstdint>
#include <deque>
#include <string>

namespace sequoiastage {

/// In-memory store of the newest `m_retention` records.
struct LogStore {
  uint64_t m_retention = 100'000;
  uint64_t m_first_offset = 0;
  std::deque<std::string> m_records;

  uint64_t EndOffset() const { return m_first_offset + m_records.size(); }

  /// Appends a record and returns its offset.
  uint64_t Append(std::string record) {
    const uint64_t offset = EndOffset();
    m_records.push_back(std::move(record));
    Trim();
    return offset;
  }

  void Trim() {
    while (m_records.size() > m_retention) {
      m_records.pop_front();
      ++m_first_offset;
    }
  }
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_STANDINS_LOG_SERVICE_LOG_STORE_H_
