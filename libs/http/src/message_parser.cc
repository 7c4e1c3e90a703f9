#include "sequoiastage/http/message_parser.h"

#include <string_view>
#include <utility>

namespace sequoiastage {

namespace {

constexpr uint16_t kBadRequest = 400;
constexpr uint16_t kBodyTooLarge = 413;
constexpr uint16_t kHeaderTooLarge = 431;
// ": " and CRLF.
constexpr size_t kFieldSyntaxBytes = 4;
// Return value of on_headers_complete for a message without a body.
constexpr int kNoBody = 1;

// The classes of RFC 9110, 15. Requests never ask for another protocol.
bool IsExpectedStatus(unsigned status) {
  constexpr unsigned kFirst = 100;
  constexpr unsigned kLast = 599;
  constexpr unsigned kSwitchingProtocols = 101;
  return status >= kFirst && status <= kLast && status != kSwitchingProtocols;
}

// Whether responses with the status end with their header (RFC 9112, 6.3).
bool HasNoBody(unsigned status) {
  constexpr unsigned kFirstFinal = 200;
  constexpr unsigned kNoContent = 204;
  constexpr unsigned kNotModified = 304;
  return status < kFirstFinal || status == kNoContent || status == kNotModified;
}

// Requests ask for no other transfer coding. http_parser leaves any but
// "chunked" in the body, whose fields no longer tell of it once the message is
// passed on.
bool HasOtherTransferCoding(const std::vector<HttpField>& fields) {
  size_t count = 0;
  bool is_chunked = true;
  for (const HttpField& field : fields) {
    if (EqualsIgnoringCase(field.m_name, "transfer-encoding")) {
      ++count;
      const std::string_view value = field.m_value;
      is_chunked = EqualsIgnoringCase(
          value.substr(0, value.find_last_not_of(" \t") + 1), "chunked");
    }
  }
  return count > 1 || !is_chunked;
}

}  // namespace

struct MessageParser::Callbacks {
  static MessageParser& Self(http_parser* parser) {
    return *static_cast<MessageParser*>(parser->data);
  }

  static int OnTarget(http_parser* parser, const char* at, size_t length) {
    Self(parser).m_target.append(at, length);
    return 0;
  }

  static int OnFieldName(http_parser* parser, const char* at, size_t length) {
    MessageParser& self = Self(parser);
    if (self.m_state == ParseState::kInBody) {
      return 0;  // Trailers are dropped.
    }
    // http_parser accepts spaces in names. A name with a space before the colon
    // would pass filters of fields and be read without the space by the next
    // server (RFC 9112, 5.1).
    if (std::string_view(at, length).find(' ') != std::string_view::npos) {
      return self.Fail(kBadRequest);
    }
    if (self.m_fields.empty() || self.m_in_value) {
      self.m_fields.emplace_back();
      self.m_in_value = false;
    }
    self.m_fields.back().m_name.append(at, length);
    return 0;
  }

  static int OnFieldValue(http_parser* parser, const char* at, size_t length) {
    MessageParser& self = Self(parser);
    if (self.m_state == ParseState::kInBody) {
      return 0;
    }
    self.m_in_value = true;
    self.m_fields.back().m_value.append(at, length);
    return 0;
  }

  static int OnHeadersComplete(http_parser* parser) {
    MessageParser& self = Self(parser);
    self.m_state = ParseState::kInBody;
    if (self.m_type == HTTP_RESPONSE) {
      if (parser->http_major != 1 || !IsExpectedStatus(parser->status_code) ||
          HasOtherTransferCoding(self.m_fields)) {
        return self.Fail(kBadRequest);
      }
      self.m_skips_body |= HasNoBody(parser->status_code);
    }
    size_t size = self.m_target.size();
    for (const HttpField& field : self.m_fields) {
      size += field.m_name.size() + field.m_value.size() + kFieldSyntaxBytes;
    }
    if (size > self.m_limits.m_max_header_bytes) {
      return self.Fail(kHeaderTooLarge);
    }
    // http_parser reports a missing length as UINT64_MAX.
    if (parser->content_length != UINT64_MAX &&
        parser->content_length > self.m_limits.m_max_body_bytes &&
        !self.m_skips_body) {
      return self.Fail(kBodyTooLarge);
    }
    if (parser->content_length != UINT64_MAX && !self.m_skips_body) {
      self.m_stated_body_bytes = parser->content_length;
    }
    return self.m_skips_body ? kNoBody : 0;
  }

  static int OnBody(http_parser* parser, const char* at, size_t length) {
    MessageParser& self = Self(parser);
    if (self.m_body.size() + length > self.m_limits.m_max_body_bytes) {
      return self.Fail(kBodyTooLarge);
    }
    // Doubling would leave up to half of a large body's memory unused.
    const size_t size = self.m_body.size() + length;
    if (size > self.m_body.capacity()) {
      self.m_body.reserve(size + size / 4);
    }
    self.m_body.append(at, length);
    return 0;
  }

