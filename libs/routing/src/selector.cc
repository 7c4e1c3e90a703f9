#include "sequoiastage/routing/selector.h"

#include <algorithm>
#include <utility>

namespace sequoiastage {
namespace {

/// A candidate with its sort keys.
struct RankedCandidate {
  Choice m_choice;
  Locality m_locality = Locality::kOtherRegion;
  /// Requests per slot, including this one; higher in warm-up.
  double m_load = 0;

  std::pair<ChoiceReason, Locality> GroupKey() const {
    return {m_choice.m_reason, m_locality};
  }
};

bool IsTried(const Candidate& candidate, const SelectionRequest& request) {
  return std::find(request.m_tried.begin(), request.m_tried.end(),
                   candidate.m_instance) != request.m_tried.end();
}

ChoiceReason ClassifyCandidate(const Candidate& candidate,
                               const SelectionRequest& request,
                               const SelectorOptions& options) {
  if (IsTried(candidate, request)) {
    return ChoiceReason::kTried;
  }
  if (candidate.m_unreachable) {
    return ChoiceReason::kUnreachable;
  }
  const bool is_too_far = candidate.m_locality == Locality::kOtherRegion &&
                          request.m_time_left < options.m_other_region_time;
  if (!candidate.HasFreeSlot() || is_too_far) {
    return ChoiceReason::kBusy;
  }
  return candidate.m_health == InstanceHealth::kSuspect
             ? ChoiceReason::kSpillOver
             : ChoiceReason::kHealthy;
}

std::size_t RandomIndex(std::size_t bound, std::mt19937_64& random) {
  return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random);
}

/// Orders a group by repeatedly choosing the less loaded of two random
/// candidates.
void OrderGroup(std::span<RankedCandidate> group, std::mt19937_64& random) {
  for (std::size_t first = 0; first + 1 < group.size(); ++first) {
    const std::size_t left = group.size() - first;
    const std::size_t a = first + RandomIndex(left, random);
    const std::size_t b = first + RandomIndex(left, random);
    const std::size_t best = group[a].m_load <= group[b].m_load ? a : b;
    std::swap(group[first], group[best]);
  }
}

/// Moves a random suspect to the front with a probability that gives suspects
/// `share` of their healthy load. Suspects in other regions, behind links
/// billed by volume, are not promoted.
void PromoteSuspect(std::vector<RankedCandidate>& ranked,
                    double share,
                    std::mt19937_64& random) {
  std::vector<std::size_t> suspects;
  std::size_t healthy = 0;
  for (std::size_t i = 0; i < ranked.size(); ++i) {
    const ChoiceReason reason = ranked[i].m_choice.m_reason;
    const bool is_near = ranked[i].m_locality != Locality::kOtherRegion;
    healthy += reason == ChoiceReason::kHealthy ? 1 : 0;
    if (reason == ChoiceReason::kSpillOver && is_near) {
      suspects.push_back(i);
    }
  }
  if (suspects.empty() || healthy == 0) {
    return;
  }
  const double suspect_share = static_cast<double>(suspects.size()) /
                               static_cast<double>(suspects.size() + healthy);
  if (!std::bernoulli_distribution(share * suspect_share)(random)) {
    return;
  }
  const auto chosen = static_cast<std::ptrdiff_t>(
      suspects[RandomIndex(suspects.size(), random)]);
  ranked[chosen].m_choice.m_reason = ChoiceReason::kProbation;
  std::rotate(ranked.begin(), ranked.begin() + chosen,
              ranked.begin() + chosen + 1);
}

}  // namespace

std::vector<Choice> Selector::Order(std::span<const Candidate> candidates,
                                    const SelectionRequest& request,
                                    std::mt19937_64& random) const {
  std::vector<RankedCandidate> ranked;
  ranked.reserve(candidates.size());
  for (uint32_t i = 0; i < candidates.size(); ++i) {
    const Candidate& candidate = candidates[i];
    if (candidate.IsExcluded()) {
      continue;
    }
    const double slots = candidate.m_slots *
                         (candidate.m_warm_up ? m_options.m_warm_up_share : 1);
    ranked.push_back({.m_choice = {.m_index = i,
                                   .m_reason = ClassifyCandidate(
                                       candidate, request, m_options)},
                      .m_locality = candidate.m_locality,
                      .m_load = (candidate.m_load + 1) / std::max(slots, 0.5)});
  }
  std::sort(ranked.begin(), ranked.end(),
            [](const RankedCandidate& a, const RankedCandidate& b) {
              return std::pair(a.GroupKey(), a.m_choice.m_index) <
                     std::pair(b.GroupKey(), b.m_choice.m_index);
            });
  for (std::size_t begin = 0; begin < ranked.size();) {
    std::size_t end = begin;
    while (end < ranked.size() &&
           ranked[end].GroupKey() == ranked[begin].GroupKey()) {
      ++end;
    }
    OrderGroup(std::span(ranked).subspan(begin, end - begin), random);
    begin = end;
  }
  if (request.m_idempotent && request.m_tried.empty()) {
    PromoteSuspect(ranked, m_options.m_probation_share, random);
  }
  std::vector<Choice> order;
  order.reserve(ranked.size());
  for (const RankedCandidate& item : ranked) {
    order.push_back(item.m_choice);
  }
  return order;
}

}  // namespace sequoiastage
