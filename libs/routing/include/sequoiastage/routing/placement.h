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

/// Identifies a candidate for the lifetime of a request.
using CandidateKey = Strong<struct CandidateKeyTag, uint64_t>;

enum class Distance : uint8_t { kHost, kDomain, kRegion, kRemote };

/// State of one instance as currently known to the ingress.
struct PlacementCandidate {
  CandidateKey m_key;
  Distance m_distance = Distance::kRemote;
  /// False while the path to the instance's egress is down; the instance is
  /// then skipped.
  bool m_is_reachable = true;
  /// Remaining hold time, from the last report of the egress; zero when not
  /// held.
  Duration m_hold_remaining{};
  /// The reported hold has expired, so that an idempotent request can serve as
  /// the trial request.
  bool m_needs_trial = false;
  /// Slots in use: the larger of the last reported value, 0 without a recent
  /// report, and the requests of this ingress in flight.
  uint32_t m_used_slots = 0;
  uint32_t m_slots = 1;
  /// Expected wait of an instance that limits its request rate and counts as
  /// full until then; zero otherwise.
  Duration m_rate_wait{};
  /// Executing and queued requests in the last load report, of any age.
  uint32_t m_reported_slots = 0;
  /// Age of that report; empty when there is none.
  std::optional<Duration> m_report_age{};
};

struct PlacementOptions {
  /// A queue with at most this expected wait is preferred over a free slot in
  /// another region; about the round trip time between regions.
  Duration m_max_local_wait = std::chrono::milliseconds(60);
  /// Maximum number of offers for a free slot in other regions.
  uint32_t m_max_remote_offers = 4;
  /// A request with less time left is not offered to a free slot in another
  /// region: the round trip would consume the time that it needs for execution
  /// and its response.
  Duration m_min_remote_time = std::chrono::milliseconds(200);
  /// Maximum number of offers that accept a queue.
  uint32_t m_max_queue_offers = 3;
  /// Maximum number of offers to held instances.
  uint32_t m_max_held_offers = 2;
  /// Draw among queues whose wait is equal or unknown, instead of taking the
  /// first. Otherwise the requests that enter at one host meet in the same
  /// queues and their accounts get the fair shares of these alone.
  bool m_spreads_queues = false;
  /// Round trip time to another region, an upper estimate.
  Duration m_round_trip = std::chrono::milliseconds(60);
  /// The request has a large body or response. While the region has reachable
  /// instances, it is not offered to instances of other regions that are held
  /// or nearly full, and it waits in the region for m_max_local_wait or a
  /// quarter of the time to its deadline, whichever is less.
  bool m_is_heavy = false;
  /// Maximum number of offers to other regions that make room in the request's
  /// region for heavy requests.
  uint32_t m_max_moves = 0;
  /// Part of the slots in use from which an instance or region is nearly full.
  double m_nearly_full = 0.75;
  /// An instance of another region takes light requests that make room while a
  /// smaller part of its slots is in use.
  double m_clear_room = 0.5;
  /// Older load reports say nothing about free slots.
  Duration m_max_report_age = std::chrono::seconds(2);
};

struct PlacementDecision {
  CandidateKey m_key;
  /// Queue there if no slot is free.
  bool m_may_wait = false;
  /// Execute there even if the instance is held.
  bool m_accepts_held = false;
  /// Sent to another region to make room for heavy requests.
  bool m_makes_room = false;
};

/// Why a candidate refused the request.
enum class PlacementRefusal : uint8_t {
  kBusy,
  kHeld,
  /// The candidate can't be used for this request anymore.
  kFinal,
};

/// Selects the instances that one request is offered to, in sequence.
///
/// Load patterns:
/// - At any moment some instances are held, which is visible only to their
///   egresses. A refusal within the region costs about a millisecond, so all
///   instances of the region are tried before another region.
/// - Recovered instances remain unused while the only requests left for them
///   are not idempotent. Idempotent requests prefer them as soon as their hold
///   has expired.
/// - A failure domain has more requests than slots for some seconds. They go to
///   other regions while these have free slots, then to the shortest queue, and
///   are refused immediately when no queue can meet the deadline.
/// - The service is near capacity, so that many requests are slow. A hedged
///   request goes only to an instance of the region with spare slots; it is
///   never queued or sent to another region.
/// - Links between regions are narrow, and light requests take the slots that
///   heavy ones wait for. Light requests go to another region with clearly free
///   slots while the region is nearly full; heavy ones wait in their region.
/// - Every instance of a service fails. The request is offered to at most two
///   held instances instead of being refused.
class Placement {
 public:
  explicit Placement(const PlacementOptions& options = {})
      : m_options(options) {}

