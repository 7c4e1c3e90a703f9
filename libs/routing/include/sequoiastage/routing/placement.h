#ifndef SEQUOIASTAGE_ROUTING_PLACEMENT_H_
#define SEQUOIASTAGE_ROUTING_PLACEMENT_H_

#include <cstdint>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

#include "sequoiastage/base/strong.h"
#include "sequoiastage/base/time.h"

namespace sequoiastage {

/// Names a candidate for as long as a request lasts.
using CandidateKey = Strong<struct CandidateKeyTag, uint64_t>;

enum class Distance : uint8_t { kHost, kDomain, kRegion, kRemote };

/// What an ingress knows of one instance at this moment.
struct PlacementCandidate {
  CandidateKey m_key;
  Distance m_distance = Distance::kRemote;
  /// False while the path to the instance's egress is lost: it is no step then.
  bool m_is_path_open = true;
  /// Hold of the instance as its egress last told it, less the time since.
  Duration m_hold_left{};
  /// Its hold was told and is over: repeatable work may find out whether it is
  /// well again.
  bool m_wants_trial = false;
  /// Work in slots, as last told, and what this ingress has there; 0 when the
  /// egress has told nothing lately.
  uint32_t m_busy = 0;
  uint32_t m_slots = 1;
};

struct PlacementOptions {
  /// A queue in the own region is taken rather than a free slot in another one
  /// up to this wait: about what the way there and back takes.
  Duration m_near_wait = std::chrono::milliseconds(60);
  /// Instances of other regions that are asked for a free slot.
  uint32_t m_max_far = 4;
  /// A request with less time than this is not offered to another region: the
  /// way there and back would use up what its work and its answer need.
  Duration m_least_far_time = std::chrono::milliseconds(200);
  /// Instances where a request asks for a place in the queue.
  uint32_t m_max_waits = 3;
  /// Instances that are held back and get the request all the same.
  uint32_t m_max_held = 2;
};

struct PlacementStep {
  CandidateKey m_key;
  /// Wait there for a slot.
  bool m_may_wait = false;
  /// Run it there though the instance is held back.
  bool m_accepts_held = false;
};

/// Why a candidate did not take the request.
enum class PlacementRefusal : uint8_t {
  kBusy,
  kHeld,
  /// Will not take this request any more.
  kFinal,
};

/// Decides where one request goes next.
///
/// Load patterns:
/// - Part of the instances are held back at any moment, and which ones is only
///   known to their egresses. A refusal in the own region costs about a
///   millisecond, so all of them are asked before another region is.
/// - Instances recover unnoticed while the work that is left for them can't be
///   repeated. Repeatable work seeks them out as soon as their hold is over.
/// - A zone has more work than slots for some seconds. Work goes to other
///   regions while they have free slots and then waits where the queue is
///   shortest, and is refused at once where no queue ends in time.
/// - Much of the work is slow, since the service is nearly full. A copy of it
///   goes where slots are to spare, or nowhere; it takes no queue and no path
///   to another region.
/// - Every instance of a service fails. The request goes to one that is held
///   back rather than to none, twice at most.
class Placement {
 public:
  explicit Placement(const PlacementOptions& options = {})
      : m_options(options) {}

  /// The next instance to offer the request to. Empty when there is none left:
  /// the request is refused. With `may_try` an instance of the region that
  /// wants a trial comes first: the request can be repeated elsewhere.
  /// `time_left`: until the caller's deadline.
  std::optional<PlacementStep> Next(
      const std::vector<PlacementCandidate>& candidates,
      std::mt19937_64& random,
      bool may_try = false,
      Duration time_left = Duration::max());

  /// An instance of the region with more than one free slot, for a copy of
  /// work that runs already. Empty when there is none: the copy is left out.
  std::optional<PlacementStep> NextSpare(
      const std::vector<PlacementCandidate>& candidates,
      std::mt19937_64& random) const;

  /// `expected_wait`: as the egress told it, for kBusy.
  void OnRefused(CandidateKey key,
                 PlacementRefusal refusal,
                 Duration expected_wait);

  /// The instance may have begun to run the request.
  void OnRan(CandidateKey key);

 private:
  struct Record {
    bool m_is_final = false;
    bool m_is_busy = false;
    bool m_is_held = false;
    bool m_has_waited = false;
    bool m_was_forced = false;
    Duration m_expected_wait{};
  };

  const Record* Find(CandidateKey key) const;
  const PlacementCandidate* FreeSlot(
      const std::vector<PlacementCandidate>& candidates,
      bool is_far,
      bool may_try,
      std::mt19937_64& random) const;
  const PlacementCandidate* ShortestQueue(
      const std::vector<PlacementCandidate>& candidates,
      Duration limit) const;
  const PlacementCandidate* HeldBack(
      const std::vector<PlacementCandidate>& candidates) const;

  PlacementOptions m_options;
  std::unordered_map<CandidateKey, Record> m_records;
  uint32_t m_far = 0;
  uint32_t m_waits = 0;
  uint32_t m_held = 0;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_ROUTING_PLACEMENT_H_
