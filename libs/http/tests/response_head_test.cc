#include <fmt/format.h>
#include <gtest/gtest.h>

#include <string>

#include "response_clients.h"

// Responses whose head is malformed, for example because the name of a field
// holds a blank or a control byte.
namespace sequoiastage {
namespace {

const std::string kLength = "Content-Length: 4\r\n";
const std::string kValid = "HTTP/1.1 200 OK\r\n" + kLength + "\r\nbody";

// A field with a byte between two parts of its name or value.
std::string JoinWith(char byte, std::string_view begin, std::string_view end) {
  return std::string(begin).append(1, byte).append(end);
}

template <class Client>
class ResponseHeadTest : public ResponseTest<Client> {
 protected:
  // `line`: a line of the head.
  void ExpectBrokenWith(const std::string& line) {
    this->ExpectBroken(
        fmt::format("HTTP/1.1 200 OK\r\n{}\r\n{}\r\nbody", line, kLength));
    this->ExpectBroken(
        fmt::format("HTTP/1.1 200 OK\r\n{}{}\r\n\r\nbody", kLength, line));
    this->ExpectBroken(fmt::format(
        "HTTP/1.1 200 OK\r\nFirst: 1\r\n{}\r\n{}\r\nbody", line, kLength));
    this->ExpectBroken(
        fmt::format("HTTP/1.1 100 Continue\r\n{}\r\n\r\n{}", line, kValid));
  }
};
TYPED_TEST_SUITE(ResponseHeadTest, ResponseClients, ResponseClientNames);

TYPED_TEST(ResponseHeadTest, ValidFieldsAreAccepted) {
  for (const char* line :
       {"X-Id: 1", "X: a\tb", "X: \xc3\xa9", "X:", "X:\t", "X:1 ", "X: a:b",
        "!#$%&'*+-.^_`|~09azAZ: 1", "Content-Type: text/plain"}) {
    this->ExpectAnswer(
        fmt::format("HTTP/1.1 200 OK\r\n{}\r\n{}\r\nbody", line, kLength), 200);
  }
  this->ExpectAnswer("HTTP/1.1 200\r\n" + kLength + "\r\nbody", 200);
  this->ExpectAnswer("HTTP/1.0 200 OK\nContent-Length: 4\n\nbody", 200);
}

TYPED_TEST(ResponseHeadTest, BlankInAFieldName) {
  for (const char* line :
       {"X Id: 1", "X-Id : 1", "X\tId: 1", "X-Id\t: 1", "Content-Length : 2",
        "Content-Length\t: 2", "Transfer-Encoding : chunked"}) {
    this->ExpectBrokenWith(line);
  }
}

// A recipient may take such a line for a field, or for the end of the value of
// the field before it.
TYPED_TEST(ResponseHeadTest, BlankBeforeAFieldName) {
  for (const char* line : {" X-Id: 1", "\tX-Id: 1", " ", "\t", " folded",
                           " Content-Length: 2", "\tContent-Length: 2"}) {
    this->ExpectBrokenWith(line);
  }
  this->ExpectBroken("HTTP/1.1 200 OK\r\nX:\r\n X-Id: 1\r\n" + kLength +
                     "\r\nbody");
}

TYPED_TEST(ResponseHeadTest, ControlByteInAFieldName) {
  for (int byte = 0; byte < ' '; ++byte) {
    if (byte != '\n') {
      this->ExpectBrokenWith(JoinWith(static_cast<char>(byte), "X", "Id: 1"));
    }
  }
  for (const char byte : {'\x7f', '\x80', '\xff'}) {
    this->ExpectBrokenWith(JoinWith(byte, "X", "Id: 1"));
    this->ExpectBrokenWith(JoinWith(byte, "Content-Length", ": 2"));
  }
}

TYPED_TEST(ResponseHeadTest, ControlByteInAFieldValue) {
  for (int byte = 0; byte < ' '; ++byte) {
    if (byte != '\n' && byte != '\t') {
      this->ExpectBrokenWith(JoinWith(static_cast<char>(byte), "X: a", "b"));
    }
  }
  this->ExpectBrokenWith(JoinWith('\x7f', "X: a", "b"));
}

TYPED_TEST(ResponseHeadTest, LineThatIsNoField) {
  for (const char* line :
       {": 1", "X-Id", "X(Id): 1", "\"X\": 1", "HTTP/1.1 200 OK"}) {
    this->ExpectBrokenWith(line);
  }
}

TYPED_TEST(ResponseHeadTest, CarriageReturnEndsNoLine) {
  this->ExpectBroken("HTTP/1.1 200 O\rK\r\n" + kLength + "\r\nbody");
  this->ExpectBroken("HTTP/1.1 200 OK\r" + kLength + "\r\nbody");
  this->ExpectBroken("HTTP/1.1 200 OK\r\n" + kLength + "\rbody\r\n\r\n");
  this->ExpectBroken("HTTP/1.1 200 OK\r\n" + kLength + "\r\rbody\r\n\r\n");
}

TYPED_TEST(ResponseHeadTest, LengthThatContradictsItself) {
  for (const char* line : {"Content-Length: 2", "Content-Length: 4",
                           "Transfer-Encoding: chunked"}) {
    this->ExpectBroken(
        fmt::format("HTTP/1.1 200 OK\r\n{}\r\n{}\r\nbody", line, kLength));
  }
  for (const char* length :
       {"-1", "+4", "4x", "0x4", "99999999999999999999", "", "4 4", "4,2"}) {
    this->ExpectBroken(fmt::format(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\nbody", length));
  }
}

TYPED_TEST(ResponseHeadTest, BytesThatAreNoResponse) {
  for (const std::string bytes :
       {"garbage\r\n\r\n", "HTTP/1.1\r\n\r\n", "HTTP/2.0 200 OK\r\n\r\n",
        "HTTP/0.9 200 OK\r\n\r\n", "ICY 200 OK\r\n\r\n", "SSH-2.0-x\r\n",
        "\r\n", "\n", "\r\n\r\nx", " ", "x"}) {
    this->ExpectBroken(bytes + kValid);
  }
  this->ExpectBroken(JoinWith('\0', "", kValid));
}

}  // namespace
}  // namespace sequoiastage
