#ifndef SEQUOIASTAGE_HEALTH_TESTS_NAIVE_JUDGES_H_
#define SEQUOIASTAGE_HEALTH_TESTS_NAIVE_JUDGES_H_

#include "sequoiastage/base/time.h"

namespace sequoiastage {

/// Naive judge: ejects after three consecutive failed health probes, readmits
/// after two consecutive successful ones.
class ThreeFailedProbes {
 public:
  void OnProbe(bool is_good) {
    m_failed = is_good ? 0 : m_failed + 1;
    m_good = is_good ? m_good + 1 : 0;
    if (m_failed >= 3) {
      m_is_ejected = true;
    } else if (m_good >= 2) {
      m_is_ejected = false;
    }
  }

  bool IsEjected() const { return m_is_ejected; }

 private:
  int m_failed = 0;
  int m_good = 0;
  bool m_is_ejected = false;
};

/// Naive judge: ejects for 30 s after five consecutive failures.
class FiveConsecutiveFailures {
 public:
  static constexpr Duration kEjectionTime = std::chrono::seconds(30);

  void OnOutcome(TimePoint now, bool is_failure) {
    m_failed = is_failure ? m_failed + 1 : 0;
    if (m_failed >= 5) {
      m_failed = 0;
      m_ejected_until = now + kEjectionTime;
    }
  }

  bool IsEjected(TimePoint now) const { return now < m_ejected_until; }

 private:
  int m_failed = 0;
  TimePoint m_ejected_until;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_HEALTH_TESTS_NAIVE_JUDGES_H_
