#ifndef SEQUOIASTAGE_HTTP_MESSAGE_PARSER_H_
#define SEQUOIASTAGE_HTTP_MESSAGE_PARSER_H_

#include <http_parser.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "sequoiastage/base/http_message.h"

/// Incremental HTTP/1.1 parsing without sockets. A parser reads one message,
/// returns how many bytes it consumed, and is reset for the next:
///
///   RequestParser parser({.m_max_header_bytes = 16384});
///   size_t used = parser.Feed(bytes);
///   if (parser.State() == ParseState::kComplete) {
///     Handle(parser.TakeRequest());
///   }
namespace sequoiastage {

struct MessageLimits {
  /// Start line and fields together.
  size_t m_max_header_bytes = size_t{64} << 10;
  size_t m_max_body_bytes = size_t{64} << 20;
};

enum class ParseState : uint8_t {
  /// No byte of the message has been read.
  kIdle,
  kInHeaders,
  kInBody,
  kComplete,
  /// Malformed, or above the limits; see FailureStatus().
  kFailed,
};

/// Common base of the request and response parsers.
class MessageParser {
 public:
  MessageParser(const MessageParser&) = delete;
  MessageParser& operator=(const MessageParser&) = delete;

  /// Parses bytes of the current message and returns how many it consumed: none
  /// once the message is complete or failed.
  size_t Feed(std::string_view bytes);

  ParseState State() const { return m_state; }

  /// HTTP status of the failure once the state is kFailed: 400 (malformed), 413
  /// (body above the limit) or 431 (header above the limit).
  uint16_t FailureStatus() const { return m_failure_status; }

  /// Whether the connection can carry another message after this one; valid
  /// once the state is kComplete.
  bool KeepsAlive() const { return m_keeps_alive; }

  void SetLimits(const MessageLimits& limits) { m_limits = limits; }

  /// Body bytes read so far.
  size_t BodyBytes() const { return m_body.size(); }

  /// Length of the body that the header states; 0 when it states none.
  size_t StatedBodyBytes() const { return m_stated_body_bytes; }

 protected:
  MessageParser(http_parser_type type, const MessageLimits& limits);
  ~MessageParser() = default;

  void Reset();
  void FinishAtEof();

  std::string m_target;
  std::vector<HttpField> m_fields;
  std::string m_body;
  http_parser m_parser{};
  ParseState m_state = ParseState::kIdle;
  // The response to HEAD, or one with a status such as 304, has no body,
  // regardless of its fields.
  bool m_skips_body = false;

 private:
  struct Callbacks;

  // How far the header has been read by CheckHeader().
  enum class HeaderPosition : uint8_t {
    kBeforeStartLine,
    kInLine,
    kAtLineStart,
    kEnd,
  };

  int Fail(uint16_t status);
  // Returns false at what http_parser accepts in a header though it is no
  // HTTP: a line that begins with a blank, which would continue the line
  // before, a CR without LF, or empty lines before a response.
  bool CheckHeader(std::string_view bytes);

  http_parser_type m_type;
  MessageLimits m_limits;
  size_t m_header_bytes = 0;
  size_t m_stated_body_bytes = 0;
  uint16_t m_failure_status = 0;
  bool m_keeps_alive = false;
  bool m_in_value = false;
  HeaderPosition m_position = HeaderPosition::kBeforeStartLine;
  bool m_follows_cr = false;
};

class RequestParser : public MessageParser {
 public:
  explicit RequestParser(const MessageLimits& limits)
      : MessageParser(HTTP_REQUEST, limits) {}

  /// Returns the request and resets the parser for the next one. m_fields
  /// includes Host; m_host is its value in lower case, without the port.
  HttpRequest TakeRequest();
};

class ResponseParser : public MessageParser {
 public:
  explicit ResponseParser(const MessageLimits& limits)
      : MessageParser(HTTP_RESPONSE, limits) {}

  /// Call before the first byte of the response to a HEAD request.
  void ExpectNoBody() { m_skips_body = true; }

  /// Handles an orderly close of the connection: completes a response that is
  /// delimited by it and fails any other incomplete response.
  void OnEof() { FinishAtEof(); }

  uint16_t Status() const { return m_parser.status_code; }

  /// Returns the response and resets the parser for the next one.
  HttpResponse TakeResponse();
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_HTTP_MESSAGE_PARSER_H_
