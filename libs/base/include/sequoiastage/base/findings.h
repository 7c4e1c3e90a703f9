#ifndef SEQUOIASTAGE_BASE_FINDINGS_H_
#define SEQUOIASTAGE_BASE_FINDINGS_H_

#include <string>
#include <vector>

namespace sequoiastage {

/// One fault in an input, with its place.
struct Finding {
  /// File or source the input came from.
  std::string m_source;
  /// JSON pointer (RFC 6901) inside the source, empty for the whole.
  std::string m_pointer;
  std::string m_message;

  friend bool operator==(const Finding&, const Finding&) = default;
};

/// Collects faults so that all are reported together.
class Findings {
 public:
  /// Records a fault of `source` at JSON pointer `pointer`.
  void Add(std::string source, std::string pointer, std::string message);

  bool IsEmpty() const { return m_items.empty(); }
  const std::vector<Finding>& Items() const { return m_items; }

  /// One line a finding: "source: pointer: message".
  std::string ToText() const;

 private:
  std::vector<Finding> m_items;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_BASE_FINDINGS_H_
