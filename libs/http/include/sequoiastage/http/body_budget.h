#ifndef SEQUOIASTAGE_HTTP_BODY_BUDGET_H_
#define SEQUOIASTAGE_HTTP_BODY_BUDGET_H_

#include <cstddef>
#include <memory>
#include <utility>

namespace sequoiastage {

/// Limits the bytes of response bodies that several calls hold while they read
/// them.
struct BodyBudget {
  size_t m_max_bytes = size_t{24} << 20;
  size_t m_held_bytes = 0;
};

/// Share of a BodyBudget that is returned on destruction. Without a budget
/// there is no limit.
class BodyShare {
 public:
  explicit BodyShare(std::shared_ptr<BodyBudget> budget)
      : m_budget(std::move(budget)) {}
  BodyShare(const BodyShare&) = delete;
  BodyShare& operator=(const BodyShare&) = delete;
  ~BodyShare() { Set(0); }

  /// Returns false when the budget is exceeded.
  bool Set(size_t bytes) {
    if (!m_budget) {
      return true;
    }
    m_budget->m_held_bytes += bytes;
    m_budget->m_held_bytes -= m_bytes;
    m_bytes = bytes;
    return m_budget->m_held_bytes <= m_budget->m_max_bytes;
  }

 private:
  std::shared_ptr<BodyBudget> m_budget;
  size_t m_bytes = 0;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_HTTP_BODY_BUDGET_H_
