#include "sequoiastage/routing/placement.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace sequoiastage {

namespace {

// Wait that an instance of another region has to be better by.
constexpr Duration kFarPenalty = std::chrono::milliseconds(60);

bool IsFar(const PlacementCandidate& candidate) {
  return candidate.m_distance == Distance::kRemote;
}

// Share of the slots in use, in steps that make small differences equal, so
// that the distance decides between them.
uint32_t BusyStep(const PlacementCandidate& candidate) {
  constexpr uint32_t kSteps = 4;
  return candidate.m_busy * kSteps / std::max(1U, candidate.m_slots);
}

}  // namespace

std::optional<PlacementStep> Placement::Next(
    const std::vector<PlacementCandidate>& candidates,
    std::mt19937_64& random,
    bool may_try,
    Duration time_left) {
  if (const auto* near = FreeSlot(candidates, false, may_try, random)) {
    return PlacementStep{.m_key = near->m_key};
  }
  const auto* queue = ShortestQueue(candidates, m_options.m_near_wait);
  if (queue == nullptr && m_far < m_options.m_max_far &&
      time_left >= m_options.m_least_far_time) {
    if (const auto* far = FreeSlot(candidates, true, false, random)) {
      ++m_far;
      return PlacementStep{.m_key = far->m_key};
    }
  }
  if (queue == nullptr) {
    queue = ShortestQueue(candidates, Duration::max());
  }
  if (queue != nullptr && m_waits < m_options.m_max_waits) {
    ++m_waits;
    m_records[queue->m_key].m_has_waited = true;
    return PlacementStep{.m_key = queue->m_key, .m_may_wait = true};
  }
  if (m_held < m_options.m_max_held) {
    if (const auto* held = HeldBack(candidates)) {
      ++m_held;
      m_records[held->m_key].m_was_forced = true;
      return PlacementStep{
          .m_key = held->m_key, .m_may_wait = true, .m_accepts_held = true};
    }
  }
  return std::nullopt;
}

std::optional<PlacementStep> Placement::NextSpare(
    const std::vector<PlacementCandidate>& candidates,
    std::mt19937_64& random) const {
  std::vector<PlacementCandidate> spare;
  std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(spare),
               [](const PlacementCandidate& candidate) {
                 return candidate.m_busy + 1 < candidate.m_slots;
               });
  const auto* near = FreeSlot(spare, false, false, random);
  return near == nullptr ? std::nullopt
                         : std::optional(PlacementStep{.m_key = near->m_key});
}

void Placement::OnRefused(CandidateKey key,
                          PlacementRefusal refusal,
                          Duration expected_wait) {
  Record& record = m_records[key];
  record.m_expected_wait = expected_wait;
  switch (refusal) {
    case PlacementRefusal::kBusy:
      record.m_is_busy = true;
      return;
    case PlacementRefusal::kHeld:
      record.m_is_held = true;
      return;
    case PlacementRefusal::kFinal:
      record.m_is_final = true;
      return;
  }
}

void Placement::OnRan(CandidateKey key) {
  m_records[key].m_is_final = true;
}

const Placement::Record* Placement::Find(CandidateKey key) const {
  const auto found = m_records.find(key);
  return found == m_records.end() ? nullptr : &found->second;
}

const PlacementCandidate* Placement::FreeSlot(
    const std::vector<PlacementCandidate>& candidates,
    bool is_far,
    bool may_try,
    std::mt19937_64& random) const {
  const PlacementCandidate* best = nullptr;
  std::tuple<bool, uint32_t, Distance, uint64_t> best_rank;
  for (const PlacementCandidate& candidate : candidates) {
    if (IsFar(candidate) != is_far || !candidate.m_is_path_open ||
        candidate.m_hold_left > Duration{} ||
        candidate.m_busy >= candidate.m_slots ||
        Find(candidate.m_key) != nullptr) {
      continue;
    }
    const std::tuple rank(candidate.m_wants_trial != may_try,
                          BusyStep(candidate), candidate.m_distance, random());
    if (best == nullptr || rank < best_rank) {
      best = &candidate;
      best_rank = rank;
    }
  }
  return best;
}

const PlacementCandidate* Placement::ShortestQueue(
    const std::vector<PlacementCandidate>& candidates,
    Duration limit) const {
  const PlacementCandidate* best = nullptr;
  Duration best_wait{};
  for (const PlacementCandidate& candidate : candidates) {
    const Record* record = Find(candidate.m_key);
    const bool is_busy = record != nullptr
                             ? record->m_is_busy && !record->m_is_final &&
                                   !record->m_is_held && !record->m_has_waited
                             : candidate.m_busy >= candidate.m_slots;
    if (!is_busy || !candidate.m_is_path_open ||
        candidate.m_hold_left > Duration{}) {
      continue;
    }
    const Duration wait =
        (record != nullptr ? record->m_expected_wait : Duration{}) +
        (IsFar(candidate) ? kFarPenalty : Duration{});
    if (wait <= limit && (best == nullptr || wait < best_wait)) {
      best = &candidate;
      best_wait = wait;
    }
  }
  return best;
}

const PlacementCandidate* Placement::HeldBack(
    const std::vector<PlacementCandidate>& candidates) const {
  const PlacementCandidate* best = nullptr;
  std::pair<Duration, Distance> best_rank;
  for (const PlacementCandidate& candidate : candidates) {
    const Record* record = Find(candidate.m_key);
    if (!candidate.m_is_path_open ||
        (record != nullptr && (record->m_is_final || record->m_was_forced))) {
      continue;
    }
    if (record != nullptr && record->m_is_busy && !record->m_is_held) {
      continue;
    }
    const std::pair rank(candidate.m_hold_left, candidate.m_distance);
    if (best == nullptr || rank < best_rank) {
      best = &candidate;
      best_rank = rank;
    }
  }
  return best;
}

}  // namespace sequoiastage
