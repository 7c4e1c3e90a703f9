#ifndef SEQUOIASTAGE_HEALTH_EVIDENCE_TRAIL_H_
#define SEQUOIASTAGE_HEALTH_EVIDENCE_TRAIL_H_

#include <cstdint>
#include <deque>

#include "sequoiastage/base/time.h"
#include "sequoiastage/health/evidence.h"
#include "sequoiastage/health/judge_options.h"

namespace sequoiastage {

/// One ended request, as it counts in the evidence against an instance.
struct RequestRecord {
  enum class Kind : uint8_t {
    kSuccess,
    kFailure,
    /// Cancelled or shed: only its duration can count against the instance.
    kUnfinished,
  };

  TimePoint m_started;
  TimePoint m_ended;
  Kind m_kind = Kind::kSuccess;
  /// False during the warm-up of an incarnation.
  bool m_latency_counts = true;
};

/// Cumulative sums over the ended requests of one instance. Recent requests are
/// weighed again with each new baseline, so that they are compared with the
/// peers' behaviour at the same time.
class EvidenceTrail {
 public:
  EvidenceTrail(const JudgeOptions& options, const Evidence& evidence);

  /// Adds a request; true when it counts against the instance.
  bool Add(const RequestRecord& record);

  /// Weighs the recent requests again. Requests that ended no later than
  /// `as_of` are confirmed. `cap` is the upper bound of the sums.
  void Reweigh(const Evidence& evidence, TimePoint as_of, double cap);

  /// Discards all requests and continues from `sums`.
  void Restart(const EvidenceSums& sums);

  /// Sums for suspicion, over all requests.
  const EvidenceSums& Provisional() const { return m_provisional; }
  /// Sums for ejection, over all requests.
  const EvidenceSums& Unconfirmed() const { return m_unconfirmed; }
  /// Sums for ejection, over the confirmed requests only.
  const EvidenceSums& Confirmed() const { return m_confirmed; }

  /// Time from the first to the last request that counted against the instance
  /// since the sums were last 0.
  Duration AdverseSpan() const { return m_last_adverse - m_first_adverse; }

 private:
  struct WeighedRecord {
    RequestRecord m_record;
    // Weights of evidence against the instance, for suspicion and ejection.
    double m_weight = 1;
    double m_ejection_weight = 1;
  };

  bool IsAdverse(const RequestRecord& record) const;
  void Apply(const RequestRecord& record,
             double weight,
             EvidenceSums& sums) const;
  void Fold();

  JudgeOptions m_options;
  Evidence m_evidence;
  double m_cap;
  TimePoint m_as_of;
  std::deque<WeighedRecord> m_recent;
  // Sums over the requests that are no longer in m_recent.
  EvidenceSums m_folded;
  EvidenceSums m_folded_confirmed;
  EvidenceSums m_provisional;
  EvidenceSums m_unconfirmed;
  EvidenceSums m_confirmed;
  TimePoint m_first_adverse;
  TimePoint m_last_adverse;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_HEALTH_EVIDENCE_TRAIL_H_
