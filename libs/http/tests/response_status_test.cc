#include <fmt/format.h>
#include <gtest/gtest.h>

#include "response_clients.h"

// Responses with a status that no response can have.
namespace sequoiastage {
namespace {

const std::string kRest = "Content-Length: 4\r\n\r\nbody";
const std::string kValid = "HTTP/1.1 200 OK\r\n" + kRest;

std::string StatusLine(std::string_view status) {
  return fmt::format("HTTP/1.1 {} Text\r\n", status);
}

template <class Client>
class ResponseStatusTest : public ResponseTest<Client> {};
TYPED_TEST_SUITE(ResponseStatusTest, ResponseClients, ResponseClientNames);

TYPED_TEST(ResponseStatusTest, FinalResponsesAreAnswers) {
  for (const uint16_t status : {200, 299, 404, 503, 599}) {
    this->ExpectAnswer(StatusLine(std::to_string(status)) + kRest, status);
  }
  this->ExpectAnswer(StatusLine("103") + "\r\n" + kValid, 200);
}

// Alone, before a response without a body of its own, and before one with.
TYPED_TEST(ResponseStatusTest, ImpossibleStatusIsNoAnswer) {
  for (const char* status : {"000", "001", "099", "600", "999", "0", "20",
                             "2000", "2x0", "-20", "+20", ""}) {
    const std::string line = StatusLine(status);
    this->ExpectBroken(line + kRest);
    this->ExpectBroken(fmt::format("{}\r\n{}", line, kValid));
    this->ExpectBroken(fmt::format("{}{}{}", line, kRest, kValid));
  }
}

// No request asks for another protocol.
TYPED_TEST(ResponseStatusTest, SwitchingProtocolsIsNoAnswer) {
  for (const char* fields : {"", "Upgrade: x\r\nConnection: upgrade\r\n"}) {
    this->ExpectBroken(StatusLine("101") + fields + "\r\n" + kValid);
  }
}

}  // namespace
}  // namespace sequoiastage
