#include "sequoiastage/routing/placement.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace sequoiastage {

namespace {

// Added to the expected wait of instances in other regions.
constexpr Duration kRemotePenalty = std::chrono::milliseconds(60);

bool IsRemote(const PlacementCandidate& candidate) {
  return candidate.m_distance == Distance::kRemote;
}

// Fraction of the slots in use, quantized so that the distance decides between
// similarly loaded instances.
uint32_t LoadLevel(const PlacementCandidate& candidate) {
  constexpr uint32_t kLevels = 4;
  return candidate.m_used_slots * kLevels / std::max(1U, candidate.m_slots);
}

}  // namespace

std::optional<PlacementDecision> Placement::Next(
    const std::vector<PlacementCandidate>& candidates,
    std::mt19937_64& random,
    bool prefer_trial,
    Duration time_left) {
  m_initial_time_left = m_initial_time_left.value_or(time_left);
  m_waits_in_region = false;
  m_is_kept_in_region =
      m_options.m_is_heavy &&
      std::any_of(candidates.begin(), candidates.end(),
                  [](const PlacementCandidate& candidate) {
                    return !IsRemote(candidate) && candidate.m_is_reachable;
                  });
  if (m_moves < m_options.m_max_moves &&
      time_left >= m_options.m_min_remote_time) {
    if (const auto remote = FindRoomElsewhere(candidates, random)) {
      ++m_moves;
      return PlacementDecision{.m_key = *remote, .m_makes_room = true};
    }
  }
  if (const auto* local =
          FindFreeSlot(candidates, false, prefer_trial, random)) {
    return PlacementDecision{.m_key = local->m_key};
  }
  const auto* queue =
      FindShortestQueue(candidates, LocalWaitLimit(time_left), random);
  m_waits_in_region =
      queue == nullptr && MayWaitInRegion(candidates, time_left);
  if (m_waits_in_region) {
    return std::nullopt;
  }
  if (queue == nullptr && m_remote_offers < m_options.m_max_remote_offers &&
      time_left >= m_options.m_min_remote_time) {
    if (const auto* remote = FindFreeSlot(candidates, true, false, random)) {
      ++m_remote_offers;
      return PlacementDecision{.m_key = remote->m_key};
    }
  }
  if (queue == nullptr) {
    queue = FindShortestQueue(candidates, Duration::max(), random);
  }
  if (queue != nullptr && m_queue_offers < m_options.m_max_queue_offers) {
    ++m_queue_offers;
    m_states[queue->m_key].m_was_offered_queue = true;
    return PlacementDecision{.m_key = queue->m_key, .m_may_wait = true};
  }
  if (m_held_offers < m_options.m_max_held_offers) {
    if (const auto* held = FindHeld(candidates)) {
      ++m_held_offers;
      m_states[held->m_key].m_was_offered_held = true;
      return PlacementDecision{
          .m_key = held->m_key, .m_may_wait = true, .m_accepts_held = true};
    }
  }
  return std::nullopt;
}

std::optional<PlacementDecision> Placement::NextForHedge(
    const std::vector<PlacementCandidate>& candidates,
    std::mt19937_64& random) const {
  std::vector<PlacementCandidate> spare;
  std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(spare),
               [](const PlacementCandidate& candidate) {
                 return candidate.m_used_slots + 1 < candidate.m_slots;
               });
  const auto* local = FindFreeSlot(spare, false, false, random);
  return local == nullptr
             ? std::nullopt
             : std::optional(PlacementDecision{.m_key = local->m_key});
}

void Placement::OnRefused(CandidateKey key,
                          PlacementRefusal refusal,
                          Duration expected_wait) {
  CandidateState& state = m_states[key];
  state.m_expected_wait = expected_wait;
  switch (refusal) {
    case PlacementRefusal::kBusy:
      state.m_is_busy = true;
      return;
    case PlacementRefusal::kHeld:
      state.m_is_held = true;
      return;
    case PlacementRefusal::kFinal:
      state.m_is_final = true;
      return;
  }
}

void Placement::StartRound() {
  std::erase_if(m_states,
                [](const auto& item) { return !item.second.m_is_final; });
  m_remote_offers = 0;
  m_queue_offers = 0;
  m_held_offers = 0;
  m_moves = 0;
}

void Placement::OnMaybeStarted(CandidateKey key) {
  m_states[key].m_is_final = true;
}

const Placement::CandidateState* Placement::FindState(CandidateKey key) const {
  const auto found = m_states.find(key);
  return found == m_states.end() ? nullptr : &found->second;
}

bool Placement::HasRecentReport(const PlacementCandidate& candidate) const {
  return candidate.m_report_age &&
         *candidate.m_report_age <= m_options.m_max_report_age;
}

uint32_t Placement::KnownUse(const PlacementCandidate& candidate) const {
  return HasRecentReport(candidate)
             ? std::max(candidate.m_used_slots, candidate.m_reported_slots)
             : candidate.m_used_slots;
}

bool Placement::IsRegionNearlyFull(
    const std::vector<PlacementCandidate>& candidates) const {
  uint32_t used = 0;
  uint32_t slots = 0;
  for (const PlacementCandidate& candidate : candidates) {
    const CandidateState* state = FindState(candidate.m_key);
    if (IsRemote(candidate) || !candidate.m_is_reachable ||
        candidate.m_hold_remaining > Duration{} ||
        (state != nullptr ? state->m_is_held || state->m_is_final
                          : !HasRecentReport(candidate))) {
      continue;
    }
    slots += candidate.m_slots;
    used += state != nullptr ? candidate.m_slots
                             : std::min(KnownUse(candidate), candidate.m_slots);
  }
  return slots > 0 && used >= m_options.m_nearly_full * slots;
}

