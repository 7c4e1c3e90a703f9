#ifndef SEQUOIASTAGE_ROUTING_SELECTOR_H_
#define SEQUOIASTAGE_ROUTING_SELECTOR_H_

#include <chrono>
#include <cstdint>
#include <random>
#include <span>
#include <vector>

#include "sequoiastage/base/ids.h"
#include "sequoiastage/base/time.h"

namespace sequoiastage {

/// Distance of an instance from the selecting node, nearest first.
enum class Locality : uint8_t {
  kOwnHost,
  kOwnFailureDomain,
  kOwnRegion,
  /// Reached over a slow link that is billed by volume.
  kOtherRegion,
};

enum class InstanceHealth : uint8_t {
  kHealthy,
  /// Evidence of a failure: ordered after healthy instances, not excluded.
  kSuspect,
  /// An ejection grant is in effect: excluded.
  kEjected,
};

/// An instance considered for a request.
struct Candidate {
  InstanceId m_instance{};
  NodeId m_node{};
  Locality m_locality = Locality::kOtherRegion;
  InstanceHealth m_health = InstanceHealth::kHealthy;
  /// Accepts no new requests: excluded.
  bool m_draining = false;
  /// Recently started; gets a reduced load.
  bool m_warm_up = false;
  /// The path to its node is suspect, or other nodes could not reach the node.
  bool m_unreachable = false;
  /// Maximum number of concurrent requests.
  uint16_t m_slots = 1;
  /// Estimated number of executing and queued requests, see LoadTable.
  double m_load = 0;

  bool IsExcluded() const {
    return m_draining || m_health == InstanceHealth::kEjected;
  }
  bool HasFreeSlot() const { return m_load + 1 <= m_slots; }
};

struct SelectionRequest {
  /// The request can safely be executed more than once.
  bool m_idempotent = false;
  /// Time until the caller's deadline.
  Duration m_time_left = std::chrono::seconds(30);
  /// Instances that already received an attempt of this request.
  std::span<const InstanceId> m_tried{};
};

enum class ChoiceReason : uint8_t {
  /// Healthy and reachable, with a free slot.
  kHealthy,
  /// Suspect, but chosen for a small share of idempotent requests that tests
  /// whether it has recovered.
  kProbation,
  /// Suspect with a free slot, used when all healthy instances are busy.
  kSpillOver,
  /// No free slot, or too far for the time left.
  kBusy,
  /// Its node is unreachable.
  kUnreachable,
  /// Already received an attempt of this request.
  kTried,
};

struct Choice {
  /// Index into the candidates.
  uint32_t m_index = 0;
  ChoiceReason m_reason = ChoiceReason::kHealthy;

  friend bool operator==(const Choice&, const Choice&) = default;
};

struct SelectorOptions {
  /// Idempotent requests sent to a suspect instance, as a share (0 to 1) of its
  /// load when healthy.
  double m_probation_share = 0.05;
  /// Share (0 to 1) of its slots that an instance in warm-up counts with.
  double m_warm_up_share = 0.5;
  /// With less time left, instances in other regions count as busy, so that
  /// busy local instances come first.
  Duration m_other_region_time = std::chrono::milliseconds(60);
};

/// Orders the instances of a service for one request. Only draining and ejected
/// instances are excluded; suspicion only affects the order. From first to
/// last: healthy with a free slot, suspect with a free slot, busy, unreachable,
/// tried; each group by locality. Within a group, the less loaded of two random
/// instances comes first (power of two choices, Mitzenmacher 2001).
class Selector {
 public:
  explicit Selector(SelectorOptions options = {}) : m_options(options) {}

  /// Returns the order in which to try `candidates`; empty only if all are
  /// excluded.
  std::vector<Choice> Order(std::span<const Candidate> candidates,
                            const SelectionRequest& request,
                            std::mt19937_64& random) const;

 private:
  SelectorOptions m_options;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_ROUTING_SELECTOR_H_
