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
  /// Offer retries, and requests in later rounds, to held instances only when
  /// every usable instance is held. Otherwise held ones are always tried once
  /// all others are busy.
  bool m_spares_held = false;
  /// Draw among queues whose wait is equal or unknown, instead of taking the
  /// first. Otherwise the requests that enter at one host meet in the same
  /// queues and their accounts get the fair shares of these alone.
  bool m_spreads_queues = false;
};

struct PlacementDecision {
  CandidateKey m_key;
  /// Queue there if no slot is free.
  bool m_may_wait = false;
  /// Execute there even if the instance is held.
  bool m_accepts_held = false;
};

/// Why a candidate refused the request.
enum class PlacementRefusal : uint8_t {
  kBusy,
  kHeld,
  /// The candidate can't be used in this round of offers.
  kThisRound,
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
/// - Every instance of a service fails. The request is offered to at most two
///   held instances instead of being refused.
/// - A service is at capacity while some of its instances are held. Retries and
///   waiting calls that overflow to the held ones are broken there and use up
///   the retry budget. The first attempt of a request costs no budget and may
///   still succeed; see `m_spares_held`.
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
    // Final in this round only.
    bool m_ends_with_round = false;
    bool m_is_busy = false;
    bool m_is_held = false;
    bool m_was_offered_queue = false;
    bool m_was_offered_held = false;
    Duration m_expected_wait{};
  };

  const CandidateState* FindState(CandidateKey key) const;
  const PlacementCandidate* FindFreeSlot(
      const std::vector<PlacementCandidate>& candidates,
      bool is_remote,
      bool prefer_trial,
      std::mt19937_64& random) const;
  const PlacementCandidate* FindShortestQueue(
      const std::vector<PlacementCandidate>& candidates,
      Duration limit,
      std::mt19937_64& random) const;
  // Whether an instance that can be used for the request is not held.
  bool HasOpenInstance(const std::vector<PlacementCandidate>& candidates) const;
  const PlacementCandidate* FindHeld(
      const std::vector<PlacementCandidate>& candidates) const;

  PlacementOptions m_options;
  std::unordered_map<CandidateKey, CandidateState> m_states;
  // An attempt may have started, or this is not the first round.
  bool m_was_tried = false;
  uint32_t m_remote_offers = 0;
  uint32_t m_queue_offers = 0;
  uint32_t m_held_offers = 0;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_ROUTING_PLACEMENT_H_