std::optional<CandidateKey> Placement::FindRoomElsewhere(
    const std::vector<PlacementCandidate>& candidates,
    std::mt19937_64& random) const {
  if (!IsRegionNearlyFull(candidates)) {
    return std::nullopt;
  }
  std::vector<PlacementCandidate> clear;
  std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(clear),
               [this](const PlacementCandidate& candidate) {
                 return HasRecentReport(candidate) &&
                        KnownUse(candidate) <
                            m_options.m_clear_room * candidate.m_slots;
               });
  const auto* found = FindFreeSlot(clear, true, false, random);
  return found == nullptr ? std::nullopt : std::optional(found->m_key);
}

bool Placement::MayWaitInRegion(
    const std::vector<PlacementCandidate>& candidates,
    Duration time_left) const {
  if (!m_is_kept_in_region || HeavyWaitLeft(time_left) <= Duration{}) {
    return false;
  }
  return std::any_of(
      candidates.begin(), candidates.end(),
      [this](const PlacementCandidate& candidate) {
        const CandidateState* state = FindState(candidate.m_key);
        return !IsRemote(candidate) && candidate.m_is_reachable &&
               candidate.m_hold_remaining == Duration{} &&
               (state == nullptr || (!state->m_is_held && !state->m_is_final));
      });
}

bool Placement::IsClosedToHeavy(const PlacementCandidate& candidate) const {
  return m_is_kept_in_region && IsRemote(candidate) &&
         (candidate.m_hold_remaining > Duration{} ||
          KnownUse(candidate) >= m_options.m_nearly_full * candidate.m_slots ||
          FindState(candidate.m_key) != nullptr);
}

Duration Placement::LocalWaitLimit(Duration time_left) const {
  if (!m_options.m_is_heavy) {
    return m_options.m_max_local_wait;
  }
  return m_queue_offers < m_options.m_max_queue_offers
             ? HeavyWaitLeft(time_left)
             : Duration(-1);
}

Duration Placement::HeavyWaitLeft(Duration time_left) const {
  const Duration initial = m_initial_time_left.value_or(time_left);
  // A request with a close deadline needs time for the other region.
  return std::min(m_options.m_max_local_wait, initial / 4) -
         (initial - time_left);
}

const PlacementCandidate* Placement::FindFreeSlot(
    const std::vector<PlacementCandidate>& candidates,
    bool is_remote,
    bool prefer_trial,
    std::mt19937_64& random) const {
  const PlacementCandidate* best = nullptr;
  std::tuple<bool, uint32_t, Distance, uint64_t> best_rank;
  for (const PlacementCandidate& candidate : candidates) {
    if (IsRemote(candidate) != is_remote || !candidate.m_is_reachable ||
        candidate.m_hold_remaining > Duration{} ||
        candidate.m_used_slots >= candidate.m_slots ||
        IsClosedToHeavy(candidate) || FindState(candidate.m_key) != nullptr) {
      continue;
    }
    const std::tuple rank(candidate.m_needs_trial != prefer_trial,
                          LoadLevel(candidate), candidate.m_distance, random());
    if (best == nullptr || rank < best_rank) {
      best = &candidate;
      best_rank = rank;
    }
  }
  return best;
}

const PlacementCandidate* Placement::FindShortestQueue(
    const std::vector<PlacementCandidate>& candidates,
    Duration limit,
    std::mt19937_64& random) const {
  const PlacementCandidate* best = nullptr;
  std::pair<Duration, uint64_t> best_rank;
  for (const PlacementCandidate& candidate : candidates) {
    const CandidateState* state = FindState(candidate.m_key);
    const bool is_busy =
        state != nullptr ? state->m_is_busy && !state->m_is_final &&
                               !state->m_is_held && !state->m_was_offered_queue
                         : candidate.m_used_slots >= candidate.m_slots;
    if (!is_busy || !candidate.m_is_reachable || IsClosedToHeavy(candidate) ||
        candidate.m_hold_remaining > Duration{}) {
      continue;
    }
    const Duration wait =
        (state != nullptr ? state->m_expected_wait : candidate.m_rate_wait) +
        (IsRemote(candidate) ? kRemotePenalty : Duration{});
    const std::pair rank(wait,
                         m_options.m_spreads_queues ? random() : uint64_t{0});
    if (wait <= limit && (best == nullptr || rank < best_rank)) {
      best = &candidate;
      best_rank = rank;
    }
  }
  return best;
}

const PlacementCandidate* Placement::FindHeld(
    const std::vector<PlacementCandidate>& candidates) const {
  const PlacementCandidate* best = nullptr;
  std::pair<Duration, Distance> best_rank;
  for (const PlacementCandidate& candidate : candidates) {
    const CandidateState* state = FindState(candidate.m_key);
    if (!candidate.m_is_reachable ||
        (m_is_kept_in_region && IsRemote(candidate)) ||
        (state != nullptr &&
         (state->m_is_final || state->m_was_offered_held))) {
      continue;
    }
    if (state != nullptr && state->m_is_busy && !state->m_is_held) {
      continue;
    }
    const std::pair rank(candidate.m_hold_remaining, candidate.m_distance);
    if (best == nullptr || rank < best_rank) {
      best = &candidate;
      best_rank = rank;
    }
  }
  return best;
}

}  // namespace sequoiastage
