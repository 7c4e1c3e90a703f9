#ifndef SEQUOIASTAGE_MEMBERSHIP_UPDATE_QUEUE_P_H_
#define SEQUOIASTAGE_MEMBERSHIP_UPDATE_QUEUE_P_H_

#include <cstdint>
#include <deque>
#include <map>
#include <utility>

#include "sequoiastage/base/ids.h"

namespace sequoiastage {

enum class UpdateKind : uint8_t { kEntry, kStatus, kHint };

/// A change to pass on, by name: the value is read when it is sent.
struct UpdateKey {
  NodeId m_node;
  UpdateKind m_kind = UpdateKind::kEntry;

  friend auto operator<=>(const UpdateKey&, const UpdateKey&) = default;
};

/// Changes to pass on, the newest first, each for a number of rounds.
class UpdateQueue {
 public:
  /// Puts the change in front; one already queued starts over.
  void Push(const UpdateKey& key, uint32_t rounds) {
    const bool is_new = m_rounds.insert_or_assign(key, rounds).second;
    if (is_new) {
      m_order.push_front(key);
    }
  }

  bool IsEmpty() const { return m_order.empty(); }

  /// Offers changes to `take` until it refuses one, each at most once.
  template <class Take>
  void Round(Take take) {
    for (std::size_t left = m_order.size(); left > 0; --left) {
      const UpdateKey key = m_order.front();
      if (!take(key)) {
        return;
      }
      m_order.pop_front();
      const auto rounds = m_rounds.find(key);
      if (--rounds->second == 0) {
        m_rounds.erase(rounds);
      } else {
        m_order.push_back(key);
      }
    }
  }

 private:
  std::deque<UpdateKey> m_order;
  std::map<UpdateKey, uint32_t> m_rounds;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MEMBERSHIP_UPDATE_QUEUE_P_H_
