#ifndef SEQUOIASTAGE_HTTP_MESSAGE_PARSER_H_
#define SEQUOIASTAGE_HTTP_MESSAGE_PARSER_H_

#include <http_parser.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "sequoiastage/base/http_message.h"

/// Incremental HTTP/1.1 parsing without sockets. A parser reads one message,
/// says how many bytes belonged to it, and is reset for the next:
///
///   RequestParser parser({.m_max_header_bytes = 16384});
///   size_t used = parser.Feed(bytes);
///   if (parser.State() == ParseState::kComplete) {
///     Handle(parser.Take());
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
  /// No message, or one above the limits; see FailureStatus().
  kFailed,
};

/// What requests and answers have in common.
class MessageParser {
 public:
  MessageParser(const MessageParser&) = delete;
  MessageParser& operator=(const MessageParser&) = delete;

  /// Reads bytes of the current message, returns how many belonged to it. A
  /// message that is complete or failed takes none.
  size_t Feed(std::string_view bytes);

  ParseState State() const { return m_state; }

  /// HTTP status that names the fault once the state is kFailed: 400, 413
  /// (body above the limit) or 431 (header above the limit).
  uint16_t FailureStatus() const { return m_failure_status; }

  /// Whether the connection may carry another message after this one.
  bool KeepsAlive() const { return m_keeps_alive; }

  void SetLimits(const MessageLimits& limits) { m_limits = limits; }

  /// Bytes of the body so far.
  size_t BodyBytes() const { return m_body.size(); }

 protected:
  MessageParser(http_parser_type type, const MessageLimits& limits);
  ~MessageParser() = default;

  void Reset();
  void FinishAtEnd();

  std::string m_target;
  std::vector<HttpField> m_fields;
  std::string m_body;
  http_parser m_parser{};
  ParseState m_state = ParseState::kIdle;
  // An answer to HEAD has no body whatever its fields say.
  bool m_skips_body = false;

 private:
  struct Callbacks;

  int Fail(uint16_t status);

  http_parser_type m_type;
  MessageLimits m_limits;
  size_t m_header_bytes = 0;
  uint16_t m_failure_status = 0;
  bool m_keeps_alive = false;
  bool m_in_value = false;
};

class RequestParser : public MessageParser {
 public:
  explicit RequestParser(const MessageLimits& limits)
      : MessageParser(HTTP_REQUEST, limits) {}

  /// The request; the parser is ready for the next one. m_fields holds Host
  /// too, m_host is it without port, lower case.
  HttpRequest Take();
};

class AnswerParser : public MessageParser {
 public:
  explicit AnswerParser(const MessageLimits& limits)
      : MessageParser(HTTP_RESPONSE, limits) {}

  /// Call before the first byte of an answer to a HEAD request.
  void ExpectNoBody() { m_skips_body = true; }

  /// The connection was closed in order: completes an answer whose length is
  /// told by the end of its connection, fails any other that is not complete.
  void OnEnd() { FinishAtEnd(); }

  uint16_t Status() const { return m_parser.status_code; }

  /// The answer; the parser is ready for the next one.
  HttpResponse Take();
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_HTTP_MESSAGE_PARSER_H_
