#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include "drawn_message.h"
#include "sequoiastage/http/exchange_connection.h"
#include "sequoiastage/http/message_parser.h"

// Properties of the parsers over drawn messages.
namespace sequoiastage {
namespace {

constexpr MessageLimits kLimits{.m_max_header_bytes = 2000,
                                .m_max_body_bytes = 500};

std::string DrawMessages(bool is_request, std::mt19937_64& random) {
  std::string messages;
  for (int i = std::uniform_int_distribution<int>(1, 3)(random); i > 0; --i) {
    messages += DrawMessage(is_request, random);
  }
  return messages;
}

std::string ToText(const std::vector<HttpField>& fields) {
  std::string text;
  for (const HttpField& field : fields) {
    text += field.m_name + "=" + field.m_value + ";";
  }
  return text;
}

std::string ToText(RequestParser& parser) {
  const HttpRequest request = parser.TakeRequest();
  return request.m_method + " " + request.m_target + " " +
         ToText(request.m_fields) + request.m_body;
}

std::string ToText(ResponseParser& parser) {
  const HttpResponse response = parser.TakeResponse();
  return std::to_string(response.m_status) + " " + ToText(response.m_fields) +
         response.m_body;
}

// Returns what a parser reads when the bytes come in pieces of up to
// `max_piece` bytes: each message, then the failure, if there is one.
template <class Parser>
std::vector<std::string> ReadInPieces(std::string_view bytes,
                                      size_t max_piece,
                                      std::mt19937_64& random) {
  Parser parser(kLimits);
  std::vector<std::string> results;
  while (!bytes.empty()) {
    const size_t size =
        std::uniform_int_distribution<size_t>(1, max_piece)(random);
    std::string_view piece = bytes.substr(0, size);
    bytes.remove_prefix(piece.size());
    while (!piece.empty()) {
      const size_t used = parser.Feed(piece);
      RC_ASSERT(used <= piece.size());
      RC_ASSERT(parser.BodyBytes() <= kLimits.m_max_body_bytes);
      piece.remove_prefix(used);
      if (parser.State() == ParseState::kFailed) {
        results.push_back(std::to_string(parser.FailureStatus()));
        return results;
      }
      if (parser.State() == ParseState::kComplete) {
        results.push_back(ToText(parser));
      } else {
        RC_ASSERT(used > 0u);
      }
    }
  }
  return results;
}

template <class Parser>
void CheckPieces(bool is_request) {
  std::mt19937_64 random(*rc::gen::arbitrary<uint64_t>());
  const std::string bytes = DrawMessages(is_request, random);
  const auto whole = ReadInPieces<Parser>(bytes, bytes.size() + 1, random);
  RC_ASSERT(ReadInPieces<Parser>(bytes, 1, random) == whole);
  RC_ASSERT(ReadInPieces<Parser>(bytes, 20, random) == whole);
}

// A result that depends on the pieces in which bytes arrive would let a caller
// place a request where another reader sees part of a body.
RC_GTEST_PROP(RequestFuzzTest, PiecesDoNotChangeTheMessages, ()) {
  CheckPieces<RequestParser>(true);
}

RC_GTEST_PROP(ResponseFuzzTest, PiecesDoNotChangeTheMessages, ()) {
  CheckPieces<ResponseParser>(false);
}

// http_parser takes any name that begins with Transfer-Encoding for that field
// when it checks that no Content-Length stands beside it, and rejects the
// message. That is safe, but says nothing about the forwarded bytes.
bool HasLongerTransferEncodingName(const std::vector<HttpField>& fields) {
  constexpr std::string_view kName = "transfer-encoding";
  return std::any_of(fields.begin(), fields.end(), [&](const HttpField& field) {
    return field.m_name.size() > kName.size() &&
           EqualsIgnoringCase(
               std::string_view(field.m_name).substr(0, kName.size()), kName);
  });
}

// Guards against request smuggling: the instance reads a forwarded request as
// one message with the same body, whatever the caller sent.
RC_GTEST_PROP(RequestFuzzTest, ForwardedRequestIsOneMessage, ()) {
  std::mt19937_64 random(*rc::gen::arbitrary<uint64_t>());
  const std::string bytes = DrawMessages(true, random);
  RequestParser parser(kLimits);
  std::string_view rest = bytes;
  while (!rest.empty()) {
    rest.remove_prefix(parser.Feed(rest));
    if (parser.State() != ParseState::kComplete) {
      return;
    }
    HttpRequest request = parser.TakeRequest();
    RemoveHopByHopFields(request.m_fields);
    const std::string forwarded = SerializeRequest(request);
    RequestParser reader(MessageLimits{});
    RC_LOG() << bytes << "\n=> " << forwarded;
    const size_t used = reader.Feed(forwarded);
    if (reader.State() == ParseState::kFailed &&
        HasLongerTransferEncodingName(request.m_fields)) {
      continue;
    }
    RC_ASSERT(used == forwarded.size());
    RC_ASSERT(reader.State() == ParseState::kComplete);
    HttpRequest read = reader.TakeRequest();
    RC_ASSERT(read.m_method == request.m_method);
    RC_ASSERT(read.m_target == request.m_target);
    RC_ASSERT(read.m_body == request.m_body);
    RemoveHopByHopFields(read.m_fields);
    RC_ASSERT(read.m_fields == request.m_fields);
  }
}

}  // namespace
}  // namespace sequoiastage
