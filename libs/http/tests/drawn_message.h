#ifndef SEQUOIASTAGE_HTTP_TESTS_DRAWN_MESSAGE_H_
#define SEQUOIASTAGE_HTTP_TESTS_DRAWN_MESSAGE_H_

#include <random>
#include <string>
#include <utility>
#include <vector>

#include "sequoiastage/testing/mutate.h"

namespace sequoiastage {

inline const std::string& Pick(const std::vector<std::string>& parts,
                               std::mt19937_64& random) {
  return parts[std::uniform_int_distribution<size_t>(0,
                                                     parts.size() - 1)(random)];
}

inline bool Draw(double share, std::mt19937_64& random) {
  return std::bernoulli_distribution(share)(random);
}

/// Returns a message drawn from the parts that parsers disagree about: repeated
/// or conflicting lengths, chunk extensions, folded lines, bare line feeds.
inline std::string DrawMessage(bool is_request, std::mt19937_64& random) {
  static const std::vector<std::string> kRequestLines = {
      "GET / HTTP/1.1",          "POST /a?b=c HTTP/1.1",
      "PUT /%0d%0aX HTTP/1.1",   "HEAD / HTTP/1.0",
      "POST http://h/ HTTP/1.1", "OPTIONS * HTTP/1.1",
      "CONNECT a:1 HTTP/1.1",    "POST / HTTP/2.0"};
  static const std::vector<std::string> kStatusLines = {
      "HTTP/1.1 200 OK",  "HTTP/1.1 204 ",      "HTTP/1.1 100 Continue",
      "HTTP/1.0 503 No",  "HTTP/1.1 304 Same",  "HTTP/1.1 999",
      "HTTP/1.1 101 Now", "HTTP/1.1 200 O\x01K"};
  static const std::vector<std::string> kFields = {
      "Host: a.example",
      "Host: b",
      "Content-Length: 5",
      "Content-Length: 05",
      "Content-Length: 5, 5",
      "Content-Length: +5",
      "Content-Length : 5",
      "Content-Length: 18446744073709551621",
      "Transfer-Encoding: chunked",
      "Transfer-Encoding: identity, chunked",
      "Transfer-Encoding: xchunked",
      "Transfer-Encoding:\tchunked",
      "Connection: close, X-Secret",
      "Connection: keep-alive",
      "Connection: upgrade\r\nUpgrade: h2c",
      "X-Secret: secret",
      "X-Account: forged",
      " folded: line",
      "Name with space: 1",
      "Empty:",
      "Keep-Alive: timeout=5"};
  static const std::vector<std::string> kBodies = {
      "hello",
      "5\r\nhello\r\n0\r\n\r\n",
      "5;e=\"x\"\r\nhello\r\n0\r\nLate: 1\r\n\r\n",
      "0\r\n\r\n",
      "ffffffffffffffff1\r\nx",
      "",
      "5\nhello\n0\n\n"};
  std::string message =
      Pick(is_request ? kRequestLines : kStatusLines, random) + "\r\n";
  for (int i = std::uniform_int_distribution<int>(0, 5)(random); i > 0; --i) {
    message += Pick(kFields, random) + (Draw(0.05, random) ? "\n" : "\r\n");
  }
  message += "\r\n" + Pick(kBodies, random);
  return Draw(0.3, random) ? Mutate(std::move(message), random) : message;
}

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_HTTP_TESTS_DRAWN_MESSAGE_H_
