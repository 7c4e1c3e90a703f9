#ifndef SEQUOIASTAGE_HEALTH_EVIDENCE_TRAIL_H_
#define SEQUOIASTAGE_HEALTH_EVIDENCE_TRAIL_H_

#include <cstdint>
#include <deque>

#include "sequoiastage/base/time.h"
#include "sequoiastage/health/evidence.h"
#include "sequoiastage/health/judge_options.h"

namespace sequoiastage {

/// One ended piece of work, as the evidence against an instance sees it.
struct WorkRecord {
  enum class Kind : uint8_t {
    kSuccess,
    kFailure,
    /// Cancelled or shed: only the time it took can speak against the instance.
    kUnfinished,
  };

  TimePoint m_started;
  TimePoint m_ended;
  Kind m_kind = Kind::kSuccess;
  /// False in the warm-up of an incarnation.
  bool m_latency_counts = true;
};

/// Cumulative sums over the ended work of one instance. Recent work is weighed
/// again with each new baseline, so that it is always compared with what the
/// peers did at the same time.
class EvidenceTrail {
 public:
  EvidenceTrail(const JudgeOptions& options, const Evidence& evidence);

  /// Adds a piece of work; true when it speaks against the instance.
  bool Add(const WorkRecord& record);

  /// Weighs the kept work again. Work that ended up to `as_of` is confirmed.
  /// `cap` bounds the sums.
  void Reweigh(const Evidence& evidence, TimePoint as_of, double cap);

  /// Forgets the work and goes on from `sums`.
  void Restart(const EvidenceSums& sums);

  /// Of all work, towards suspicion.
  const EvidenceSums& Provisional() const { return m_provisional; }
  /// Towards ejection: of all work, and of the confirmed work alone.
  const EvidenceSums& Unconfirmed() const { return m_unconfirmed; }
  const EvidenceSums& Confirmed() const { return m_confirmed; }

  /// Time from the first to the last work that spoke against the instance
  /// since the sums were 0.
  Duration AdverseSpan() const { return m_last_adverse - m_first_adverse; }

 private:
  struct Weighed {
    WorkRecord m_record;
    // Of evidence against the instance, towards suspicion and ejection.
    double m_weight = 1;
    double m_ejection_weight = 1;
  };

  bool IsAdverse(const WorkRecord& record) const;
  void Apply(const WorkRecord& record, double weight, EvidenceSums& sums) const;
  void Fold();

  JudgeOptions m_options;
  Evidence m_evidence;
  double m_cap;
  TimePoint m_as_of;
  std::deque<Weighed> m_kept;
  // Of work no longer kept.
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
