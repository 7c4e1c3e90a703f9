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

/// How far an instance is from the node that chooses, nearest first.
enum class Locality : uint8_t {
  kOwnHost,
  kOwnFailureDomain,
  kOwnRegion,
  /// Over a slow link that is paid by volume.
  kOtherRegion,
};

enum class InstanceHealth : uint8_t {
  kHealthy,
  /// Evidence speaks against it: ordered late, not excluded.
  kSuspect,
  /// An ejection grant holds: excluded.
  kEjected,
};

/// An instance that may take a request.
struct Candidate {
  InstanceId m_instance{};
  NodeId m_node{};
  Locality m_locality = Locality::kOtherRegion;
  InstanceHealth m_health = InstanceHealth::kHealthy;
  /// Takes no new work: excluded.
  bool m_draining = false;
  bool m_warm_up = false;
  /// The path to its node is suspect or others could not reach the node.
  bool m_unreachable = false;
  /// Requests it works on at once.
  uint16_t m_slots = 1;
  /// Estimate of the requests it has, see LoadTable.
  double m_load = 0;

  bool IsExcluded() const {
    return m_draining || m_health == InstanceHealth::kEjected;
  }
  bool HasFreeSlot() const { return m_load + 1 <= m_slots; }
};

struct SelectionRequest {
  /// Running the request twice does no harm.
  bool m_idempotent = false;
  /// Time until the caller's deadline.
  Duration m_time_left = std::chrono::seconds(30);
  /// Instances that had an attempt of this request.
  std::span<const InstanceId> m_tried{};
};

enum class ChoiceReason : uint8_t {
  /// Healthy, reachable and with a free slot.
  kHealthy,
  /// Suspect, given a share of idempotent work to prove itself.
  kProving,
  /// Suspect, because every healthy slot is busy.
  kSpillOver,
  /// No free slot is known anywhere nearer in the order.
  kBusy,
  /// No way to its node is known.
  kUnreachable,
  /// Had an attempt of this request already.
  kTried,
};

struct Choice {
  /// Index of the candidate.
  uint32_t m_index = 0;
  ChoiceReason m_reason = ChoiceReason::kHealthy;

  friend bool operator==(const Choice&, const Choice&) = default;
};

struct SelectorOptions {
  /// Idempotent work a suspect gets to prove itself, as a share of what it
  /// would get as a healthy instance.
  double m_proving_share = 0.05;
  /// Share of a healthy instance's slots that one in warm-up gets first.
  double m_warm_up_share = 0.5;
  /// With less time left, instances in other regions come after near ones that
  /// are busy.
  Duration m_other_region_time = std::chrono::milliseconds(60);
};

/// Orders the instances of a service for one request. Only draining and ejected
/// instances are left out; suspicion orders. From first to last: healthy with a
/// free slot, suspect with a free slot, busy, unreachable, tried; each by
/// locality. Among equals, the less loaded of two random ones comes first
/// (Mitzenmacher 2001).
class Selector {
 public:
  explicit Selector(SelectorOptions options = {}) : m_options(options) {}

  /// The order to try `candidates` in. Empty only if all are excluded.
  std::vector<Choice> Order(std::span<const Candidate> candidates,
                            const SelectionRequest& request,
                            std::mt19937_64& random) const;

 private:
  SelectorOptions m_options;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_ROUTING_SELECTOR_H_
