#include "sequoiastage/routing/selector.h"

#include <algorithm>
#include <utility>

namespace sequoiastage {
namespace {

/// A candidate with its place in the order.
struct Ranked {
  Choice m_choice;
  Locality m_locality = Locality::kOtherRegion;
  /// Requests a slot, greater in warm-up.
  double m_load = 0;

  std::pair<ChoiceReason, Locality> Group() const {
    return {m_choice.m_reason, m_locality};
  }
};

bool IsTried(const Candidate& candidate, const SelectionRequest& request) {
  return std::find(request.m_tried.begin(), request.m_tried.end(),
                   candidate.m_instance) != request.m_tried.end();
}

ChoiceReason ReasonOf(const Candidate& candidate,
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

std::size_t Below(std::size_t bound, std::mt19937_64& random) {
  return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random);
}

/// Orders a group by repeated choice of the less loaded of two.
void OrderGroup(std::span<Ranked> group, std::mt19937_64& random) {
  for (std::size_t first = 0; first + 1 < group.size(); ++first) {
    const std::size_t left = group.size() - first;
    const std::size_t a = first + Below(left, random);
    const std::size_t b = first + Below(left, random);
    const std::size_t best = group[a].m_load <= group[b].m_load ? a : b;
    std::swap(group[first], group[best]);
  }
}

/// Puts one suspect first, so that it gets its share of work to prove itself.
/// Suspects behind paid links wait for spill-over.
void PlaceProving(std::vector<Ranked>& ranked,
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
  const double part = static_cast<double>(suspects.size()) /
                      static_cast<double>(suspects.size() + healthy);
  if (!std::bernoulli_distribution(share * part)(random)) {
    return;
  }
  const auto chosen =
      static_cast<std::ptrdiff_t>(suspects[Below(suspects.size(), random)]);
  ranked[chosen].m_choice.m_reason = ChoiceReason::kProving;
  std::rotate(ranked.begin(), ranked.begin() + chosen,
              ranked.begin() + chosen + 1);
}

}  // namespace

std::vector<Choice> Selector::Order(std::span<const Candidate> candidates,
                                    const SelectionRequest& request,
                                    std::mt19937_64& random) const {
  std::vector<Ranked> ranked;
  ranked.reserve(candidates.size());
  for (uint32_t i = 0; i < candidates.size(); ++i) {
    const Candidate& candidate = candidates[i];
    if (candidate.IsExcluded()) {
      continue;
    }
    const double slots = candidate.m_slots *
                         (candidate.m_warm_up ? m_options.m_warm_up_share : 1);
    ranked.push_back(
        {.m_choice = {.m_index = i,
                      .m_reason = ReasonOf(candidate, request, m_options)},
         .m_locality = candidate.m_locality,
         .m_load = (candidate.m_load + 1) / std::max(slots, 0.5)});
  }
  std::sort(ranked.begin(), ranked.end(), [](const Ranked& a, const Ranked& b) {
    return std::pair(a.Group(), a.m_choice.m_index) <
           std::pair(b.Group(), b.m_choice.m_index);
  });
  for (std::size_t begin = 0; begin < ranked.size();) {
    std::size_t end = begin;
    while (end < ranked.size() &&
           ranked[end].Group() == ranked[begin].Group()) {
      ++end;
    }
    OrderGroup(std::span(ranked).subspan(begin, end - begin), random);
    begin = end;
  }
  if (request.m_idempotent && request.m_tried.empty()) {
    PlaceProving(ranked, m_options.m_proving_share, random);
  }
  std::vector<Choice> order;
  order.reserve(ranked.size());
  for (const Ranked& item : ranked) {
    order.push_back(item.m_choice);
  }
  return order;
}

}  // namespace sequoiastage