  /// Returns the next instance to offer the request to; empty when none is left
  /// and the request has to be refused. With `prefer_trial`, instances of the
  /// region that need a trial request come first, otherwise last; set it only
  /// for requests that can be retried elsewhere. `time_left`: time until the
  /// caller's deadline.
  std::optional<PlacementDecision> Next(
      const std::vector<PlacementCandidate>& candidates,
      std::mt19937_64& random,
      bool prefer_trial = false,
      Duration time_left = Duration::max());

  /// Whether Next() returned nothing because a heavy request is to wait for its
  /// region and to start another round after a pause.
  bool WaitsInRegion() const { return m_waits_in_region; }

  /// Returns an instance of the region with more than one free slot for a
  /// hedged request; empty when there is none and no hedged request is to be
  /// sent.
  std::optional<PlacementDecision> NextForHedge(
      const std::vector<PlacementCandidate>& candidates,
      std::mt19937_64& random) const;

  /// The instance refused the request. `expected_wait`: expected queue wait
  /// reported by the egress, used for kBusy.
  void OnRefused(CandidateKey key,
                 PlacementRefusal refusal,
                 Duration expected_wait);

  /// Starts over with the instances that refused the request, except those that
  /// can't be used for it anymore. For requests that wait for capacity.
  void StartRound();

  /// The instance may have started to execute the request, so that it is not
  /// selected again.
  void OnMaybeStarted(CandidateKey key);

 private:
  struct CandidateState {
    bool m_is_final = false;
    bool m_is_busy = false;
    bool m_is_held = false;
    bool m_was_offered_queue = false;
    bool m_was_offered_held = false;
    Duration m_expected_wait{};
  };

  const CandidateState* FindState(CandidateKey key) const;
  bool HasRecentReport(const PlacementCandidate& candidate) const;
  // Latest known number of slots in use, with queued requests.
  uint32_t KnownUse(const PlacementCandidate& candidate) const;
  // Whether the instances of the region that accept requests are nearly full.
  bool IsRegionNearlyFull(
      const std::vector<PlacementCandidate>& candidates) const;
  // Instance of another region with clearly free slots for a light request that
  // makes room for heavy ones; empty when it stays in its region.
  std::optional<CandidateKey> FindRoomElsewhere(
      const std::vector<PlacementCandidate>& candidates,
      std::mt19937_64& random) const;
  // Whether the instance is one that a heavy request kept in its region is not
  // offered to.
  bool IsClosedToHeavy(const PlacementCandidate& candidate) const;
  // Whether a heavy request has time left to wait for instances of its region
  // that are merely busy.
  bool MayWaitInRegion(const std::vector<PlacementCandidate>& candidates,
                       Duration time_left) const;
  // Longest wait in a queue that is preferred over a free slot in another
  // region; negative when a heavy request may use no further queue.
  Duration LocalWaitLimit(Duration time_left) const;
  // Time that a heavy request may still wait in its region.
  Duration HeavyWaitLeft(Duration time_left) const;
  const PlacementCandidate* FindFreeSlot(
      const std::vector<PlacementCandidate>& candidates,
      bool is_remote,
      bool prefer_trial,
      std::mt19937_64& random) const;
  const PlacementCandidate* FindShortestQueue(
      const std::vector<PlacementCandidate>& candidates,
      Duration limit,
      std::mt19937_64& random) const;
  const PlacementCandidate* FindHeld(
      const std::vector<PlacementCandidate>& candidates) const;

  PlacementOptions m_options;
  std::unordered_map<CandidateKey, CandidateState> m_states;
  uint32_t m_remote_offers = 0;
  uint32_t m_queue_offers = 0;
  uint32_t m_held_offers = 0;
  uint32_t m_moves = 0;
  // A heavy request whose region has reachable instances.
  bool m_is_kept_in_region = false;
  bool m_waits_in_region = false;
  // Of the first decision.
  std::optional<Duration> m_initial_time_left;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_ROUTING_PLACEMENT_H_
