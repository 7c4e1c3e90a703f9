#ifndef SEQUOIASTAGE_CHECKEDJSON_DOCUMENT_BUILDER_P_H_
#define SEQUOIASTAGE_CHECKEDJSON_DOCUMENT_BUILDER_P_H_

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "sequoiastage/base/findings.h"

namespace sequoiastage {

/// Builds a value from the parse events of nlohmann/json (its SAX interface).
/// Reports duplicate keys, and stops at syntax errors and excessive nesting.
/// The callback interface of the parser is not used because it scans the parent
/// object after every member.
class DocumentBuilder : public nlohmann::json_sax<nlohmann::json> {
 public:
  using Json = nlohmann::json;

  DocumentBuilder(const std::string& source,
                  std::string_view text,
                  Findings& findings)
      : m_source(source), m_text(text), m_findings(findings) {}

  bool HasFault() const { return m_has_fault; }
  Json TakeRoot() { return std::move(m_root); }

  // NOLINTBEGIN(readability-identifier-naming): names of the nlohmann/json
  // interface.
  bool null() override;
  bool boolean(bool value) override;
  bool number_integer(number_integer_t value) override;
  bool number_unsigned(number_unsigned_t value) override;
  bool number_float(number_float_t value, const string_t& text) override;
  bool string(string_t& value) override;
  bool binary(binary_t& value) override;
  bool start_object(std::size_t elements) override;
  bool key(string_t& value) override;
  bool end_object() override;
  bool start_array(std::size_t elements) override;
  bool end_array() override;
  bool parse_error(std::size_t position,
                   const std::string& last_token,
                   const nlohmann::detail::exception& error) override;
  // NOLINTEND(readability-identifier-naming)

 private:
  struct Level {
    Json* m_value = nullptr;
    // Member that receives the next value, for objects.
    Json* m_member = nullptr;
    std::string m_key{};
  };

  // Stores `value` at the current position: the root, the end of the innermost
  // array or the current member of the innermost object.
  Json* InsertValue(Json value);
  bool OpenContainer(Json value);
  bool CloseContainer();
  std::string Pointer() const;
  void Report(std::string pointer, std::string message);

  const std::string& m_source;
  std::string_view m_text;
  Findings& m_findings;
  Json m_root;
  std::vector<Level> m_levels;
  bool m_has_fault = false;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_CHECKEDJSON_DOCUMENT_BUILDER_P_H_
