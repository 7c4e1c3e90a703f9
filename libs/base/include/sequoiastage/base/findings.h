#ifndef SEQUOIASTAGE_BASE_FINDINGS_H_
#define SEQUOIASTAGE_BASE_FINDINGS_H_

#include <string>
#include <vector>

namespace sequoiastage {

/// One fault in an input and its location.
struct Finding {
  /// File name or other source of the input.
  std::string m_source;
  /// JSON pointer (RFC 6901) within the source; empty for the whole document.
  std::string m_pointer;
  std::string m_message;

  friend bool operator==(const Finding&, const Finding&) = default;
};

/// Collects the faults of an input so that they are reported together.
class Findings {
 public:
  /// Adds a fault at JSON pointer `pointer` of `source`.
  void Add(std::string source, std::string pointer, std::string message);

  bool IsEmpty() const { return m_items.empty(); }
  const std::vector<Finding>& Items() const { return m_items; }

  /// One line per finding: "source: pointer: message", without "pointer: " when
  /// the pointer is empty. Empty when there are no findings.
  std::string ToText() const;

 private:
  std::vector<Finding> m_items;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_BASE_FINDINGS_H_
