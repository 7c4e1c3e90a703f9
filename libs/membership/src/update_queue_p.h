#ifndef SEQUOIASTAGE_MEMBERSHIP_UPDATE_QUEUE_P_H_
#define SEQUOIASTAGE_MEMBERSHIP_UPDATE_QUEUE_P_H_

#include <cmath>
#include <cstdint>
#include <deque>
#include <map>
#include <utility>

#include "sequoiastage/base/ids.h"

namespace sequoiastage {

/// Number of copies of a change that each node sends: with ln(n) + c random
/// copies, all n nodes receive it with probability exp(-exp(-c)) (Erdos and
/// Renyi 1959).
inline uint32_t CopiesToSend(std::size_t members) {
  constexpr double kSpareCopies = 3;
  return static_cast<uint32_t>(
      std::ceil(std::log(static_cast<double>(members)) + kSpareCopies));
}

enum class UpdateKind : uint8_t { kEntry, kStatus, kHint };

/// Identifies a change to send; its value is read when it is sent.
struct UpdateKey {
  NodeId m_node;
  UpdateKind m_kind = UpdateKind::kEntry;

  friend auto operator<=>(const UpdateKey&, const UpdateKey&) = default;
};

/// Changes to send, newest first, each for a number of rounds.
class UpdateQueue {
 public:
  /// Adds the change at the front. The rounds of one already queued restart.
  void Push(const UpdateKey& key, uint32_t rounds) {
    const bool is_new =
        m_rounds.insert_or_assign(key, Progress{.m_rounds_left = rounds})
            .second;
    if (is_new) {
      m_order.push_front(key);
    }
  }

  bool IsEmpty() const { return m_order.empty(); }

  /// Passes each change to `write` at most once, until it returns false. The
  /// second argument of `write` is whether the change was sent in an earlier
  /// round.
  template <class Write>
  void RunRound(Write write) {
    for (std::size_t remaining = m_order.size(); remaining > 0; --remaining) {
      const UpdateKey key = m_order.front();
      const auto progress = m_rounds.find(key);
      if (!write(key, progress->second.m_was_sent)) {
        return;
      }
      m_order.pop_front();
      progress->second.m_was_sent = true;
      if (--progress->second.m_rounds_left == 0) {
        m_rounds.erase(progress);
      } else {
        m_order.push_back(key);
      }
    }
  }

 private:
  struct Progress {
    uint32_t m_rounds_left = 0;
    bool m_was_sent = false;
  };

  std::deque<UpdateKey> m_order;
  std::map<UpdateKey, Progress> m_rounds;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MEMBERSHIP_UPDATE_QUEUE_P_H_