  static int OnMessageComplete(http_parser* parser) {
    MessageParser& self = Self(parser);
    self.m_keeps_alive = http_should_keep_alive(parser) != 0;
    self.m_state = ParseState::kComplete;
    // Stops http_parser_execute() after this message.
    http_parser_pause(parser, 1);
    return 0;
  }

  static const http_parser_settings* Settings() {
    static const http_parser_settings kSettings = [] {
      http_parser_settings settings;
      http_parser_settings_init(&settings);
      settings.on_url = OnTarget;
      settings.on_header_field = OnFieldName;
      settings.on_header_value = OnFieldValue;
      settings.on_headers_complete = OnHeadersComplete;
      settings.on_body = OnBody;
      settings.on_message_complete = OnMessageComplete;
      return settings;
    }();
    return &kSettings;
  }
};

MessageParser::MessageParser(http_parser_type type, const MessageLimits& limits)
    : m_type(type), m_limits(limits) {
  Reset();
}

void MessageParser::Reset() {
  http_parser_init(&m_parser, m_type);
  m_parser.data = this;
  m_target.clear();
  m_fields.clear();
  m_body.clear();
  m_state = ParseState::kIdle;
  m_header_bytes = 0;
  m_stated_body_bytes = 0;
  m_in_value = false;
  m_position = HeaderPosition::kBeforeStartLine;
  m_follows_cr = false;
  m_skips_body = false;
}

int MessageParser::Fail(uint16_t status) {
  m_state = ParseState::kFailed;
  m_failure_status = status;
  return -1;
}

bool MessageParser::CheckHeader(std::string_view bytes) {
  for (const char byte : bytes) {
    if (m_position == HeaderPosition::kEnd) {
      return true;
    }
    if (m_follows_cr && byte != '\n') {
      return false;
    }
    m_follows_cr = byte == '\r';
    if (byte == '\r' || byte == '\n') {
      if (m_position == HeaderPosition::kBeforeStartLine &&
          m_type == HTTP_RESPONSE) {
        return false;
      }
      if (byte == '\n' && m_position == HeaderPosition::kAtLineStart) {
        m_position = HeaderPosition::kEnd;
      } else if (byte == '\n' && m_position == HeaderPosition::kInLine) {
        m_position = HeaderPosition::kAtLineStart;
      }
      continue;
    }
    if (m_position == HeaderPosition::kAtLineStart &&
        (byte == ' ' || byte == '\t')) {
      return false;
    }
    m_position = HeaderPosition::kInLine;
  }
  return true;
}

size_t MessageParser::Feed(std::string_view bytes) {
  if (m_state == ParseState::kComplete || m_state == ParseState::kFailed ||
      bytes.empty()) {
    return 0;
  }
  if (m_state == ParseState::kIdle) {
    m_state = ParseState::kInHeaders;
  }
  const bool was_in_headers = m_state == ParseState::kInHeaders;
  if (was_in_headers && !CheckHeader(bytes)) {
    Fail(kBadRequest);
    return 0;
  }
  const size_t used = http_parser_execute(&m_parser, Callbacks::Settings(),
                                          bytes.data(), bytes.size());
  if (m_state == ParseState::kComplete) {
    http_parser_pause(&m_parser, 0);
    return used;
  }
  if (m_state != ParseState::kFailed && m_parser.http_errno != HPE_OK) {
    Fail(m_parser.http_errno == HPE_HEADER_OVERFLOW ? kHeaderTooLarge
                                                    : kBadRequest);
  }
  if (was_in_headers && m_state != ParseState::kFailed) {
    m_header_bytes += m_state == ParseState::kInHeaders ? used : 0;
    if (m_header_bytes > m_limits.m_max_header_bytes) {
      Fail(kHeaderTooLarge);
    }
  }
  return used;
}

void MessageParser::FinishAtEof() {
  if (m_state == ParseState::kComplete || m_state == ParseState::kFailed) {
    return;
  }
  http_parser_execute(&m_parser, Callbacks::Settings(), nullptr, 0);
  if (m_state != ParseState::kComplete) {
    Fail(kBadRequest);
  }
}

HttpRequest RequestParser::TakeRequest() {
  const std::string* host = FindField(m_fields, "Host");
  HttpRequest request{
      .m_method = http_method_str(static_cast<http_method>(m_parser.method)),
      .m_host = host == nullptr ? "" : ExtractHostName(*host),
      .m_target = std::move(m_target),
      .m_fields = std::move(m_fields),
      .m_body = std::move(m_body)};
  Reset();
  return request;
}

HttpResponse ResponseParser::TakeResponse() {
  HttpResponse response{.m_status = static_cast<uint16_t>(m_parser.status_code),
                        .m_fields = std::move(m_fields),
                        .m_body = std::move(m_body)};
  Reset();
  return response;
}

}  // namespace sequoiastage
