#ifndef SEQUOIASTAGE_BASE_BYTE_BUDGET_H_
#define SEQUOIASTAGE_BASE_BYTE_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <utility>

namespace sequoiastage {

/// What holds the bytes of a ByteBudget.
enum class HeldKind : uint8_t {
  /// Request bodies, from reading to the response.
  kCallerRequests,
  /// Responses that callers have not read.
  kCallerResponses,
  /// Frames queued on links to other nodes.
  kLinks,
  /// Requests that the instance executes.
  kInstanceRequests,
  /// Responses being read from the instance, and outcomes retained.
  kInstanceResponses,
};
inline constexpr size_t kHeldKinds = 5;

/// Bytes of messages that a node holds, over all parts of it. Answers the load
/// of many large messages in transit at once, for example with slow callers.
/// Requests that have not run are refused when the budget is short, and small
/// ones later than large ones. Data that has to be taken, like a response that
/// is ready, counts and is never refused.
class ByteBudget {
 public:
  /// Messages up to this size are small.
  static constexpr size_t kSmallBytes = size_t{16} << 10;

  explicit ByteBudget(size_t max_bytes) : m_max_bytes(max_bytes) {}

  void SetLimit(size_t max_bytes) { m_max_bytes = max_bytes; }
  size_t Limit() const { return m_max_bytes; }

  /// Whether `bytes` more of a new message with this total size may be held. A
  /// large message is copied on its way through the node, so new ones leave
  /// half of the budget: if they filled it, none of them could proceed.
  bool Admits(size_t bytes, size_t message_bytes) const {
    return m_held_bytes + bytes <=
           (message_bytes > kSmallBytes ? m_max_bytes / 2 : m_max_bytes);
  }

  /// Whether there is room for `bytes` on the way of a message that the node
  /// already holds.
  bool AdmitsNextStep(size_t bytes) const {
    return m_held_bytes + bytes <= m_max_bytes;
  }

  /// Whether so much is held that data of callers who don't read it has to go.
  /// The last quarter is kept for small messages.
  bool IsShort() const { return m_held_bytes > m_max_bytes / 4 * 3; }

  /// `on_short` is called whenever more is held while IsShort() holds.
  void SetOnShort(std::function<void()> on_short) {
    m_on_short = std::move(on_short);
  }

  void Replace(HeldKind kind, size_t before, size_t after) {
    m_held_bytes += after - before;
    m_by_kind[static_cast<size_t>(kind)] += after - before;
    m_peak_bytes = m_held_bytes > m_peak_bytes ? m_held_bytes : m_peak_bytes;
    if (after > before && IsShort() && m_on_short) {
      m_on_short();
    }
  }

  void CountRefusal() { ++m_refusals; }

  size_t Held() const { return m_held_bytes; }
  size_t Held(HeldKind kind) const {
    return m_by_kind[static_cast<size_t>(kind)];
  }
  /// Most bytes ever held.
  size_t Peak() const { return m_peak_bytes; }
  uint64_t Refusals() const { return m_refusals; }

 private:
  size_t m_max_bytes;
  size_t m_held_bytes = 0;
  size_t m_peak_bytes = 0;
  uint64_t m_refusals = 0;
  std::array<size_t, kHeldKinds> m_by_kind{};
  std::function<void()> m_on_short;
};

/// Share of a ByteBudget that is returned on destruction. Without a budget it
/// only counts.
class BudgetShare {
 public:
  BudgetShare(std::shared_ptr<ByteBudget> budget, HeldKind kind)
      : m_budget(std::move(budget)), m_kind(kind) {}
  BudgetShare(const BudgetShare&) = delete;
  BudgetShare& operator=(const BudgetShare&) = delete;
  ~BudgetShare() { Set(0); }

  void Set(size_t bytes) {
    if (m_budget) {
      m_budget->Replace(m_kind, m_bytes, bytes);
    }
    m_bytes = bytes;
  }

  size_t Get() const { return m_bytes; }

 private:
  std::shared_ptr<ByteBudget> m_budget;
  HeldKind m_kind;
  size_t m_bytes = 0;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_BASE_BYTE_BUDGET_H_
