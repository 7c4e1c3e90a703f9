#include "sequoiastage/http/message_parser.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <random>
#include <string>

#include "sequoiastage/testing/mutate.h"

namespace sequoiastage {
namespace {

constexpr std::string_view kTwoRequests =
    "POST /a/1?x=2 HTTP/1.1\r\nHost: Move.Example:80\r\n"
    "Content-Length: 5\r\n\r\nhello"
    "GET /b/ HTTP/1.1\r\nHost: move.example\r\n\r\n";

TEST(RequestParserTest, ReadsPipelinedRequestsOneByOne) {
  RequestParser parser(MessageLimits{});
  const size_t used = parser.Feed(kTwoRequests);
  ASSERT_EQ(parser.State(), ParseState::kComplete);
  EXPECT_TRUE(parser.KeepsAlive());
  const HttpRequest first = parser.TakeRequest();
  EXPECT_EQ(first.m_method, "POST");
  EXPECT_EQ(first.m_host, "move.example");
  EXPECT_EQ(first.m_target, "/a/1?x=2");
  EXPECT_EQ(first.m_body, "hello");
  const std::string_view rest = kTwoRequests.substr(used);
  EXPECT_EQ(parser.Feed(rest), rest.size());
  ASSERT_EQ(parser.State(), ParseState::kComplete);
  EXPECT_EQ(parser.TakeRequest().m_target, "/b/");
}

RC_GTEST_PROP(RequestParserTest, ResultDoesNotDependOnHowBytesAreSplit, ()) {
  RequestParser parser(MessageLimits{});
  std::vector<std::string> bodies;
  std::string_view rest = kTwoRequests;
  while (!rest.empty()) {
    const auto size = std::min<size_t>(
        rest.size(), *rc::gen::inRange<size_t>(1, kTwoRequests.size()));
    std::string_view chunk = rest.substr(0, size);
    rest.remove_prefix(size);
    while (!chunk.empty()) {
      chunk.remove_prefix(parser.Feed(chunk));
      RC_ASSERT(parser.State() != ParseState::kFailed);
      if (parser.State() == ParseState::kComplete) {
        bodies.push_back(parser.TakeRequest().m_body);
      }
    }
  }
  RC_ASSERT(bodies == (std::vector<std::string>{"hello", ""}));
}

TEST(RequestParserTest, ReadsChunkedBodyAndDropsTrailers) {
  RequestParser parser(MessageLimits{});
  parser.Feed(
      "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n2\r\nde\r\n0\r\nLate: 1\r\n\r\n");
  ASSERT_EQ(parser.State(), ParseState::kComplete);
  const HttpRequest request = parser.TakeRequest();
  EXPECT_EQ(request.m_body, "abcde");
  EXPECT_EQ(FindField(request.m_fields, "Late"), nullptr);
}

TEST(RequestParserTest, RejectsContentLengthWithChunkedEncoding) {
  RequestParser parser(MessageLimits{});
  parser.Feed(
      "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"
      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
  EXPECT_EQ(parser.State(), ParseState::kFailed);
  EXPECT_EQ(parser.FailureStatus(), 400);
}

// "X-Secret : 1" would reach an instance as a forged field that the node did
// not remove, and "Content-Length : 5" as a second length.
TEST(RequestParserTest, RejectsSpacesInFieldNames) {
  for (const std::string field :
       {"X-Secret : 1", "Content-Length : 0", "A b: 1", "X-Secret\t: 1"}) {
    RequestParser parser(MessageLimits{});
    parser.Feed("GET / HTTP/1.1\r\nHost: a\r\n");
    parser.Feed(field + "\r\n\r\n");
    EXPECT_EQ(parser.State(), ParseState::kFailed) << field;
    EXPECT_EQ(parser.FailureStatus(), 400) << field;
  }
}

// http_parser would join the second line to the value of the first.
TEST(RequestParserTest, RejectsFoldedLines) {
  for (const std::string fields : {"X: 1\r\n Y: 2\r\n", "X:\r\n\tY: 2\r\n",
                                   "X: 1\r\n \r\n", "X: 1\n Y: 2\n"}) {
    const std::string bytes = "GET / HTTP/1.1\r\n" + fields + "\r\n";
    for (size_t cut = 1; cut < bytes.size(); ++cut) {
      RequestParser parser(MessageLimits{});
      parser.Feed(std::string_view(bytes).substr(0, cut));
      parser.Feed(std::string_view(bytes).substr(cut));
      EXPECT_EQ(parser.State(), ParseState::kFailed) << bytes;
      EXPECT_EQ(parser.FailureStatus(), 400);
    }
  }
}

TEST(RequestParserTest, ReportsWhichLimitWasExceeded) {
  RequestParser body({.m_max_header_bytes = 1024, .m_max_body_bytes = 4});
  body.Feed("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n");
  EXPECT_EQ(body.FailureStatus(), 413);
  RequestParser header({.m_max_header_bytes = 64, .m_max_body_bytes = 4});
  header.Feed("GET / HTTP/1.1\r\nHost: a\r\nPad: " + std::string(100, 'x') +
              "\r\n\r\n");
  EXPECT_EQ(header.FailureStatus(), 431);
}

TEST(ResponseParserTest, CompletesAResponseWithoutLengthOnlyAtEof) {
  ResponseParser parser(MessageLimits{});
  parser.Feed("HTTP/1.1 200 OK\r\nX: 1\r\n\r\nabc");
  EXPECT_EQ(parser.State(), ParseState::kInBody);
  parser.OnEof();
  ASSERT_EQ(parser.State(), ParseState::kComplete);
  EXPECT_FALSE(parser.KeepsAlive());
  EXPECT_EQ(parser.TakeResponse().m_body, "abc");
}

TEST(ResponseParserTest, FailsATruncatedResponse) {
  ResponseParser parser(MessageLimits{});
  parser.Feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc");
  parser.OnEof();
  EXPECT_EQ(parser.State(), ParseState::kFailed);
}

TEST(ResponseParserTest, ReadsResponseToHeadWithoutBody) {
  ResponseParser parser(MessageLimits{});
  parser.ExpectNoBody();
  parser.Feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n");
  ASSERT_EQ(parser.State(), ParseState::kComplete);
  EXPECT_EQ(parser.TakeResponse().m_status, 200);
}

TEST(ResponseParserTest, LeavesBytesAfterTheResponse) {
  ResponseParser parser(MessageLimits{});
  const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  EXPECT_EQ(parser.Feed(response + "HTTP/1.1 200"), response.size());
  EXPECT_EQ(parser.State(), ParseState::kComplete);
}

// Feeds damaged messages until the parser fails or the bytes end. Each call has
// to consume bytes or end, and no message may exceed the limits.
template <class Parser, class Take>
void FeedDamaged(std::string_view message, uint64_t seed, const Take& take) {
  constexpr MessageLimits kLimits{.m_max_header_bytes = 300,
                                  .m_max_body_bytes = 100};
  std::mt19937_64 random(seed);
  Parser parser(kLimits);
  for (int i = 0; i < 20 && parser.State() != ParseState::kFailed; ++i) {
    const std::string bytes = Mutate(std::string(message), random);
    std::string_view rest = bytes;
    while (!rest.empty() && parser.State() != ParseState::kFailed) {
      const size_t used = parser.Feed(rest);
      RC_ASSERT(used <= rest.size());
      RC_ASSERT(parser.BodyBytes() <= kLimits.m_max_body_bytes);
      if (parser.State() == ParseState::kComplete) {
        take(parser);
      } else {
        RC_ASSERT(used > 0 || parser.State() == ParseState::kFailed);
      }
      rest.remove_prefix(used);
    }
  }
}

RC_GTEST_PROP(RequestParserTest, DamagedBytesNeverExceedTheLimits, ()) {
  FeedDamaged<RequestParser>(
      kTwoRequests, *rc::gen::arbitrary<uint64_t>(),
      [](RequestParser& parser) { parser.TakeRequest(); });
}

RC_GTEST_PROP(ResponseParserTest, DamagedBytesNeverExceedTheLimits, ()) {
  FeedDamaged<ResponseParser>(
      "HTTP/1.1 200 OK\r\nX: y\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5;e=1\r\nhello\r\n0\r\nLate: 1\r\n\r\n"
      "HTTP/1.1 503 No\r\nContent-Length: 4\r\n\r\nbody",
      *rc::gen::arbitrary<uint64_t>(),
      [](ResponseParser& parser) { parser.TakeResponse(); });
}

}  // namespace
}  // namespace sequoiastage
