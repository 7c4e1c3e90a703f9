#include <fmt/format.h>
#include <gtest/gtest.h>

#include <string>

#include "response_clients.h"

// Where the body of a response ends.
namespace sequoiastage {
namespace {

template <class Client>
class ResponseBodyTest : public ResponseTest<Client> {};
TYPED_TEST_SUITE(ResponseBodyTest, ResponseClients, ResponseClientNames);

// The length of a 304 is that of the response to the same request without a
// condition.
TYPED_TEST(ResponseBodyTest, StatusWithoutABodyEndsWithItsHead) {
  for (const uint16_t status : {204, 304}) {
    for (const char* field :
         {"", "Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n"}) {
      const CallReport report = this->Receive(
          fmt::format("HTTP/1.1 {} Text\r\n{}\r\n", status, field));
      EXPECT_EQ(report.m_end, CallEnd::kAnswered) << status << field;
      EXPECT_EQ(report.m_response.m_status, status);
      EXPECT_EQ(report.m_response.m_body, "");
    }
  }
}

TYPED_TEST(ResponseBodyTest, ChunksAreJoined) {
  for (const char* field : {"chunked", "Chunked", "\tchunked "}) {
    this->ExpectAnswer(
        fmt::format("HTTP/1.1 200 OK\r\nTransfer-Encoding: {}\r\n\r\n"
                    "2\r\nbo\r\n02;x=y\r\ndy\r\n0\r\nLate: 1\r\n\r\n",
                    field),
        200);
  }
}

// Passed on, such a body would seem to be without a coding.
TYPED_TEST(ResponseBodyTest, OtherTransferCodingsAreNoAnswer) {
  for (const char* coding :
       {"gzip", "gzip, chunked", "chunked, gzip", "identity", "xchunked",
        "chunked, chunked", "", "chunked\r\nTransfer-Encoding: chunked"}) {
    this->ExpectBroken(
        fmt::format("HTTP/1.1 200 OK\r\nTransfer-Encoding: {}\r\n\r\n"
                    "4\r\nbody\r\n0\r\n\r\n",
                    coding));
  }
}

TYPED_TEST(ResponseBodyTest, MalformedChunkIsNoAnswer) {
  for (const char* chunk :
       {"x\r\nbody", "-4\r\nbody", " 4\r\nbody", "ffffffffffffffff4\r\nbody",
        "4\r\nbodyx", "4\r\nbo\r\ndy", "\r\n4\r\nbody"}) {
    this->ExpectBroken(
        fmt::format("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "{}\r\n0\r\n\r\n",
                    chunk));
  }
}

}  // namespace
}  // namespace sequoiastage
