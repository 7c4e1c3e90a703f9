#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>
#include <string>

#include "drawn_message.h"
#include "response_clients.h"

// Both clients get the same drawn responses.
namespace sequoiastage {
namespace {

bool HasFraming(const HttpResponse& response) {
  return FindField(response.m_fields, "Content-Length") != nullptr ||
         FindField(response.m_fields, "Transfer-Encoding") != nullptr;
}

RC_GTEST_PROP(ResponseAgreementTest, BothClientsReadTheSame, ()) {
  std::mt19937_64 random(*rc::gen::arbitrary<uint64_t>());
  const std::string bytes = DrawMessage(false, random);
  RC_LOG() << testing::PrintToString(bytes);
  asio::io_context io;
  ScriptedServer server(io, {.m_response = bytes});
  const TestCall call{.m_timeout = std::chrono::seconds(5)};
  const CallReport exchange = ExchangeClient(io).Call(server.Address(), call);
  const CallReport curl = CurlClient(io).Call(server.Address(), call);
  RC_ASSERT(exchange.m_end != CallEnd::kTimeout);
  RC_ASSERT(curl.m_end != CallEnd::kTimeout);
  if (curl.m_end == CallEnd::kAnswered) {
    RC_ASSERT(exchange.m_end == CallEnd::kAnswered);
  }
  // HttpClient accepts no response that ends with the connection.
  if (exchange.m_end == CallEnd::kAnswered && HasFraming(exchange.m_response)) {
    RC_ASSERT(curl.m_end == CallEnd::kAnswered);
  }
  if (curl.m_end == CallEnd::kAnswered) {
    RC_ASSERT(exchange.m_response == curl.m_response);
  }
}

}  // namespace
}  // namespace sequoiastage
